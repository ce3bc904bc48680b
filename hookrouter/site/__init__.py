"""The operator's file: INI, each section and key known, each value with its unit, all faults in one pass.

A section that is not there is a feature that is off. Secrets are in files of their own that it names.
"""

from typing import Any

from ..errors.site import InvalidSiteFile, InvalidValue
from ..purges import types
from .file import read, read_text
from .sections import SECTIONS
from .values import Address, Secret, address

VARIABLE = "HOOKROUTER_SITE"  # of the environment: the path of the file, where no option names it

__all__ = [
    "SECTIONS",
    "VARIABLE",
    "InvalidSiteFile",
    "Secret",
    "InvalidValue",
    "address",
    "follows",
    "purge_terms",
    "read",
    "read_text",
]


def purge_terms(purges: dict[str, Any]) -> types.PurgeTerms:
    """The section [purges] as a router's PurgeTerms."""
    return types.PurgeTerms(
        lease=purges["lease"],
        hold=purges["hold"],
        grace=purges["grace"],
        skew=purges["skew"],
        fenced=purges["fenced"],
        most_names=purges["names"],
        most_tagged=purges["tagged"],
        most_sealed=purges["sealed"],
    )


def follows(purges: dict[str, Any]) -> tuple[Address, ...]:
    """Addresses of the section [purges] of which a router follows one at a time."""
    return (purges["follow"],) if purges["follow"] else purges["desk"]

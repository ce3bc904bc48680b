"""The operator's INI file: unknown sections and keys are errors, values have units, all errors are reported.

A missing section means that the feature is off. Secrets are in separate files that it names.
"""

from typing import Any

from ..errors.site import InvalidSiteFile, InvalidValue
from ..purges import types
from .file import read, read_text
from .sections import SECTIONS
from .values import Address, Secret, address

VARIABLE = "HOOKROUTER_SITE"  # environment variable with the file's path, if no option names it

__all__ = [
    "SECTIONS",
    "VARIABLE",
    "InvalidSiteFile",
    "Secret",
    "InvalidValue",
    "address",
    "follow_addresses",
    "purge_terms",
    "read",
    "read_text",
]


def purge_terms(purges: dict[str, Any], pattern_memory: int) -> types.PurgeTerms:
    """Converts the section [purges] to a router's PurgeTerms. pattern_memory: bytes, by its limits."""
    return types.PurgeTerms(
        lease=purges["lease"],
        hold=purges["hold"],
        grace=purges["grace"],
        skew=purges["skew"],
        fenced=purges["fenced"],
        most_names=purges["names"],
        most_tagged=purges["tagged"],
        most_sealed=purges["sealed"],
        pattern_memory=pattern_memory,
    )


def follow_addresses(purges: dict[str, Any]) -> tuple[Address, ...]:
    """Returns the addresses in the section [purges] of which a router follows one at a time."""
    return (purges["follow"],) if purges["follow"] else purges["desk"]

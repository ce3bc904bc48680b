"""With [admission], those that come back to a desk or relay are let in one by one; without it nothing of it
is loaded.
"""

from collections.abc import Mapping
from typing import TypeVar

from ..log import Log
from .publisher import Publisher

AnyPublisher = TypeVar("AnyPublisher", bound=Publisher)


def add_admission(publisher: AnyPublisher, sections: Mapping, name: str, log: Log) -> AnyPublisher:
    """That publisher, with its admission where sections, those of the operator's file, have one."""
    if "admission" in sections:
        from .admission import Admission

        publisher.admission = Admission(publisher.reactor, log, sections, publisher, name)
    return publisher

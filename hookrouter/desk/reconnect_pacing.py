"""Optional admission control of reconnecting followers; without [admission] its modules are not imported."""

from collections.abc import Mapping
from typing import TypeVar

from ..log import Log
from .publisher import Publisher

AnyPublisher = TypeVar("AnyPublisher", bound=Publisher)


def add_admission(publisher: AnyPublisher, sections: Mapping, name: str, log: Log) -> AnyPublisher:
    """Returns the publisher, with admission control if the operator's file (sections) has [admission]."""
    if "admission" in sections:
        from .admission import Admission

        publisher.admission = Admission(publisher.reactor, log, sections, publisher, name)
    return publisher

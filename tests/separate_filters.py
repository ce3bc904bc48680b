"""A bank of separate filters, one a slice, of whatever implementation: what slices are tested with beside the
bit-sliced one.
"""

from collections.abc import Callable
from typing import Protocol

from hookrouter.purges.retention.bank import COLUMNS

SEALED_AT_ONCE = 64  # digests that one step of sealing works off


class SliceFilter(Protocol):
    """An approximate set of digests without false negatives.

    Digests are added while it is open. It is then sealed in bounded steps. `may_contain` holds for each
    added digest at any time, also while the filter is being sealed.
    """

    def add(self, digest: int) -> None:
        """Adds a digest; only while the filter is open."""

    def seal(self, most: int) -> bool:
        """Works off at most so many digests; true once the filter is sealed."""

    def may_contain(self, digest: int) -> bool:
        """False only where the digest was never added."""

    def bytes(self) -> int:
        """Memory of the filter's table."""


class SeparateFilters:
    """Adapts any SliceFilter to a FilterBank."""

    columns = COLUMNS

    def __init__(self, make_filter: Callable[[], SliceFilter], sealed_at_once: int = SEALED_AT_ONCE) -> None:
        """make_filter: an empty filter for one slice. sealed_at_once: digests in one step of sealing."""
        self._make_filter = make_filter
        self._sealed_at_once = sealed_at_once
        self._filters: dict[int, SliceFilter] = {}

    def add(self, column: int, digest: int) -> None:
        """Adds to the column's filter, which the first digest creates."""
        if column not in self._filters:
            self._filters[column] = self._make_filter()
        self._filters[column].add(digest)

    def seal(self, column: int) -> bool:
        """One step of the column's filter."""
        found = self._filters.get(column)
        return found is None or found.seal(self._sealed_at_once)

    def matches(self, digest: int) -> int:
        """Asks each filter."""
        return sum(1 << column for column, one in self._filters.items() if one.may_contain(digest))

    def clear(self, column: int) -> bool:
        """A filter is dropped at once."""
        self._filters.pop(column, None)
        return True

    def bytes(self) -> int:
        """Memory of all filters."""
        return sum(one.bytes() for one in self._filters.values())

"""The slices of an order as followers fetch them: encoded once for all, and listed as of one moment."""

from collections import OrderedDict
from typing import NamedTuple

from . import types
from .retention.archive import Archive, ArchivedSlice, SliceKey
from .slice_codec import Encoded, Row, encode

MOST_UNLISTED = 2_000  # purges sealed since slices were listed: as many are told one by one instead
MOST_FORMER = 12  # bodies that are not listed any more, for those who fetch them still


class _Known(NamedTuple):
    """A slice of that version as it was encoded."""

    slice: ArchivedSlice
    version: int
    encoded: Encoded


class Catalogue:
    """What is listed stays as it is for a while, so that one follower after the other fetches the same bytes.

    What was sealed since is told one by one.
    """

    def __init__(
        self, archive: Archive, most_unlisted: int = MOST_UNLISTED, most_former: int = MOST_FORMER
    ) -> None:
        """archive: whose slices are listed."""
        self._archive, self._most_unlisted, self._most_former = archive, most_unlisted, most_former
        self._known: dict[SliceKey, _Known] = {}
        self._rows: list[Row] | None = None
        self._unlisted: list[types.Purge] = []
        self._bodies: dict[str, bytes] = {}  # by digest, of the rows
        self._former: OrderedDict[str, bytes] = OrderedDict()

    def add(self, purge: types.Purge) -> None:
        """That purge was sealed."""
        if self._rows is None:
            return
        self._unlisted.append(purge)
        if len(self._unlisted) > self._most_unlisted:
            self.forget()

    def forget(self) -> None:
        """Slices were merged or dropped: they are listed anew when they are next asked for."""
        self._rows, self._unlisted = None, []

    def listed(self) -> tuple[list[Row], list[types.Purge]]:
        """Rows of all slices, the newest stretches first, and the purges that were sealed since."""
        if self._rows is None:
            self._list()
        return self._rows, list(self._unlisted)

    def body(self, digest: str) -> bytes | None:
        """The bytes of a slice that is listed, or was lately; None: neither."""
        return self._bodies.get(digest) or self._former.get(digest)

    def _list(self) -> None:
        known, self._known = self._known, {}
        for one in self._archive.live():
            row = known.get(one.key)
            if row is None or row.slice is not one or row.version != one.version:
                row = _Known(one, one.version, encode(one.state()))
            self._known[one.key] = row
        former, self._bodies = (
            self._bodies,
            {row.encoded.row.digest: row.encoded.body for row in self._known.values()},
        )
        self._former.update((digest, body) for digest, body in former.items() if digest not in self._bodies)
        while len(self._former) > self._most_former:
            self._former.popitem(last=False)
        self._rows = [row.encoded.row for row in self._known.values()]

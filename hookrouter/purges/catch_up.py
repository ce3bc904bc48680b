"""Which sealed slices of a snapshot a follower still lacks: fetched beside the order, which goes on."""

from collections import deque
from collections.abc import Iterable

from .slice_codec import Row
from .types import START, Position


class CatchUp:
    """From a snapshot until its last slice is taken in, over cuts and further snapshots.

    What was taken in stays so: by its digest while others are missing, by the position after that.
    """

    def __init__(self) -> None:
        """Nothing is missing."""
        self.pending = False  # whether slices are missing, or have to be listed anew
        self.list_anew = False  # by another snapshot: what was listed cannot be had any more
        self._wanted: deque[Row] = deque()
        self._taken: set[str] = set()
        self._whole = START  # while slices are missing: up to there all that is sealed is held

    def listed(self, rows: Iterable[Row], before: Position) -> None:
        """A snapshot is there but for these slices. before: the follower's position before it."""
        if not self.pending:
            self._whole = before
        self.pending, self.list_anew = True, False
        self._wanted = deque(rows)

    def missing(self) -> Row | None:
        """The slice to be fetched next; None: nothing is missing, or it has to be listed anew."""
        while self._wanted and self._wanted[0].digest in self._taken:
            self._wanted.popleft()
        if self._wanted:
            return self._wanted[0]
        if not self.list_anew:
            self.pending = False
            self._taken.clear()
        return None

    def took(self, row: Row) -> None:
        """That slice is taken in."""
        self._taken.add(row.digest)

    def lost(self) -> None:
        """What is listed cannot be had: another snapshot has to list it."""
        self.pending = self.list_anew = True
        self._wanted.clear()

    def resumed(self) -> None:
        """The order goes on from its start without a snapshot: all of it is told one by one."""
        self.list_anew = False

    def whole(self, position: Position) -> Position:
        """Up to where all that is sealed is held. position: of the newest purge applied."""
        return self._whole if self.pending else position

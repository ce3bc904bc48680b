"""The order of purges as a desk or relay holds it: what a follower is given from its position on.

Three parts: the newest purges in their order; the newest purge of each name, so many one by one; those past
that as slices by time.
"""

from bisect import bisect_right
from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import NamedTuple

from . import types
from .catalogue import Catalogue
from .retention.archive import Archive, SliceState
from .slice_codec import Row

RECENT = (
    20_000  # purges kept in their order: a burst of a minute; a follower from before that gets a snapshot
)
MOST_NAMES = 4_000  # purges kept one by one by their names; a snapshot tells each of them
MOST_FIRSTS = 1_000  # epochs whose first numbers are known; a position of an older one gets all slices

# How a follower's position stands to this order, and what it is given.
SAME_BRANCH, OLD, OTHER_BRANCH, BEYOND, NEWER_EPOCH = (
    "same branch",
    "old",
    "other branch",
    "beyond",
    "newer epoch",
)
RESUME, SNAPSHOT, RAISE = "resume", "snapshot", "raise"
TABLE = {
    SAME_BRANCH: RESUME,
    OLD: SNAPSHOT,  # folded away or no longer kept one by one
    OTHER_BRANCH: SNAPSHOT,  # it heard of purges that a restored store never knew
    BEYOND: SNAPSHOT,
    NEWER_EPOCH: RAISE,  # a later life of the desk has been: this one must come after it
}


class Snapshot(NamedTuple):
    """All that is live beyond a position: purges one by one, and rows of slices to be fetched."""

    purges: list[types.Purge]
    slices: list[Row]


class Tail:
    """The order as a desk or relay holds it. Numbers go on over epochs, entries keep the epoch of theirs."""

    def __init__(
        self,
        hold: int,
        epoch: int = 0,
        floor: int = 0,
        recent: int = RECENT,
        names: int = MOST_NAMES,
        archive: Archive | None = None,
    ) -> None:
        """hold: as in PurgeTerms. epoch: of the present life of the desk. floor: the number up to which none
        is kept in its order. recent: purges kept in their order, at most; names: so many by their names.
        archive: takes those past names; None: one of the default size.
        """
        self.hold, self.epoch, self.most, self.most_names = hold, epoch, recent, names
        self.firsts: list[tuple[int, int]] = []  # (n of the first entry, epoch), by epoch that has entries
        self.recent: deque[types.Purge] = deque()
        # (kind, what) -> the newest, the last added last; first those of kinds that can be sealed.
        self.sealable: OrderedDict[tuple[str, str], types.Purge] = OrderedDict()
        self.exact: OrderedDict[tuple[str, str], types.Purge] = OrderedDict()
        self.archive = Archive(hold, types.MOST_SEALED) if archive is None else archive
        self.catalogue = Catalogue(self.archive)
        self.newest = types.Position(0, floor)
        self.last_timestamp = 0

    def add(self, purge: types.Purge) -> None:
        """The next purge of the order."""
        if not self.firsts or self.firsts[-1][1] != purge.epoch:
            self._begin_epoch(purge.n, purge.epoch)
        self.recent.append(purge)
        if len(self.recent) > self.most:
            self.recent.popleft()
        self._keep(purge)
        self.newest = types.Position(purge.epoch, purge.n)

    def recall(self, purges: Iterable[types.Purge], firsts: Iterable[tuple[int, int]]) -> None:
        """What a store holds besides its slices and its rows: purges that cannot be sealed, before any row is
        added. firsts: as here.
        """
        for purge in purges:
            self._keep(purge)
        for n, epoch in firsts:
            self._begin_epoch(n, epoch)

    def take(self, purges: Iterable[types.Purge], newest: types.Position) -> None:
        """A snapshot of the upstream in place of what was here; what was live stays live, which is safe."""
        self.recent.clear()
        self.firsts = [(newest.n, newest.epoch)]
        for purge in purges:
            self._keep(purge)
        self.newest = newest

    def merge(self, state: SliceState) -> None:
        """A slice of the upstream's snapshot."""
        self.archive.merge(state)
        self.catalogue.forget()

    def live(self) -> int:
        """Purges that are live; those in slices with their repeats."""
        return len(self.sealable) + len(self.exact) + len(self.archive)

    def patterns(self) -> int:
        """Live globs and regexes: those that routers cannot seal."""
        return sum(kind in types.MATCHED_KINDS for kind, _ in self.exact)

    def holds(self, kind: str, what: str) -> bool:
        """Whether one more purge of that name would not be one more that is live."""
        return (kind, what) in self.sealable or (kind, what) in self.exact

    # ---- what a follower is given

    def place(self, position: types.Position, seen: int) -> str:
        """RESUME, SNAPSHOT or RAISE, for a follower that stands there and has heard of the epoch seen."""
        return TABLE[self._relation(position, seen)]

    def snapshot(self, whole: types.Position = types.START) -> Snapshot:
        """For a follower that has all up to whole, where that is a position of this order."""
        since = whole.n if self._on_branch(whole) else 0
        rows, unlisted = self.catalogue.listed()
        exact = (*unlisted, *self.exact.values(), *self.sealable.values())
        return Snapshot(
            [purge for purge in exact if purge.n > since], [row for row in rows if row.last > since]
        )

    def after(self, n: int, most: int) -> list[types.Purge]:
        """Up to so many purges from behind n on; n must not be older than what is kept."""
        first = self.recent[0].n if self.recent else 0
        start = n + 1 - first
        return [self.recent[k] for k in range(start, min(len(self.recent), start + most))]

    def _relation(self, position: types.Position, seen: int) -> str:
        if seen > self.epoch:
            return NEWER_EPOCH
        if position == self.newest:
            return SAME_BRANCH
        if position.n > self.newest.n:
            return BEYOND
        first = self.recent[0].n if self.recent else self.newest.n + 1
        if position.n < first - 1:
            return OLD
        if position.n == 0 or self._on_branch(position):
            return SAME_BRANCH
        # The entry before the first that is kept: its epoch is not known any more.
        return OLD if position.n == first - 1 else OTHER_BRANCH

    def _on_branch(self, position: types.Position) -> bool:
        """Whether this order has that entry, for sure."""
        if position.n > self.newest.n:
            return False
        at = bisect_right(self.firsts, (position.n, float("inf"))) - 1
        return at >= 0 and self.firsts[at][1] == position.epoch

    # ---- what is kept

    def fold(self, now: int) -> int:
        """Drops what no copy can be older than; the number up to which all has gone, or 0."""
        before, gone = now - self.hold, 0
        for table in (self.sealable, self.exact):
            while table and next(iter(table.values())).timestamp < before:
                table.popitem(last=False)
        if self.archive.fold(before):
            self.catalogue.forget()
        while self.recent and self.recent[0].timestamp < before:
            gone = self.recent.popleft().n
        return gone

    def _begin_epoch(self, n: int, epoch: int) -> None:
        self.firsts.append((n, epoch))
        if len(self.firsts) > MOST_FIRSTS:
            del self.firsts[0]

    def _keep(self, purge: types.Purge) -> None:
        """The newest of its name; the oldest beyond the most is sealed."""
        key = purge.kind, purge.what
        table = self.sealable if purge.kind in types.SEALABLE_KINDS else self.exact
        older = table.pop(key, purge)
        table[key] = max(older, purge, key=lambda one: one.timestamp)
        self.last_timestamp = max(self.last_timestamp, purge.timestamp)
        if len(self.sealable) > self.most_names:
            _, oldest = self.sealable.popitem(last=False)
            self.archive.add(oldest)
            self.catalogue.add(oldest)

"""The newest stretch of the order, and what is live of all of it: what a follower is given from its position
on.
"""

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable

from . import types

RECENT = 20_000  # purges kept one by one: a burst of a minute; a follower from before that gets a snapshot

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


class Tail:
    """The order as a desk or relay holds it. Numbers go on over epochs, entries keep the epoch of theirs."""

    def __init__(self, hold: int, epoch: int = 0, floor: int = 0, recent: int = RECENT) -> None:
        """hold: as in PurgeTerms. epoch: of the present life of the desk. floor: the number up to which all
        is folded away. recent: purges kept one by one, at most.
        """
        self.hold, self.epoch, self.most = hold, epoch, recent
        self.firsts: list[tuple[int, int]] = []  # (n of the first entry, epoch), by epoch that has entries
        self.recent: deque[types.Purge] = deque()
        self.live: dict[tuple[str, str], types.Purge] = {}  # (kind, what) -> the newest, the last added last
        self.newest = types.Position(0, floor)
        self.last_timestamp = 0

    def add(self, purge: types.Purge) -> None:
        """The next purge of the order."""
        if not self.firsts or self.firsts[-1][1] != purge.epoch:
            self.firsts.append((purge.n, purge.epoch))
        self.recent.append(purge)
        if len(self.recent) > self.most:
            self.recent.popleft()
        self.live.pop((purge.kind, purge.what), None)
        self.live[purge.kind, purge.what] = purge
        self.newest = types.Position(purge.epoch, purge.n)
        self.last_timestamp = max(self.last_timestamp, purge.timestamp)

    def take(self, purges: Iterable[types.Purge], newest: types.Position) -> None:
        """A snapshot of the upstream in place of what was here; what was live stays live, which is safe."""
        self.recent.clear()
        self.firsts = [(newest.n, newest.epoch)]
        for purge in purges:
            old = self.live.pop((purge.kind, purge.what), purge)
            self.live[purge.kind, purge.what] = max(old, purge, key=lambda p: p.timestamp)
            self.last_timestamp = max(self.last_timestamp, purge.timestamp)
        self.newest = newest

    def place(self, position: types.Position, seen: int) -> str:
        """RESUME, SNAPSHOT or RAISE, for a follower that stands there and has heard of the epoch seen."""
        return TABLE[self._relation(position, seen)]

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
        if position.n == 0:
            return SAME_BRANCH
        at = bisect_right(self.firsts, (position.n, float("inf"))) - 1
        if at >= 0 and self.firsts[at][1] == position.epoch:
            return SAME_BRANCH
        # The entry before the first that is kept: its epoch is not known any more.
        return OLD if position.n == first - 1 else OTHER_BRANCH

    def after(self, n: int, most: int) -> list[types.Purge]:
        """Up to so many purges from behind n on; n must not be older than what is kept."""
        first = self.recent[0].n if self.recent else 0
        start = n + 1 - first
        return [self.recent[k] for k in range(start, min(len(self.recent), start + most))]

    def fold(self, now: int) -> int:
        """Drops what no copy can be older than; the number up to which all has gone, or 0."""
        before, gone = now - self.hold, 0
        while self.live:
            key, purge = next(iter(self.live.items()))
            if purge.timestamp >= before:
                break
            del self.live[key]
        while self.recent and self.recent[0].timestamp < before:
            gone = self.recent.popleft().n
        return gone

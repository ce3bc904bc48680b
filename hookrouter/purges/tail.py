"""The newest stretch of the order, and what is live of all of it: what a follower is given from its position
on.
"""

from bisect import bisect_right
from collections import deque

from . import words as w

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
    """hold: as in PurgeTerms. epoch: of the present life; numbers go on over epochs, entries keep theirs."""

    def __init__(self, hold, epoch=0, floor=0, recent=RECENT):
        self.hold, self.epoch, self.most = hold, epoch, recent
        self.firsts = []  # (n of the first entry, epoch), for each epoch that has entries
        self.recent = deque()
        self.live = {}  # (kind, what) -> the newest Purge, the last told last
        self.newest = w.Position(0, floor)
        self.last_timestamp = 0

    def add(self, purge):
        if not self.firsts or self.firsts[-1][1] != purge.epoch:
            self.firsts.append((purge.n, purge.epoch))
        self.recent.append(purge)
        if len(self.recent) > self.most:
            self.recent.popleft()
        self.live.pop((purge.kind, purge.what), None)
        self.live[purge.kind, purge.what] = purge
        self.newest = w.Position(purge.epoch, purge.n)
        self.last_timestamp = max(self.last_timestamp, purge.timestamp)

    def take(self, purges, newest):
        """A snapshot from above in place of what was here; what was live stays live, which is safe."""
        self.recent.clear()
        self.firsts = [(newest.n, newest.epoch)]
        for purge in purges:
            old = self.live.pop((purge.kind, purge.what), purge)
            self.live[purge.kind, purge.what] = max(old, purge, key=lambda p: p.timestamp)
            self.last_timestamp = max(self.last_timestamp, purge.timestamp)
        self.newest = newest

    def place(self, position, seen):
        """What a follower is given that stands there and has heard of that epoch."""
        return TABLE[self._relation(position, seen)]

    def _relation(self, position, seen):
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

    def after(self, n, most):
        """Up to so many purges from behind n on; n must not be older than what is kept."""
        first = self.recent[0].n if self.recent else 0
        start = n + 1 - first
        return [self.recent[k] for k in range(start, min(len(self.recent), start + most))]

    def fold(self, now):
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

"""Fleet-wide purges in one router: its guard, told by the feed; answers that must not be passed on are no
answers.
"""

from collections import deque
from time import perf_counter, time

from twisted.internet.defer import Deferred

from .. import interface
from ..feed.purges import PurgeFeed
from ..feed.purges import steady as boot_time
from ..purges import Guard
from ..purges.fence import CURRENT
from ..purges.names import Kept
from ..purges.tags import Listed, read_tags
from ..site import follow_addresses, purge_terms

SLICE = 0.005  # seconds of purges taken in at a time: a snapshot of all takes seconds, lookups must not wait


def purge_feed(reactor, deadlines, desk, purges, name, log, count, paced, wall=time, steady=boot_time):
    """A router's feed of purges as [purges] has it, not started. desk: see PurgeFeed, and left() where it is
    paced, that is with [admission].
    """
    feed = PurgeFeed(
        reactor, deadlines, desk, follow_addresses(purges), purges, name, log, count, wall=wall, steady=steady
    )
    if paced:
        feed.pace()
    return feed


class Purging:
    def __init__(self, start, reactor, deadlines, router, log, count, steady, watch=perf_counter):
        """steady: see Router; None: the machine's. watch: seconds, for how long a slice has lasted."""
        purges = start.purges
        self.deadlines, self.watch = deadlines, watch
        # Purges told that the guard does not know yet; bounded by the desk's most live.
        self.backlog = deque()
        self.steady = steady or boot_time
        self.router, self.log, self.count = router, log, count
        self.judged = frozenset(
            kind.name
            for kind in start.terms.kinds
            if kind.idempotency == interface.IDEMPOTENT and not kind.write
        )
        tags = None if start.tags is None else Listed(start.tags)
        self.guard = Guard(purge_terms(purges), tags, self.judged)
        self.feed = purge_feed(
            reactor,
            deadlines,
            self,
            purges,
            start.name,
            log,
            count,
            paced=start.paced,
            wall=router.wall,
            steady=self.steady,
        )
        self.state = self.guard.state()

    def left(self):
        """Of the lease, for who paces those that come back."""
        self.guard.at(self.steady())
        return self.guard.left()

    # ---- told by the feed

    def heard(self, epoch):
        """The feed keeps the epoch."""

    def purged(self, purges):
        idle = not self.backlog
        self.backlog.extend(purges)
        if idle:
            self._take_in()

    def _take_in(self):
        now, until = self.router.now(), self.watch() + SLICE
        while self.backlog:
            if self.watch() > until:
                self.deadlines.after(0, self._take_in)
                return
            self.count("purges_told")
            purge = self.backlog.popleft()
            if self.guard.told(now, purge) is Kept.EVERY_NAME:
                self.count("purges_of_every_name")
            if self.router.heed is not None:
                self.router.heed.told(purge)
        self.feed.renew_soon()

    def adopt(self, state):
        """A sealed slice; a Deferred that fires once it is taken in, by steps between which lookups go on."""
        done = Deferred()
        self._merge(self.guard.adopt(self.router.now(), state), done)
        return done

    def _merge(self, steps, done):
        until = self.watch() + SLICE
        try:
            for _ in steps:
                if self.watch() > until:
                    self.deadlines.after(0, self._merge, steps, done)
                    return
        except Exception:  # it is fetched and tried again: without it there is no lease
            done.errback()
            return
        self.count("slices_taken")
        done.callback(None)

    def whole(self, purges, newest):
        self.purged(purges)  # what was live here stays: it only makes bounds stricter

    def granted(self, asked, wall, span, desk):
        now = self.router.now()
        self.guard.clock(wall, now, desk)
        self.guard.granted(asked, span)
        self.look()

    def place(self, n):
        """Nothing is answered for while some of it is not taken in."""
        return (-1, -1) if self.backlog else (n, n)

    # ---- asked by the router

    def look(self):
        """Before each decision and answer: a process that was paused learns here that its lease is over."""
        self.guard.at(self.steady())
        state = self.guard.state()
        if state != self.state:
            before, self.state = self.state, state
            self.log(
                "purges: lease held" if state == CURRENT else "purges: without a lease, fenced",
                level="info" if state == CURRENT else "warn",
                was=before,
                now=state,
            )

    def checked(self, ended, asked, began):
        """The end as it counts: a copy that a purge has made old is as good as none.

        Only of kinds that may run again: that the others ran is true whatever the age of what came.
        """
        if asked.kind not in self.judged:
            return ended
        now = self.router.now()
        tags = None if ended.tags is None else read_tags(ended.tags)
        if self.guard.shut() or self.guard.judge(
            now, began, asked.kind, asked.object, asked.group, ended.since, tags
        ):
            self.count("copies_refused")
            return ended._replace(end=interface.MISSING, pieces=(), length=0, made=None)
        return ended

    def held(self):
        return {
            "purges_live": len(self.guard.index),
            "purges_sealed": self.guard.index.sealed_keys(),
            "purges_fenced": int(self.state != CURRENT),
            "tags_held": len(self.guard.tags.rows),
        }

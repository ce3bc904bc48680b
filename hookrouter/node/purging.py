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
from ..site import follows, purge_terms

MAX_STEP_DURATION = (
    0.005  # seconds of purges taken in at a time: a snapshot of all takes seconds, lookups must not wait
)


def purge_feed(reactor, deadlines, handler, purges, name, log, count, paced, wall=time, steady=boot_time):
    """A router's feed of purges as [purges] has it, not started. desk: see PurgeFeed, and left() where it is
    paced, that is with [admission].
    """
    feed = PurgeFeed(
        reactor, deadlines, handler, follows(purges), purges, name, log, count, wall=wall, steady=steady
    )
    if paced:
        feed.pace()
    return feed


class Purging:
    def __init__(self, start, reactor, deadlines, router, log, count, steady, stopwatch=perf_counter):
        """steady: see Router; None: the machine's. watch: seconds, for how long a slice has lasted."""
        purges = start.purges
        self.deadlines, self.stopwatch = deadlines, stopwatch
        # Purges told that the guard does not know yet; bounded by the desk's most live.
        self.backlog = deque()
        self.steady = steady or boot_time
        self.router, self.log, self.count = router, log, count
        self.guarded_kinds = frozenset(
            kind.name
            for kind in start.terms.kinds
            if kind.idempotency == interface.IDEMPOTENT and not kind.write
        )
        tags = None if start.tags is None else Listed(start.tags)
        self.guard = Guard(purge_terms(purges), tags, self.guarded_kinds)
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
        self.lease_state = self.guard.state()

    def lease_left(self):
        """Of the lease, for who paces those that come back."""
        self.guard.at(self.steady())
        return self.guard.left()

    # ---- told by the feed

    def on_epoch(self, epoch):
        """The feed keeps the epoch."""

    def on_purges(self, purges):
        was_empty = not self.backlog
        self.backlog.extend(purges)
        if was_empty:
            self._apply_backlog()

    def _apply_backlog(self):
        now, step_end = self.router.now(), self.stopwatch() + MAX_STEP_DURATION
        while self.backlog:
            if self.stopwatch() > step_end:
                self.deadlines.after(0, self._apply_backlog)
                return
            self.count("purges_told")
            purge = self.backlog.popleft()
            if self.guard.told(now, purge) is Kept.EVERY_NAME:
                self.count("purges_of_every_name")
            if self.router.warming_observer is not None:
                self.router.warming_observer.on_fleet_purge(purge)
        self.feed.renew_soon()

    def adopt(self, state):
        """A sealed slice; a Deferred that fires once it is taken in, by steps between which lookups go on."""
        done = Deferred()
        self._merge(self.guard.adopt(self.router.now(), state), done)
        return done

    def _merge(self, steps, done):
        step_end = self.stopwatch() + MAX_STEP_DURATION
        try:
            for _ in steps:
                if self.stopwatch() > step_end:
                    self.deadlines.after(0, self._merge, steps, done)
                    return
        except Exception:  # it is fetched and tried again: without it there is no lease
            done.errback()
            return
        self.count("slices_taken")
        done.callback(None)

    def on_snapshot(self, purges, newest):
        self.on_purges(purges)  # what was live here stays: it only makes bounds stricter

    def on_grant(self, request, wall, duration, handler):
        now = self.router.now()
        self.guard.clock(wall, now, handler)
        self.guard.granted(request, duration)
        self.check_lease()

    def acknowledged(self, n):
        """Nothing is answered for while some of it is not taken in."""
        return (-1, -1) if self.backlog else (n, n)

    # ---- asked by the router

    def check_lease(self):
        """Before each decision and answer: a process that was paused learns here that its lease is over."""
        self.guard.at(self.steady())
        state = self.guard.state()
        if state != self.lease_state:
            before, self.lease_state = self.lease_state, state
            self.log(
                "purges: lease held" if state == CURRENT else "purges: without a lease, fenced",
                level="info" if state == CURRENT else "warn",
                was=before,
                now=state,
            )

    def judge_result(self, result, request, started_at):
        """The end as it counts: a copy that a purge has made old is as good as none.

        Only of kinds that may run again: that the others ran is true whatever the age of what came.
        """
        if request.kind not in self.guarded_kinds:
            return result
        now = self.router.now()
        tags = None if result.tags is None else read_tags(result.tags)
        if self.guard.shut() or self.guard.judge(
            now, started_at, request.kind, request.object, request.group, result.issued_at, tags
        ):
            self.count("copies_refused")
            return result._replace(outcome=interface.MISSING, pieces=(), length=0, storable_issued_at=None)
        return result

    def gauges(self):
        return {
            "purges_live": len(self.guard.index),
            "purges_sealed": self.guard.index.sealed_keys(),
            "purges_fenced": int(self.lease_state != CURRENT),
            "tags_held": len(self.guard.tags.rows),
        }

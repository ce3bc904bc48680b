"""Fleet-wide purges in one router: the guard, updated by the purge feed, and the check of answers."""

import traceback
from collections import deque
from time import perf_counter

from twisted.internet.defer import Deferred

from .. import interface
from ..clock import steady as boot_time
from ..clock import unix_seconds
from ..feed.purges import PurgeFeed
from ..purges import Guard, wire
from ..purges.fence import CURRENT
from ..purges.names import Kept
from ..purges.tags import Listed, read_tags
from ..site import follow_addresses, purge_terms
from .start import pattern_memory

# Seconds of applying purges at a time: a full snapshot takes seconds, and lookups must not wait.
MAX_STEP_DURATION = 0.005


def purge_feed(
    reactor, deadlines, handler, purges, name, log, count, paced, wall=unix_seconds, steady=boot_time
):
    """A router's purge feed as configured by [purges], not started.

    handler: see PurgeFeed; with paced, that is with [admission], it also needs lease_left().
    """
    feed = PurgeFeed(
        reactor,
        deadlines,
        handler,
        follow_addresses(purges),
        purges,
        name,
        log,
        count,
        wall=wall,
        steady=steady,
    )
    if paced:
        feed.pace()
    return feed


class Purging:
    """Applies the purges of the feed to the guard and tracks the lease."""

    def __init__(self, start, reactor, deadlines, router, log, count, steady, stopwatch=perf_counter):
        """steady: see Router, None for the system clock; stopwatch: in seconds, measures each step."""
        purges = start.purges
        self.deadlines, self.stopwatch = deadlines, stopwatch
        # Purges received but not applied yet; bounded by the desk's maximum of live purges.
        self.backlog = deque()
        self.steady = steady or boot_time
        self.router, self.log, self.count = router, log, count
        self.guarded_kinds = frozenset(
            kind.name
            for kind in start.terms.kinds
            if kind.idempotency == interface.IDEMPOTENT and not kind.write
        )
        tags = None if start.tags is None else Listed(start.tags)
        terms = purge_terms(purges, pattern_memory(start.memory, start.sockets))
        self.guard = Guard(terms, tags, self.guarded_kinds)
        self.feed = purge_feed(
            reactor,
            deadlines,
            self,
            purges,
            start.name,
            log,
            count,
            paced=start.paced,
            wall=router.clock.seconds,
            steady=self.steady,
        )
        self.lease_state = self.guard.state()

    def lease_left(self):
        """Remaining time of the lease, in tenths of a millisecond."""
        self.guard.at(self.steady())
        return self.guard.left()

    # ---- callbacks of the feed

    def on_epoch(self, epoch):
        """Ignored: the feed keeps the epoch itself."""

    def on_purges(self, purges):
        """Queues purges, in order, and applies them in steps of limited duration."""
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
            self._apply(now, self.backlog.popleft())
        self.feed.renew_soon()

    def _apply(self, now, purge):
        self.count("purges_told")
        try:
            kept = self.guard.told(now, purge)
            if self.router.warming_observer is not None:
                self.router.warming_observer.on_fleet_purge(purge)
        except Exception:  # the purge will be acknowledged all the same: it has to bind
            self.count("purges_failed")
            self.log("purge could not be applied", traceback.format_exc(), level="error")
            self.guard.told_of_every_name(now, purge)
            kept = Kept.EVERY_NAME
        if kept is Kept.EVERY_NAME:
            self.count("purges_of_every_name")
            self.log(
                "purge counts against every name",
                level="warn",
                number=wire.number(purge),
                sort=purge.kind,
            )

    def adopt(self, state):
        """Merges a sealed slice in steps, so that lookups go on in between; returns a Deferred that fires at
        the end.
        """
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
        except Exception:  # the slice is fetched and merged again: without it there is no lease
            done.errback()
            return
        self.count("slices_taken")
        done.callback(None)

    def on_snapshot(self, purges, newest):
        """Applies a full list of live purges."""
        self.on_purges(purges)  # purges known before stay: they only make the bounds stricter

    def on_grant(self, requested_at, wall, duration, desk_wall):
        """The lease was renewed. requested_at and wall: steady and wall time of the request;
        duration: of the lease, from requested_at on; desk_wall: wall time at the desk.
        """
        now = self.router.now()
        self.guard.clock(wall, now, desk_wall)
        self.guard.granted(requested_at, duration)
        self.check_lease()

    def acknowledged(self, n):
        """Position to acknowledge as (applied here, applied by all); (-1, -1) while purges wait to be
        applied.
        """
        return (-1, -1) if self.backlog else (n, n)

    # ---- queried by the router

    def check_lease(self):
        """Checks the lease; called before each decision and answer, so that a process that was paused notices
        at once that its lease has expired.
        """
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
        """The result of a send, or MISSING if a purge makes the copy too old.

        Only for kinds that may run again: for the others it is true that the lookup ran, whatever the age of
        the answer.
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
        """Gauges of purges and tags, by name."""
        return {
            "purges_live": len(self.guard.index),
            "pattern_bytes": self.guard.index.patterns.memory_used(),
            "purges_sealed": self.guard.index.sealed_keys(),
            "purges_fenced": int(self.lease_state != CURRENT),
            "tags_held": len(self.guard.tags.rows),
        }

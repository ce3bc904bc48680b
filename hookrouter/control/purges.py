"""Recorded purges, and from them the greatest age that a copy may have."""

from math import inf

from .. import interface
from ..terms import SECOND

# An event of the feed counts as delivered by then, whether it was heard or not (protocol page, Figures).
NOTIFICATION_LIMIT = 7 * SECOND
PURGE_SLACK = 2  # time units lost to rounding when a purge is announced and when it is applied


class Purges:
    """Purges of objects and groups; guard: fleet-wide purges, None where they are off."""

    def __init__(self, state, terms, guard):
        self.state, self.kinds, self.purge_duration = state, terms.kinds, terms.purge_duration
        self.guard = guard
        self.purged = {}  # object or group -> time of its purge; in order of recording
        self.missed_at = 0  # when the feed last told something that may have been any purge
        self.heard_at = None  # until when the feed has told all; None: there is no feed to wait for
        # A purge of this age binds by the rule although it was not heard.
        self.unheard_age = NOTIFICATION_LIMIT + terms.purge_grace
        self.was_unheard = False  # whether the log says that the feed is not heard

    def record(self, target, purged_at):
        """Records a purge of an object or group, and forgets purges that have been applied everywhere."""
        self.purged[target] = max(purged_at, self.purged.pop(target, purged_at))
        for other in list(self.purged):
            if self.state.now - self.purged[other] <= 2 * self.purge_duration:
                break
            del self.purged[other]  # no older copy is left in any cache

    def newest_purge(self, lookup):
        """Time of the newest purge recorded for this object or its group, 0 if there is none."""
        recorded = max(self.purged.get(lookup.object, 0), self.purged.get(lookup.group, 0))
        return max(recorded, self._missed_purge())

    def _missed_purge(self):
        """Time of the newest purge that may have been missed, 0 once it has been applied everywhere."""
        return self.missed_at if self.state.now - self.missed_at <= 2 * self.purge_duration else 0

    def on_feed_heard(self, age):
        """The feed had told all that it had to tell so long ago at most."""
        self.heard_at = max(self.heard_at or 0, self.state.now - age)
        if self.was_unheard and not self.earliest_heard():
            self.was_unheard = False
            self.state.emit(interface.Log("feed is heard again, own copies of any age are given"))

    def on_events_missed(self):
        """Any object may have been purged up to now."""
        self.missed_at = self.state.now

    def earliest_heard(self):
        """Copies made before this time may have been purged without this router's hearing of it; 0: none.

        While the feed is not heard, each purge binds once it counts as delivered and its grace is over.
        """
        if self.heard_at is None or self.state.now - self.unheard_age <= self.heard_at:
            return 0
        if not self.was_unheard:
            self.was_unheard = True
            self.state.emit(interface.Log("feed is not heard, older own copies are not given"))
        return self.state.now - self.unheard_age

    def max_age(self, lookup):
        """The greatest acceptable age of a copy; 0: any. Never 0 for a purged object."""
        kind, now = self.kinds[lookup.kind_index], self.state.now
        # Where no fill is possible, a copy within the stale grace is worth more than none.
        bounds = (
            [kind.fresh_duration + kind.stale_grace * (lookup.hits_only or lookup.send_count > 1)]
            if kind.fresh_duration
            else []
        )
        for target in (lookup.object, lookup.group):
            purged_at = self.purged.get(target)
            if purged_at is not None and now - purged_at <= 2 * self.purge_duration:
                bounds.append(max(1, now - purged_at - PURGE_SLACK))
        if self.purge_duration > self.unheard_age and self.earliest_heard():
            bounds.append(self.unheard_age)  # else the caches have applied what was not heard
        if self.guard is not None and not kind.write:
            bounds.append(max(1, now - self.earliest_allowed(lookup, first_send=lookup.send_count == 1)))
        return min(bounds, default=0)

    def earliest_allowed(self, lookup, first_send=False):
        """Earliest time at which a usable copy may have been made, by fleet-wide purges; inf: none is."""
        if self.guard is None:
            return 0
        if self.guard.shut():
            return inf
        return self.guard.oldest(
            self.state.now, self.kinds[lookup.kind_index].name, lookup.object, lookup.group, first_send
        )

    def fenced(self, kind):
        """Whether fleet-wide purges forbid any answer of this kind now."""
        return self.guard is not None and not kind.write and self.guard.shut()

"""Purges: what was told, and from it the age of a copy that will do."""

from math import inf

PURGE_SLACK = 2  # units lost to rounding when a purge is told and when it is applied


class Purges:
    def __init__(self, beliefs, terms, guard):
        self.b, self.kinds, self.done = beliefs, terms.kinds, terms.purge_duration
        self.guard = guard  # of fleet-wide purges, where these are on: which copies may answer
        self.purged = {}  # object or group -> when purged, the newest news last

    def told(self, name, made):
        self.purged[name] = max(made, self.purged.pop(name, made))
        for old in list(self.purged):  # oldest news first
            if self.b.now - self.purged[old] <= 2 * self.done:
                break
            del self.purged[old]  # no older copy is left anywhere

    def newest(self, lk):
        return max(self.purged.get(lk.object, 0), self.purged.get(lk.group, 0))

    def oldest(self, lk):
        """The age that will do. Never 0 for a purged object: that would mean any copy."""
        kind, now = self.kinds[lk.kind_index], self.b.now
        # Where no fill is to be had, a copy within the grace earns more than none.
        bounds = (
            [kind.fresh_duration + kind.stale_grace * (lk.hits_only or lk.send_count > 1)]
            if kind.fresh_duration
            else []
        )
        for name in (lk.object, lk.group):
            made = self.purged.get(name)
            if made is not None and now - made <= 2 * self.done:
                bounds.append(max(1, now - made - PURGE_SLACK))
        if self.guard is not None and not kind.write:
            bounds.append(max(1, now - self.guarded(lk, first_send=lk.send_count == 1)))
        return min(bounds, default=0)

    def guarded(self, lk, first_send=False):
        """No copy from before that may answer, by fleet-wide purges."""
        if self.guard is None:
            return 0
        if self.guard.shut():
            return inf
        return self.guard.oldest(self.b.now, self.kinds[lk.kind_index].name, lk.object, lk.group, first_send)

    def fenced(self, kind):
        return self.guard is not None and not kind.write and self.guard.shut()

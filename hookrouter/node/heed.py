"""What one router notes for the warming of caches: lookups, the list of caches, purges; only with [warming].

On a lookup's path it costs one look-up in a table. It decides nothing.
"""

from .. import interface
from ..decisions.warming import RecentPurges, Sketch
from ..decisions.warming.sketch import HALVING_INTERVAL
from ..terms import SECOND

BYTES = 1_000  # of a KB as clients tell sizes
MEAN = 100_000  # bytes of an object whose size is not told, until one is
BLEND = 1 / 64
PAST = 30 * SECOND  # by then a cache that joined holds what is asked for
MOST_DROPPED = 4_096  # purges of the platform's feed, each with its time


class Heed:
    """on_list(before): called after each list, with the rows of before; on_late(late): after each answer."""

    def __init__(self, router, tags=None):
        self.router, self.terms = router, router.terms
        self.sketch, self.purged = Sketch(), RecentPurges(tags)
        self.halve_at, self.halved = 0, lambda now: None
        self.mean, self.caches, self.since, self.dropped = MEAN, {}, {}, {}
        self.on_list = self.on_late = self.on_sent = None
        control, now = router.control, router.now()
        for name, n in control.row_by_id.items():  # what was known at the start came before this was there
            if control.phase[n] != interface.GONE:
                cache = self.caches[name] = interface.Cache(
                    name,
                    control.zone[n],
                    control.cell[n],
                    control.weight[n],
                    control.cold.born[n],
                    control.phase[n],
                    control.machine_type[n],
                )
                self.since[name] = now if self.cold(cache, now) else 0

    def asked(self, asked, now):
        """A lookup came from a client."""
        kind = self.router.kinds[asked.kind]
        if kind.idempotency != interface.IDEMPOTENT or kind.write:
            return
        size = int(asked.size * BYTES)
        if size:
            self.mean += BLEND * (size - self.mean)
        self.sketch.record((asked.kind, asked.object, asked.part), size, asked.group)
        if now >= self.halve_at:
            if self.halve_at:
                self.sketch.halve()
                self.halved(now)
            self.halve_at = now + HALVING_INTERVAL

    def listed(self, event, first):
        """The feed's list: caches of this router's deployment, with where and what they are."""
        before, now = dict(self.caches), self.router.now()
        if event.whole:
            self.caches = {}
        for cache in event.caches:
            if cache.phase == interface.GONE:
                self.caches.pop(cache.id, None)
            else:
                self.caches[cache.id] = cache
        for name, cache in self.caches.items():
            old = before.get(name)
            if old is None or cache.born > old.born:
                self.since[name] = 0 if first and not self.cold(cache, now) else now
        self.since = {name: at for name, at in self.since.items() if name in self.caches}
        if self.on_list is not None and not first:
            self.on_list(before)

    def told(self, purge):
        """One of the fleet-wide purges, in their order."""
        self.purged.add(purge)

    def dropped_at(self, event, made):
        """A purge of the platform's own feed: without a number, so it counts by its time."""
        self.dropped[event.object if event.object is not None else event.group] = made
        if len(self.dropped) > MOST_DROPPED:
            del self.dropped[next(iter(self.dropped))]

    def sent(self, cache, size):
        if self.on_sent is not None:
            self.on_sent(cache, int(size * BYTES))

    def answered(self, end, asked, took):
        """Late beyond its budget, or not at all."""
        kind = self.router.kinds[asked.kind]
        if self.on_late is not None and not kind.write:
            pure = (asked.size * BYTES or self.mean) / (self.terms.topology.answer_rate / 10)
            self.on_late(end == interface.LATE or took > kind.latency_budget + kind.budget_stretch * pure)

    # ---- asked by the executor

    def cold(self, cache, now):
        span = (
            self.terms.parent_cold_duration
            if cache.machine_type == self.terms.topology.parent_machine_type
            else self.terms.cold_duration
        )
        return bool(cache.born) and now < cache.born + span

    def edges(self, zone, now, settled=False):
        """Ids of the zone's ready caches, in order; settled: only those that were there half a minute ago."""
        top = self.terms.topology
        return tuple(
            sorted(
                name
                for name, one in self.caches.items()
                if one.zone == zone
                and one.phase == interface.READY
                and one.machine_type not in (top.parent_machine_type, top.origin_machine_type)
                and not (settled and self.since.get(name, 0) > now - PAST)
            )
        )

    def parents(self, now):
        return tuple(
            sorted(
                name
                for name, one in self.caches.items()
                if one.machine_type == self.terms.topology.parent_machine_type
                and one.phase == interface.READY
                and not self.cold(one, now)
            )
        )

    def age(self, kind, object, group, now):
        """The age that will do for a copy of it, tenths of a millisecond; never 0 for what was purged."""
        bounds = [kind.fresh_duration] if kind.fresh_duration else []
        for name in (object, group):
            if name in self.dropped:
                bounds.append(max(1, now - self.dropped[name] - 2))
        if self.router.guard is not None:
            bounds.append(max(1, now - self.router.guard.oldest(now, kind.name, object, group)))
        return min(bounds, default=0)

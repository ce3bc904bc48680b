"""What one router notes for the warming of caches: lookups, the list of caches, purges; only with [warming].

On a lookup's path it costs one look-up in a table. It decides nothing.
"""

from .. import interface
from ..decisions.warming import RecentPurges, Sketch
from ..decisions.warming.sketch import HALVING_INTERVAL
from ..terms import SECOND

BYTES_PER_KB = 1_000  # of a KB as clients tell sizes
DEFAULT_MEAN_SIZE = 100_000  # bytes of an object whose size is not told, until one is
MEAN_SIZE_WEIGHT = 1 / 64
SETTLED_DURATION = 30 * SECOND  # by then a cache that joined holds what is asked for
MAX_PLATFORM_PURGES = 4_096  # purges of the platform's feed, each with its time


class WarmingObserver:
    """on_list(before): called after each list, with the rows of before; on_late(late): after each answer."""

    def __init__(self, router, tags=None):
        self.router, self.terms = router, router.terms
        self.sketch, self.fleet_purges = Sketch(), RecentPurges(tags)
        self.next_halving, self.on_halved = 0, lambda now: None
        self.mean_size, self.caches, self.ready_since, self.platform_purges = DEFAULT_MEAN_SIZE, {}, {}, {}
        self.on_list = self.on_late = self.on_sent = None
        control, now = router.control, router.now()
        for name, row in control.row_by_id.items():  # what was known at the start came before this was there
            if control.phase[row] != interface.GONE:
                cache = self.caches[name] = interface.Cache(
                    name,
                    control.zone[row],
                    control.cell[row],
                    control.weight[row],
                    control.cold.born[row],
                    control.phase[row],
                    control.machine_type[row],
                )
                self.ready_since[name] = now if self.is_cold(cache, now) else 0

    def on_lookup(self, request, now):
        """A lookup came from a client."""
        kind = self.router.kinds[request.kind]
        if kind.idempotency != interface.IDEMPOTENT or kind.write:
            return
        size = int(request.size * BYTES_PER_KB)
        if size:
            self.mean_size += MEAN_SIZE_WEIGHT * (size - self.mean_size)
        self.sketch.record((request.kind, request.object, request.part), size, request.group)
        if now >= self.next_halving:
            if self.next_halving:
                self.sketch.halve()
                self.on_halved(now)
            self.next_halving = now + HALVING_INTERVAL

    def on_cache_list(self, event, first):
        """The feed's list: caches of this router's deployment, with where and what they are."""
        before, now = dict(self.caches), self.router.now()
        if event.snapshot:
            self.caches = {}
        for cache in event.caches:
            if cache.phase == interface.GONE:
                self.caches.pop(cache.id, None)
            else:
                self.caches[cache.id] = cache
        for name, cache in self.caches.items():
            previous = before.get(name)
            if previous is None or cache.born > previous.born:
                self.ready_since[name] = 0 if first and not self.is_cold(cache, now) else now
        self.ready_since = {
            name: ready_at for name, ready_at in self.ready_since.items() if name in self.caches
        }
        if self.on_list is not None and not first:
            self.on_list(before)

    def on_fleet_purge(self, purge):
        """One of the fleet-wide purges, in their order."""
        self.fleet_purges.add(purge)

    def on_platform_purge(self, event, purged_at):
        """A purge of the platform's own feed: without a number, so it counts by its time."""
        self.platform_purges[event.object if event.object is not None else event.group] = purged_at
        if len(self.platform_purges) > MAX_PLATFORM_PURGES:
            del self.platform_purges[next(iter(self.platform_purges))]

    def on_send(self, cache, size):
        if self.on_sent is not None:
            self.on_sent(cache, int(size * BYTES_PER_KB))

    def on_result(self, outcome, request, duration):
        """Late beyond its budget, or not at all."""
        kind = self.router.kinds[request.kind]
        if self.on_late is not None and not kind.write:
            transfer_time = (request.size * BYTES_PER_KB or self.mean_size) / (
                self.terms.topology.answer_rate / 10
            )
            self.on_late(
                outcome == interface.LATE
                or duration > kind.latency_budget + kind.budget_stretch * transfer_time
            )

    # ---- asked by the executor

    def is_cold(self, cache, now):
        cold_duration = (
            self.terms.parent_cold_duration
            if cache.machine_type == self.terms.topology.parent_machine_type
            else self.terms.cold_duration
        )
        return bool(cache.born) and now < cache.born + cold_duration

    def ready_caches(self, zone, now, settled=False):
        """Ids of the zone's ready caches, in order; settled: only those that were there half a minute ago."""
        topology = self.terms.topology
        return tuple(
            sorted(
                name
                for name, cache_row in self.caches.items()
                if cache_row.zone == zone
                and cache_row.phase == interface.READY
                and cache_row.machine_type not in (topology.parent_machine_type, topology.origin_machine_type)
                and not (settled and self.ready_since.get(name, 0) > now - SETTLED_DURATION)
            )
        )

    def warm_parents(self, now):
        return tuple(
            sorted(
                name
                for name, cache_row in self.caches.items()
                if cache_row.machine_type == self.terms.topology.parent_machine_type
                and cache_row.phase == interface.READY
                and not self.is_cold(cache_row, now)
            )
        )

    def max_copy_age(self, kind, object, group, now):
        """The age that will do for a copy of it, tenths of a millisecond; never 0 for what was purged."""
        bounds = [kind.fresh_duration] if kind.fresh_duration else []
        for name in (object, group):
            if name in self.platform_purges:
                bounds.append(max(1, now - self.platform_purges[name] - 2))
        if self.router.guard is not None:
            bounds.append(max(1, now - self.router.guard.oldest(now, kind.name, object, group)))
        return min(bounds, default=0)

"""Records what cache warming needs to know about one router; loaded only with [warming].

It tracks object popularity, the cache list and purges, at the cost of one table access per lookup. It makes
no decisions.
"""

from .. import interface
from ..decisions.warming import RecentPurges, Sketch
from ..decisions.warming.sketch import HALVING_INTERVAL
from ..terms import SECOND

BYTES_PER_KB = 1_000  # sizes in requests are in KB
DEFAULT_MEAN_SIZE = 100_000  # bytes, assumed until a client states a size
MEAN_SIZE_WEIGHT = 1 / 64
SETTLED_DURATION = 30 * SECOND  # after this time a cache that joined holds what is requested
MAX_PLATFORM_PURGES = 4_096  # purges of the platform's feed kept with their times


class WarmingObserver:
    """Observes one router.

    on_list(previous) is called after each cache list, with the rows before it; on_late(late) after each send;
    on_sent(cache, bytes) when a send starts.
    """

    def __init__(self, router, tags=None):
        """tags: see RecentPurges."""
        self.router, self.terms = router, router.terms
        self.sketch, self.fleet_purges = Sketch(), RecentPurges(tags)
        self.next_halving, self.on_halved = 0, lambda now: None
        self.mean_size, self.caches, self.listed_since, self.platform_purges = DEFAULT_MEAN_SIZE, {}, {}, {}
        self.on_list = self.on_late = self.on_sent = None
        control, now = router.control, router.now()
        # Lists known at start were applied before this object existed.
        for name, row in control.row_by_id.items():
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
                self.listed_since[name] = now if self.is_cold(cache, now) else 0

    def on_lookup(self, request, now):
        """Records a lookup from a client; only kinds that are idempotent and no writes count."""
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
        """Applies a cache list event of the feed. first: it is the first list of this process."""
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
                self.listed_since[name] = 0 if first and not self.is_cold(cache, now) else now
        self.listed_since = {name: since for name, since in self.listed_since.items() if name in self.caches}
        if self.on_list is not None and not first:
            self.on_list(before)

    def on_fleet_purge(self, purge):
        """Records a fleet-wide purge; these come in their order."""
        self.fleet_purges.add(purge)

    def on_platform_purge(self, event, purged_at):
        """Records a purge of the platform's feed. It has no number, so it is kept by its time."""
        self.platform_purges[event.object if event.object is not None else event.group] = purged_at
        if len(self.platform_purges) > MAX_PLATFORM_PURGES:
            del self.platform_purges[next(iter(self.platform_purges))]

    def on_send(self, cache, size):
        """Reports the size in bytes of a send that starts; size is in KB, 0 if unknown."""
        if self.on_sent is not None:
            self.on_sent(cache, int(size * BYTES_PER_KB))

    def on_result(self, outcome, request, duration):
        """Reports whether a send timed out or exceeded the latency budget of its kind."""
        kind = self.router.kinds[request.kind]
        if self.on_late is not None and not kind.write:
            transfer_time = (request.size * BYTES_PER_KB or self.mean_size) / (
                self.terms.topology.answer_rate / 10
            )
            self.on_late(
                outcome == interface.LATE
                or duration > kind.latency_budget + kind.budget_stretch * transfer_time
            )

    # ---- queried by the execution of warmings

    def is_cold(self, cache, now):
        """Whether a cache started so recently that it has not reached full capacity."""
        cold_duration = (
            self.terms.parent_cold_duration
            if cache.machine_type == self.terms.topology.parent_machine_type
            else self.terms.cold_duration
        )
        return bool(cache.born) and now < cache.born + cold_duration

    def ready_caches(self, zone, now, settled=False):
        """Sorted ids of the zone's ready caches without parents and origin. settled: only those known for at
        least SETTLED_DURATION.
        """
        topology = self.terms.topology
        return tuple(
            sorted(
                name
                for name, cache_row in self.caches.items()
                if cache_row.zone == zone
                and cache_row.phase == interface.READY
                and cache_row.machine_type not in (topology.parent_machine_type, topology.origin_machine_type)
                and not (settled and self.listed_since.get(name, 0) > now - SETTLED_DURATION)
            )
        )

    def warm_parents(self, now):
        """Sorted ids of the ready parents that are not cold."""
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
        """Maximum acceptable age of a copy in tenths of a millisecond, 0 for no limit.

        It is at least 1 for an object that was purged, because 0 would allow any age.
        """
        bounds = [kind.fresh_duration] if kind.fresh_duration else []
        for name in (object, group):
            if name in self.platform_purges:
                bounds.append(max(1, now - self.platform_purges[name] - 2))
        if self.router.guard is not None:
            bounds.append(max(1, now - self.router.guard.oldest(now, kind.name, object, group)))
        return min(bounds, default=0)

"""State that a router shares with its fleet, and what it adopts from neighbours at start.

Makes no decisions: it copies rows out of the arrays of Control and, at start, into them.
"""

from ..decisions.sharing import protocol, soft_state
from .cache_loads import CacheLoads

NEIGHBOUR_WEIGHT = 0.5  # weight of the neighbours' averages at start, beside the own ones


class SharedState:
    """The state argument of fleet.member.sharing.Sharing for one router."""

    def __init__(self, router):
        """router: the node's Router; its cache_loads is set here."""
        self.router, self.control = router, router.control
        self.cache_loads = router.cache_loads = CacheLoads()
        self.health, self.times, self.cold = (
            router.control.health,
            router.control.times,
            router.control.cold,
        )

    def loads(self, now):
        """Loads by cache, see CacheLoads.sample."""
        return self.cache_loads.sample(now)

    def listed(self):
        """Whether the feed has sent a cache list: without it rows of neighbours cannot be assigned."""
        return self.router.has_cache_list

    def wait(self, waiting):
        """Sets whether this router reports that it is not ready yet."""
        self.router.waiting_for_neighbours = waiting

    def learnt(self):
        """soft_state.SoftState: what this router knows about caches and answer times."""
        control, now, soft_rows = self.control, self.router.now(), []
        for name, row in control.row_by_id.items():
            if name not in self.cache_loads.listed_caches or not control.last_answer_at[row]:
                continue
            duration, refused = self.cache_loads.answer_stats.get(name, (0.0, 0.0))
            born = self.cold.born[row]
            soft_rows.append(
                protocol.CacheState(
                    name,
                    min(1_000, self.health.failures[row]),
                    bool(self.cold.presumed_dead[row]),
                    duration,
                    min(1.0, refused),
                    max(0, now - born) if born else -1,
                    max(0, now - control.last_answer_at[row]),
                )
            )
        kind_times = [
            protocol.KindTimes(
                name, max(0.0, self.times.average[kind_index]), max(0.0, self.times.deviation[kind_index]), 0
            )
            for name, kind_index in control.kind_indexes.items()
        ]
        return soft_state.SoftState(soft_rows[: soft_state.MAX_CACHES], kind_times[: soft_state.MAX_KINDS])

    def adopt(self, lent_states):
        """Merges the SoftState of several neighbours into Control; returns the number of rows adopted."""
        merged, control = soft_state.adopted(lent_states), self.control
        for cache, strikes in merged.failures.items():
            row = control.row_by_id.get(cache)
            if row is not None:
                self.health.failures[row] = max(self.health.failures[row], strikes)
                self.cache_loads.answer_stats.setdefault(
                    cache, [merged.answer_times[cache], merged.refused_shares[cache]]
                )
        for kind, (average, deviation) in merged.kind_times.items():
            kind_index = control.kind_indexes.get(kind)
            if kind_index is not None:
                self.times.average[kind_index] += NEIGHBOUR_WEIGHT * (
                    average - self.times.average[kind_index]
                )
                self.times.deviation[kind_index] += NEIGHBOUR_WEIGHT * (
                    deviation - self.times.deviation[kind_index]
                )
        return len(merged.failures) + len(merged.kind_times)

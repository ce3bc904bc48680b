"""Load limit of cold caches: those that started recently, or were silent, get only what they can bear.

Routers share that capacity without communication: work is released in turns, which go round all routers.
"""

from ..tables.turn_order import turn_position

# Share of the overload multiple at which turns are released. Windows limit late answers, and most caches
# start with more capacity and warm up sooner than stated.
COLD_PACE = 0.5
COLD_BURST = 0.75  # share of the reserve between pace and multiple open at once; the rest absorbs chance


class Cold:
    """Tracks cold caches and parents, and this router's credit of work for each.

    Work is in tenths of a millisecond of a full-rate answer. born: start of a cache, 0 if it is warm;
    presumed_dead: it was silent for so long that it may have restarted.
    """

    def __init__(self, state, terms, health):
        self.state, self.health = state, health
        self.born, self.credit, self.last_turn, self.presumed_dead = map(
            state.add_column, (0, 0.0, -1, False)
        )
        self.topology, self.overload_duration, self.routers = (
            terms.topology,
            terms.overload_duration,
            max(1, terms.topology.routers),
        )
        self.turn_work = max([1.0, *(kind.latency_budget for kind in terms.kinds if not kind.write)])
        edges = terms.cold_share, terms.cold_duration, terms.overload_multiple
        parents = terms.parent_cold_share, terms.parent_cold_duration, terms.parent_overload_multiple
        self.limits_by_tier = (
            self._limits(*edges, self.topology.zone_routers),
            self._limits(*parents, self.routers),
        )

    def _limits(self, share, duration, multiple, sharing_routers):
        """Returns (share of capacity at the start, time to full capacity, turns per time unit at full
        capacity, turns for which a turn stays open).
        """
        # A router's share may be under one lookup, so work is released in turns, which lapse if unused.
        turns = self.routers / (sharing_routers * self.turn_work)
        pace = multiple * COLD_PACE
        return (
            share,
            max(1, duration),
            pace * turns,
            (multiple - pace) * COLD_BURST * self.overload_duration * turns,
        )

    def start(self, row, born, at_router_start=False):
        """Marks a cache as cold and healthy, without credit. at_router_start: the turn that is open now may
        have been spent by the router's previous run, so it is skipped.
        """
        self.born[row], self.last_turn[row], self.presumed_dead[row] = born, -1, False
        if at_router_start:
            self.affords(row, 0.0)
        self.credit[row] = 0.0
        self.health.restore(row)

    def limits_in_force(self, row):
        """The cold limits that apply to this cache now, None if it is warm."""
        machine_type, born = self.state.machine_type[row], self.born[row]
        limits = self.limits_by_tier[machine_type == self.topology.parent_machine_type]
        warm = (
            not born
            or self.state.now >= born + limits[1]
            or machine_type == self.topology.origin_machine_type
        )
        return None if warm else limits

    def affords(self, row, cost):
        """Whether the cache is warm or this router has enough credit left for work of this cost."""
        state, limits = self.state, self.limits_in_force(row)
        if limits is None:
            return True
        if (
            cost
            and state.fleet_view is not None
            and (granted := state.fleet_view.allowance(state.cache_ids[row], state.now, cost)) is not None
        ):
            return granted  # shares as agreed within the fleet
        share, duration, pace, burst = limits
        age = max(0, state.now - self.born[row])
        capacity = state.weight[row] * (share + (1 - share) * age / duration)
        # Since its start, for all routers.
        turns_opened = pace * age * (capacity + state.weight[row] * share) / 2
        turn, turns_since = divmod(
            turns_opened - turn_position(self.topology.number, self.routers), self.routers
        )
        if turn < 0 or turns_since > burst * capacity:
            return False
        if self.last_turn[row] != turn:
            self.last_turn[row], self.credit[row] = (
                turn,
                min(self.turn_work, self.credit[row] + self.turn_work),
            )
        return self.credit[row] >= min(cost, self.turn_work)

    def spend(self, row, cost):
        """Charges the cost of a send; the credit of a warm cache is never read."""
        self.credit[row] -= cost

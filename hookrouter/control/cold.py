"""Cold budget: what started lately, or was silent, takes what it can bear, the routers in turns."""

from ..tables.turn_order import turn_position

COLD_PACE = 0.5  # of the multiple: most start higher and warm sooner than stated; windows guard the answers
COLD_BURST = 0.75  # of the reserve between pace and multiple may stand open at once: the rest is for chance


class Cold:
    def __init__(self, beliefs, terms, health):
        self.b, self.health = beliefs, health
        self.born, self.purse, self.turn, self.lost = map(beliefs.add_column, (0, 0.0, -1, False))
        self.top, self.fall, self.routers = (
            terms.topology,
            terms.overload_duration,
            max(1, terms.topology.routers),
        )
        self.lump = max([1.0, *(kind.latency_budget for kind in terms.kinds if not kind.write)])
        edges = terms.cold_share, terms.cold_duration, terms.overload_multiple
        parents = terms.parent_cold_share, terms.parent_cold_duration, terms.parent_overload_multiple
        self.terms = self._terms(*edges, self.top.zone_routers), self._terms(*parents, self.routers)

    def _terms(self, share, span, multiple, users):
        """Share at first, time to full, turns in a tenth of full capacity, for how many a turn stays open."""
        # A router's share may be under one lookup: lumps of work go out in turns, which lapse where unused.
        turns = self.routers / (users * self.lump)
        pace = multiple * COLD_PACE
        return share, max(1, span), pace * turns, (multiple - pace) * COLD_BURST * self.fall * turns

    def start(self, n, born, known=False):
        """Its past is void, its budget empty; known: at a router's start, when the open turn may be spent."""
        self.born[n], self.turn[n], self.lost[n] = born, -1, False
        if known:
            self.affords(n, 0.0)
        self.purse[n] = 0.0
        self.health.restore(n)

    def now(self, n):
        """The cold terms in force for this cache, or none once it must be warm."""
        sort, born = self.b.machine_type[n], self.born[n]
        terms = self.terms[sort == self.top.parent_machine_type]
        warm = not born or self.b.now >= born + terms[1] or sort == self.top.origin_machine_type
        return None if warm else terms

    def affords(self, n, cost):
        """No cold cache pushed over: what it can bear is handed out in turns, a lump of work each."""
        b, terms = self.b, self.now(n)
        if terms is None:
            return True
        if (
            cost
            and b.fleet_view is not None
            and (said := b.fleet_view.allowance(b.cache_ids[n], b.now, cost)) is not None
        ):
            return said  # by this router's share of what the fleet may send
        share, span, pace, burst = terms
        age = max(0, b.now - self.born[n])
        able = b.weight[n] * (share + (1 - share) * age / span)
        handed = pace * age * (able + b.weight[n] * share) / 2  # turns since its start, to all routers
        mine, since = divmod(handed - turn_position(self.top.number, self.routers), self.routers)
        if mine < 0 or since > burst * able:
            return False
        if self.turn[n] != mine:
            self.turn[n], self.purse[n] = mine, min(self.lump, self.purse[n] + self.lump)
        return self.purse[n] >= min(cost, self.lump)

    def spend(self, n, cost):
        self.purse[n] -= cost  # of a warm one nobody looks at it

"""Placing: target and source of a send, by the hash that all routers share and by what is least busy."""

from hashlib import blake2b

PART_CANDIDATES = 2  # caches; the design's figure for parts. Beyond them nothing is kept of any name
WHOLE_CANDIDATES = 1  # caches; the design's figure for whole objects
LEAD = 2.0  # times busier must the top cache be before the next one is: every move costs a second copy
IDLE_SHARE = 1.0  # of a cache's link, in sends at full pace: sends below that do not slow each other
IDLE_LEAST = 2.0  # sends of this router out: fewer meet by chance and tell nothing of what others have out
CLEARLY = 4.0  # times wider is the next parent's window: two cuts apart, which chance alone seldom makes


class Placing:
    def __init__(self, control, terms):
        self.c, self.terms = control, terms
        self.idle = IDLE_SHARE / terms.topology.zone_routers

    def rank(self, name, caches):
        """Caches by the shared hash of a name with their ids: the same order on every router."""
        ids = self.c.cache_ids
        return sorted(caches, key=lambda n: blake2b((name + ids[n]).encode(), digest_size=8).digest())

    def pick(self, lk):
        """Target and source of the next send; no target where nothing is left to try."""
        c, affords, usable, room = self.c, self.c.cold.affords, self.c.health.usable, self.c.windows.room
        kind, cost = self.terms.kinds[lk.kind_index], c.times.mean_work[lk.kind_index]
        ranked = [
            n for n in self.rank(lk.placement_key, c.edges) if n not in lk.tried_caches and affords(n, cost)
        ]
        # Where all that is left is set aside, that still beats nothing; not where well ones are busy.
        well = [n for n in ranked if usable(n)] or [n for n in ranked if not c.cold.lost[n]]
        fit = [n for n in well[:PART_CANDIDATES] if kind.write or c.windows.open(n, lk)]
        if well and not fit:
            return None, None  # whatever takes it would answer late, and make others late
        parents = [n for n in self.rank(lk.placement_key, c.parents) if affords(n, cost)]
        again = [] if lk.fill_refused else lk.tried_sources  # what refused a fetch may still hold the copy
        parents.sort(key=lambda n: (not usable(n), n in again))  # stable: else the hash's order
        # One slow parent is left for the next while its window is under a send and the other's clearly wider;
        # where the links or the origin are narrow all windows are, and the hash's order holds.
        if len(parents) > 1 and room[parents[0]] < min(1, room[parents[1]] / CLEARLY):
            del parents[0]
        source = ((parents if parents and usable(parents[0]) else c.origins or parents) or [None])[0]
        if fit:
            top = fit if kind.in_parts else fit[:WHOLE_CANDIDATES]
            lead = LEAD if c.fleet_view is None else c.fleet_view.lead(lk.placement_key)
            target = min(top, key=lambda n: self.load(n) * (1 if n == top[0] else lead))
            return target, target if source is None else source
        if (
            self.terms.may_bypass_caches and source is not None and not lk.bypassed_caches
        ):  # past the caches, once
            lk.bypassed_caches = True
            return source, (c.origins or [source])[0]  # as its own source a parent would fill nothing
        return None, None

    def load(self, n):
        """A cache not yet heard from counts as average, or it would draw all."""
        c = self.c
        if c.fleet_view is not None and (others := c.fleet_view.others(c.cache_ids[n], c.now)) is not None:
            return max(IDLE_SHARE, c.in_flight[n] + others) / c.weight[n]  # all of it, no part guessed at
        known = [] if c.last_answer_at[n] else [c.in_flight[m] for m in c.edges if c.last_answer_at[m]]
        out = max(c.in_flight[n], sum(known) / max(1, len(known)))
        return max(self.idle, max(IDLE_LEAST, out) / c.weight[n])

    def calm(self, n):
        return self.c.in_flight[n] < self.idle * self.c.weight[n]

"""Placement: target and source of a send, by a hash that all routers share and by the load of the caches."""

from hashlib import blake2b

PART_CANDIDATES = 2  # caches that may hold a part, as in the design; no others keep copies of it
WHOLE_CANDIDATES = 1  # caches that may hold a whole object, as in the design
# The first candidate must be this much busier than the next: a move costs a second copy.
MOVE_LOAD_RATIO = 2.0
IDLE_LOAD = 1.0  # full-rate answers on a cache's link: fewer do not slow each other
# With fewer sends of this router in flight, differences are chance and say nothing about other routers.
MIN_COUNTED_SENDS = 2.0
# The next parent's window must be this many times wider: two cuts apart, which chance alone seldom causes.
PARENT_WINDOW_RATIO = 4.0


class Placing:
    """Chooses the target and the source of each send."""

    def __init__(self, control, terms):
        self.control, self.terms = control, terms
        self.idle_load = IDLE_LOAD / terms.topology.zone_routers

    def rank(self, placement_key, rows):
        """Sorts caches by rendezvous hashing of the key with their ids: the same order on every router."""
        ids = self.control.cache_ids
        return sorted(
            rows, key=lambda row: blake2b((placement_key + ids[row]).encode(), digest_size=8).digest()
        )

    def pick(self, lookup):
        """Returns (target, source) of the next send; (None, None) if no cache is left to try."""
        control, affords, usable, window_size = (
            self.control,
            self.control.cold.affords,
            self.control.health.usable,
            self.control.windows.size,
        )
        kind, cost = self.terms.kinds[lookup.kind_index], control.times.mean_work[lookup.kind_index]
        ranked = [
            row
            for row in self.rank(lookup.placement_key, control.edges)
            if row not in lookup.tried_caches and affords(row, cost)
        ]
        # If only caches that are set aside remain, these are tried; not if healthy ones are merely busy.
        healthy = [row for row in ranked if usable(row)] or [
            row for row in ranked if not control.cold.presumed_dead[row]
        ]
        admitting = [
            row for row in healthy[:PART_CANDIDATES] if kind.write or control.windows.admits(row, lookup)
        ]
        if healthy and not admitting:
            return None, None  # any target would answer late and delay other lookups
        parents = [row for row in self.rank(lookup.placement_key, control.parents) if affords(row, cost)]
        retried = [] if lookup.fill_refused else lookup.tried_sources  # a source that refused may hold a copy
        parents.sort(key=lambda row: (not usable(row), row in retried))  # stable: otherwise in hash order
        # A slow parent is skipped while its window is under one send and the next parent's is clearly wider.
        # Where links or the origin are the bottleneck, all windows are small and the hash order holds.
        if len(parents) > 1 and window_size[parents[0]] < min(
            1, window_size[parents[1]] / PARENT_WINDOW_RATIO
        ):
            del parents[0]
        source = ((parents if parents and usable(parents[0]) else control.origins or parents) or [None])[0]
        if admitting:
            candidates = admitting if kind.in_parts else admitting[:WHOLE_CANDIDATES]
            load_ratio = (
                MOVE_LOAD_RATIO
                if control.fleet_view is None
                else control.fleet_view.lead(lookup.placement_key)
            )
            target = min(
                candidates, key=lambda row: self.load(row) * (1 if row == candidates[0] else load_ratio)
            )
            return target, target if source is None else source
        if self.terms.may_bypass_caches and source is not None and not lookup.bypassed_caches:
            lookup.bypassed_caches = True
            return source, (control.origins or [source])[0]  # a parent that is its own source would not fill
        return None, None

    def load(self, row):
        """Load of a cache relative to its weight. One that has not answered yet counts as average, or it
        would attract all sends.
        """
        control = self.control
        if (
            control.fleet_view is not None
            and (others := control.fleet_view.others(control.cache_ids[row], control.now)) is not None
        ):
            # The sends of all routers are known, so nothing is estimated.
            return max(IDLE_LOAD, control.in_flight[row] + others) / control.weight[row]
        known = (
            []
            if control.last_answer_at[row]
            else [control.in_flight[other] for other in control.edges if control.last_answer_at[other]]
        )
        in_flight = max(control.in_flight[row], sum(known) / max(1, len(known)))
        return max(self.idle_load, max(MIN_COUNTED_SENDS, in_flight) / control.weight[row])

    def is_idle(self, row):
        """Whether the cache has so few sends in flight that they do not slow each other."""
        return self.control.in_flight[row] < self.idle_load * self.control.weight[row]

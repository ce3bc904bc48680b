"""Whether a fill may go now, and from where: looked at before each, for the scene changes meanwhile."""

from .pace import fair_share
from .rank import hash_key, rank

# fills out at one source for all warmings together: a tenth of what its link carries at full pace
SLOTS_PER_SOURCE = 4
MAX_IN_FLIGHT = 16  # fills out at one target: a step; the cold allowance binds before


class FillGate:
    """One warming's. allowance: of the cold target, or None for an heir that is warm."""

    def __init__(self, target, allowance=None, slots=SLOTS_PER_SOURCE, max_in_flight=MAX_IN_FLIGHT):
        self.target, self.allowance, self.slots, self.max_in_flight = target, allowance, slots, max_in_flight
        self.now, self.open, self.warm, self.parents = 0, False, frozenset(), ()
        self.active, self.position, self.work_per_byte = 1, 0, 1.0  # work a byte

    def update(self, now, open, warm, parents, active=1, position=0):
        """The location as the list of caches has it now; active, place: of the warmings under way."""
        self.now, self.open, self.warm, self.parents = now, open, warm, parents
        self.active, self.position = active, position

    def set_time(self, now):
        self.now = now

    def source_for(self, entry, in_flight):
        """The source of a fill that may go now, None for the origin; False where none may."""
        if not self.open or len(in_flight) >= self.max_in_flight:
            return False
        source = self._source(entry)
        in_use = sum(out is not None and self._source(out) == source for out in in_flight.values())
        if in_use >= fair_share(self.slots, self.active, self.position, self.now):
            return False
        if self.allowance is not None and not self.allowance.try_fill(
            self.now, self.work_per_byte * max(1, entry.size)
        ):
            return False
        return source

    def _source(self, entry):
        """The planned one while it is ready and warm; else a parent by the hash, at last the origin."""
        if entry.source in self.warm or entry.source in self.parents:
            return entry.source
        key = hash_key(entry.name[1], entry.name[2])
        return rank(key, self.parents)[0] if self.parents else None

"""Decides whether a fill may be sent now and from which source, by the state of the location before each
fill.
"""

from .pace import fair_share
from .rank import hash_key, rank

# Fills in flight at one source for all warmings together: a tenth of what its link carries at full rate.
SLOTS_PER_SOURCE = 4
# fills in flight at one target, which is one step; the cold allowance is the tighter bound
MAX_IN_FLIGHT = 16


class FillGate:
    """The gate of one warming. allowance: of the cold target, or None for a warm one that takes
    over names.
    """

    def __init__(self, target, allowance=None, slots=SLOTS_PER_SOURCE, max_in_flight=MAX_IN_FLIGHT):
        self.target, self.allowance, self.slots, self.max_in_flight = target, allowance, slots, max_in_flight
        self.now, self.open, self.warm, self.parents = 0, False, frozenset(), ()
        self.active, self.position, self.work_per_byte = 1, 0, 1.0  # work_per_byte: the cost of a fill

    def update(self, now, open, warm, parents, active=1, position=0):
        """Sets the state of the location by the list of caches. active, position: the number of warmings in
        progress and the position of this one.
        """
        self.now, self.open, self.warm, self.parents = now, open, warm, parents
        self.active, self.position = active, position

    def set_time(self, now):
        """Sets the present time."""
        self.now = now

    def source_for(self, entry, in_flight):
        """Returns the source of a fill that may be sent now, None for the origin, or False where none may."""
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
        """Returns the planned source while it is ready and warm, else a parent by the hash, or None for the
        origin.
        """
        if entry.source in self.warm or entry.source in self.parents:
            return entry.source
        key = hash_key(entry.name[1], entry.name[2])
        return rank(key, self.parents)[0] if self.parents else None

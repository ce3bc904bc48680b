"""Whether a fill may go now, and from where: looked at before each, for the scene changes meanwhile."""

from .pace import fair
from .rank import hashed, rank

SLOTS = 4  # fills out at one source for all warmings together: a tenth of what its link carries at full pace
OUT = 16  # fills out at one target: a step; the cold allowance binds before


class Doors:
    """One warming's. allowance: of the cold target, or None for an heir that is warm."""

    def __init__(self, target, allowance=None, slots=SLOTS, out=OUT):
        self.target, self.allowance, self.slots, self.out = target, allowance, slots, out
        self.now, self.open, self.warm, self.parents = 0, False, frozenset(), ()
        self.active, self.place, self.work = 1, 0, 1.0  # work a byte

    def told(self, now, open, warm, parents, active=1, place=0):
        """The location as the list of caches has it now; active, place: of the warmings under way."""
        self.now, self.open, self.warm, self.parents = now, open, warm, parents
        self.active, self.place = active, place

    def at(self, now):
        self.now = now

    def may(self, entry, out):
        """The source of a fill that may go now, None for the origin; False where none may."""
        if not self.open or len(out) >= self.out:
            return False
        source = self._source(entry)
        busy = sum(one is not None and self._source(one) == source for one in out.values())
        if busy >= fair(self.slots, self.active, self.place, self.now):
            return False
        if self.allowance is not None and not self.allowance.fill(self.now, self.work * max(1, entry.size)):
            return False
        return source

    def _source(self, entry):
        """The planned one while it is ready and warm; else a parent by the hash, at last the origin."""
        if entry.source in self.warm or entry.source in self.parents:
            return entry.source
        key = hashed(entry.name[1], entry.name[2])
        return rank(key, self.parents)[0] if self.parents else None

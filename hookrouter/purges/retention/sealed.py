"""Sealed purges of one kind, asked by name: digests, slices and what was found lately."""

from ..bounds import ALWAYS_TOLD, Bound
from .bank import BitSlicedBloom
from .digests import digest_of, seed_of
from .slices import SLICES, Slice, Slices

ROWS_PER_KEY = 16  # bits of a slice's filter for each purge, at least
PROBES = 12  # at 16 to 20 bits a key some 3 false positives in 10,000 to 1 in 10,000 for each slice
REMEMBERED = 4_096  # names whose bounds are remembered until the next purge is sealed


class SealedNames:
    """The sealed purges of one kind. most: so many in a hold keep the stated share of false positives."""

    def __init__(self, kind: str, hold: int, most: int) -> None:
        """kind: of purge, part of each digest. hold: as in PurgeTerms."""
        capacity = max(1, -(-most // SLICES))
        log2_rows = max(10, (ROWS_PER_KEY * capacity - 1).bit_length())
        self.slices = Slices(hold, capacity, lambda: BitSlicedBloom(log2_rows, PROBES))
        self._seed = seed_of(kind)
        self._remembered: dict[str, Bound | None] = {}

    def find(self, name: str) -> Bound | None:
        """The bound of the newest slice that may contain the name; it binds every answer."""
        if not self.slices:
            return None
        remembered = self._remembered
        if name in remembered:
            return remembered[name]
        made = self._bound_of(name)
        found = Bound(made, ALWAYS_TOLD) if made else None
        if len(remembered) >= REMEMBERED:
            del remembered[next(iter(remembered))]
        remembered[name] = found
        return found

    def covers(self, name: str, made: int) -> bool:
        """Whether a slice binds the name as strictly as a purge of that time would."""
        return bool(self.slices) and made <= self.slices.newest and made <= self._bound_at(name)

    def seal(self, name: str, bound: Bound) -> None:
        """Takes a purge over from the exact table. The bound must bind every answer by now."""
        self._sealed_into(name, bound)

    def work(self, now: int) -> bool:
        """A bounded step of what waits: slices past the hold dropped, columns cleared. True: one dropped."""
        if not self.slices.pending(now):
            return False
        dropped = bool(self.slices.drop(now))
        if dropped:
            self._remembered.clear()
        self.slices.step()
        return dropped

    def _sealed_into(self, name: str, bound: Bound) -> Slice:
        self._remembered.clear()
        return self.slices.add(digest_of(self._seed, name), bound.newest)

    def _bound_at(self, name: str) -> int:
        """The newest bound of the slices that may contain just this name."""
        return self.slices.bound(digest_of(self._seed, name))

    def _bound_of(self, name: str) -> int:
        """The newest bound that concerns the name."""
        return self._bound_at(name)

"""Sealed purges of one kind, asked by name: digests, slices and what was found lately."""

from collections.abc import Iterator

from ..bounds import ALWAYS_TOLD, Bound
from .archive import SliceState
from .bank import BitSlicedBloom
from .digests import digest_of, seed_of
from .filters import resized
from .geometry import PROBES, capacity, log2_bits
from .slices import Slice, Slices

REMEMBERED = 4_096  # names whose bounds are remembered until the next purge is sealed


class SealedNames:
    """The sealed purges of one kind. most: so many in a hold keep the stated share of false positives."""

    def __init__(self, kind: str, hold: int, most: int) -> None:
        """kind: of purge, part of each digest. hold: as in PurgeTerms."""
        log2_rows = log2_bits(most)
        self.slices = Slices(hold, capacity(most), lambda: BitSlicedBloom(log2_rows, PROBES))
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

    def adopt(self, other: SliceState, bound: int) -> Iterator[None]:
        """Merges a slice of the order that was made elsewhere, a bounded step at a time; whole at the end.

        bound: of its newest purge, by this router's clock; it binds every answer.
        """
        into = self._adopting(other, bound)
        bits, start = resized(other.bits, self.slices.log2_bits()), 0
        while start < len(bits):
            start = self.slices.merge(into, bits, start)
            self._remembered.clear()
            yield

    def work(self, now: int) -> bool:
        """A bounded step of what waits: slices past the hold dropped, columns cleared. True: one dropped."""
        if not self.slices.pending(now):
            return False
        dropped = bool(self.slices.drop(now))
        if dropped:
            self._remembered.clear()
        self.slices.step()
        return dropped

    def _adopting(self, other: SliceState, bound: int) -> Slice:
        return self.slices.adopt(other.bound, bound, other.keys)

    def _sealed_into(self, name: str, bound: Bound) -> Slice:
        self._remembered.clear()
        return self.slices.add(digest_of(self._seed, name), bound.newest)

    def _bound_at(self, name: str) -> int:
        """The newest bound of the slices that may contain just this name."""
        return self.slices.bound(digest_of(self._seed, name))

    def _bound_of(self, name: str) -> int:
        """The newest bound that concerns the name."""
        return self._bound_at(name)

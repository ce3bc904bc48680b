"""Purges of an order past its exact part, as slices by time: at the desk, at relays and in the store.

A slice is a Bloom filter of the purges of one kind in one stretch of time, with the newest time and number
among them. Adding is idempotent and commutes, so slices of the same order agree wherever they were made, and
two of one stretch are merged by OR. A slice is dropped whole once its newest purge is older than the hold.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .. import types
from .digests import digest_of, seed_of
from .filters import BloomFilter, resized
from .geometry import PROBES, SHARES, SLICES, log2_bits, sealed_name

# Slices that may be listed at a time: a hold has 26 of each kind, more for a while after it was changed.
MOST_SLICES = 1_024
SEEDS = {kind: seed_of(kind) for kind in types.SEALABLE_KINDS}


class SliceKey(NamedTuple):
    """Which slice. span: number of its stretch of time."""

    kind: str
    span: int


class SliceState(NamedTuple):
    """A slice as it stands, to be kept or sent."""

    key: SliceKey
    bound: int  # the newest purge time in it, by the desk's clock
    last: int  # the highest number of a purge in it
    keys: int  # purges added, repeats counted
    lengths: tuple[int, ...]  # under which its prefixes are sealed
    bits: bytes  # of a BloomFilter with PROBES probes


class ArchivedSlice:
    """A slice that grows."""

    __slots__ = ("key", "bound", "last", "keys", "version", "lengths", "filter")

    def __init__(self, key: SliceKey, log2: int) -> None:
        """Empty. log2: binary logarithm of its filter's bits."""
        self.key, self.bound, self.last, self.keys = key, 0, 0, 0
        self.version = 0  # rises with each change
        self.lengths: set[int] = set()
        self.filter = BloomFilter(log2, PROBES)

    def add(self, purge: types.Purge) -> None:
        """One purge more; nothing changes where it is in the slice already, but the count."""
        name = sealed_name(purge.kind, purge.what)
        self.filter.add(digest_of(SEEDS[purge.kind], name))
        if purge.kind == types.PREFIX:
            self.lengths.add(len(name))
        self.bound, self.last = max(self.bound, purge.timestamp), max(self.last, purge.n)
        self.keys += 1
        self.version += 1

    def merge(self, other: SliceState) -> None:
        """Holds from now on what the other holds, too."""
        self.filter.merge(resized(other.bits, self.filter.log2_bits()))
        self.lengths.update(other.lengths)
        self.bound, self.last = max(self.bound, other.bound), max(self.last, other.last)
        self.keys = max(self.keys, other.keys)
        self.version += 1

    def state(self) -> SliceState:
        """As it stands now."""
        lengths = tuple(sorted(self.lengths))
        return SliceState(self.key, self.bound, self.last, self.keys, lengths, self.filter.bits())


class Archive:
    """The slices of all kinds that can be sealed. Times are in tenths of a millisecond."""

    def __init__(self, hold: int, most_sealed: int) -> None:
        """hold, most_sealed: as in PurgeTerms."""
        self.hold, self.most_sealed = hold, most_sealed
        self.length = -(-hold // SLICES)
        self.slices: dict[SliceKey, ArchivedSlice] = {}

    def __len__(self) -> int:
        """Purges in all slices, repeats counted."""
        return sum(one.keys for one in self.slices.values())

    def key_of(self, purge: types.Purge) -> SliceKey:
        """The slice that a purge belongs into."""
        return SliceKey(purge.kind, purge.timestamp // self.length)

    def add(self, purge: types.Purge) -> None:
        """Takes in a purge of a kind that can be sealed."""
        self._slice(self.key_of(purge)).add(purge)

    def merge(self, other: SliceState) -> None:
        """Takes in a slice of the same order that was made elsewhere, perhaps for another hold."""
        self._slice(SliceKey(other.key.kind, other.bound // self.length)).merge(other)

    def fold(self, before: int) -> list[SliceKey]:
        """Drops the slices whose every purge is older than that; which they were."""
        gone = [key for key, one in self.slices.items() if one.bound < before]
        for key in gone:
            del self.slices[key]
        return gone

    def live(self) -> Iterable[ArchivedSlice]:
        """All slices, the newest stretches first."""
        return sorted(self.slices.values(), key=lambda one: (-one.key.span, one.key.kind))

    def bytes(self) -> int:
        """Memory of the filters."""
        return sum(one.filter.bytes() for one in self.slices.values())

    def _slice(self, key: SliceKey) -> ArchivedSlice:
        found = self.slices.get(key)
        if found is None:
            log2 = log2_bits(self.most_sealed // SHARES[key.kind])
            found = self.slices[key] = ArchivedSlice(key, log2)
        return found

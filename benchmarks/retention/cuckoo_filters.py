"""Cuckoo filters with buckets of four."""

from array import array
from collections.abc import Sequence
from math import ceil, log
from typing import NamedTuple

from .filter_types import Build, Builder, Prober, batches

MIX = 0x9E3779B97F4A7C15


class Cuckoo(NamedTuple):
    """Fingerprints in buckets of four; 0 is an empty slot."""

    slots: array

    def frozen(self) -> bytes:
        """The slots as they are."""
        return self.slots.tobytes()

    def size(self) -> int:
        """Bytes in memory."""
        return self.slots.itemsize * len(self.slots)


def cuckoo(print_bits: int, capacity: int) -> tuple[Builder, Prober]:
    """After Fan and others (2014); evictions go round the slots of a bucket in turn."""
    code = "H" if print_bits <= 16 else "I"
    mask = (1 << print_bits) - 1
    buckets = 1 << ceil(log(capacity / 4 / 0.95, 2))

    def place(key: int) -> tuple[int, int, int]:
        kept = (key >> 64 & mask) or 1
        first = key & (buckets - 1)
        return kept, first, first ^ (kept * MIX >> 20) & (buckets - 1)

    def put(slots: array, kept: int, bucket: int) -> bool:
        for at in range(bucket * 4, bucket * 4 + 4):
            if not slots[at]:
                slots[at] = kept
                return True
        return False

    def insert(slots: array, key: int) -> None:
        kept, first, second = place(key)
        if put(slots, kept, first) or put(slots, kept, second):
            return
        bucket = second
        for turn in range(500):
            at = bucket * 4 + turn % 4
            kept, slots[at] = slots[at], kept
            bucket ^= (kept * MIX >> 20) & (buckets - 1)
            if put(slots, kept, bucket):
                return
        raise OverflowError("the cuckoo filter is full")

    def build(keys: Sequence[int]) -> Build:
        slots = array(code, bytes(array(code).itemsize * buckets * 4))
        for batch in batches(keys):
            for key in batch:
                insert(slots, key)
            yield
        return Cuckoo(slots)

    def probe(slices: Sequence[Cuckoo], key: int) -> list[int]:
        kept, first, second = place(key)
        a, b = first * 4, second * 4
        return [
            number
            for number, (slots,) in enumerate(slices)
            if kept in slots[a : a + 4] or kept in slots[b : b + 4]
        ]

    return build, probe

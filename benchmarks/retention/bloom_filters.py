"""Bloom filters of one geometry, side by side and bit-sliced."""

from array import array
from collections.abc import Iterable, Sequence
from math import ceil, log
from typing import NamedTuple

import numpy

from .filter_types import LOW_64, Build, Builder, Prober, batches


class Bits(NamedTuple):
    """A Bloom filter's bits."""

    bits: bytes

    def frozen(self) -> bytes:
        """As they are."""
        return self.bits

    def size(self) -> int:
        """Bytes in memory."""
        return len(self.bits)

    def rotated(self, count: int) -> "Bits":
        """Other bits that are as many and as even, for times where a slice of its own is not needed."""
        return Bits(self.bits[count:] + self.bits[:count])


def bloom(probes: int, capacity: int) -> tuple[Builder, Prober]:
    """For a rate of 1 in two to the number of probes at capacity; positions are the same in all slices."""
    bits = ceil(capacity * probes / log(2))
    bits += -bits % 64

    def positions(key: int, first: int, last: int) -> Iterable[int]:
        step, at = key >> 64 | 1, key & LOW_64
        return [(at + n * step & LOW_64) * bits >> 64 for n in range(first, last)]

    def build(keys: Sequence[int]) -> Build:
        made = bytearray(bits // 8)
        for batch in batches(keys):
            for key in batch:
                for at in positions(key, 0, probes):
                    made[at >> 3] |= 1 << (at & 7)
            yield
        return Bits(bytes(made))

    def probe(slices: Sequence[Bits], key: int) -> list[int]:
        one, two = positions(key, 0, 2)
        a, b, x, y = one >> 3, two >> 3, 1 << (one & 7), 1 << (two & 7)
        found = [n for n, (bits,) in enumerate(slices) if bits[a] & x and bits[b] & y]
        for at in positions(key, 2, probes) if found else ():
            byte, mask = at >> 3, 1 << (at & 7)
            found = [n for n in found if slices[n].bits[byte] & mask]
        return found

    return build, probe


class Rows(NamedTuple):
    """Bloom filters of one geometry, transposed: a row for a position, a column for a slice."""

    rows: array

    def size(self) -> int:
        """Bytes in memory."""
        return self.rows.itemsize * len(self.rows)


COLUMNS = 32


def transposed(slices: Sequence[Bits]) -> Rows:
    """The filters' bits as rows of 32 columns."""
    rows = numpy.zeros(len(slices[0].bits) * 8, dtype="<u4")
    for column, one in enumerate(slices):
        bits = numpy.unpackbits(numpy.frombuffer(one.bits, dtype=numpy.uint8), bitorder="little")
        rows |= bits.astype("<u4") << numpy.uint32(column)
    return Rows(array("I", rows.tobytes()))


def probe_rows(probes: int) -> Prober:
    """Rows are ANDed until no column is left."""

    def probe(gathered: Rows, key: int) -> list[int]:
        rows = gathered.rows
        bits, step, at = len(rows), key >> 64 | 1, key & LOW_64
        found = rows[at * bits >> 64]
        for _ in range(probes - 1):
            if not found:
                return []
            at = at + step & LOW_64
            found &= rows[at * bits >> 64]
        return [column for column in range(COLUMNS) if found >> column & 1]

    return probe

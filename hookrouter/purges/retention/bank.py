"""The filters of all slices in one bank: one probe answers for every slice at once.

All slices share one geometry, so a digest has the same bit positions in each of their Bloom filters. The
bank stores the bits transposed, a row for a position and a column for a slice (bit-sliced signatures, as in
BitFunnel, Goodwin and others, 2017). A lookup ANDs the rows of the digest's positions and is left with the
columns that may contain it: its cost does not grow with the number of slices.
"""

from mmap import MAP_ANONYMOUS, MAP_PRIVATE, mmap
from typing import Protocol

from .filters import LOW_BITS

COLUMNS = 32  # bits of a row
ROW_BYTES = COLUMNS // 8
CLEARED_AT_ONCE = 1 << 15  # bytes of rows in which one step clears a column: some tens of microseconds
MERGED_AT_ONCE = 1 << 12  # bytes of a filter that one step merges into a column: part of a millisecond
BYTE_BITS = 8
# [bit][to]: for bytes.translate, which moves that bit of each byte to another place and clears the others.
MOVED_BIT = tuple(
    tuple(bytes((byte >> bit & 1) << to for byte in range(256)) for to in range(BYTE_BITS))
    for bit in range(BYTE_BITS)
)


class FilterBank(Protocol):
    """The filters of up to `columns` slices. The caller knows which columns are in use."""

    columns: int

    def add(self, column: int, digest: int) -> None:
        """Adds a digest to an open column."""

    def seal(self, column: int) -> bool:
        """One bounded step towards sealing a column; true once it is sealed."""

    def matches(self, digest: int) -> int:
        """The columns that may contain the digest, as a bit mask; columns that are not in use may be set."""

    def clear(self, column: int) -> bool:
        """One bounded step of emptying a column that is not in use; true once it may be used again."""

    def merge(self, column: int, bits: bytes, start: int) -> int:
        """One bounded step of adding all that a BloomFilter of these bits holds, from byte start on; where
        the next one starts, len(bits) after the last.
        """

    def log2_bits(self) -> int:
        """Binary logarithm of the bits of a filter that merge takes."""

    def bytes(self) -> int:
        """Memory of the tables."""


class BitSlicedBloom:
    """A Bloom filter in each column of one table of rows."""

    columns = COLUMNS

    def __init__(self, log2_rows: int, probes: int) -> None:
        """A table of 2 ** log2_rows rows; a page of it takes memory from its first use on."""
        self._table = mmap(-1, ROW_BYTES << log2_rows, MAP_PRIVATE | MAP_ANONYMOUS)
        self._rows = memoryview(self._table).cast("I")
        self._mask = (1 << log2_rows) - 1
        self._probes = probes
        self._cleared: dict[int, int] = {}  # column that is being cleared -> bytes done

    def add(self, column: int, digest: int) -> None:
        """Sets the column's bit in each row of the digest."""
        rows, mask, bit = self._rows, self._mask, 1 << column
        position, stride = digest & mask, (digest >> LOW_BITS) & mask | 1
        for _ in range(self._probes):
            rows[position] |= bit
            position = (position + stride) & mask

    def seal(self, column: int) -> bool:
        """Nothing is left to do."""
        return True

    def matches(self, digest: int) -> int:
        """The columns whose bit is set in every row of the digest."""
        rows, mask = self._rows, self._mask
        position, stride = digest & mask, (digest >> LOW_BITS) & mask | 1
        found = rows[position]
        for _ in range(self._probes - 1):
            if not found:
                return 0
            position = (position + stride) & mask
            found &= rows[position]
        return found

    def clear(self, column: int) -> bool:
        """Clears the column's bit in some thousand rows."""
        start = self._cleared.pop(column, 0)
        end = min(start + CLEARED_AT_ONCE, len(self._table))
        keep_row = (((1 << COLUMNS) - 1) ^ (1 << column)).to_bytes(ROW_BYTES, "little")
        keep = int.from_bytes(keep_row * ((end - start) // ROW_BYTES), "little")
        rows = int.from_bytes(self._table[start:end], "little") & keep
        self._table[start:end] = rows.to_bytes(end - start, "little")
        if end < len(self._table):
            self._cleared[column] = end
            return False
        return True

    def merge(self, column: int, bits: bytes, start: int) -> int:
        """Sets the column's bit in the rows of some thousand bits."""
        end = min(start + MERGED_AT_ONCE, len(bits))
        piece = bits[start:end]
        if any(piece):
            for bit in range(BYTE_BITS):
                added = piece.translate(MOVED_BIT[bit][column % BYTE_BITS])
                self._set_in_every_eighth_row(column, start * BYTE_BITS + bit, added)
        return end

    def _set_in_every_eighth_row(self, column: int, row: int, added: bytes) -> None:
        """Adds a byte to the column's byte of that row, the next one to that of the eighth row after it."""
        first, stride = row * ROW_BYTES + column // BYTE_BITS, ROW_BYTES * BYTE_BITS
        rows = slice(first, first + (len(added) - 1) * stride + 1, stride)
        held = int.from_bytes(self._table[rows], "little") | int.from_bytes(added, "little")
        self._table[rows] = held.to_bytes(len(added), "little")

    def log2_bits(self) -> int:
        """Each row is a bit of each column's filter."""
        return self._mask.bit_length()

    def bytes(self) -> int:
        """Memory of the rows."""
        return len(self._table)

"""Ways to keep the names of a sealed slice of purges, weighed beside each other.

Each way takes the 128-bit digests of a slice's names and gives an immutable form. Builds are generators: what
runs between two of their steps cannot be interrupted, and its time is what a router would be held for.
"""

from array import array
from bisect import bisect_left
from collections.abc import Callable, Generator, Iterable, Sequence
from hashlib import blake2b
from math import ceil, log
from typing import Any, NamedTuple, Protocol

import numpy

BATCH = 128  # keys that a build takes in between two steps
LOW_64 = (1 << 64) - 1
Build = Generator[None, None, "Slice"]


def digest(name: str) -> int:
    """The name's 128-bit hash, the same in every process."""
    return int.from_bytes(blake2b(name.encode(), digest_size=16).digest(), "little")


class Slice(Protocol):
    """An immutable set of names that may take in strangers and never misses a member."""

    def frozen(self) -> bytes:
        """What would be stored or sent."""
        ...

    def size(self) -> int:
        """Bytes in memory."""
        ...


class Builder(Protocol):
    """Builds one slice in steps."""

    def __call__(self, keys: Sequence[int]) -> Build:
        """Of digests of names, without repeats."""
        ...


class Prober(Protocol):
    """The slices among these that may hold a key, as their numbers."""

    def __call__(self, slices: Sequence[Slice], key: int) -> list[int]:
        """Asks each slice, or the table into which they were gathered."""
        ...


def side_by_side(slices: Sequence[Slice]) -> Sequence[Slice]:
    """The slices as they are."""
    return slices


class Way(NamedTuple):
    """One way, for one rate of false positives."""

    name: str
    one_in: int
    build: Builder
    prober: Prober
    gather: Callable[[Sequence[Slice]], Any] = side_by_side  # what the prober is asked with


def size_of(gathered: Any) -> int:
    """Bytes of gathered slices."""
    return gathered.size() if hasattr(gathered, "size") else sum(one.size() for one in gathered)


def batches(keys: Sequence[int]) -> Iterable[Sequence[int]]:
    """The keys, some hundreds at a time."""
    return (keys[start : start + BATCH] for start in range(0, len(keys), BATCH))


# ---- sorted fingerprints


class Sorted(NamedTuple):
    """Fingerprints of 64 bits in order."""

    prints: array

    def frozen(self) -> bytes:
        """Little-endian fingerprints."""
        return self.prints.tobytes()

    def size(self) -> int:
        """Bytes in memory."""
        return self.prints.itemsize * len(self.prints)


def build_sorted(keys: Sequence[int]) -> Build:
    """Bucket by bucket, so that no step sorts them all."""
    buckets: list[list[int]] = [[] for _ in range(256)]
    for batch in batches(keys):
        for key in batch:
            buckets[(key & LOW_64) >> 56].append(key & LOW_64)
        yield
    prints = array("Q")
    for bucket in buckets:
        prints.extend(sorted(set(bucket)))
        yield
    return Sorted(prints)


def probe_sorted(slices: Sequence[Sorted], key: int) -> list[int]:
    """A binary search in each slice."""
    wanted, found = key & LOW_64, []
    for number, one in enumerate(slices):
        prints = one.prints
        at = bisect_left(prints, wanted)
        if at < len(prints) and prints[at] == wanted:
            found.append(number)
    return found


class Quotients(NamedTuple):
    """Fingerprints whose high bits are the number of a bucket and whose low bits are kept, in order."""

    ends: array
    rests: array

    def frozen(self) -> bytes:
        """Ends of the buckets, then what is kept."""
        return self.ends.tobytes() + self.rests.tobytes()

    def size(self) -> int:
        """Bytes in memory."""
        return self.ends.itemsize * len(self.ends) + self.rests.itemsize * len(self.rests)


def quotients(bucket_bits: int, code: str) -> tuple[Builder, Prober]:
    """Of so many bits for the bucket; code: the array's for the rest."""
    rest_bits = array(code).itemsize * 8
    rest_mask, bucket_mask, count = (1 << rest_bits) - 1, (1 << bucket_bits) - 1, 1 << bucket_bits
    print_mask = (1 << (rest_bits + bucket_bits)) - 1
    coarse_bits = min(8, bucket_bits)
    coarse_shift, per_coarse = rest_bits + bucket_bits - coarse_bits, count >> coarse_bits

    def build(keys: Sequence[int]) -> Build:
        coarse: list[list[int]] = [[] for _ in range(1 << coarse_bits)]
        for batch in batches(keys):
            for key in batch:
                coarse[(key & print_mask) >> coarse_shift].append(key & print_mask)
            yield
        rests, ends = array(code), array("I", [0])
        for number, prints in enumerate(coarse):
            prints = sorted(set(prints))
            before = len(rests)
            rests.extend(one & rest_mask for one in prints)
            first = number * per_coarse
            for bucket in range(first + 1, first + per_coarse + 1):
                ends.append(before + bisect_left(prints, bucket << rest_bits))
            yield
        return Quotients(ends, rests)

    def probe(slices: Sequence[Quotients], key: int) -> list[int]:
        bucket, rest = (key >> rest_bits) & bucket_mask, key & rest_mask
        after, found = bucket + 1, []
        for number, (ends, rests) in enumerate(slices):
            end = ends[after]
            at = bisect_left(rests, rest, ends[bucket], end)
            if at < end and rests[at] == rest:
                found.append(number)
        return found

    return build, probe


# ---- Bloom filters


class Bits(NamedTuple):
    """A Bloom filter's bits."""

    bits: bytes

    def frozen(self) -> bytes:
        """As they are."""
        return self.bits

    def size(self) -> int:
        """Bytes in memory."""
        return len(self.bits)


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


# ---- binary fuse filters


class Fuse(NamedTuple):
    """A binary fuse filter of three places a key."""

    seed: int
    prints: array

    def frozen(self) -> bytes:
        """Seed and fingerprints."""
        return self.seed.to_bytes(8, "little") + self.prints.tobytes()

    def size(self) -> int:
        """Bytes in memory."""
        return self.prints.itemsize * len(self.prints) + 8


MIX = 0x9E3779B97F4A7C15


def fuse(print_bits: int, capacity: int) -> tuple[Builder, Prober]:
    """After Graf and Lemire (2022), three-wise; peeled as XOR filters are."""
    code = "B" if print_bits <= 8 else "H"
    print_mask = (1 << print_bits) - 1
    segment = 1 << int(log(capacity) / log(3.33) + 2.25)
    factor = max(1.125, 0.875 + 0.25 * log(1_000_000) / log(capacity))
    segments = max(1, ceil(capacity * factor / segment) - 2)
    span, slots, low = segments * segment, (segments + 2) * segment, segment - 1

    def places(mixed: int) -> tuple[int, int, int]:
        first = mixed * span >> 64
        return first, first + segment ^ (mixed >> 18 & low), first + 2 * segment ^ (mixed & low)

    def mix(key: int, seed: int) -> int:
        return ((key ^ seed) * MIX ^ key >> 64) & LOW_64

    def peel(mixed: Sequence[int]) -> Generator[None, None, list[tuple[int, int]] | None]:
        counts, sums = bytearray(slots), array("Q", bytes(8 * slots))
        for batch in batches(mixed):
            for one in batch:
                for at in places(one):
                    counts[at] += 1
                    sums[at] ^= one
            yield
        order: list[tuple[int, int]] = []
        waiting = array("I", [at for at in range(slots) if counts[at] == 1])
        while waiting:
            for _ in range(min(BATCH, len(waiting))):
                at = waiting.pop()
                if counts[at] != 1:
                    continue
                one = sums[at]
                order.append((one, at))
                for other in places(one):
                    counts[other] -= 1
                    sums[other] ^= one
                    if counts[other] == 1:
                        waiting.append(other)
            yield
        return order if len(order) == len(mixed) else None

    def build(keys: Sequence[int]) -> Build:
        seed, order = 0, None
        while order is None:
            seed += 1
            mixed: dict[int, None] = {}
            for batch in batches(keys):
                mixed.update((mix(key, seed), None) for key in batch)
                yield
            order = yield from peel(list(mixed))
        prints = array(code, bytes(array(code).itemsize * slots))
        while order:
            for _ in range(min(BATCH, len(order))):
                one, at = order.pop()
                a, b, c = places(one)
                prints[at] ^= (one >> 32 ^ one) & print_mask ^ prints[a] ^ prints[b] ^ prints[c]
            yield
        return Fuse(seed, prints)

    def probe(slices: Sequence[Fuse], key: int) -> list[int]:
        found, seen, wanted, a, b, c = [], None, 0, 0, 0, 0
        for number, (seed, prints) in enumerate(slices):
            if seed != seen:
                mixed, seen = mix(key, seed), seed
                wanted = (mixed >> 32 ^ mixed) & print_mask
                a, b, c = places(mixed)
            if prints[a] ^ prints[b] ^ prints[c] == wanted:
                found.append(number)
        return found

    return build, probe


# ---- cuckoo filters


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


def ways(capacity: int) -> list[Way]:
    """All that are weighed, for slices of that many names."""
    bits = ceil(log(capacity, 2))
    rows = [Way("sorted 64 bits", 1 << 64 - bits, build_sorted, probe_sorted)]
    rows.append(Way("sorted 40 bits", 1 << 40 - bits, *quotients(8, "I")))
    for exponent in (8, 12, 16):
        one_in = 1 << exponent
        rows.append(Way("sorted quotients", one_in, *quotients(bits + exponent - 16, "H")))
        builder, prober = bloom(exponent, capacity)
        rows.append(Way("Bloom", one_in, builder, prober))
        rows.append(Way("Bloom, bit-sliced", one_in, builder, probe_rows(exponent), transposed))
        rows.append(Way("binary fuse", one_in, *fuse(exponent, capacity)))
        rows.append(Way("cuckoo", one_in, *cuckoo(exponent + 3, capacity)))
    return rows

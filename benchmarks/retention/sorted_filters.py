"""Sorted fingerprints: whole ones, and those whose high bits are the number of a bucket."""

from array import array
from bisect import bisect_left
from collections.abc import Sequence
from typing import NamedTuple

from .filter_types import LOW_64, Build, Builder, Prober, batches


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

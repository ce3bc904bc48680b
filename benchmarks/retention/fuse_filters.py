"""Binary fuse filters of three places a key, built in steps."""

from array import array
from collections.abc import Generator, Sequence
from math import ceil, log
from typing import NamedTuple

from .filter_types import BATCH, LOW_64, Build, Builder, Prober, batches


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

"""What a way to keep the names of a sealed slice of purges consists of.

Each way takes the 128-bit digests of a slice's names and gives an immutable form. Builds are generators: what
runs between two of their steps cannot be interrupted, and its time is what a router would be held for.
"""

from collections.abc import Callable, Generator, Iterable, Sequence
from hashlib import blake2b
from typing import NamedTuple, Protocol

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


class Gathered(Protocol):
    """All slices of a day, as a prober is asked with them."""

    def size(self) -> int:
        """Bytes in memory."""
        ...


class SideBySide(list[Slice]):
    """The slices as they are."""

    def size(self) -> int:
        """Bytes of all slices."""
        return sum(one.size() for one in self)


class Builder(Protocol):
    """Builds one slice in steps."""

    def __call__(self, keys: Sequence[int]) -> Build:
        """Of digests of names, without repeats."""
        ...


class Prober(Protocol):
    """The slices among these that may hold a key, as their numbers."""

    def __call__(self, gathered: Gathered, key: int) -> list[int]:
        """Asks each slice, or the table into which they were gathered."""
        ...


class Way(NamedTuple):
    """One way, for one rate of false positives."""

    name: str
    one_in: int
    build: Builder
    prober: Prober
    gather: Callable[[Sequence[Slice]], Gathered] = SideBySide


def batches(keys: Sequence[int]) -> Iterable[Sequence[int]]:
    """The keys, some hundreds at a time."""
    return (keys[start : start + BATCH] for start in range(0, len(keys), BATCH))

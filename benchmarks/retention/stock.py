"""A stock of billions of names that is never written out, asked for by Zipf's law, and the purges of it.

An object is its rank by popularity. Its name, group and tags follow from the rank by a mixing function, so
the same object has them in each process. Samples come from a seeded random.Random.
"""

from collections.abc import Iterator
from math import exp, expm1, log, log1p
from random import Random
from typing import NamedTuple

from hookrouter.purges import types as w

SECOND = 10_000  # tenths of a millisecond
OBJECTS = 3_900_000_000
EXPONENT = 0.9  # of Zipf's law
SUMMED = 1_000  # ranks whose density is summed one by one, beyond them by its integral
KIND = "clip"
GROUPS = 256
TAGS = 10_000_000  # distinct; one is borne by some 1,200 objects
TAGS_EACH = 3
# Newest first: one in e is among the newest million.
NEWEST_MEAN = 1_000_000
# Which rank the n-th object made has; coprime to the number of objects.
STRIDE = 2_654_435_761
LOW_64 = (1 << 64) - 1
PREFIX_DIGITS = 8  # hexadecimal digits of a name in a prefix purge: one object of the stock on the mean
GLOB_DIGITS = 4  # at the end of a name, in a glob beside those of the prefix


def mix(number: int) -> int:
    """A bijection of 64-bit numbers (the finaliser of SplitMix64)."""
    number = (number + 0x9E3779B97F4A7C15) & LOW_64
    number = (number ^ number >> 30) * 0xBF58476D1CE4E5B9 & LOW_64
    number = (number ^ number >> 27) * 0x94D049BB133111EB & LOW_64
    return number ^ number >> 31


def name_of(rank: int) -> str:
    """The object's name: 16 hexadecimal digits."""
    return f"{mix(rank):016x}"


def group_of(name: str) -> int:
    """The object's group."""
    return int(name[-2:], 16) % GROUPS


def tags_of(name: str) -> tuple[str, ...]:
    """The object's tags, as the answer of a cache names them."""
    number = int(name, 16)
    return tuple(f"t{mix(number + n) % TAGS}" for n in range(1, TAGS_EACH + 1))


class Zipf:
    """Ranks from 1 to count by rejection-inversion (Hoermann and Derflinger, 1996): no table of the ranks."""

    def __init__(self, count: int = OBJECTS, exponent: float = EXPONENT) -> None:
        """Any exponent above 0, 1 too."""
        self.count, self.exponent = count, exponent
        self._low, self._high = self._integral(1.5) - 1.0, self._integral(count + 0.5)
        self._sure = 2.0 - self._inverse(self._integral(2.5) - self._density(2.0))
        summed = min(count, SUMMED)
        self._total = sum(self._density(rank) for rank in range(1, summed + 1))
        self._total += self._integral(count + 0.5) - self._integral(summed + 0.5)

    def rank(self, dice: Random) -> int:
        """One sample."""
        while True:
            u = self._high + dice.random() * (self._low - self._high)
            x = self._inverse(u)
            rank = min(max(int(x + 0.5), 1), self.count)
            if rank - x <= self._sure or u >= self._integral(rank + 0.5) - self._density(rank):
                return rank

    def share(self, rank: int) -> float:
        """Of all requests, those for this rank."""
        return self._density(rank) / self._total

    def _density(self, x: float) -> float:
        return exp(-self.exponent * log(x))

    def _integral(self, x: float) -> float:
        y = (1.0 - self.exponent) * log(x)
        return (expm1(y) / y if abs(y) > 1e-8 else 1.0) * log(x)

    def _inverse(self, u: float) -> float:
        t = max(-1.0, u * (1.0 - self.exponent))
        return exp((log1p(t) / t if abs(t) > 1e-8 else 1.0) * u)


# ---- purges


class Mix(NamedTuple):
    """Shares of the kinds of purge; glob takes what is left."""

    name: str
    object: float
    tag: float = 0.0
    prefix: float = 0.0


OBJECTS_ONLY = Mix("object", 1.0)
ALL_KINDS = Mix("mix", 0.90, 0.08, 0.019)


class Named(NamedTuple):
    """What one purge names."""

    kind: str
    what: str
    example: str  # an object that it concerns


class Purges:
    """Purges without end, their objects drawn in turn uniformly, by popularity and newest first."""

    def __init__(self, seed: int, mix_of_kinds: Mix = OBJECTS_ONLY, zipf: Zipf | None = None) -> None:
        """The same purges for the same seed."""
        self._dice, self._mix = Random(seed), mix_of_kinds
        self._zipf = zipf or Zipf()
        self._drawn = 0

    def __iter__(self) -> Iterator[Named]:
        """One purge after the other."""
        while True:
            yield self.purge()

    def purge(self) -> Named:
        """The next one."""
        chance, kinds = self._dice.random(), self._mix
        name = name_of(self.rank())
        if chance < kinds.object:
            return Named(w.OBJECT, name, name)
        if chance < kinds.object + kinds.tag:
            return Named(w.TAG, self._dice.choice(tags_of(name)), name)
        if chance < kinds.object + kinds.tag + kinds.prefix:
            return Named(w.PREFIX, f"{KIND}/{name[:PREFIX_DIGITS]}", name)
        return Named(w.GLOB, f"{KIND}/{name[:PREFIX_DIGITS]}*{name[-GLOB_DIGITS:]}", name)

    def rank(self) -> int:
        """Of the next object that is purged."""
        self._drawn += 1
        if self._drawn % 3 == 0:
            return self._dice.randrange(self._zipf.count) + 1
        if self._drawn % 3 == 1:
            return self._zipf.rank(self._dice)
        newest = int(self._dice.expovariate(1 / NEWEST_MEAN))
        return (self._zipf.count - newest) * STRIDE % self._zipf.count + 1


def concerns(purge: Named, name: str) -> bool:
    """In plain words: was this object purged by it?"""
    if purge.kind == w.OBJECT:
        return purge.what == name
    if purge.kind == w.TAG:
        return purge.what in tags_of(name)
    if purge.kind == w.PREFIX:
        return f"{KIND}/{name}".startswith(purge.what)
    begin, _, end = purge.what.partition("*")
    return f"{KIND}/{name}".startswith(begin) and name.endswith(end)

"""Lookups that find a copy, and how old it is, where no purge were: what a bound is weighed against."""

from random import Random
from typing import NamedTuple

from .stock import SECOND, Zipf, group_of, name_of, tags_of

DAY = 86_400 * SECOND
SITE_RATE = 20_000.0  # requests a second of a site that share one copy of an object: 1.2 million at 59 sites
UNASKED = 6 * 3_600 * SECOND  # a copy that nobody asks for that long has been evicted
OFTEN = 30.0  # requests in that span beyond which a copy is as good as never evicted


class Lookup(NamedTuple):
    """One lookup that finds a copy of that age, spans in tenths of a millisecond."""

    name: str
    group: int
    tags: tuple[str, ...]
    age: int


def age_of_copy(dice: Random, rate: float) -> int | None:
    """Time since the last fill of an object asked for so often a second; None: no copy, filled in any case.

    A copy is filled by the request that finds none, and is gone after a day, or once nobody asked for it for
    the span of eviction. Requests are a Poisson process, looked at backwards from the lookup: a gap longer
    than the span ends the row of requests that one copy answered.
    """
    gap_mean = SECOND / rate
    age = 0.0
    while age <= DAY:
        gap = dice.expovariate(1 / gap_mean)
        if gap > UNASKED:
            return int(age) if age else None
        age += gap
        if UNASKED / gap_mean > OFTEN:
            break
    # Only the day's end fills it anew: the copy's whole age is as likely at each point.
    return int(dice.random() * DAY)


class Lookups:
    """Lookups by popularity, those that find a copy."""

    def __init__(self, seed: int, zipf: Zipf | None = None, rate: float = SITE_RATE) -> None:
        """rate: requests a second that share the copies."""
        self._dice, self._zipf, self._rate = Random(seed), zipf or Zipf(), rate
        self.without_copy = 0

    def lookup(self) -> Lookup:
        """The next one that finds a copy."""
        while True:
            rank = self._zipf.rank(self._dice)
            age = age_of_copy(self._dice, self._rate * self._zipf.share(rank))
            if age is not None:
                name = name_of(rank)
                return Lookup(name, group_of(name), tags_of(name), age)
            self.without_copy += 1

    def sample(self, count: int) -> list[Lookup]:
        """So many of them."""
        return [self.lookup() for _ in range(count)]

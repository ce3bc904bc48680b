"""Made-up loads and experience that a hollow router shares in place of its own lookups'."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from hookrouter.decisions.sharing import soft_state
from hookrouter.decisions.sharing.protocol import CacheState, KindTimes

CACHES = 8  # names that are made up for a zone
MOST_OUT, MOST_RATE = 4.0, 20.0  # sends out at one cache, and started there a second
BLEND = 0.3  # of a new draw in the next load, as a moving average moves
ANSWER_TIME = 300.0  # 30 ms, on average; tenths of a millisecond
KINDS = ("small", "large")


class Load(NamedTuple):
    """What a router tells of one cache, in the order in which sharing reads it."""

    cache: str
    source: str
    out: float
    rate: float


def synthetic_caches(zone: str) -> list[str]:
    """Names that all routers of a zone have in common."""
    return [f"{zone}-c{n}" for n in range(CACHES)]


class SyntheticState:
    """The state that hookrouter.fleet.member.sharing.Sharing asks for, from a seeded generator."""

    def __init__(self, seed: str, caches: Sequence[str]) -> None:
        """seed: the same one gives the same loads; caches: names of which loads are told."""
        self.random = Random(seed)
        self.current = {cache: self._draw(cache) for cache in sorted(caches)}
        self.waits = False
        self.adopted = 0

    def _draw(self, cache: str) -> Load:
        return Load(cache, "", self.random.uniform(0, MOST_OUT), self.random.uniform(0, MOST_RATE))

    def loads(self, now: int) -> list[Load]:
        """The loads of now: each moves a part of the way to a new draw."""
        for cache, load in self.current.items():
            drawn = self._draw(cache)
            self.current[cache] = Load(
                cache,
                "",
                load.out + BLEND * (drawn.out - load.out),
                load.rate + BLEND * (drawn.rate - load.rate),
            )
        return list(self.current.values())

    def listed(self) -> bool:
        """The caches are known from the start."""
        return True

    def wait(self, waits: bool) -> None:
        """Whether a router would not be ready yet."""
        self.waits = waits

    def learnt(self) -> soft_state.SoftState:
        """What a neighbour that starts borrows."""
        caches = [
            CacheState(cache, 0, False, ANSWER_TIME * self.random.uniform(0.5, 2.0), 0.0, -1, 0)
            for cache in self.current
        ]
        return soft_state.SoftState(
            caches, [KindTimes(kind, ANSWER_TIME, ANSWER_TIME / 4, 0) for kind in KINDS]
        )

    def adopt(self, told: list[soft_state.SoftState]) -> int:
        """Merged as a router merges it, then dropped; the number of rows."""
        merged = soft_state.adopted(told)
        self.adopted = len(merged.failures) + len(merged.kind_times)
        return self.adopted

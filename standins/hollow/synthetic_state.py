"""Synthetic loads and response times that a hollow router shares, since it has no lookups."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from hookrouter.decisions.sharing import soft_state
from hookrouter.decisions.sharing.protocol import CacheState, KindTimes

CACHES = 8  # synthetic caches of a zone
MAX_OPEN_SENDS, MAX_RATE = 4.0, 20.0  # open sends at one cache, and sends started there a second
BLEND_WEIGHT = 0.3  # weight of a new draw in the next load, as in a moving average
ANSWER_TIME = 300.0  # mean in tenths of a millisecond: 30 ms
KINDS = ("small", "large")


class Load(NamedTuple):
    """The load that a router reports of one cache, in the field order that sharing reads."""

    cache: str
    source: str
    out: float
    rate: float


def synthetic_caches(zone: str) -> list[str]:
    """Returns cache names that all routers of a zone have in common."""
    return [f"{zone}-c{n}" for n in range(CACHES)]


class SyntheticState:
    """The state that hookrouter.fleet.member.sharing.Sharing needs, from a seeded generator."""

    def __init__(self, seed: str, caches: Sequence[str]) -> None:
        """seed: the same one gives the same loads; caches: those whose loads are reported."""
        self.random = Random(seed)
        self.current = {cache: self._draw(cache) for cache in sorted(caches)}
        self.waits = False
        self.adopted = 0

    def _draw(self, cache: str) -> Load:
        return Load(cache, "", self.random.uniform(0, MAX_OPEN_SENDS), self.random.uniform(0, MAX_RATE))

    def loads(self, now: int) -> list[Load]:
        """Returns the current loads, each moved towards a new draw."""
        for cache, load in self.current.items():
            drawn = self._draw(cache)
            self.current[cache] = Load(
                cache,
                "",
                load.out + BLEND_WEIGHT * (drawn.out - load.out),
                load.rate + BLEND_WEIGHT * (drawn.rate - load.rate),
            )
        return list(self.current.values())

    def listed(self) -> bool:
        """Always true: the caches are known from the start."""
        return True

    def wait(self, waits: bool) -> None:
        """Sets whether a router would wait before it is ready."""
        self.waits = waits

    def learnt(self) -> soft_state.SoftState:
        """Returns the state that a starting neighbour borrows."""
        caches = [
            CacheState(cache, 0, False, ANSWER_TIME * self.random.uniform(0.5, 2.0), 0.0, -1, 0)
            for cache in self.current
        ]
        return soft_state.SoftState(
            caches, [KindTimes(kind, ANSWER_TIME, ANSWER_TIME / 4, 0) for kind in KINDS]
        )

    def adopt(self, borrowed: list[soft_state.SoftState]) -> int:
        """Merges borrowed states as a router does, drops the result and returns its number of rows."""
        merged = soft_state.adopted(borrowed)
        self.adopted = len(merged.failures) + len(merged.kind_times)
        return self.adopted

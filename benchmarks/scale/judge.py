"""Rules that a scale run must keep, judged from what was acknowledged, stated and seen; no clock, no I/O."""

import bisect
from collections.abc import Iterable, Sequence, Set
from typing import NamedTuple

CURRENT = "current"


class Acknowledged(NamedTuple):
    """A purge that the desk has taken. in_effect: as it stated, None where it has stated nothing."""

    number: int
    name: str
    made_ms: float  # the moment that copies are compared with
    submitted: float  # Unix seconds, as in_effect
    in_effect: float | None


class Seen(NamedTuple):
    """What a router said of itself: its newest purge, and whether it had a lease."""

    at: float  # Unix seconds
    name: str
    newest: int
    lease: str


class Answer(NamedTuple):
    """A copy that a client was given. asked: Unix seconds; made_ms: when the origin gave the copy out."""

    asked: float
    router: str
    name: str
    made_ms: float


class Verdict(NamedTuple):
    """Each break in words; empty where the rules were kept. never_up: routers that never had a lease, so that
    they answered nothing by it and lack nothing.
    """

    lost: list[str]
    said_too_early: list[str]
    old_copies: list[str]
    never_up: list[str]

    def breaks(self) -> int:
        """Of all rules together."""
        return len(self.lost) + len(self.said_too_early) + len(self.old_copies)


def judge(
    purges: Sequence[Acknowledged],
    held: Iterable[int],
    final: dict[str, int],
    started: Set[str],
    seen: Iterable[Seen],
    answers: Iterable[Answer],
    skew_ms: float,
) -> Verdict:
    """held: numbers that the desk has shown, or was asked for one by one; final: the newest purge of each
    router at the end, -1 where it has no lease; started: routers of which seen tells all that they said.
    """
    seen = list(seen)
    up = {state.name for state in seen if state.lease == CURRENT}
    never_up = sorted(name for name, position in final.items() if position < 0 and name in started - up)
    judged = {name: position for name, position in final.items() if name not in never_up}
    return Verdict(
        lost(purges, held, judged),
        said_too_early(purges, seen),
        old_copies(purges, answers, skew_ms),
        never_up,
    )


def lost(purges: Sequence[Acknowledged], held: Iterable[int], final: dict[str, int]) -> list[str]:
    """Purges that the desk acknowledged and lacks, and routers that have not come up to the newest."""
    known, newest = set(held), max((purge.number for purge in purges), default=0)
    broken = [
        f"purge {purge.number} was acknowledged, and the desk does not have it"
        for purge in purges
        if purge.number not in known
    ]
    broken += [
        f"{router} ends at purge {position}, {newest} was acknowledged"
        for router, position in sorted(final.items())
        if position < newest
    ]
    return broken


def said_too_early(purges: Sequence[Acknowledged], seen: Iterable[Seen]) -> list[str]:
    """Routers that had a lease, and lacked a purge that the desk had stated to be in effect before."""
    stated = sorted((purge.in_effect, purge.number) for purge in purges if purge.in_effect is not None)
    times = [at for at, _ in stated]
    highest, so_far = [], 0
    for _, number in stated:
        so_far = max(so_far, number)
        highest.append(so_far)
    broken = []
    for state in seen:
        before = bisect.bisect_left(times, state.at)
        if state.lease == CURRENT and before and state.newest < highest[before - 1]:
            broken.append(
                f"{state.name} held a lease at purge {state.newest} while {highest[before - 1]} was in effect"
            )
    return broken


def old_copies(purges: Sequence[Acknowledged], answers: Iterable[Answer], skew_ms: float) -> list[str]:
    """Answers that are older than a purge which was in effect when they were asked for."""
    by_name: dict[str, list[Acknowledged]] = {}
    for purge in purges:
        if purge.in_effect is not None:
            by_name.setdefault(purge.name, []).append(purge)
    return [
        f"{answer.router} answered {answer.name} of {answer.made_ms:.0f}, purged by {purge.number}"
        for answer in answers
        for purge in by_name.get(answer.name, ())
        if purge.in_effect <= answer.asked and answer.made_ms < purge.made_ms - skew_ms
    ]


def effect_spans(purges: Iterable[Acknowledged]) -> list[float]:
    """Seconds from each submission until it was in effect, in order of length."""
    return sorted(purge.in_effect - purge.submitted for purge in purges if purge.in_effect is not None)


def percentile(ordered: Sequence[float], share: float) -> float | None:
    """The value below which that share of an ordered list lies; None of an empty one."""
    if not ordered:
        return None
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

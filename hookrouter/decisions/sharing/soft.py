"""What a router that starts takes over from neighbours: evidence at half its weight, never a conclusion.

Of two that tell, the lower count holds, so one liar alone raises nothing. What is taken over is less than
what sets a cache aside: that takes a failure of its own.
"""

from typing import Annotated, NamedTuple

import msgspec

from . import words as w

MOST_STRIKES = 2  # taken over: one fewer than the three in a row that set a cache aside
MOST_CACHES = 4_096  # rows of one list
MOST_KINDS = 64
OLD = 300_000  # 30 s: failures in a row that are older say nothing of now
MOST_TIME = 100_000.0  # 10 s: the last deadline; no told time is beyond it
LEAST_TIME = 1.0


class Learnt(msgspec.Struct, array_like=True, frozen=True):
    """The list that is lent under topic "soft"."""

    caches: Annotated[list[w.Soft], msgspec.Meta(max_length=MOST_CACHES)]
    kinds: Annotated[list[w.Times], msgspec.Meta(max_length=MOST_KINDS)]


class Adopted(NamedTuple):
    strikes: dict  # cache -> failures in a row to begin with
    times: dict  # object kind -> (average, deviation)
    took: dict  # cache -> mean answer time beyond sending
    refused: dict  # cache -> share of sends refused


def adopted(told):
    """told: a Learnt of each neighbour that lent."""
    strikes, took, refused = {}, {}, {}
    for cache, rows in _by(told, "caches", "cache").items():
        fresh = [row for row in rows if row.age < OLD]
        if not fresh:
            continue
        strikes[cache] = min(MOST_STRIKES, min(row.strikes + row.silent for row in fresh) // 2)
        took[cache] = min(MOST_TIME, min(row.took for row in fresh))
        refused[cache] = min(row.refused for row in fresh) / 2
    times = {}
    for kind, rows in _by(told, "kinds", "kind").items():
        # Deadlines: a low one gives sends up too early, so of two the longer holds, within what is sane.
        longest = max(rows, key=lambda row: (row.average + 4 * row.deviation, row.average))
        times[kind] = tuple(
            min(MOST_TIME, max(LEAST_TIME, value)) for value in (longest.average, longest.deviation)
        )
    return Adopted(strikes, times, took, refused)


def _by(told, part, key):
    found = {}
    for learnt in told:
        for row in getattr(learnt, part):
            found.setdefault(getattr(row, key), []).append(row)
    return found

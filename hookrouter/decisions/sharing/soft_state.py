"""Soft state that a starting router takes over from neighbours: half-weighted evidence, no conclusions.

Of two neighbours the lower failure count is used, so that a single faulty one raises nothing. What is taken
over stays below the threshold that sets a cache aside: that takes a failure seen by the router itself.
"""

from typing import Annotated, NamedTuple

import msgspec

from . import protocol

MAX_FAILURES = 2  # taken over: one fewer than the three in a row that set a cache aside
MAX_CACHES = 4_096  # in one list
MAX_KINDS = 64
EXPIRY = 300_000  # 30 s: older failures in a row say nothing about the present
MAX_TIME = 100_000.0  # 10 s: the longest deadline, which no reported time may exceed
MIN_TIME = 1.0


class SoftState(msgspec.Struct, array_like=True, frozen=True):
    """The list that is lent under the topic "soft"."""

    caches: Annotated[list[protocol.CacheState], msgspec.Meta(max_length=MAX_CACHES)]
    kinds: Annotated[list[protocol.KindTimes], msgspec.Meta(max_length=MAX_KINDS)]


class Adopted(NamedTuple):
    """What a starting router begins with."""

    failures: dict  # cache -> failures in a row
    kind_times: dict  # object kind -> (average, deviation) of answer times beyond sending
    answer_times: dict  # cache -> mean answer time beyond sending
    refused_shares: dict  # cache -> share of sends refused


def adopted(states):
    """Merges the SoftState of each neighbour into an Adopted."""
    failures, answer_times, refused_shares = {}, {}, {}
    for cache, rows in _grouped(states, "caches", "cache").items():
        fresh = [row for row in rows if row.age < EXPIRY]
        if not fresh:
            continue
        failures[cache] = min(MAX_FAILURES, min(row.failures + row.silent for row in fresh) // 2)
        answer_times[cache] = min(MAX_TIME, min(row.answer_time for row in fresh))
        refused_shares[cache] = min(row.refused_share for row in fresh) / 2
    kind_times = {}
    for kind, rows in _grouped(states, "kinds", "kind").items():
        # Deadlines follow from these: a low one gives up sends too early, so the longer holds, within bounds.
        longest = max(rows, key=lambda row: (row.average + 4 * row.deviation, row.average))
        kind_times[kind] = tuple(
            min(MAX_TIME, max(MIN_TIME, value)) for value in (longest.average, longest.deviation)
        )
    return Adopted(failures, kind_times, answer_times, refused_shares)


def _grouped(states, part, key):
    groups = {}
    for state in states:
        for row in getattr(state, part):
            groups.setdefault(getattr(row, key), []).append(row)
    return groups

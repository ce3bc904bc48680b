"""Plain arithmetic of the page: budgets, holds, popularity, times until a purge is in effect, catching up."""

import math
from functools import cache

EXACT_RANKS = 1_000  # summed one by one; beyond them an integral is near enough
STEPS_A_DECADE = 200  # of the numeric integral over ranks


def live_purges(rate: float, hold_s: float, distinct: float = 1.0) -> float:
    """Purges that are younger than the hold, at a steady rate."""
    return rate * hold_s * distinct


def held_share(live: float, names: float, shared: float) -> float:
    """Share of names never purged that a shared bound holds: purges beyond `names` raise one each."""
    beyond = max(0.0, live - names)
    return 1.0 - (1.0 - 1.0 / shared) ** beyond


def share_of_budget(value: float, budget: float) -> float:
    """How much of the budget it takes: over one does not fit."""
    return value / budget


def effect_latest_s(lease_s: float, drift: float, skew_s: float, rounding_s: float, write_s: float) -> float:
    """From acceptance until a purge is in effect everywhere, whoever is dead: lease, drift and settling."""
    return write_s + lease_s * (1.0 + drift) + settling_s(skew_s, rounding_s)


def settling_s(skew_s: float, rounding_s: float) -> float:
    """What the origin gives out within that span after a purge may bear a time from before it."""
    return 2.0 * skew_s + rounding_s


def longest_lease_s(effect_s: float, drift: float, skew_s: float, rounding_s: float, write_s: float) -> float:
    """The longest lease with which a purge is in effect within that time."""
    return (effect_s - write_s - settling_s(skew_s, rounding_s)) / (1.0 + drift)


def snapshot_bytes(live: float, bytes_a_purge: float, bytes_an_event: float, purges_in_event: int) -> float:
    """What a follower without a place in the order is sent."""
    return live * bytes_a_purge + math.ceil(live / purges_in_event) * bytes_an_event


def catch_up_s(size_bytes: float, bytes_per_s: float, link_share: float, take_in_s: float) -> float:
    """Until it is taken in: fetching has a share of the time, and nothing is taken in meanwhile."""
    return size_bytes / bytes_per_s / link_share + take_in_s


def seconds_until(most: float, rate: float) -> float:
    """Until so many distinct ones have come at that rate; infinite where none come."""
    return most / rate if rate > 0 else math.inf


# ---- popularity by Zipf's law


@cache
def harmonic(ranks: float, exponent: float) -> float:
    """The sum of rank ** -exponent up to there, beyond EXACT_RANKS by its integral."""
    exact = min(int(ranks), EXACT_RANKS)
    head = math.fsum(rank**-exponent for rank in range(1, exact + 1))
    if ranks <= EXACT_RANKS:
        return head
    low, high = EXACT_RANKS + 0.5, ranks + 0.5
    if exponent == 1.0:
        return head + math.log(high / low)
    power = 1.0 - exponent
    return head + (high**power - low**power) / power


def top_share(top: float, objects: float, exponent: float) -> float:
    """Share of requests that go to the `top` most popular of all objects."""
    return harmonic(min(top, objects), exponent) / harmonic(objects, exponent)


@cache
def distinct_objects(requests: float, objects: float, exponent: float) -> float:
    """Different objects that so many requests ask for, on the mean."""
    norm = harmonic(objects, exponent)

    def asked(rank: float) -> float:
        return -math.expm1(-requests * rank**-exponent / norm)

    exact = min(int(objects), EXACT_RANKS)
    found = math.fsum(asked(rank) for rank in range(1, exact + 1))
    if objects <= EXACT_RANKS:
        return found
    low, high = math.log(EXACT_RANKS + 0.5), math.log(objects + 0.5)
    steps = max(1, math.ceil((high - low) / math.log(10) * STEPS_A_DECADE))
    width = (high - low) / steps
    middles = (math.exp(low + (step + 0.5) * width) for step in range(steps))
    return found + math.fsum(asked(rank) * rank * width for rank in middles)


def refilled_share(requests_per_s: float, young_s: float, objects: float, exponent: float) -> float:
    """Share of requests that find no copy younger than that span, in caches that all of them share."""
    requests = requests_per_s * young_s
    return min(1.0, distinct_objects(requests, objects, exponent) / requests)


def origin_fills_per_s(requests_per_s: float, young_s: float, objects: float, exponent: float) -> float:
    """Fills a second that requests ask of the origin where copies may be no older than that span."""
    return requests_per_s * refilled_share(requests_per_s, young_s, objects, exponent)

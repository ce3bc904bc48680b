"""The residence time of a copy in an LRU cache, by the approximation of Che, Tung and Wang (2002)."""

from math import exp

BISECTION_STEPS = 40  # halvings of the interval: to one part in a million
MAX_TIME = 36_000_000  # 1 h


def residence_time(rows, room):
    """Returns the time after which a copy without lookups is evicted. rows: (lookups a unit of time, size) of
    all names; room: capacity of the cache, in the unit of the sizes. Returns MAX_TIME where everything fits.
    """

    def filled(span):
        return sum(size * (1 - exp(-rate * span)) for rate, size in rows)

    if filled(MAX_TIME) <= room:
        return MAX_TIME
    low, high = 0.0, float(MAX_TIME)
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        low, high = (middle, high) if filled(middle) <= room else (low, middle)
    return low

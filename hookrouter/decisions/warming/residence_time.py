"""How long a copy stays in a cache that drops the longest unasked for (Che, Tung and Wang, 2002)."""

from math import exp

BISECTION_STEPS = 40  # halvings of the stretch in which it lies: to one in a million
MAX_TIME = 36_000_000  # 1 h


def residence_time(rows, room):
    """The time after which a copy not asked for is gone. rows: (lookups a unit of time, size) of all that is
    asked there; room: of the cache, in the same unit as the sizes. LONGEST where all of it finds room.
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

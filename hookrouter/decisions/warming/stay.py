"""How long a copy stays in a cache that drops the longest unasked for (Che, Tung and Wang, 2002)."""

from math import exp

STEPS = 40  # halvings of the stretch in which it lies: to one in a million
LONGEST = 36_000_000  # 1 h


def stay(rows, room):
    """The time after which a copy not asked for is gone. rows: (lookups a unit of time, size) of all that is
    asked there; room: of the cache, in the same unit as the sizes. LONGEST where all of it finds room.
    """

    def filled(span):
        return sum(size * (1 - exp(-rate * span)) for rate, size in rows)

    if filled(LONGEST) <= room:
        return LONGEST
    low, high = 0.0, float(LONGEST)
    for _ in range(STEPS):
        middle = (low + high) / 2
        low, high = (middle, high) if filled(middle) <= room else (low, middle)
    return low

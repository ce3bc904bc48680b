"""The order in which turns go round numbered routers; every router computes the same order."""

from functools import lru_cache
from math import gcd

GOLDEN_RATIO = (5**0.5 - 1) / 2  # steps of this fraction of a round leave the widest gaps after any number


@lru_cache(maxsize=4_096)  # a fleet asks for all of its units; a single router for itself at every check
def turn_position(number, routers):
    """The position of this router in a round. Routers with consecutive numbers, such as those of one
    location, get positions far apart.
    """
    step = next(k for k in range(int(routers * GOLDEN_RATIO) + 1, 0, -1) if gcd(k, routers) == 1)
    return number * step % routers

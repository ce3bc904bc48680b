"""The order in which turns go round numbered routers, the same on each of them."""

from functools import lru_cache
from math import gcd

GOLDEN_RATIO = (5**0.5 - 1) / 2  # steps of this part of a round leave the widest gaps, however many are made


@lru_cache(maxsize=4_096)  # units of a fleet; a router alone asks for its own, at each look at a cold cache
def turn_position(number, routers):
    """Routers whose numbers stand in a row, as those of a location may, have their turns far apart."""
    step = next(k for k in range(int(routers * GOLDEN_RATIO) + 1, 0, -1) if gcd(k, routers) == 1)
    return number * step % routers

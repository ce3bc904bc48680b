"""The desk's clock: the wall's time, which purges are stamped with."""

import time
from collections.abc import Callable

from ..feed.purges import steady

UNITS_PER_SECOND = 10_000  # tenths of a millisecond


class Clock:
    """The wall's time in tenths of a millisecond, never back: steps back of the wall are not followed."""

    def __init__(self, wall: Callable[[], float] = time.time, steady: Callable[[], int] = steady) -> None:
        """wall: seconds since 1970; steady: tenths of a millisecond of a clock that no one sets."""
        self.wall, self.steady = wall, steady
        self.now, self.last_steady = int(wall() * UNITS_PER_SECOND), steady()

    def __call__(self) -> int:
        """The time now."""
        steady_now = self.steady()
        self.now, self.last_steady = (
            max(self.now + steady_now - self.last_steady, int(self.wall() * UNITS_PER_SECOND)),
            steady_now,
        )
        return self.now

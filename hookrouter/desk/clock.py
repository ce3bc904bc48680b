"""The desk's clock: the wall's time, which purges are stamped with."""

import time
from collections.abc import Callable

from ..feed.purges import steady

SECOND = 10_000  # tenths of a millisecond


class Clock:
    """The wall's time in tenths of a millisecond, never back: steps back of the wall are not followed."""

    def __init__(self, wall: Callable[[], float] = time.time, steady: Callable[[], int] = steady) -> None:
        """wall: seconds since 1970; steady: tenths of a millisecond of a clock that no one sets."""
        self.wall, self.steady = wall, steady
        self.at, self.since = int(wall() * SECOND), steady()

    def __call__(self) -> int:
        """The time now."""
        since = self.steady()
        self.at, self.since = max(self.at + since - self.since, int(self.wall() * SECOND)), since
        return self.at

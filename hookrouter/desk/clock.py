"""The desk's clock, which gives purges their timestamps."""

from collections.abc import Callable

from ..clock import steady, unix_seconds

UNITS_PER_SECOND = 10_000  # tenths of a millisecond


class Clock:
    """Monotonic wall-clock time in tenths of a millisecond.

    Follows steps forward of the wall clock; after a step back it advances with the steady clock.
    """

    def __init__(self, wall: Callable[[], float] = unix_seconds, steady: Callable[[], int] = steady) -> None:
        """wall: seconds since 1970; steady: a monotonic clock in tenths of a millisecond."""
        self.wall, self.steady = wall, steady
        self.now, self.last_steady = int(wall() * UNITS_PER_SECOND), steady()

    def __call__(self) -> int:
        """Returns the current time in tenths of a millisecond since 1970."""
        steady_now = self.steady()
        self.now, self.last_steady = (
            max(self.now + steady_now - self.last_steady, int(self.wall() * UNITS_PER_SECOND)),
            steady_now,
        )
        return self.now

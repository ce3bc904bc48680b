"""Which clock a process has: spans come from a clock that nobody sets, and Unix time is only translated.

A process's own time is Unix time as of its start, carried on by the monotonic clock, so it does not follow
steps of the wall clock. Unix times that others state are translated once, where they enter.
"""

import time
from collections.abc import Callable
from typing import Any

from .terms import SECOND

MIN_STEP = 200  # tenths of a millisecond: two clocks are never read at quite the same moment
MIN_WAIT = 0.001  # seconds: a shorter wait found input that may have been there before
MAX_LATE_WAKE = 0.02  # seconds by which a wait may end late without the process having been stopped
MAX_OFFSETS = 8  # steps remembered; beyond it only the extremes are


def steady() -> int:
    """Monotonic clock that goes on while the machine is suspended, in tenths of a millisecond."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 100_000


def unix_seconds() -> float:
    """The wall clock, which may be stepped: for stamps that others read, never for spans."""
    return time.time()


def unix_milliseconds() -> int:
    """The wall clock in whole milliseconds; the same holds."""
    return int(time.time() * 1_000)


def monotonic_reactor() -> Any:  # noqa: ANN401 the reactor module has no static type
    """Returns Twisted's reactor with its timers on the monotonic clock; its default is the wall clock."""
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    return reactor


class PollWatch:
    """An epoll that tells since when input that is read now may have lain unread.

    The process may have been busy or stopped meanwhile. Input that arrives while epoll waits is read at once,
    unless the wait took longer than asked.
    """

    def __init__(self, epoll: Any, seconds: Callable[[], float]) -> None:  # noqa: ANN401 a poll object
        """epoll: the object that waits; seconds: a monotonic clock."""
        self._epoll, self._seconds = epoll, seconds
        self.earliest = self._checked_at = seconds()
        self.count = 0  # of waits

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401 any method
        """The other methods are those of the epoll."""
        return getattr(self._epoll, name)

    def poll(self, timeout: float, most: int) -> list:
        """Waits for events as epoll.poll() does. timeout: seconds, negative: without end."""
        started, self.count = self._seconds(), self.count + 1
        events = self._epoll.poll(timeout, most)
        returned = self._seconds()
        waited = returned - started
        if waited < MIN_WAIT:
            self.earliest = self._checked_at
        elif 0 <= timeout < waited - MAX_LATE_WAKE:
            self.earliest = started
            if not events:  # interrupted by a signal and over: nothing was checked at its end
                self._checked_at = started
                return events
        else:
            self.earliest = returned
        self._checked_at = returned
        return events

    def age(self) -> float:
        """Seconds for which input that is read now may have lain unread at most."""
        return self._seconds() - self.earliest

    def busy(self) -> float:
        """Seconds since the last wait for input: for so long nothing that arrived since has been seen."""
        return self._seconds() - self._checked_at


def watch_polls(reactor: Any) -> PollWatch:  # noqa: ANN401 the reactor module has no static type
    """Puts a PollWatch into an epoll reactor and returns it."""
    reactor._poller = PollWatch(reactor._poller, reactor.seconds)
    return reactor._poller


class ProcessClock:
    """The time of one process, in tenths of a millisecond.

    After a step of the wall clock a Unix time is ambiguous: it may have been stated before the step or after
    it, by a machine that was stepped or by another. So it may mean as many times as offsets were seen so far,
    and the caller asks for the earliest or the latest, whichever errs to the safe side.
    """

    def __init__(
        self, wall: Callable[[], float] = unix_seconds, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        """wall: Unix time in seconds; monotonic: a clock in seconds that is never set."""
        self.wall, self.monotonic = wall, monotonic
        self.start = wall() - monotonic()
        self.offsets = [0]  # of the wall clock to this one, each that was seen once

    def seconds(self) -> float:
        """The time in seconds."""
        return self.start + self.monotonic()

    def now(self) -> int:
        """The time in whole tenths of a millisecond."""
        return int(self.seconds() * SECOND)

    def earliest(self, unix_time: int) -> int:
        """The earliest time of this clock that a stated Unix time may mean."""
        self._observe()
        return unix_time - max(self.offsets)

    def latest(self, unix_time: int) -> int:
        """The latest time of this clock that a stated Unix time may mean."""
        self._observe()
        return unix_time - min(self.offsets)

    def _observe(self) -> None:
        """Remembers the present offset of the wall clock, unless it is known."""
        offset = int((self.wall() - self.seconds()) * SECOND)
        if any(abs(offset - known) < MIN_STEP for known in self.offsets):
            return
        if len(self.offsets) >= MAX_OFFSETS:
            self.offsets = [min(self.offsets), max(self.offsets)]
        self.offsets.append(offset)

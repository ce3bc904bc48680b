"""Writes a report line each so often, and measures how late the reactor runs."""

import os
import time
from collections.abc import Callable
from typing import Any, TextIO

import msgspec

from .report import Report, RouterReport, resident_bytes, summed

LOOK_EVERY = 0.05  # seconds between the looks at how late they come


class LagMeter:
    """The worst lateness of a timer since it was last asked for."""

    def __init__(self, reactor: Any) -> None:
        """reactor: by whose clock and timers it goes."""
        self.reactor, self.worst, self.due = reactor, 0.0, 0.0

    def start(self) -> None:
        """Looks for as long as the reactor runs."""
        self.due = self.reactor.seconds() + LOOK_EVERY
        self.reactor.callLater(LOOK_EVERY, self._look)

    def _look(self) -> None:
        self.worst = max(self.worst, self.reactor.seconds() - self.due)
        self.start()

    def take(self) -> float:
        """In seconds; a look that is due and still waits counts as late until now."""
        worst = max(self.worst, self.reactor.seconds() - self.due)
        self.worst = 0.0
        return worst


class Reporter:
    """Reports on one process to one file."""

    def __init__(
        self, reactor: Any, every: float, routers: Callable[[], list[RouterReport]], out: TextIO
    ) -> None:
        """every: seconds; routers(): the reports of now, one a router."""
        self.reactor, self.every, self.routers, self.out = reactor, every, routers, out
        self.lag = LagMeter(reactor)

    def start(self) -> None:
        """The first report comes after one span."""
        self.lag.start()
        self.reactor.callLater(self.every, self._tell)

    def _tell(self) -> None:
        self.reactor.callLater(self.every, self._tell)
        self.write()

    def write(self) -> None:
        """One line now; the process ends where nobody reads it any more."""
        try:
            self.out.write(msgspec.json.encode(self.report()).decode() + "\n")
            self.out.flush()
        except OSError:
            self.reactor.stop()

    def report(self) -> Report:
        """As it stands now."""
        routers, worked = self.routers(), os.times()
        return Report(
            time=time.time(),
            reactor_lag_s=round(self.lag.take(), 6),
            cpu_user_s=worked.user,
            cpu_system_s=worked.system,
            resident_bytes=resident_bytes(),
            traffic=summed(routers),
            routers=routers,
        )

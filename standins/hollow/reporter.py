"""Writes report lines periodically and measures the delay of the reactor's timers."""

import os
import time
from collections.abc import Callable
from typing import Any, TextIO

import msgspec

from .report import Report, RouterReport, resident_bytes, summed

MEASURE_INTERVAL = 0.05  # seconds between two measurements


class LagMeter:
    """The largest delay of a timer since the last call of take()."""

    def __init__(self, reactor: Any) -> None:
        """reactor: whose clock and timers are used."""
        self.reactor, self.worst, self.due = reactor, 0.0, 0.0

    def start(self) -> None:
        """Measures for as long as the reactor runs."""
        self.due = self.reactor.seconds() + MEASURE_INTERVAL
        self.reactor.callLater(MEASURE_INTERVAL, self._measure)

    def _measure(self) -> None:
        self.worst = max(self.worst, self.reactor.seconds() - self.due)
        self.start()

    def take(self) -> float:
        """Returns the delay in seconds and resets it; a timer that is overdue now counts, too."""
        worst = max(self.worst, self.reactor.seconds() - self.due)
        self.worst = 0.0
        return worst


class Reporter:
    """Writes the reports of one process to one file."""

    def __init__(
        self, reactor: Any, interval: float, routers: Callable[[], list[RouterReport]], out: TextIO
    ) -> None:
        """interval: seconds; routers(): the current reports, one for each router."""
        self.reactor, self.interval, self.routers, self.out = reactor, interval, routers, out
        self.lag = LagMeter(reactor)

    def start(self) -> None:
        """Starts; the first report is written after one interval."""
        self.lag.start()
        self.reactor.callLater(self.interval, self._write_periodically)

    def _write_periodically(self) -> None:
        self.reactor.callLater(self.interval, self._write_periodically)
        self.write()

    def write(self) -> None:
        """Writes one line now; stops the reactor if the reader is gone."""
        try:
            self.out.write(msgspec.json.encode(self.report()).decode() + "\n")
            self.out.flush()
        except OSError:
            self.reactor.stop()

    def report(self) -> Report:
        """Returns the current report."""
        routers, times = self.routers(), os.times()
        return Report(
            time=time.time(),
            reactor_lag_s=round(self.lag.take(), 6),
            cpu_user_s=times.user,
            cpu_system_s=times.system,
            resident_bytes=resident_bytes(),
            traffic=summed(routers),
            routers=routers,
        )

"""Processes of hollow routers in a crowd, with their reports read as they are written."""

import time
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from standins.hollow.process import HollowProcess, decode
from standins.hollow.report import Report, RouterReport

from .regions import RegionLayout

REPORT_INTERVAL = 0.5  # seconds
MAX_REPORTS = 80  # full reports kept for each process; of older ones only the states are kept


class State(NamedTuple):
    """The state that one router reported at one moment."""

    unix_s: float  # Unix seconds
    name: str
    newest: int  # number of the newest purge that it has applied; 0 for none
    lease: str


class ReportFile:
    """A growing file of reports; it may hold reports from before a restart, too."""

    def __init__(self, path: Path) -> None:
        """The file need not exist yet."""
        self.path, self.read_up_to, self.partial_line = path, 0, b""
        self.reports: list[Report] = []
        self.states: list[State] = []

    def read(self) -> None:
        """Reads what was written since the last call."""
        if not self.path.exists():
            return
        with open(self.path, "rb") as file:
            file.seek(self.read_up_to)
            data = file.read()
        self.read_up_to += len(data)
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            self._take(decode(line))

    def _take(self, report: Report) -> None:
        self.reports = [*self.reports[1 - MAX_REPORTS :], report]
        for router in report.routers:
            if router.lease is not None:
                self.states.append(State(report.time, router.name, _newest(router), router.lease))

    def latest(self) -> Report | None:
        """Returns the newest complete report."""
        return self.reports[-1] if self.reports else None

    def between(self, start: float, end: float) -> tuple[Report, Report] | None:
        """Returns the first and the last report between two Unix times; None if there are fewer than two."""
        found = [report for report in self.reports if start <= report.time <= end]
        return (found[0], found[-1]) if len(found) > 1 else None


class HollowGroup:
    """One process of hollow routers."""

    def __init__(self, names: list[str], configuration: Path) -> None:
        """configuration: the file that the process reads; names: its routers."""
        self.names, self.process = names, HollowProcess(configuration)
        self.file = ReportFile(self.process.reports_path)

    @property
    def pid(self) -> int:
        """The id of the current process."""
        return self.process.process.pid

    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process.process is not None and self.process.process.poll() is None

    def start(self) -> None:
        """Starts or restarts the process; the file of reports is truncated, the states read are kept."""
        states = self.file.states
        self.process.start()
        self.file = ReportFile(self.process.reports_path)
        self.file.states = states


class HollowRouters:
    """All processes of hollow routers of one crowd."""

    def __init__(self, layout: RegionLayout, seed: int, routers_per_process: int) -> None:
        """routers_per_process: at most."""
        self.layout, self.seed, self.routers_per_process = layout, seed, routers_per_process
        self.groups: list[HollowGroup] = []

    def start(self, count: int, routers_per_process: int | None = None) -> list[HollowGroup]:
        """Starts further routers without waiting; current() tells how many are up."""
        names, size = self.layout.add_hollow(count), routers_per_process or self.routers_per_process
        groups = [self._group(names[first : first + size]) for first in range(0, count, size)]
        for group in groups:
            self.groups.append(group)
            group.start()
        return groups

    def _group(self, names: list[str]) -> HollowGroup:
        name, seed = f"hollow-{names[0]}", self.seed + int(names[0][1:])
        path = Path(self.layout.configure_hollow(name, names, seed, REPORT_INTERVAL))
        return HollowGroup(names, path)

    def read(self) -> None:
        """Reads all reports so far."""
        for group in self.groups:
            group.file.read()

    def states(self) -> Iterable[State]:
        """Yields all reported states of all routers."""
        for group in self.groups:
            yield from group.file.states

    def current(self) -> int:
        """How many routers have a lease by their newest report."""
        return sum(
            router.lease == "current"
            for group in self.groups
            if (report := group.file.latest()) is not None
            for router in report.routers
        )

    def least_alive(self) -> int:
        """The smallest number of members that any router sees alive."""
        reports = [group.file.latest() for group in self.groups]
        if None in reports:
            return 0
        seen = [router.members_alive or 0 for report in reports for router in report.routers]
        return min(seen, default=0)

    def count(self) -> int:
        """The number of routers whose process runs."""
        return sum(len(group.names) for group in self.groups if group.alive())

    def end(self) -> None:
        """Ends all processes."""
        for group in self.groups:
            if group.alive():
                group.process.process.terminate()
        until = time.monotonic() + 5
        for group in self.groups:
            while group.alive() and time.monotonic() < until:
                time.sleep(0.02)
            group.process.end()


def _newest(router: RouterReport) -> int:
    return router.newest_purge.n if router.newest_purge is not None else 0

"""Processes of hollow routers of a crowd, and what their reports say, read as they are written."""

import time
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from standins.hollow.process import HollowProcess, decode
from standins.hollow.report import Report, RouterReport

from .regions import RegionLayout

REPORT_EVERY = 0.5  # seconds
KEPT = 80  # whole reports of each process; of older ones the states alone are kept


class State(NamedTuple):
    """What one router said of itself at one moment."""

    at: float  # Unix seconds
    name: str
    newest: int  # number of the newest purge that it has taken in; 0 for none
    lease: str


class ReportFile:
    """A growing file of reports; of a process's former life too, if the file goes on."""

    def __init__(self, path: Path) -> None:
        """The file need not be there yet."""
        self.path, self.read_up_to, self.rest = path, 0, b""
        self.reports: list[Report] = []
        self.states: list[State] = []

    def read(self) -> None:
        """Takes in what was written since the last look."""
        if not self.path.exists():
            return
        with open(self.path, "rb") as file:
            file.seek(self.read_up_to)
            data = file.read()
        self.read_up_to += len(data)
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self._take(decode(line))

    def _take(self, report: Report) -> None:
        self.reports = [*self.reports[1 - KEPT :], report]
        for router in report.routers:
            if router.lease is not None:
                self.states.append(State(report.time, router.name, _newest(router), router.lease))

    def latest(self) -> Report | None:
        """The newest whole report."""
        return self.reports[-1] if self.reports else None

    def between(self, start: float, end: float) -> tuple[Report, Report] | None:
        """The first and the last report of that time (Unix seconds), None where there are not two."""
        found = [report for report in self.reports if start <= report.time <= end]
        return (found[0], found[-1]) if len(found) > 1 else None


class HollowGroup:
    """One process with its routers."""

    def __init__(self, names: list[str], configuration: Path) -> None:
        """configuration: the file that the process reads."""
        self.names, self.process = names, HollowProcess(configuration)
        self.file = ReportFile(self.process.reports_path)

    @property
    def pid(self) -> int:
        """Of the process as it is now."""
        return self.process.process.pid

    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process.process is not None and self.process.process.poll() is None

    def start(self) -> None:
        """A first start, or one after a kill: the reports begin anew, what was read of them stays."""
        states = self.file.states
        self.process.start()
        self.file = ReportFile(self.process.reports_path)
        self.file.states = states


class HollowRouters:
    """All processes of hollow routers of one crowd. layout: a RegionLayout."""

    def __init__(self, layout: RegionLayout, seed: int, in_process: int) -> None:
        """in_process: routers of one process at most."""
        self.layout, self.seed, self.in_process = layout, seed, in_process
        self.groups: list[HollowGroup] = []

    def start(self, count: int, in_process: int | None = None) -> list[HollowGroup]:
        """Further ones, all processes at a time; current() tells how many are up."""
        names, size = self.layout.add_hollow(count), in_process or self.in_process
        made = [self._group(names[first : first + size]) for first in range(0, count, size)]
        for group in made:
            self.groups.append(group)
            group.start()
        return made

    def _group(self, names: list[str]) -> HollowGroup:
        name, seed = f"hollow-{names[0]}", self.seed + int(names[0][1:])
        path = Path(self.layout.configure_hollow(name, names, seed, REPORT_EVERY))
        return HollowGroup(names, path)

    def read(self) -> None:
        """Takes in all reports so far."""
        for group in self.groups:
            group.file.read()

    def states(self) -> Iterable[State]:
        """All that each router has said of itself so far."""
        for group in self.groups:
            yield from group.file.states

    def current(self) -> int:
        """How many had a lease by their newest report."""
        return sum(
            router.lease == "current"
            for group in self.groups
            if (report := group.file.latest()) is not None
            for router in report.routers
        )

    def least_alive(self) -> int:
        """The fewest members that any of them sees alive."""
        reports = [group.file.latest() for group in self.groups]
        if None in reports:
            return 0
        seen = [router.members_alive or 0 for report in reports for router in report.routers]
        return min(seen, default=0)

    def count(self) -> int:
        """Of routers whose process runs."""
        return sum(len(group.names) for group in self.groups if group.alive())

    def end(self) -> None:
        """All processes, by id."""
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

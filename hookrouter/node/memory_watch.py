"""Watches the resident memory of this process: gauges, and log lines when it nears its limit."""

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

STATUS_FILE = Path("/proc/self/status")  # proc(5): VmRSS and VmHWM in kB of 1,024 bytes
CHECK_INTERVAL = 0.25  # seconds
LEVEL_SHARES = (0.75, 0.9, 1.0)  # of the limit: reaching one, or falling below it, is logged
KILOBYTE, MEGABYTE = 1_024, 1_000_000


def read_memory(status_file: Path = STATUS_FILE) -> tuple[int, int]:
    """(resident bytes now, their peak) of this process by the kernel; (0, 0) if it does not tell."""
    try:
        lines = status_file.read_text(encoding="ascii", errors="replace").splitlines()
    except OSError:
        return 0, 0
    sizes = dict(line.split(":", 1) for line in lines if line.startswith(("VmRSS:", "VmHWM:")))
    return _bytes_of(sizes.get("VmRSS", "0")), _bytes_of(sizes.get("VmHWM", "0"))


def _bytes_of(value: str) -> int:
    return int(value.split()[0]) * KILOBYTE


class MemoryWatch:
    """Compares resident memory with the limit of the settings at intervals.

    limit: bytes; tables(): what the bounded tables hold, by gauge name; deadlines, log: of the router.
    """

    def __init__(
        self,
        limit: int,
        tables: Callable[[], Mapping[str, int]],
        deadlines: Any,  # noqa: ANN401 tables.deadlines.Deadlines, which has no annotations
        log: Callable[..., None],
        read: Callable[[], tuple[int, int]] = read_memory,
    ) -> None:
        self.limit, self.tables, self.deadlines, self.log, self.read = limit, tables, deadlines, log, read
        self.level = 0  # how many of LEVEL_SHARES are reached

    def start(self) -> None:
        """Checks now and from now on."""
        self.check()
        self.deadlines.after(CHECK_INTERVAL, self.start)

    def check(self) -> None:
        """Logs a change of level with what the tables hold."""
        resident, peak = self.read()
        level = sum(resident >= share * self.limit for share in LEVEL_SHARES)
        if level == self.level:
            return
        event = "memory nears its limit" if level > self.level else "memory is back below"
        self.level = level
        self.log(
            event,
            f"{resident / MEGABYTE:.1f} of {self.limit / MEGABYTE:.0f} MB resident",
            level="warn",
            peak_mb=round(peak / MEGABYTE, 1),
            **self.tables(),
        )


def memory_gauges() -> dict[str, int]:
    """Gauges of this process's resident memory, bytes."""
    resident, peak = read_memory()
    return {"memory_resident_bytes": resident, "memory_peak_bytes": peak}

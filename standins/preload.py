"""Shims that are loaded into a running process with LD_PRELOAD and steered through a mapped file."""

import os
import struct
import subprocess
from pathlib import Path

SOURCES = Path(__file__).parent
NANOSECONDS = 1_000_000_000


class Preloaded:
    """A shim of one process. environment: of that process."""

    def __init__(self, folder: Path, source: str, variable: str, content: bytes) -> None:
        """Builds the C source of that name in the folder; raises CalledProcessError if the compiler does not.

        variable: names the mapped file to the shim; content: of the file at first.
        """
        library = folder / f"{source}.so"
        command = ["cc", "-O1", "-shared", "-fPIC", "-o", library, SOURCES / f"{source}.c", "-ldl"]
        subprocess.run(command, check=True)
        self.file = folder / f"{source}.plan"
        self.file.write_bytes(content)
        self.environment = {"LD_PRELOAD": str(library), variable: str(self.file)}

    def _set(self, content: bytes) -> None:
        """Replaces the content of the mapped file in place."""
        descriptor = os.open(self.file, os.O_WRONLY)
        try:
            os.pwrite(descriptor, content, 0)
        finally:
            os.close(descriptor)


class WallClock(Preloaded):
    """A wall clock that a test steps under a running process; its monotonic clock runs on."""

    def __init__(self, folder: Path) -> None:
        """Builds the shim in that folder; the clock is not stepped yet."""
        super().__init__(folder, "wall_clock", "WALL_CLOCK_STEP", struct.pack("q", 0))

    def step(self, seconds: float) -> None:
        """Sets the wall clock so many seconds ahead of the system's; negative: behind it."""
        self._set(struct.pack("q", int(seconds * NANOSECONDS)))


CALLS = ("accept4", "connect", "socket", "recv", "send", "shutdown", "epoll_wait")  # bits of the shim's set
SHORT = 0  # in place of an errno: reads and writes of one byte


class FailingCalls(Preloaded):
    """System calls that fail by a seeded draw."""

    def __init__(self, folder: Path, seed: int) -> None:
        """Builds the shim in that folder; no call fails yet."""
        self.seed = seed
        super().__init__(folder, "failing_calls", "FAILING_CALLS", struct.pack("iIII", 0, 0, seed, 0))

    def fail(self, error: int, one_in: int, *calls: str) -> None:
        """One in so many of these calls, named as in CALLS, fails with this errno; 0: none does."""
        bits = sum(1 << CALLS.index(call) for call in calls)
        self._set(struct.pack("iIII", error, one_in, self.seed, bits))

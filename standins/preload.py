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


class FailingCalls(Preloaded):
    """System calls that fail by a seeded draw: accept4."""

    def __init__(self, folder: Path, seed: int) -> None:
        """Builds the shim in that folder; no call fails yet."""
        self.seed = seed
        super().__init__(folder, "failing_calls", "FAILING_CALLS", struct.pack("iII", 0, 0, seed))

    def fail(self, error: int, one_in: int) -> None:
        """One call in so many fails with this errno; 0: none does."""
        self._set(struct.pack("iII", error, one_in, self.seed))

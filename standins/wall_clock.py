"""A wall clock that a test steps under a running process; its monotonic clock runs on. See wall_clock.c."""

import os
import struct
import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_suffix(".c")
NANOSECONDS = 1_000_000_000


class WallClock:
    """The step of one process's wall clock; environment: of that process."""

    def __init__(self, folder: Path) -> None:
        """Builds the library in that folder; raises CalledProcessError if the compiler does not."""
        library = folder / "wall_clock.so"
        subprocess.run(["cc", "-O1", "-shared", "-fPIC", "-o", library, SOURCE, "-ldl"], check=True)
        self.file = folder / "wall_clock_step"
        self.file.write_bytes(struct.pack("q", 0))
        self.environment = {"LD_PRELOAD": str(library), "WALL_CLOCK_STEP": str(self.file)}

    def step(self, seconds: float) -> None:
        """Sets the wall clock so many seconds ahead of the system's; negative: behind it."""
        descriptor = os.open(self.file, os.O_WRONLY)
        try:
            os.pwrite(descriptor, struct.pack("q", int(seconds * NANOSECONDS)), 0)
        finally:
            os.close(descriptor)

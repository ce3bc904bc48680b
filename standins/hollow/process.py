"""A process of hollow routers as seen by its parent: start, reports, signals and end."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from types import TracebackType

import msgspec

from .report import Report

ROOT = Path(__file__).resolve().parent.parent.parent
END_WITHIN = 5.0  # seconds after SIGTERM
POLL_INTERVAL = 0.05  # seconds between checks for a report

decode = msgspec.json.Decoder(Report).decode


def read_reports(path: Path) -> list[Report]:
    """Returns the reports of all complete lines of a file, in order."""
    lines = path.read_bytes().split(b"\n") if path.exists() else [b""]
    return [decode(line) for line in lines[:-1]]


class HollowProcess:
    """Writes reports to CONFIG.reports beside the configuration, and the log to CONFIG.log."""

    def __init__(self, configuration: str | Path) -> None:
        """configuration: the path of CONFIG.json."""
        self.configuration = Path(configuration)
        self.reports_path = self.configuration.with_suffix(".reports")
        self.log_path = self.configuration.with_suffix(".log")
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process without waiting; its first report shows that it runs."""
        with open(self.reports_path, "wb") as out, open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "standins.hollow", str(self.configuration)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def reports(self) -> list[Report]:
        """Returns all reports so far."""
        return read_reports(self.reports_path)

    def next_report(self, within: float = 10.0) -> Report:
        """Returns the first report written from now on; RuntimeError if there is none in time."""
        before, until = len(self.reports()), time.monotonic() + within
        while time.monotonic() < until and self.process.poll() is None:
            found = self.reports()
            if len(found) > before:
                return found[before]
            time.sleep(POLL_INTERVAL)
        raise RuntimeError(f"no report of {self.configuration.name}: {self.log()[-500:]}")

    def log(self) -> str:
        """Returns what the process wrote to standard error."""
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""

    def pause(self) -> None:
        """Suspends the process (SIGSTOP)."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes the process (SIGCONT)."""
        self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process (SIGKILL) and waits for its end."""
        self.process.kill()
        self.process.wait()

    def end(self) -> int | None:
        """Ends the process by SIGTERM, then SIGKILL; returns its exit code."""
        if self.process is None:
            return None
        if self.process.poll() is None:
            self.resume()
            self.process.terminate()
            try:
                self.process.wait(END_WITHIN)
            except subprocess.TimeoutExpired:
                self.kill()
        return self.process.returncode

    def __enter__(self) -> "HollowProcess":
        """Starts the process."""
        self.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Ends the process, also after an error."""
        self.end()

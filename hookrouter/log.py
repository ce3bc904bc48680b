"""Logging to standard error, rate limited by kind of event, with a count of the omitted lines.

As text, `hookrouter: KIND: DETAIL key=value`, or as one JSON object per line.
"""

import fcntl
import json
import os
import stat
import sys
import termios
import time
from io import UnsupportedOperation

from .clock import unix_seconds

MAX_BURST = 5  # lines of one kind per period: enough to recognize the problem
MAX_DETAIL = 2_000  # characters of a detail; stack traces of this package have some hundreds
PERIOD = 10.0  # seconds
PIPE_PAGE = 4_096  # bytes: a pipe holds pages, the last one partly filled; a line has less than one
TEXT, JSON = "text", "json"


class Log:
    """A rate-limited logger; call it to log an event."""

    def __init__(self, clock=time.monotonic, out=None, form=TEXT, wall_clock=unix_seconds):
        self.clock, self.out, self.form, self.wall_clock = clock, out, form, wall_clock
        self.kinds = {}  # kind -> [start of its period, lines written, lines omitted]
        self.lost_count = 0  # lines since the last one written that found no room

    def __call__(self, kind, detail="", level="info", **values):
        """kind: one of the event names in the operators' documentation; detail and values: no secrets."""
        now = self.clock()
        state = self.kinds.setdefault(kind, [now, 0, 0])
        if now - state[0] >= PERIOD:
            self._report_dropped(kind, state)
            state[:] = [now, 0, 0]
        if state[1] >= MAX_BURST:
            state[2] += 1
            return
        state[1] += 1
        self._write(kind, detail[:MAX_DETAIL], level, values)

    def _report_dropped(self, kind, state):
        if state[2]:
            self._write(kind, f"{state[2]} more left out", "info", {})

    def close(self):
        """Logs the outstanding counts of omitted lines."""
        for kind, state in self.kinds.items():
            self._report_dropped(kind, state)
        self.kinds.clear()

    def plain(self, line):
        """Writes a requested line, exempt from the rate limit."""
        self._write(line, "", "info", {})

    def _write(self, kind, detail, level, values):
        out = self.out or sys.stderr
        try:
            if not has_room(out):
                self.lost_count += 1
                return
            if self.lost_count:
                lost_count, self.lost_count = self.lost_count, 0
                self._write("log", f"{lost_count} lines could not be written", "warn", {})
            print(FORMS[self.form](self.wall_clock, kind, detail, level, values), file=out, flush=True)
        except (OSError, ValueError):
            pass  # standard error is closed: the router must go on serving or shutting down


def has_room(out):
    """Whether a line can be written without blocking; a pipe may be full because nobody reads it."""
    try:
        descriptor = out.fileno()
    except (AttributeError, UnsupportedOperation):
        return True  # in memory
    if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
        return True
    held = int.from_bytes(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)), sys.byteorder)
    return held + 2 * PIPE_PAGE <= fcntl.fcntl(descriptor, fcntl.F_GETPIPE_SZ)


def as_text(wall_clock, kind, detail, level, values):
    """Formats a line for people."""
    pairs = " ".join(f"{key}={value}" for key, value in values.items())
    text = " ".join(part for part in (detail, pairs) if part)
    return f"hookrouter: {kind}: {text}" if text else f"hookrouter: {kind}"


def as_json(wall_clock, kind, detail, level, values):
    """Formats a line as a JSON object."""
    fields = {"event": kind, "level": level, "time": round(wall_clock(), 3)}
    if detail:
        fields["detail"] = detail
    return json.dumps({**fields, **values}, default=str)


FORMS = {TEXT: as_text, JSON: as_json}

"""Trace of one router: rows are collected and written in blocks; a disk error turns tracing off."""

from ..stores.trace_log import TraceLog
from ..trace.rows import Recorder, make_header

BLOCK_BYTES = 64_000  # bytes compressed at once: some hundred decisions, under a millisecond
MAX_WRITE_DELAY = 1.0  # seconds that a row waits for the disk at most: what a crash loses


class Tracing:
    """Trace writer of one router."""

    def __init__(self, start, started_at, guarded, deadlines, log, count):
        self.deadlines, self.log, self.count = deadlines, log, count
        self.recorder = Recorder(make_header(start.name, start.terms, started_at, start.seed, guarded))
        self.store = TraceLog(start.trace["folder"], start.name, start.trace["size"], self.recorder.header)
        self.write_timer = None

    def record(self, now, event, effects, control, trace_id):
        """Adds a decision to the trace; trace_id: of the lookup, or None."""
        if self.store is None:
            return
        self.recorder.record(now, event, effects, control, trace_id)
        if self.recorder.size >= BLOCK_BYTES:
            self.write()
        elif self.write_timer is None:
            self.write_timer = self.deadlines.after(MAX_WRITE_DELAY, self.write)

    def write(self):
        """Writes the collected rows now."""
        if self.write_timer is not None:
            self.deadlines.drop(self.write_timer)
            self.write_timer = None
        if self.store is None or not self.recorder.size:
            return
        try:
            self.store.write(self.recorder.fetch())
        except OSError as error:
            # Lookups go on: the trace matters less than serving them.
            self.count("traces_failed")
            self.log("trace cannot be written, off until a restart", str(error), level="error")
            self._disable()

    def close(self):
        """Writes the remaining rows and closes the file."""
        self.write()
        self._disable()

    def _disable(self):
        store, self.store = self.store, None
        if store is not None:
            store.close()

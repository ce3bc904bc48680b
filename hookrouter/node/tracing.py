"""The trace of one router: lines collected, written in blocks; off at the first fault of the disk."""

from ..stores.trace_log import TraceLog
from ..trace.rows import Recorder, make_header

BLOCK = 64_000  # bytes of lines that are compressed at once: some hundred decisions, under a millisecond
EVERY = 1.0  # seconds that a line waits at most: what a crash costs


class Tracing:
    """One router's; write() is called by decisions, the rest by whoever owns it."""

    def __init__(self, start, began, guarded, deadlines, log, count):
        self.deadlines, self.log, self.count = deadlines, log, count
        self.recorder = Recorder(make_header(start.name, start.terms, began, start.seed, guarded))
        self.store = TraceLog(start.trace["folder"], start.name, start.trace["size"], self.recorder.header)
        self.next = None

    def decided(self, now, event, effects, control, ref):
        if self.store is None:
            return
        self.recorder.record(now, event, effects, control, ref)
        if self.recorder.size >= BLOCK:
            self.write()
        elif self.next is None:
            self.next = self.deadlines.after(EVERY, self.write)

    def write(self):
        if self.next is not None:
            self.deadlines.drop(self.next)
            self.next = None
        if self.store is None or not self.recorder.size:
            return
        try:
            self.store.write(self.recorder.fetch())
        except OSError as wrong:
            # Lookups go on: an account of them is worth less than they are.
            self.count("traces_failed")
            self.log("trace cannot be written, off until a restart", str(wrong), level="error")
            self._end()

    def close(self):
        self.write()
        self._end()

    def _end(self):
        store, self.store = self.store, None
        if store is not None:
            store.close()

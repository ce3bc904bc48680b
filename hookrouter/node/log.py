"""The log: plain lines on standard error, each kind so many at a time, with a count of what was left out."""

import sys
import time

BURST = 5  # lines of a kind at once: enough to see what it is about
LONGEST = 2_000  # characters of a detail: a stack trace of the module has some hundreds
PERIOD = 10.0  # seconds until the next burst


class Log:
    def __init__(self, clock=time.monotonic, out=None):
        self.clock, self.out = clock, out
        self.kinds = {}  # kind -> [since when, lines, left out]

    def __call__(self, kind, detail=""):
        """kind is one of the texts of the on-call page; detail may be anything."""
        now = self.clock()
        row = self.kinds.setdefault(kind, [now, 0, 0])
        if now - row[0] >= PERIOD:
            self._tell(kind, row)
            row[:] = [now, 0, 0]
        if row[1] >= BURST:
            row[2] += 1
            return
        row[1] += 1
        self._write(f"{kind}: {detail[:LONGEST]}" if detail else kind)

    def _tell(self, kind, row):
        if row[2]:
            self._write(f"{kind}: {row[2]} more left out")

    def close(self):
        for kind, row in self.kinds.items():
            self._tell(kind, row)
        self.kinds.clear()

    def plain(self, line):
        """A line that was asked for: never left out."""
        self._write(line)

    def _write(self, line):
        try:
            print(f"hookrouter: {line}", file=self.out or sys.stderr, flush=True)
        except OSError:
            pass  # nobody reads it any more: that must not keep the router from serving or ending

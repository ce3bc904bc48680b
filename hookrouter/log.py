"""The log: lines on standard error, each kind so many at a time, with a count of what was left out.

As text for people, `hookrouter: KIND: DETAIL key=value`, or as one JSON object a line for what collects them.
"""

import json
import sys
import time

BURST = 5  # lines of a kind at once: enough to see what it is about
LONGEST = 2_000  # characters of a detail: a stack trace of the module has some hundreds
PERIOD = 10.0  # seconds until the next burst
TEXT, JSON = "text", "json"


class Log:
    def __init__(self, clock=time.monotonic, out=None, form=TEXT, wall=time.time):
        self.clock, self.out, self.form, self.wall = clock, out, form, wall
        self.kinds = {}  # kind -> [since when, lines, left out]

    def __call__(self, kind, detail="", level="info", **values):
        """kind is one of the texts of the operators' pages; detail and values may be anything but secrets."""
        now = self.clock()
        row = self.kinds.setdefault(kind, [now, 0, 0])
        if now - row[0] >= PERIOD:
            self._tell(kind, row)
            row[:] = [now, 0, 0]
        if row[1] >= BURST:
            row[2] += 1
            return
        row[1] += 1
        self._write(kind, detail[:LONGEST], level, values)

    def _tell(self, kind, row):
        if row[2]:
            self._write(kind, f"{row[2]} more left out", "info", {})

    def close(self):
        for kind, row in self.kinds.items():
            self._tell(kind, row)
        self.kinds.clear()

    def plain(self, line):
        """A line that was asked for: never left out."""
        self._write(line, "", "info", {})

    def _write(self, kind, detail, level, values):
        try:
            print(
                FORMS[self.form](self.wall, kind, detail, level, values),
                file=self.out or sys.stderr,
                flush=True,
            )
        except OSError:
            pass  # nobody reads it any more: that must not keep the router from serving or ending


def as_text(wall, kind, detail, level, values):
    pairs = " ".join(f"{key}={value}" for key, value in values.items())
    said = " ".join(part for part in (detail, pairs) if part)
    return f"hookrouter: {kind}: {said}" if said else f"hookrouter: {kind}"


def as_json(wall, kind, detail, level, values):
    row = {"event": kind, "level": level, "time": round(wall(), 3)}
    if detail:
        row["detail"] = detail
    return json.dumps({**row, **values}, default=str)


FORMS = {TEXT: as_text, JSON: as_json}

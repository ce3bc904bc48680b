"""Counts what goes to each cache, for those to whom this router tells it: only where sharing is on."""

from math import exp

from .. import interface

OUT_OVER = 10_000  # 1 s: sends out are averaged over it, for one look finds none most of the time
RATE_OVER = 20_000  # 2 s: of a few sends a second
BLEND = 1 / 16  # weight of the newest in what answers took and how many were refused
IDLE = 0.005  # below it a load is none, and its row ends where the cache is gone


class Tally:
    """Loads are by machine: what fills a cache counts each send that it may have to feed."""

    def __init__(self):
        self.out, self.started = {}, {}  # id -> sends out; sends started since the last look
        self.loads, self.at, self.listed = {}, None, set()  # id -> [out, rate], averaged
        self.answers = {}  # id -> [what answers took, share refused], averaged

    def sent(self, cache, source):
        for name in (cache, source):
            if name is not None:
                self.out[name] = self.out.get(name, 0) + 1
                self.started[name] = self.started.get(name, 0) + 1

    def ended(self, cache, source, end, took):
        for name in (cache, source):
            left = self.out.get(name, 0) - 1
            if left > 0:
                self.out[name] = left
            else:
                self.out.pop(name, None)
        if end in (interface.SATISFIED, interface.FULL):
            row = self.answers.setdefault(cache, [float(took), 0.0])
            row[0] += BLEND * (took - row[0]) if end == interface.SATISFIED else 0.0
            row[1] += BLEND * ((end == interface.FULL) - row[1])

    def list(self, event):
        """The feed's list: caches without a load are told as idle, and those gone are told no more."""
        ready = {cache.id for cache in event.caches if cache.phase != interface.GONE}
        gone = {cache.id for cache in event.caches} - ready
        self.listed = ready if event.whole else (self.listed | ready) - gone
        self.answers = {name: row for name, row in self.answers.items() if name in self.listed}

    def look(self, now):
        """[(cache, "", out, rate a second)] of now."""
        span = 0 if self.at is None else max(0, now - self.at)
        self.at = now
        if span:
            keep_out, keep_rate = exp(-span / OUT_OVER), exp(-span / RATE_OVER)
            for name in {*self.loads, *self.out, *self.started, *self.listed}:
                load = self.loads.setdefault(name, [0.0, 0.0])
                load[0] += (1 - keep_out) * (self.out.get(name, 0) - load[0])
                load[1] += (1 - keep_rate) * (self.started.get(name, 0) * 10_000 / span - load[1])
                if max(load) < IDLE and name not in self.listed and name not in self.out:
                    del self.loads[name]
            self.started = {}
        return [(name, "", *self.loads[name]) for name in sorted(self.loads)]

"""Counts what goes to each cache, for those to whom this router tells it: only where sharing is on."""

from math import exp

from .. import interface

ACTIVE_SENDS_TIME_CONSTANT = (
    10_000  # 1 s: sends out are averaged over it, for one look finds none most of the time
)
RATE_TIME_CONSTANT = 20_000  # 2 s: of a few sends a second
ANSWER_WEIGHT = 1 / 16  # weight of the newest in what answers took and how many were refused
IDLE_LOAD = 0.005  # below it a load is none, and its row ends where the cache is gone


class CacheLoads:
    """Loads are by machine: what fills a cache counts each send that it may have to feed."""

    def __init__(self):
        self.active_sends, self.started = {}, {}  # id -> sends out; sends started since the last look
        self.loads, self.sampled_at, self.listed_caches = {}, None, set()  # id -> [out, rate], averaged
        self.answer_stats = {}  # id -> [what answers took, share refused], averaged

    def send_started(self, cache, source):
        for name in (cache, source):
            if name is not None:
                self.active_sends[name] = self.active_sends.get(name, 0) + 1
                self.started[name] = self.started.get(name, 0) + 1

    def send_ended(self, cache, source, outcome, duration):
        for name in (cache, source):
            remaining = self.active_sends.get(name, 0) - 1
            if remaining > 0:
                self.active_sends[name] = remaining
            else:
                self.active_sends.pop(name, None)
        if outcome in (interface.SATISFIED, interface.FULL):
            row = self.answer_stats.setdefault(cache, [float(duration), 0.0])
            row[0] += ANSWER_WEIGHT * (duration - row[0]) if outcome == interface.SATISFIED else 0.0
            row[1] += ANSWER_WEIGHT * ((outcome == interface.FULL) - row[1])

    def update_caches(self, event):
        """The feed's list: caches without a load are told as idle, and those gone are told no more."""
        ready = {cache.id for cache in event.caches if cache.phase != interface.GONE}
        gone = {cache.id for cache in event.caches} - ready
        self.listed_caches = ready if event.snapshot else (self.listed_caches | ready) - gone
        self.answer_stats = {
            name: row for name, row in self.answer_stats.items() if name in self.listed_caches
        }

    def sample(self, now):
        """[(cache, "", out, rate a second)] of now."""
        elapsed = 0 if self.sampled_at is None else max(0, now - self.sampled_at)
        self.sampled_at = now
        if elapsed:
            keep_active, keep_rate = (
                exp(-elapsed / ACTIVE_SENDS_TIME_CONSTANT),
                exp(-elapsed / RATE_TIME_CONSTANT),
            )
            for name in {*self.loads, *self.active_sends, *self.started, *self.listed_caches}:
                load = self.loads.setdefault(name, [0.0, 0.0])
                load[0] += (1 - keep_active) * (self.active_sends.get(name, 0) - load[0])
                load[1] += (1 - keep_rate) * (self.started.get(name, 0) * 10_000 / elapsed - load[1])
                if max(load) < IDLE_LOAD and name not in self.listed_caches and name not in self.active_sends:
                    del self.loads[name]
            self.started = {}
        return [(name, "", *self.loads[name]) for name in sorted(self.loads)]

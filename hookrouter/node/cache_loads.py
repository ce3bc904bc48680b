"""Measures the load that this router puts on each cache, for sharing with its fleet; only with [sharing]."""

from math import exp

from .. import interface

# 1 s: averages the active sends, as a single sample finds none most of the time.
ACTIVE_SENDS_TIME_CONSTANT = 10_000
RATE_TIME_CONSTANT = 20_000  # 2 s: averages the rate at a few sends a second
ANSWER_WEIGHT = 1 / 16  # weight of the newest answer in the averages of duration and refusals
IDLE_LOAD = 0.005  # a load below this counts as none, and its row is removed if the cache is gone


class CacheLoads:
    """Averages by cache. A send counts for the cache and for the source that may have to feed its fill."""

    def __init__(self):
        self.active_sends, self.started = {}, {}  # id -> active sends; sends started since the last sample
        # loads: id -> [active sends, sends per second], averaged.
        self.loads, self.sampled_at, self.listed_caches = ({}, None, set())
        self.answer_stats = {}  # id -> [answer duration, share refused], averaged

    def send_started(self, cache, source):
        """Counts a send to a cache. source: of its fill, or None."""
        for name in (cache, source):
            if name is not None:
                self.active_sends[name] = self.active_sends.get(name, 0) + 1
                self.started[name] = self.started.get(name, 0) + 1

    def send_ended(self, cache, source, outcome, duration):
        """Ends a send that send_started() counted. duration in tenths of a millisecond."""
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
        """Applies a cache list event: listed caches without load are reported as idle, others dropped."""
        ready = {cache.id for cache in event.caches if cache.phase != interface.GONE}
        gone = {cache.id for cache in event.caches} - ready
        self.listed_caches = ready if event.snapshot else (self.listed_caches | ready) - gone
        self.answer_stats = {
            name: row for name, row in self.answer_stats.items() if name in self.listed_caches
        }

    def sample(self, now):
        """Updates the averages; returns [(cache, "", active sends, sends per second)] sorted by cache."""
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

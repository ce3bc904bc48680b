"""Simulated time: a heap of scheduled calls; calls of the same time run in the order they were scheduled."""

from heapq import heappop, heappush


class Engine:
    """The event loop. Times are integers in tenths of a millisecond; it uses no clock and no randomness."""

    def __init__(self):
        self.now, self.count, self.heap, self.calls = 0, 0, [], 0

    def after(self, delay, call, *args):
        """Schedules a call after the delay; a negative delay counts as zero."""
        self.count += 1
        heappush(self.heap, (self.now + max(0, delay), self.count, call, args))

    def run(self, until):
        """Runs all calls up to that time and sets the clock to it."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, call, args = heappop(heap)
            self.calls += 1
            call(*args)
        self.now = max(self.now, until)


class Tally:
    """Counts jobs in a system over time, to check Little's law and to find jobs that never leave."""

    def __init__(self, engine):
        self.engine = engine
        self.inside = self.arrived = self.left = 0
        self.area = self.total_stay = self.changed_at = 0

    def _advance(self):
        self.area += self.inside * (self.engine.now - self.changed_at)
        self.changed_at = self.engine.now

    def enter(self):
        """Counts an arrival; returns its time, to be passed to leave()."""
        self._advance()
        self.inside += 1
        self.arrived += 1
        return self.engine.now

    def leave(self, entered_at):
        """Counts a departure."""
        self._advance()
        self.inside -= 1
        self.left += 1
        self.total_stay += self.engine.now - entered_at

    def little(self):
        """Returns (total time spent inside, integral of the number inside).

        They are equal once all have left (Little, 1961).
        """
        self._advance()
        return self.total_stay, self.area

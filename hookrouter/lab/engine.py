"""Simulated time: one heap of calls, each at its moment, those of one moment in the order in which they were
asked for.
"""

from heapq import heappop, heappush


class Engine:
    """Times are whole tenths of a millisecond; nothing here reads a clock or draws a number."""

    def __init__(self):
        self.now, self.count, self.heap, self.calls = 0, 0, [], 0

    def after(self, span, call, *args):
        """Calls that much later; a moment that is past counts as now."""
        self.count += 1
        heappush(self.heap, (self.now + max(0, span), self.count, call, args))

    def run(self, until):
        """All calls up to then; the clock stands at it afterwards."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, call, args = heappop(heap)
            self.calls += 1
            call(*args)
        self.now = max(self.now, until)


class Tally:
    """How many are inside, over time: for Little's law, and to find what never comes out."""

    def __init__(self, engine):
        self.engine = engine
        self.inside = self.came = self.left = 0
        self.area = self.stayed = self.since = 0

    def _move(self):
        self.area += self.inside * (self.engine.now - self.since)
        self.since = self.engine.now

    def enter(self):
        """The moment, to be given back at the end."""
        self._move()
        self.inside += 1
        self.came += 1
        return self.engine.now

    def leave(self, entered):
        self._move()
        self.inside -= 1
        self.left += 1
        self.stayed += self.engine.now - entered

    def little(self):
        """(time spent inside by all, the integral of the number inside): the same once all have left (Little,
        1961).
        """
        self._move()
        return self.stayed, self.area

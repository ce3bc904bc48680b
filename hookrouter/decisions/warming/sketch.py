"""What was asked for here, in bounded room: Space-Saving (Metwally and others, 2005) that forgets.

Of n lookups and k rows no count is off by more than n/k; what was asked for more than n/k times is in.
Halving all rows halves n, so the bound goes on to hold of what is left. Lists are made in Misra and Gries'
form (1982), the same rows less the least of them: such merge with the bound kept (Agarwal and others,
"Mergeable Summaries", 2012, theorem 2.2), and never say more than was asked.
"""

from heapq import heapify, heappush, heapreplace
from typing import NamedTuple

DEFAULT_CAPACITY = 4_097  # rows: lists of 4,096, some 2 MB
HALVING_INTERVAL = 300_000  # 30 s: what was popular two minutes ago counts a sixteenth


class Summary(NamedTuple):
    """total: all that was asked; rows: {name: (at least so much, size, group)}; k: rows at most."""

    total: float
    rows: dict
    capacity: int

    def slack(self):
        """By so much at most each row, and each name that is not in, was asked for more."""
        return (self.total - sum(row[0] for row in self.rows.values())) / (self.capacity + 1)


class Sketch:
    """asked() is on each lookup's path: one look-up in a table for names that are in."""

    def __init__(self, capacity=DEFAULT_CAPACITY):
        self.capacity, self.total, self.insertions = capacity, 0.0, 0
        self.rows = {}  # name -> [count, size, group, what of the count may be others']
        self.heap = []  # (count when it was looked at last, order of entry, name): counts there lag behind

    def record(self, name, size, group=0):
        self.total += 1
        row = self.rows.get(name)
        if row is not None:
            row[0] += 1
            if size:
                row[1] = size
            return
        self._enter(name, size, group)

    def _enter(self, name, size, group):
        """In place of the least asked for, whose count it takes over: that is the error."""
        self.insertions += 1
        if len(self.rows) < self.capacity:
            self.rows[name] = [1.0, size, group, 0.0]
            heappush(self.heap, (1.0, self.insertions, name))
            return
        heap = self.heap
        count, order, victim = heap[0]
        while self.rows[victim][0] != count:  # it was asked for since: to its place
            heapreplace(heap, (self.rows[victim][0], order, victim))
            count, order, victim = heap[0]
        del self.rows[victim]
        self.rows[name] = [count + 1, size, group, count]
        heapreplace(heap, (count + 1, self.insertions, name))

    def halve(self):
        """Forgets by half; the executor's clock says when."""
        self.total /= 2
        for row in self.rows.values():
            row[0] /= 2
            row[3] /= 2
        self.heap = [(self.rows[name][0], order, name) for _, order, name in self.heap]
        heapify(self.heap)

    def min_count(self):
        return min(row[0] for row in self.rows.values()) if len(self.rows) == self.capacity else 0.0

    def summary(self):
        """The rows less the least, as a Summary of one row fewer."""
        min_count = self.min_count()
        return Summary(
            self.total,
            {
                name: (count - min_count, size, group)
                for name, (count, size, group, _) in self.rows.items()
                if count > min_count
            },
            self.capacity - 1,
        )

    def lower_bounds(self):
        """As a Summary to lend: each row less its own error, which is tighter, and does not merge further."""
        return Summary(
            self.total,
            {
                name: (count - error, size, group)
                for name, (count, size, group, error) in self.rows.items()
                if count > error
            },
            self.capacity - 1,
        )


def merge(first, second):
    """Both as one Summary of the smaller's rows: either way round the same."""
    capacity = min(first.capacity, second.capacity)
    rows = dict(first.rows)
    for name, (count, size, group) in second.rows.items():
        if name in rows:
            count, size, group = count + rows[name][0], max(size, rows[name][1]), max(group, rows[name][2])
        rows[name] = count, size, group
    cutoff = (
        sorted((row[0] for row in rows.values()), reverse=True)[capacity] if len(rows) > capacity else 0.0
    )
    rows_left = {
        name: (count - cutoff, size, group) for name, (count, size, group) in rows.items() if count > cutoff
    }
    return Summary(first.total + second.total, rows_left, capacity)

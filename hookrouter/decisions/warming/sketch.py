"""A popularity sketch of lookups in bounded memory: Space-Saving (Metwally and others, 2005) with decay.

Of n lookups and k rows no count is off by more than n/k, and each name with more than n/k lookups is in.
Halving all rows halves n, so the bound holds for the rest. Summaries have the form of Misra and Gries (1982),
which are the rows less the smallest count. They merge without losing the bound (Agarwal and others,
"Mergeable Summaries", 2012, theorem 2.2) and never overstate a count.
"""

from heapq import heapify, heappush, heapreplace
from typing import NamedTuple

DEFAULT_CAPACITY = 4_097  # rows, for lists of 4,096; some 2 MB
HALVING_INTERVAL = 300_000  # 30 s: lookups of two minutes ago count a sixteenth


class Summary(NamedTuple):
    """A mergeable summary. total: all lookups; rows: {name: (lower bound of its lookups, size, group)};
    capacity: the largest number of rows.
    """

    total: float
    rows: dict
    capacity: int

    def slack(self):
        """Returns the most by which the lookups of any name, listed or not, exceed its lower bound."""
        return (self.total - sum(row[0] for row in self.rows.values())) / (self.capacity + 1)


class Sketch:
    """Counts lookups by name. record() is called on the path of each lookup: one table lookup for a known
    name.
    """

    def __init__(self, capacity=DEFAULT_CAPACITY):
        self.capacity, self.total, self.insertions = capacity, 0.0, 0
        self.rows = {}  # name -> [count, size, group, part of the count that may belong to other names]
        self.heap = []  # (count when last updated, order of insertion, name); counts in it lag behind

    def record(self, name, size, group=0):
        """Counts a lookup of a name; size is in bytes, or 0 where unknown."""
        self.total += 1
        row = self.rows.get(name)
        if row is not None:
            row[0] += 1
            if size:
                row[1] = size
            return
        self._enter(name, size, group)

    def _enter(self, name, size, group):
        """Replaces the name with the smallest count and takes over that count as the error."""
        self.insertions += 1
        if len(self.rows) < self.capacity:
            self.rows[name] = [1.0, size, group, 0.0]
            heappush(self.heap, (1.0, self.insertions, name))
            return
        heap = self.heap
        count, order, victim = heap[0]
        while self.rows[victim][0] != count:  # it was looked up since: move it to its place
            heapreplace(heap, (self.rows[victim][0], order, victim))
            count, order, victim = heap[0]
        del self.rows[victim]
        self.rows[name] = [count + 1, size, group, count]
        heapreplace(heap, (count + 1, self.insertions, name))

    def halve(self):
        """Halves all counts; the executor calls it every HALVING_INTERVAL."""
        self.total /= 2
        for row in self.rows.values():
            row[0] /= 2
            row[3] /= 2
        self.heap = [(self.rows[name][0], order, name) for _, order, name in self.heap]
        heapify(self.heap)

    def min_count(self):
        """Returns the smallest count, or 0 while there are free rows."""
        return min(row[0] for row in self.rows.values()) if len(self.rows) == self.capacity else 0.0

    def summary(self):
        """Returns the rows less the smallest count, as a Summary of one row fewer."""
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
        """Returns a Summary to lend, with each row less its own error: tighter than summary(), but not
        mergeable.
        """
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
    """Merges two summaries into one of the smaller capacity; the order does not matter."""
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

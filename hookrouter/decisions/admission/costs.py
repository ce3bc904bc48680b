"""What admissions cost here, measured: a moving mean of each sort."""

from . import words as w

FIRST = {w.TAIL: 20, w.SNAPSHOT: 200}  # 2 ms and 20 ms: until the first of that sort has ended
NEW = 0.25  # weight of the newest: a change of cost is followed within some ten admissions
LEAST = 1  # a tenth of a millisecond: the clock's step


class Costs:
    def __init__(self):
        self.mean = dict(FIRST)
        self.measured = dict.fromkeys(FIRST, 0)

    def add(self, how, took):
        took = max(LEAST, took)
        weight = NEW if self.measured[how] else 1.0
        self.measured[how] += 1
        self.mean[how] += weight * (took - self.mean[how])

    def of(self, how):
        return self.mean[how]

    def gap(self, counts, share):
        """From one admission to the next, where so many of each sort wait: the mix's mean over the share."""
        many = sum(counts.values())
        if not many:
            counts, many = self.measured, sum(self.measured.values())
        if not many:
            return self.mean[w.SNAPSHOT] / share  # nothing known: as if all were dear
        return sum(self.mean[how] * count for how, count in counts.items()) / many / share

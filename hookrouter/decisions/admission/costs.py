"""What admissions cost here, measured: a moving mean of each sort."""

from . import messages

INITIAL_COSTS = {
    messages.TAIL: 20,
    messages.SNAPSHOT: 200,
}  # 2 ms and 20 ms: until the first of that sort has ended
NEWEST_WEIGHT = 0.25  # weight of the newest: a change of cost is followed within some ten admissions
MIN_COST = 1  # a tenth of a millisecond: the clock's step


class Costs:
    def __init__(self):
        self.means = dict(INITIAL_COSTS)
        self.samples = dict.fromkeys(INITIAL_COSTS, 0)

    def add(self, transfer, duration):
        duration = max(MIN_COST, duration)
        weight = NEWEST_WEIGHT if self.samples[transfer] else 1.0
        self.samples[transfer] += 1
        self.means[transfer] += weight * (duration - self.means[transfer])

    def mean_of(self, transfer):
        return self.means[transfer]

    def gap(self, counts, share):
        """From one admission to the next, where so many of each sort wait: the mix's mean over the share."""
        waiting = sum(counts.values())
        if not waiting:
            counts, waiting = self.samples, sum(self.samples.values())
        if not waiting:
            return self.means[messages.SNAPSHOT] / share  # nothing known: as if all were dear
        return sum(self.means[transfer] * count for transfer, count in counts.items()) / waiting / share

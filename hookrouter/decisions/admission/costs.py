"""The measured cost of admissions: a moving mean of the duration of each kind of transfer."""

from . import messages

# 2 ms and 20 ms, until the first transfer of that kind has completed
INITIAL_COSTS = {messages.TAIL: 20, messages.SNAPSHOT: 200}
NEWEST_WEIGHT = 0.25  # weight of the newest sample: a changed cost is followed within some ten admissions
MIN_COST = 1  # a tenth of a millisecond, the resolution of the clock


class Costs:
    """Moving means of the durations, in tenths of a millisecond, by kind of transfer."""

    def __init__(self):
        self.means = dict(INITIAL_COSTS)
        self.samples = dict.fromkeys(INITIAL_COSTS, 0)

    def add(self, transfer, duration):
        """Records the duration of a completed transfer."""
        duration = max(MIN_COST, duration)
        weight = NEWEST_WEIGHT if self.samples[transfer] else 1.0
        self.samples[transfer] += 1
        self.means[transfer] += weight * (duration - self.means[transfer])

    def mean_of(self, transfer):
        """Returns the mean duration of this kind of transfer."""
        return self.means[transfer]

    def gap(self, counts, share):
        """Returns the interval between two admissions: the mean cost of the waiting mix, divided by the share
        of time that admissions may take.
        """
        waiting = sum(counts.values())
        if not waiting:
            counts, waiting = self.samples, sum(self.samples.values())
        if not waiting:
            # nothing is known: every transfer is taken for a snapshot
            return self.means[messages.SNAPSHOT] / share
        return sum(self.means[transfer] * count for transfer, count in counts.items()) / waiting / share

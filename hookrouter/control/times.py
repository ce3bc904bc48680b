"""What answers take, by kind: the mean sending time, and average and deviation of what comes beyond it."""

TYPICAL = 0.5  # of the mean sending time, where sizes are not told: most lie well under a skewed mean
FIRST_DEADLINE = 30_000  # the design's 3 s: the average and deviation begin so and give way to times seen
LAST_DEADLINE = 100_000  # the design's 10 s, where backing off ends
DEVIATIONS = 4  # deviations above the average: few sound parts are beyond (as TCP's timer has it)
BLEND = 1 / 16  # weight of the newest time in an average: some seconds of one router's traffic
LEAST_WAIT = 20  # 2 ms: less time than that cannot bring an answer


class Times:
    def __init__(self, kinds):
        self.kinds, self.mean_work = kinds, [float(kind.latency_budget) for kind in kinds]
        # These begin as the first deadline and give way to what is seen: one quick hit tells little of fills.
        self.average = [0.0] * len(kinds)
        self.deviation = [FIRST_DEADLINE / DEVIATIONS] * len(kinds)

    def took(self, k, over):
        self.deviation[k] += BLEND * (abs(over - self.average[k]) - self.deviation[k])
        self.average[k] += BLEND * (over - self.average[k])

    def worked(self, k, work):
        self.mean_work[k] += BLEND * (work - self.mean_work[k])

    def budget(self, sent):
        kind = self.kinds[sent.kind_index]
        return kind.latency_budget + kind.budget_stretch * (
            sent.sending_time or TYPICAL * self.mean_work[sent.kind_index]
        )

    def deadline(self, lk):
        """When a part is late: the design's average and deviation, doubled with each overrun."""
        limit = lk.sending_time + self.average[lk.kind_index] + DEVIATIONS * self.deviation[lk.kind_index]
        return int(min(LAST_DEADLINE, max(LEAST_WAIT, limit) * 2**lk.overruns))

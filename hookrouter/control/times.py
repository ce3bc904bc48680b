"""Answer times by object kind: mean sending time, and average and deviation of the latency beyond it."""

# Of the mean sending time, for unknown sizes: the distribution is skewed, most are smaller.
TYPICAL_SHARE = 0.5
INITIAL_TIMEOUT = 30_000  # 3 s, as in the design, until times have been measured
MAX_TIMEOUT = 100_000  # 10 s, as in the design: the end of backing off
DEVIATIONS = 4  # above the average, as in TCP's retransmission timer: few answers take longer
SMOOTHING = 1 / 16  # weight of the newest sample: averages span some seconds of one router's traffic
MIN_TIMEOUT = 20  # 2 ms: no answer arrives in less


class Times:
    """Moving averages by index of the object kind; durations in tenths of a millisecond."""

    def __init__(self, kinds):
        self.kinds, self.mean_work = kinds, [float(kind.latency_budget) for kind in kinds]
        # Initially the timeout is INITIAL_TIMEOUT and changes slowly: one quick hit says little about fills.
        self.average = [0.0] * len(kinds)
        self.deviation = [INITIAL_TIMEOUT / DEVIATIONS] * len(kinds)

    def record_latency(self, kind_index, latency):
        """Adds a sample of the time that an answer took beyond its sending time."""
        self.deviation[kind_index] += SMOOTHING * (
            abs(latency - self.average[kind_index]) - self.deviation[kind_index]
        )
        self.average[kind_index] += SMOOTHING * (latency - self.average[kind_index])

    def record_work(self, kind_index, work):
        """Adds a sample of the sending time."""
        self.mean_work[kind_index] += SMOOTHING * (work - self.mean_work[kind_index])

    def budget(self, send):
        """Latency budget of a send, by the size of its answer."""
        kind = self.kinds[send.kind_index]
        return kind.latency_budget + kind.budget_stretch * (
            send.sending_time or TYPICAL_SHARE * self.mean_work[send.kind_index]
        )

    def timeout(self, lookup):
        """Timeout of the next send of this lookup: average plus deviations, doubled with each overrun."""
        timeout = (
            lookup.sending_time
            + self.average[lookup.kind_index]
            + DEVIATIONS * self.deviation[lookup.kind_index]
        )
        return int(min(MAX_TIMEOUT, max(MIN_TIMEOUT, timeout) * 2**lookup.overruns))

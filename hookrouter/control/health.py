"""Caches with failures in a row are set aside: a pause, then slow start, doubled with each success."""

MAX_FAILURES = 3  # in a row: where a few in a hundred fail, one or two are chance, three hardly
INITIAL_PAUSE = 10_000  # 1 s without sends: short compared with faults, long compared with stalls
MAX_PAUSE = 40_000  # 4 s: recovery is noticed soon, and each try at a faulty cache costs a lookup
SLOW_START_DONE = 16  # sends in flight: a higher limit has no effect

GOOD, BAD, HEALTHY, SLOW_START = "good", "bad", "well", "trickle"


class Health:
    """Failures in a row, pauses and slow start by cache; slow_start_limit is None while it is healthy."""

    def __init__(self, state):
        self.state = state
        self.failures, self.pause = state.add_column(0), state.add_column(INITIAL_PAUSE)
        self.slow_start_limit, self.paused_until = state.add_column(None), state.add_column(None)
        self.stalled_until = state.add_column(0)  # end of its last stall
        # A cache stalls if at least so many sends are unanswered, the first for longer than the time given.
        self.stall_limits = MAX_FAILURES, INITIAL_PAUSE  # set again by each cache list

    def is_stalled(self, row):
        """Whether the cache leaves several sends unanswered now."""
        return (
            self.state.unanswered[row] >= self.stall_limits[0]
            and self.state.now - self.state.unanswered_since[row] > self.stall_limits[1]
        )

    def record_answer(self, row):
        """Records an answer of any kind, and the end of a stall if there was one."""
        if self.is_stalled(row):
            self.stalled_until[row] = self.state.now
        self.state.record_answer(row)

    def delayed_by_stall(self, send):
        """Whether its cache has answered nothing since this send was made, or stalled after it."""
        row = send.target
        return (
            self.state.last_answer_at[row] < send.sent_at
            or send.sent_at < self.stalled_until[row]
            or self.is_stalled(row)
        )

    def record(self, row, result):
        """Applies a result of a send, GOOD or BAD, to the cache's state."""
        HEALTH_TABLE[HEALTHY if self.slow_start_limit[row] is None else SLOW_START, result](self, row)

    def _clear(self, row):
        self.failures[row] = 0

    def _count_failure(self, row):
        self.failures[row] += 1
        if self.failures[row] >= MAX_FAILURES:
            self.set_aside(row)

    def set_aside(self, row):
        """Pauses sends to the cache; the pause doubles each time."""
        if self.paused_until[row] is not None and self.state.now < self.paused_until[row]:
            return  # the send was made before the pause
        self.slow_start_limit[row], self.paused_until[row] = 1, self.state.now + self.pause[row]
        self.pause[row] = min(MAX_PAUSE, 2 * self.pause[row])

    def _widen(self, row):
        self.slow_start_limit[row] *= 2
        if self.slow_start_limit[row] >= SLOW_START_DONE:
            self.restore(row)

    def restore(self, row):
        """Marks the cache as healthy."""
        self.slow_start_limit[row], self.paused_until[row], self.pause[row], self.failures[row] = (
            None,
            None,
            INITIAL_PAUSE,
            0,
        )

    def usable(self, row):
        """Whether the cache is healthy, or in slow start with fewer sends in flight than its limit."""
        if self.slow_start_limit[row] is None:
            return True
        if self.state.now < self.paused_until[row] or self.state.in_flight[row] >= self.slow_start_limit[row]:
            return False
        # In a fleet, some routers try the cache and report to the others.
        return self.state.fleet_view is None or self.state.fleet_view.tries(
            self.state.cache_ids[row], self.state.now
        )


# (state of a cache, result of a send) -> action
HEALTH_TABLE = {
    (HEALTHY, GOOD): Health._clear,
    (HEALTHY, BAD): Health._count_failure,
    (SLOW_START, GOOD): Health._widen,
    (SLOW_START, BAD): Health.set_aside,
}

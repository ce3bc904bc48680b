"""Setting aside: a cache with failures in a row rests, then gets a trickle, doubled while it goes well."""

FAILURES = 3  # in a row: one or two are chance where a few in a hundred fail, three hardly
REST = 10_000  # 1 s without sends once set aside: short beside the troubles, long beside a stall
LONGEST_REST = 40_000  # 4 s: a well cache is found again soon, and a sick one costs a lookup each time
TRICKLE_DONE = 16  # sends out at once: beyond it a trickle limits nothing

GOOD, BAD, WELL, TRICKLE = "good", "bad", "well", "trickle"


class Health:
    def __init__(self, beliefs):
        self.b = beliefs
        self.strikes, self.rest = beliefs.add_column(0), beliefs.add_column(REST)
        self.trickle, self.rest_until = beliefs.add_column(None), beliefs.add_column(None)
        self.stalled = beliefs.add_column(0)  # until when it left several sends unanswered
        self.patience = FAILURES, REST  # so many unanswered, the first for longer: a stall; set by lists

    def silent(self, n):
        return (
            self.b.unanswered[n] >= self.patience[0]
            and self.b.now - self.b.unanswered_since[n] > self.patience[1]
        )

    def answers(self, n):
        if self.silent(n):
            self.stalled[n] = self.b.now
        self.b.record_answer(n)

    def stalls(self, sent):
        """Whether its cache answered nothing since it went out, or for longer than `patience` meanwhile."""
        n = sent.target
        return self.b.last_answer_at[n] < sent.sent_at or sent.sent_at < self.stalled[n] or self.silent(n)

    def told(self, n, word):
        CACHE_TABLE[WELL if self.trickle[n] is None else TRICKLE, word](self, n)

    def _clear(self, n):
        self.strikes[n] = 0

    def _strike(self, n):
        self.strikes[n] += 1
        if self.strikes[n] >= FAILURES:
            self.set_aside(n)

    def set_aside(self, n):
        if self.rest_until[n] is not None and self.b.now < self.rest_until[n]:
            return  # ends of what was sent before
        self.trickle[n], self.rest_until[n] = 1, self.b.now + self.rest[n]
        self.rest[n] = min(LONGEST_REST, 2 * self.rest[n])

    def _widen(self, n):
        self.trickle[n] *= 2
        if self.trickle[n] >= TRICKLE_DONE:
            self.restore(n)

    def restore(self, n):
        self.trickle[n], self.rest_until[n], self.rest[n], self.strikes[n] = None, None, REST, 0

    def usable(self, n):
        if self.trickle[n] is None:
            return True
        if self.b.now < self.rest_until[n] or self.b.in_flight[n] >= self.trickle[n]:
            return False
        return self.b.fleet_view is None or self.b.fleet_view.tries(
            self.b.cache_ids[n], self.b.now
        )  # some look, and tell


# state of a cache, how a send there ended -> effect
CACHE_TABLE = {
    (WELL, GOOD): Health._clear,
    (WELL, BAD): Health._strike,
    (TRICKLE, GOOD): Health._widen,
    (TRICKLE, BAD): Health.set_aside,
}

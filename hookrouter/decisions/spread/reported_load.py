"""The last reported load of a cache, with a state machine for how far it can be trusted."""

FRESH, OLD, SILENT, DOUBTED = "fresh", "old", "silent", "doubted"
REPORTED, DOUBT, AGED, TOO_OLD = "news", "doubt", "aged", "lost"

# Weight of the report against the fleet's mean, which is known without it.
STATE_WEIGHT = {FRESH: 1.0, OLD: 0.5, SILENT: 0.0, DOUBTED: 0.25}

TABLE = {
    (FRESH, REPORTED): FRESH,
    (FRESH, DOUBT): DOUBTED,
    (FRESH, AGED): OLD,
    (FRESH, TOO_OLD): SILENT,
    (OLD, REPORTED): FRESH,
    (OLD, DOUBT): DOUBTED,
    (OLD, AGED): OLD,
    (OLD, TOO_OLD): SILENT,
    (SILENT, REPORTED): FRESH,
    (SILENT, DOUBT): DOUBTED,
    (SILENT, AGED): SILENT,
    (SILENT, TOO_OLD): SILENT,
    (DOUBTED, REPORTED): FRESH,
    (DOUBTED, DOUBT): DOUBTED,
    (DOUBTED, AGED): DOUBTED,
    (DOUBTED, TOO_OLD): SILENT,
}


class ReportedLoad:
    """The load that was reported for one cache. measured_at: when it was true, by this router's clock."""

    __slots__ = ("state", "measured_at", "in_flight", "rate", "received_at")

    def __init__(self):
        self.state, self.measured_at, self.in_flight, self.rate, self.received_at = (
            SILENT,
            None,
            0.0,
            0.0,
            None,
        )

    def record(self, now, summary, terms):
        """Records a report; returns False for one that is no newer than the last."""
        measured_at = now - summary.age
        if self.measured_at is not None and measured_at <= self.measured_at:
            return False
        self.measured_at, self.received_at = measured_at, now
        self.in_flight, self.rate = max(0.0, summary.others_in_flight), max(0.0, summary.others_rate)
        self.state = TABLE[self.state, DOUBT if summary.uncertain else REPORTED]
        self.state_at(now, terms)
        return True

    def state_at(self, now, terms):
        """Updates and returns the state at this time."""
        if self.measured_at is not None:
            age = now - self.measured_at
            if age > terms.silent_after:
                self.state = TABLE[self.state, TOO_OLD]
            elif age > terms.fresh_for:
                self.state = TABLE[self.state, AGED]
        return self.state

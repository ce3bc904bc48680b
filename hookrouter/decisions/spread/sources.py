"""News of a cache's load: how far they may be trusted by now. A table of state, input -> next state."""

FRESH, OLD, SILENT, DOUBTED = "fresh", "old", "silent", "doubted"
NEWS, DOUBT, AGED, LOST = "news", "doubt", "aged", "lost"

# Weight of the news against what is known without: the fleet's mean.
WEIGHT = {FRESH: 1.0, OLD: 0.5, SILENT: 0.0, DOUBTED: 0.25}

TABLE = {
    (FRESH, NEWS): FRESH,
    (FRESH, DOUBT): DOUBTED,
    (FRESH, AGED): OLD,
    (FRESH, LOST): SILENT,
    (OLD, NEWS): FRESH,
    (OLD, DOUBT): DOUBTED,
    (OLD, AGED): OLD,
    (OLD, LOST): SILENT,
    (SILENT, NEWS): FRESH,
    (SILENT, DOUBT): DOUBTED,
    (SILENT, AGED): SILENT,
    (SILENT, LOST): SILENT,
    (DOUBTED, NEWS): FRESH,
    (DOUBTED, DOUBT): DOUBTED,
    (DOUBTED, AGED): DOUBTED,
    (DOUBTED, LOST): SILENT,
}


class Source:
    """What is told of one cache. made: when the news were true, by this router's clock."""

    __slots__ = ("state", "made", "out", "rate", "at")

    def __init__(self):
        self.state, self.made, self.out, self.rate, self.at = SILENT, None, 0.0, 0.0, None

    def news(self, now, summary, terms):
        """Whether they say more than what is known: older ones than those at hand change nothing."""
        made = now - summary.age
        if self.made is not None and made <= self.made:
            return False
        self.made, self.at = made, now
        self.out, self.rate = max(0.0, summary.others_in_flight), max(0.0, summary.others_rate)
        self.state = TABLE[self.state, DOUBT if summary.uncertain else NEWS]
        self.look(now, terms)
        return True

    def look(self, now, terms):
        """The state by now."""
        if self.made is not None:
            age = now - self.made
            if age > terms.silent_after:
                self.state = TABLE[self.state, LOST]
            elif age > terms.fresh_for:
                self.state = TABLE[self.state, AGED]
        return self.state

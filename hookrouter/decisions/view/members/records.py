"""A probe that is out, and a suspicion that runs."""

from math import log10

ASKED, HELPED = "asked", "helped"
ANSWERED, OVERDUE = "answered", "overdue"

MOST_AWARE = 8  # Lifeguard's: a slow member gives others up to nine times as long
MOST_DOUBTS = 1_000  # deaths told of members that are not suspected here


class Probe:
    __slots__ = ("key", "state", "sent", "due", "naks", "asked")

    def __init__(self, key, sent, due):
        self.key, self.state, self.sent, self.due, self.naks, self.asked = key, ASKED, sent, due, 0, 0


class Suspicion:
    __slots__ = ("since", "witnesses", "least", "most", "due", "wanted")

    def __init__(self, now, least, most, by, wanted):
        """wanted: further witnesses, and it runs for its least time."""
        self.since, self.least, self.most, self.witnesses = now, least, most, {by: None}
        self.wanted, self.due = wanted, now + (most if wanted else least)

    def witnessed(self, by):
        """Whether it was news. The time shrinks with the logarithm of witnesses (Lifeguard, 4.2)."""
        if by in self.witnesses or len(self.witnesses) > self.wanted:
            return False
        self.witnesses[by] = None
        share = log10(len(self.witnesses)) / log10(self.wanted + 1)
        self.due = self.since + max(self.least, int(self.most - (self.most - self.least) * share))
        return True

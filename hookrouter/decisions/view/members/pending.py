"""Pending probes and suspicions."""

from math import log10

DIRECT, INDIRECT = "asked", "helped"  # states of a probe
ANSWERED, OVERDUE = "answered", "overdue"  # outcomes of a probe's state

MAX_HEALTH_SCORE = 8  # as in Lifeguard: a slow member waits up to nine times as long for acks
MAX_DISPUTED_DEATHS = 1_000  # reported deaths of members that are not suspected here


class Probe:
    """A probe without an ack yet. `naks` counts the Naks received, `helpers` those that were asked."""

    __slots__ = ("key", "state", "sent_at", "due", "naks", "helpers")

    def __init__(self, key, sent_at, due):
        self.key, self.state, self.sent_at, self.due, self.naks, self.helpers = (
            key,
            DIRECT,
            sent_at,
            due,
            0,
            0,
        )


class Suspicion:
    """A running suspicion of one member; `accusers` are the members that suspect it."""

    __slots__ = ("since", "accusers", "min_duration", "max_duration", "due", "confirmations")

    def __init__(self, now, min_duration, max_duration, accuser, confirmations):
        """`confirmations` is the number of further accusers after which it runs for its minimum time."""
        self.since, self.min_duration, self.max_duration, self.accusers = (
            now,
            min_duration,
            max_duration,
            {accuser: None},
        )
        self.confirmations, self.due = confirmations, now + (max_duration if confirmations else min_duration)

    def confirm(self, accuser):
        """Adds an accuser and returns whether it counted as a new one.

        The timeout shrinks with the logarithm of the number of accusers (Lifeguard, section 4.2).
        """
        if accuser in self.accusers or len(self.accusers) > self.confirmations:
            return False
        self.accusers[accuser] = None
        share = log10(len(self.accusers)) / log10(self.confirmations + 1)
        self.due = self.since + max(
            self.min_duration, int(self.max_duration - (self.max_duration - self.min_duration) * share)
        )
        return True

"""Within what a cold cache and the sources bear: lookups first, fills from what they leave."""

from typing import NamedTuple

MAX_REPORT_AGE = 20_000  # 2 s: older news of the others' lookups is none
LATE_MARGIN = 0.03  # more late lookups than usual, and fills stand back
CALM_MARGIN = 0.01
LATE_SMOOTHING = 1 / 32
MIN_HOLD = 5_000  # 0.5 s held back at least, so the two states do not flutter
ROTATION_TIME = 1_000  # 100 ms: a source's odd slots go round


class ColdCapacity(NamedTuple):
    """share: of full capacity at the start; span: to full; pace: work a unit of time at full capacity that
    all routers' sends together may bring; burst: of it, in units of time, that may come at once.
    """

    share: float
    span: int
    pace: float
    burst: int
    reserved: float = 0.25  # of the burst stays for lookups: fills never empty it


class Allowance:
    """Of one cold cache: a bucket of work that its capacity fills. Lookups are told as they go, and may leave
    it in debt; fills wait for more than what is kept for lookups.
    """

    def __init__(self, terms, born, routers, now):
        self.terms, self.born, self.routers = terms, born, max(1, routers)
        self.refilled_at, self.balance = now, 0.0  # a cold cache's bucket starts empty
        self.others_rate, self.heard_at = None, None  # work a unit of time of the others' lookups

    def capacity(self, now):
        terms = self.terms
        return min(1.0, terms.share + (1 - terms.share) * max(0, now - self.born) / terms.span)

    def set_others(self, now, age, rate):
        """Of all other routers' lookups there: work a unit of time, and how old that is."""
        self._refill(now)
        self.others_rate, self.heard_at = max(0.0, rate), now - age

    def _refill(self, now):
        if now <= self.refilled_at:
            return
        pace, span = self.terms.pace * self.capacity(self.refilled_at), now - self.refilled_at
        if self.others_rate is None or now - self.heard_at > MAX_REPORT_AGE:
            pace /= self.routers  # nothing is known of the others: they may use all of their turns
            self.balance += pace * span
        else:
            self.balance += (pace - self.others_rate) * span
        self.refilled_at = now
        self.balance = max(-self.burst(now), min(self.burst(now), self.balance))

    def burst(self, now):
        return self.terms.pace * self.terms.burst * self.capacity(now)

    def spend_lookup(self, now, cost):
        """One of this router's lookups went there."""
        self._refill(now)
        self.balance -= cost

    def try_fill(self, now, cost):
        """Whether a fill of that work may go now; then it is counted."""
        self._refill(now)
        if self.balance - cost < self.terms.reserved * self.burst(now):
            return False
        self.balance -= cost
        return True


class OverloadDetector:
    """Whether lookups suffer where fills go: their late share against what was usual before."""

    def __init__(self, usual_share=0.0):
        self.usual_share, self.late_share, self.overloaded, self.held_until = (
            usual_share,
            usual_share,
            False,
            0,
        )

    def answered(self, now, late):
        """The new state where it changes, else None."""
        self.late_share += LATE_SMOOTHING * (late - self.late_share)
        if not self.overloaded and self.late_share > self.usual_share + LATE_MARGIN:
            self.overloaded, self.held_until = True, now + MIN_HOLD
            return True
        if self.overloaded and now >= self.held_until and self.late_share < self.usual_share + CALM_MARGIN:
            self.overloaded = False
            return False
        return None


def fair_share(slots, active, position, now):
    """Of a source's room for fills, the slots of one of so many warmings at once; their sum is the room.

    place: 0 to active - 1, by the order of the duties' names. What does not divide goes round by turns.
    """
    each, remainder = divmod(slots, max(1, active))
    return each + ((position + now // ROTATION_TIME) % max(1, active) < remainder)

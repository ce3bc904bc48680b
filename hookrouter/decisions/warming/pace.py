"""The rate of fills, bounded by the capacity of the cold cache and of the sources. Lookups take
precedence.
"""

from typing import NamedTuple

MAX_REPORT_AGE = 20_000  # 2 s: an older report of the others' lookups is ignored
LATE_MARGIN = 0.03  # increase of the late share of lookups at which fills stop
CALM_MARGIN = 0.01
LATE_SMOOTHING = 1 / 32
MIN_HOLD = 5_000  # 0.5 s: the shortest stop, so that the state does not oscillate
ROTATION_TIME = 1_000  # 100 ms: the slots left over by the division rotate among the warmings


class ColdCapacity(NamedTuple):
    """The capacity of a cold cache. share: part of the full capacity at the start; span: time until it is
    full; pace: work a unit of time at full capacity that the sends of all routers together may bring; burst:
    units of time of it that may come at once.
    """

    share: float
    span: int
    pace: float
    burst: int
    reserved: float = 0.25  # part of the burst that fills leave to lookups


class Allowance:
    """The token bucket of one cold cache, in units of work. Lookups are always charged and may leave it in
    debt; fills wait until it holds more than the part reserved for lookups.
    """

    def __init__(self, terms, born, routers, now):
        self.terms, self.born, self.routers = terms, born, max(1, routers)
        self.refilled_at, self.balance = now, 0.0  # the bucket of a cold cache starts empty
        self.others_rate, self.heard_at = None, None  # of the others' lookups, work a unit of time

    def capacity(self, now):
        """Returns the part of the full capacity that the cache has by now."""
        terms = self.terms
        return min(1.0, terms.share + (1 - terms.share) * max(0, now - self.born) / terms.span)

    def set_others(self, now, age, rate):
        """Sets the work a unit of time of all other routers' lookups, as of this age."""
        self._refill(now)
        self.others_rate, self.heard_at = max(0.0, rate), now - age

    def _refill(self, now):
        if now <= self.refilled_at:
            return
        pace, span = self.terms.pace * self.capacity(self.refilled_at), now - self.refilled_at
        if self.others_rate is None or now - self.heard_at > MAX_REPORT_AGE:
            pace /= self.routers  # the others' load is unknown: they may use all of their turns
            self.balance += pace * span
        else:
            self.balance += (pace - self.others_rate) * span
        self.refilled_at = now
        self.balance = max(-self.burst(now), min(self.burst(now), self.balance))

    def burst(self, now):
        """Returns the largest balance."""
        return self.terms.pace * self.terms.burst * self.capacity(now)

    def spend_lookup(self, now, cost):
        """Charges a lookup of this router."""
        self._refill(now)
        self.balance -= cost

    def try_fill(self, now, cost):
        """Charges a fill of this work and returns True if the balance allows it now."""
        self._refill(now)
        if self.balance - cost < self.terms.reserved * self.burst(now):
            return False
        self.balance -= cost
        return True


class OverloadDetector:
    """Detects whether lookups suffer from fills, by their late share against the usual one."""

    def __init__(self, usual=0.0):
        self.usual, self.late_share, self.overloaded, self.hold_until = usual, usual, False, 0

    def answered(self, now, late):
        """Records an answer; returns the new state where it changes, else None."""
        self.late_share += LATE_SMOOTHING * (late - self.late_share)
        if not self.overloaded and self.late_share > self.usual + LATE_MARGIN:
            self.overloaded, self.hold_until = True, now + MIN_HOLD
            return True
        if self.overloaded and now >= self.hold_until and self.late_share < self.usual + CALM_MARGIN:
            self.overloaded = False
            return False
        return None


def fair_share(slots, active, position, now):
    """Returns the slots that one of several simultaneous warmings may use at a source; their sum is slots.

    position: from 0 to active - 1, by the order of the duties' names. The remainder of the division rotates.
    """
    each, remainder = divmod(slots, max(1, active))
    return each + ((position + now // ROTATION_TIME) % max(1, active) < remainder)

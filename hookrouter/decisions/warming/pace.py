"""Within what a cold cache and the sources bear: lookups first, fills from what they leave."""

from typing import NamedTuple

SILENT = 20_000  # 2 s: older news of the others' lookups is none
LATE_SHARE = 0.03  # more late lookups than usual, and fills stand back
CALM_SHARE = 0.01
BLEND = 1 / 32
REST = 5_000  # 0.5 s held back at least, so the two states do not flutter
TURN = 1_000  # 100 ms: a source's odd slots go round


class Cold(NamedTuple):
    """share: of full capacity at the start; span: to full; pace: work a unit of time at full capacity that
    all routers' sends together may bring; burst: of it, in units of time, that may come at once.
    """

    share: float
    span: int
    pace: float
    burst: int
    kept: float = 0.25  # of the burst stays for lookups: fills never empty it


class Allowance:
    """Of one cold cache: a bucket of work that its capacity fills. Lookups are told as they go, and may leave
    it in debt; fills wait for more than what is kept for lookups.
    """

    def __init__(self, terms, born, routers, now):
        self.terms, self.born, self.routers = terms, born, max(1, routers)
        self.at, self.room = now, 0.0  # a cold cache's bucket starts empty
        self.others, self.heard = None, None  # work a unit of time of the others' lookups

    def able(self, now):
        terms = self.terms
        return min(1.0, terms.share + (1 - terms.share) * max(0, now - self.born) / terms.span)

    def told(self, now, age, rate):
        """Of all other routers' lookups there: work a unit of time, and how old that is."""
        self._fill_up(now)
        self.others, self.heard = max(0.0, rate), now - age

    def _fill_up(self, now):
        if now <= self.at:
            return
        pace, span = self.terms.pace * self.able(self.at), now - self.at
        if self.others is None or now - self.heard > SILENT:
            pace /= self.routers  # nothing is known of the others: they may use all of their turns
            self.room += pace * span
        else:
            self.room += (pace - self.others) * span
        self.at = now
        self.room = max(-self.burst(now), min(self.burst(now), self.room))

    def burst(self, now):
        return self.terms.pace * self.terms.burst * self.able(now)

    def looked(self, now, cost):
        """One of this router's lookups went there."""
        self._fill_up(now)
        self.room -= cost

    def fill(self, now, cost):
        """Whether a fill of that work may go now; then it is counted."""
        self._fill_up(now)
        if self.room - cost < self.terms.kept * self.burst(now):
            return False
        self.room -= cost
        return True


class Strain:
    """Whether lookups suffer where fills go: their late share against what was usual before."""

    def __init__(self, usual=0.0):
        self.usual, self.late, self.yes, self.until = usual, usual, False, 0

    def answered(self, now, late):
        """The new state where it changes, else None."""
        self.late += BLEND * (late - self.late)
        if not self.yes and self.late > self.usual + LATE_SHARE:
            self.yes, self.until = True, now + REST
            return True
        if self.yes and now >= self.until and self.late < self.usual + CALM_SHARE:
            self.yes = False
            return False
        return None


def fair(room, active, place, now):
    """Of a source's room for fills, the slots of one of so many warmings at once; their sum is the room.

    place: 0 to active - 1, by the order of the duties' names. What does not divide goes round by turns.
    """
    each, odd = divmod(room, max(1, active))
    return each + ((place + now // TURN) % max(1, active) < odd)

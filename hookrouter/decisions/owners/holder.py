"""A member's side: it renews, holds warrants, and gives them up. No effect goes out but by a live warrant."""

from typing import NamedTuple

from . import words as w

RENEWS = 4  # in a lease: three may be lost
UNHEARD = 2  # renewals without an answer, and another keeper is asked: two more are left in the lease


class Act(NamedTuple):
    """An effect of a duty; the resource refuses it by its number."""

    duty: str
    number: int
    what: object


class Warrant:
    """duty, number, until when by this process's own clock. The one way to an Act."""

    __slots__ = ("duty", "number", "until")

    def __init__(self, duty, number, until):
        self.duty, self.number, self.until = duty, number, until

    def act(self, now, what):
        """An Act, or None where the lease is over: after any wait the first act is to look at the clock."""
        return Act(self.duty, self.number, what) if now < self.until else None


class Holder:
    """Gained and Lost come as (duty, number, cause) beside what to send."""

    def __init__(self, name, life, terms, bears=None):
        """bears: as in Renew."""
        self.name, self.life, self.bears = name, life, bears
        self.every = max(1, terms.lease // RENEWS)
        self.span = int(terms.lease * (1 - terms.drift))
        self.seq, self.sent, self.next_at = 0, {}, 0  # seq -> when it was sent
        self.warrants, self.released, self.leaving = {}, [], False
        self.heard_at = 0
        self.given_up = {}  # duty -> the highest number given up: never taken back

    def alarm(self):
        return min([self.next_at, *(warrant.until for warrant in self.warrants.values())])

    def tick(self, now):
        """(Renew or None, lost): lost is [(duty, number, cause)]."""
        lost = self._lapse(now)
        if now < self.next_at:
            return None, lost
        return self._renew(now), lost

    def unheard(self, now):
        """Whether the leader that is known may be gone: another keeper is to be asked who leads."""
        return now - self.heard_at > UNHEARD * self.every

    def _renew(self, now):
        self.seq += 1
        self.next_at = now + self.every
        self.sent[self.seq] = now
        for seq in [seq for seq, at in self.sent.items() if at <= now - self.span]:
            del self.sent[seq]  # of no use: its lease is over
        return w.Renew(self.seq, self.life, list(self.released[:1000]), self.leaving, self.bears)

    def _lapse(self, now):
        lost = [(x.duty, x.number, "lease over") for x in self.warrants.values() if now >= x.until]
        for duty, number, _ in lost:
            self._forget(duty, number)
        return lost

    def _forget(self, duty, number):
        self.warrants.pop(duty, None)
        self.given_up[duty] = max(number, self.given_up.get(duty, 0))

    def heard(self, now, renewed):
        """(gained, lost, Renew or None): what is held is said anew each time, and what is not named is not
        held.
        """
        lost = self._lapse(now)
        at = self.sent.get(renewed.seq)
        if renewed.life != self.life or at is None or now >= at + self.span:
            return [], lost, None  # of a former life, forged, or too late to tell anything
        self.heard_at = now
        until, gained, told = at + self.span, [], dict(renewed.held)
        self.released = [row for row in self.released if told.get(row[0]) == row[1]]
        for duty, number in renewed.held:
            warrant = self.warrants.get(duty)
            if number <= self.given_up.get(duty, 0) or self.leaving:
                # An answer of before it was given up, or a lease of that number that was over: it is told
                # again.
                if (duty, number) not in self.released and number == self.given_up.get(duty, 0):
                    self.released.append((duty, number))
            elif warrant is None or number > warrant.number:
                self.warrants[duty] = Warrant(duty, number, until)
                gained.append((duty, number, "granted"))
            elif number == warrant.number:
                warrant.until = max(warrant.until, until)
        gone = [
            (x.duty, x.number, "handed over") for x in self.warrants.values() if x.duty in renewed.release
        ]
        gone += [
            (x.duty, x.number, "granted to another")
            for x in self.warrants.values()
            if x.duty not in told and at >= x.until - self.span
        ]
        for duty, number, _ in gone:
            self._forget(duty, number)
        self.released += [(duty, number) for duty, number, cause in gone if cause == "handed over"]
        return gained, lost + gone, self._renew(now) if self.released else None

    def give_up(self, now, duty, why):
        """(Renew or None, lost): this one cannot do its work any more."""
        warrant = self.warrants.get(duty)
        if warrant is None:
            return None, []
        self._forget(duty, warrant.number)
        self.released.append((duty, warrant.number))
        return self._renew(now), [(duty, warrant.number, why)]

    def leave(self, now):
        """All is given up, and said so at once. (Renew, lost)."""
        self.leaving = True
        lost = [(x.duty, x.number, "leaving") for x in self.warrants.values()]
        for duty, number, _ in lost:
            self._forget(duty, number)
            self.released.append((duty, number))
        return self._renew(now), lost

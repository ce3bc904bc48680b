"""Whether a router knows of all purges that are in effect: a table of states over its lease with the desk.

A lease is counted from the moment at which its renewal was written, by a clock that no one sets, so it runs
out here before the desk counts it as run out (Gray and Cheriton, "Leases", 1989). Times and spans are whole
tenths of a millisecond of that steady clock.
"""

JOINING, CURRENT, FENCED = "joining", "current", "fenced"
GRANTED, LAPSED, LONG, DENIED = "granted", "lapsed", "long", "denied"
FORGOTTEN = 100  # leases without one, and the desk may have struck the follower off: 5 min at 3 s


class Fence:
    """The state of one lease: joining until the first grant, then current, and fenced once it has run out."""

    def __init__(self, lease: int) -> None:
        """lease: the longest span that the desk grants."""
        self.lease = lease
        self.state, self.until, self.now = JOINING, 0, 0

    def at(self, now: int) -> None:
        """The steady clock, read before each decision: a process that was paused learns here that it was."""
        self.now = max(self.now, now)
        if self.now >= self.until:
            self._step(LAPSED)
            if self.now >= self.until + FORGOTTEN * self.lease:
                self._step(LONG)

    def granted(self, since: int, span: int) -> None:
        """The renewal written at since was granted for span from then on; 0: denied, for it is behind."""
        if span <= 0:
            self._step(DENIED)
        elif since + span > self.now:
            self.until = max(self.until, since + span)
            self._step(GRANTED)

    def left(self) -> int:
        """What remains of the lease, for a relay's to those below; 0 unless it is current."""
        return max(0, self.until - self.now) if self.state == CURRENT else 0

    def _step(self, event: str) -> None:
        step = TABLE.get((self.state, event))
        if step is not None:
            self.state = step


# state, event -> next state; what is not named changes nothing
TABLE = {
    (JOINING, GRANTED): CURRENT,
    (FENCED, GRANTED): CURRENT,
    (CURRENT, LAPSED): FENCED,
    (FENCED, LONG): JOINING,  # purges may be in effect that reckon with no copy of this router's
}

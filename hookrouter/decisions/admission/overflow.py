"""Chooses an alternative gateway for one more follower, by the queue lengths that neighbours report.

Reports are old: followers sent there since count as waiting there (load interpreted by age, Dahlin 2000), and
no more are sent on one report than this gateway's share of the room that it states. So gateways that
act on the same report do not overfill the target together.
"""

from typing import NamedTuple

MAX_REPORT_AGE = 50_000  # 5 s: an older report is ignored
# The expected wait there is at most this part of the local wait: a move costs a connection and a tail.
MAX_WAIT_RATIO = 0.5
MIN_GAIN = 2_000  # 0.2 s, the least cost of a move


class NeighbourQueue(NamedTuple):
    """A neighbour's report of its queue; age in tenths of a millisecond."""

    gateway: str
    waiting: int
    room: int
    rate: float  # admissions a second
    age: int


class Overflow:
    """Reports of neighbours and the choice between them. senders: gateways that share the room of one
    neighbour.
    """

    def __init__(self, own_name, senders=1):
        self.own_name, self.senders = own_name, max(1, senders)
        self.reports = {}  # gateway -> [time of the report, NeighbourQueue, sent since]

    def update(self, now, rows):
        """Records the neighbours' reports; an older report does not replace a newer one."""
        for row in rows:
            if row.gateway != self.own_name:
                old = self.reports.get(row.gateway)
                if old is None or now - row.age > old[0] or old[1].age > row.age + now - old[0]:
                    self.reports[row.gateway] = [now - row.age, row, 0]

    def pick(self, now, waiting, rate):
        """Returns a gateway, or "" where none is better than waiting here behind this many at this rate a
        second.
        """
        best, least_wait = "", MAX_WAIT_RATIO * waiting / max(rate, 1e-9) * 10_000 - MIN_GAIN
        for gateway in sorted(self.reports):
            told_at, row, sent = self.reports[gateway]
            if now - told_at > MAX_REPORT_AGE or sent >= row.room // self.senders or row.rate <= 0:
                continue
            wait = (row.waiting + sent * self.senders) / row.rate * 10_000 - (now - told_at)
            if max(0, wait) < least_wait:
                best, least_wait = gateway, max(0, wait)
        if best:
            self.reports[best][2] += 1
        return best

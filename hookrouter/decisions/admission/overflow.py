"""Which gateway one more comer is sent to, by what neighbours told of their queues.

News is old: what was sent there since counts as waiting there (interpreted by age, Dahlin 2000), and no more
is sent on one piece of news than this one's share of the room that it told. So all that send by the same news
overfill nobody.
"""

from typing import NamedTuple

MAX_REPORT_AGE = 50_000  # 5 s: news older than that is none
MAX_WAIT_RATIO = (
    0.5  # of the own wait, at most, has to be expected there: a move costs a connection and a tail
)
MIN_GAIN = 2_000  # 0.2 s that a move costs at least


class NeighbourQueue(NamedTuple):
    gateway: str
    waiting: int
    room: int
    rate: float  # a second
    age: int


class Overflow:
    """heard(): rows of Queue as of now; shares: how many send to the same ones, to share out the room."""

    def __init__(self, own_name, senders=1):
        self.own_name, self.senders = own_name, max(1, senders)
        self.reports = {}  # gateway -> (when heard, Queue, sent since)

    def update(self, now, rows):
        for row in rows:
            if row.gateway != self.own_name:
                old = self.reports.get(row.gateway)
                if old is None or now - row.age > old[0] or old[1].age > row.age + now - old[0]:
                    self.reports[row.gateway] = [now - row.age, row, 0]

    def pick(self, now, waiting, rate):
        """A gateway, or "": here it would wait for waiting others at that rate a second."""
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

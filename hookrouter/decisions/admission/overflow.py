"""Which gateway one more comer is sent to, by what neighbours told of their queues.

News is old: what was sent there since counts as waiting there (interpreted by age, Dahlin 2000), and no more
is sent on one piece of news than this one's share of the room that it told. So all that send by the same news
overfill nobody.
"""

from typing import NamedTuple

OLD = 50_000  # 5 s: news older than that is none
BETTER = 0.5  # of the own wait, at most, has to be expected there: a move costs a connection and a tail
STEP = 2_000  # 0.2 s that a move costs at least


class Queue(NamedTuple):
    gateway: str
    waiting: int
    room: int
    rate: float  # a second
    age: int


class Overflow:
    """heard(): rows of Queue as of now; shares: how many send to the same ones, to share out the room."""

    def __init__(self, me, shares=1):
        self.me, self.shares = me, max(1, shares)
        self.news = {}  # gateway -> (when heard, Queue, sent since)

    def heard(self, now, rows):
        for row in rows:
            if row.gateway != self.me:
                old = self.news.get(row.gateway)
                if old is None or now - row.age > old[0] or old[1].age > row.age + now - old[0]:
                    self.news[row.gateway] = [now - row.age, row, 0]

    def pick(self, now, waiting, rate):
        """A gateway, or "": here it would wait for waiting others at that rate a second."""
        best, least = "", BETTER * waiting / max(rate, 1e-9) * 10_000 - STEP
        for gateway in sorted(self.news):
            told, row, sent = self.news[gateway]
            if now - told > OLD or sent >= row.room // self.shares or row.rate <= 0:
                continue
            wait = (row.waiting + sent * self.shares) / row.rate * 10_000 - (now - told)
            if max(0, wait) < least:
                best, least = gateway, max(0, wait)
        if best:
            self.news[best][2] += 1
        return best

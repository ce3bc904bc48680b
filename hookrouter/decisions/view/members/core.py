"""A view: its parts, the loop that takes events, and the tables of probes and messages."""

from collections import deque
from random import Random

from .. import words as w
from .marks import holds, mark
from .probing import Probing
from .records import ANSWERED, ASKED, HELPED, MOST_DOUBTS, OVERDUE
from .rows import Rows
from .suspicions import Suspicions
from .talk import Talk

LEAVE_FOR = 10_000  # 1 s in which a planned end is told


class View(Rows, Suspicions, Probing, Talk):
    mark, holds = staticmethod(mark), staticmethod(holds)

    def __init__(self, terms, me, now, seed):
        """me: this member's Row."""
        self.terms, self.me, self.random = terms, me, Random(seed)
        self.now, self.out = now, []
        self.rows, self.suspicions, self.gone_at = {}, {}, {}  # key -> Row; Suspicion; when it died or left
        self.living = 0
        self.sums, self.digest = [0] * w.BUCKETS, 0
        self.ring, self.at, self.turn = [], 0, False  # whom to probe, in turn
        self.probes, self.relayed, self.seq = {}, {}, 0  # seq -> Probe; seq -> (whose, their seq, due)
        self.news, self.tiers = {}, []  # key -> times it was sent; keys by that, in order
        self.doubts = {}  # key -> row of its death, not believed here
        self.lives = {}  # name -> keys of its processes
        self.aware, self.wait_mean, self.wait_dev = 0, 0.0, 0.0
        self.spoke, self.same_since = deque(), now  # (when, key, digest named)
        self.probe_at, self.compare_at, self.again_at = now, now, now
        self.heard_at = now
        self.twins, self.left_at = set(), None
        self._put(me, "starts", ())

    def take(self, now, event):
        self.now, self.out = now, []
        if self.left_at is None or now < self.left_at + LEAVE_FOR:
            getattr(self, EVENTS[type(event)].__name__)(event)
        return self.out

    def alarm(self):
        """When Tick is next of use."""
        times = [
            self.probe_at,
            *(probe.due for probe in self.probes.values()),
            *(row[2] for row in self.relayed.values()),
        ]
        if self.suspicions:
            times.append(min(suspicion.due for suspicion in self.suspicions.values()))
        return max(self.now + 1, min(times))

    def _send(self, row, message):
        self.out.append(w.Send(row.name, row.address, message))

    def alive(self):
        """Rows of members that take part, this one too."""
        return [row for row in self.rows.values() if row.state < w.DEAD]

    def settled(self):
        """Since when all who spoke lately named this very view, or None."""
        others, since = self.living - 1, self.now - self.terms.settled_for
        if self.same_since > since or self.suspicions:
            return None
        while self.spoke and self.spoke[0][0] < since:
            self.spoke.popleft()
        if others == 0:
            return None if self.terms.seeds else self.same_since
        recent = {key for _, key, _ in self.spoke}
        if len(recent) < min(others, self.terms.settled_by) or any(
            d != self.digest for _, _, d in self.spoke
        ):
            return None
        return self.same_since

    def _step(self, seq, word):
        probe = self.probes[seq]
        state, effect = TABLE[probe.state, word]
        if state is None:
            del self.probes[seq]
        else:
            probe.state = state
        getattr(self, effect.__name__)(seq, probe)

    def _heard(self, heard):
        message, key = heard.message, (heard.name, heard.life)
        if key == self.me.key:
            return
        self.heard_at = self.now
        # What comes in bulk is no news: others get it so, too.
        for row in getattr(message, "news", ()):
            self._learn(row, heard.name, not isinstance(message, w.Rows) or row.state == w.LEFT)
        row = self.rows.get(key)
        if row is not None and row.state == w.DEAD:
            # It speaks: it is told what is thought of it, and says that it lives. Not at once for each word
            # of it: one that did not refute would be answered for ever.
            if len(self.doubts) < MOST_DOUBTS:
                self.doubts[key] = row
        getattr(self, MESSAGES[type(message)].__name__)(key, heard, message)


# state of a probe, input -> next state (none: it is over), effect
TABLE = {
    (ASKED, ANSWERED): (None, View._answer_seen),
    (ASKED, OVERDUE): (HELPED, View._ask),
    (HELPED, ANSWERED): (None, View._answer_seen),
    (HELPED, OVERDUE): (None, View._failed),
}

EVENTS = {w.Heard: View._heard, w.Tick: View._tick, w.Leave: View._leave}
MESSAGES = {
    w.Ping: View._ping,
    w.Ack: View._ack,
    w.PingFor: View._ping_for,
    w.Nak: View._nak,
    w.Compare: View._compare,
    w.Rows: View._rows_came,
}

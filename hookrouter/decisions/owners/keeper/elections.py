"""Pre-votes, votes, and a successor that is hastened."""

from .. import words as w
from .states import (
    ALONE,
    ASKING,
    HASTENED,
    LEADING,
    LIKELY,
    OUTRANKED,
    STANDING,
    WAITED,
    WON,
)


class Elections:
    def _wait(self):
        self.wait_at = self.now + self.random.randint(self.terms.least_wait, self.terms.most_wait)

    def _tick(self, event):
        if self.state == LEADING:
            fresh = [
                name
                for name, peer in self.peers.items()
                if self.now - peer.heard < self.terms.most_wait and not peer.aside
            ]
            if not self._majority([self.name, *fresh]):
                self._step(ALONE)
            elif self.inflight is not None and self.now - self.inflight_since > self.terms.slow_disk:
                self._told(
                    "disk is slow, another shall lead", flush_ms=(self.now - self.inflight_since) // 10
                )
                self._hasten_best()
                self._step(ALONE)
        if self.state == LEADING:
            if self.now >= self.beat_at:
                self._beat()
            self._lead_on()
        elif self.now >= self.wait_at:
            if self.aside() == w.UNSURE:
                self._greet()
            self._wait()
            slow = self.inflight is not None and self.now - self.inflight_since > self.terms.slow_disk
            if self.name in self.voters and not self.aside() and not slow:
                self._step(WAITED)
        if self.state != LEADING:
            self.beat_at = self.wait_at

    def _ask_pre(self):
        self.granted, self.leader = {self.name: self.now - self.acked_at}, None
        for name in self.voters:
            if name != self.name:
                self._send(name, w.Ballot(self.term + 1, self.term_at(self.last()), self.last(), pre=True))
        if self._majority(self.granted):
            self._step(LIKELY)

    def _stand(self, hastened=False):
        self.term, self.voted, self.leader = self.term + 1, self.name, None
        self.granted, self.dirty = {}, True
        for name in self.voters:
            if name != self.name:
                self._durable(
                    name,
                    w.Ballot(
                        self.term,
                        self.term_at(self.last()),
                        self.last(),
                        hastened=hastened,
                        written=self.written + 1,
                    ),
                )
        self._durable(self.name, w.Vote(self.term, False, True, max(0, self.now - self.acked_at)))

    def _stand_hastened(self):
        self._stand(hastened=True)

    def _ballot(self, sender, ballot):
        self.marks[sender] = max(ballot.written, self.marks.get(sender, 0))
        current = (ballot.last_term, ballot.last) >= (self.term_at(self.last()), self.last())
        led = self.state == LEADING or self.now - self.heard_at < self.terms.least_wait
        if self.aside() or (led and not ballot.hastened):
            return
        if ballot.pre:
            may = ballot.term > self.term and ballot.term > self.abstain and current
            # Refused, it is told this one's term: else two of unequal terms could go on asking for ever.
            self._durable(sender, w.Vote(ballot.term if may else self.term, True, may))
            return
        if ballot.term > self.term:
            self._outranked(ballot.term)
        may = (
            ballot.term == self.term
            and self.voted in (None, sender)
            and ballot.term > self.abstain
            and current
        )
        if may and self.voted is None:
            self.voted, self.dirty = sender, True
        if may:
            self._wait()
        self._durable(
            sender, w.Vote(self.term, False, may, max(0, self.now - self.acked_at), self.written + self.dirty)
        )

    def _vote(self, sender, vote):
        self.marks[sender] = max(vote.written, self.marks.get(sender, 0))
        if vote.pre and vote.granted:
            if self.state == ASKING and vote.term == self.term + 1:
                self.granted[sender] = 0
                if self._majority(self.granted):
                    self._step(LIKELY)
            return
        if vote.term > self.term:
            self._outranked(vote.term)
        elif self.state == STANDING and vote.term == self.term and vote.granted:
            self.granted[sender] = vote.age
            if self._majority(self.granted):
                self._step(WON)

    def _outranked(self, term):
        self.term, self.voted, self.dirty, self.leader = term, None, True, None
        self._step(OUTRANKED)

    def _hasten(self, sender, hasten):
        if hasten.term == self.term and self.name in self.voters and not self.aside():
            self._step(HASTENED)

    def _step_back(self):
        for sender, key in self.asks.values():
            self._send(sender, w.Answer(key))
        self.peers, self.leases, self.asks = {}, None, {}
        self.acked_at = self.now  # it counted itself among those that confirmed
        self._wait()
        self.beat_at = self.wait_at

    def _no_majority(self):
        self._told("leadership given up", term=self.term, why="no majority answers, or the disk is slow")
        self.leader = None
        self._step_back()

    def _hasten_best(self):
        """The one that holds most goes on, at once."""
        fit = [
            name
            for name in self.peers
            if name in self.voters and not self.peers[name].aside and self.peers[name].match >= self.commit
        ]
        if fit:
            self._send(max(fit, key=lambda name: (self.peers[name].match, name)), w.Hasten(self.term))

"""What a leader does: beats, entries to the others, what a majority holds."""

from .. import words as w
from ..duties import GRANT
from ..leases import Leases
from .peer import Peer
from .states import LEADING
from .weights import weight

SOON = 20  # 2 ms: until a round that members wait for is begun, so that one serves many
SNAPSHOT_BEATS = 4  # until a snapshot is sent again; below the least wait


class Leading:
    def _lead(self):
        self.leader, self.round = self.name, 0
        self.peers = {name: Peer(self.last() + 1, self.now) for name in self.others()}
        # No renewal that an earlier leader confirmed is younger than the youngest answer of those who
        # elected.
        age = min(self.granted.values())
        span = int(self.terms.lease * (1 + self.terms.drift)) + 1
        self.leases = Leases(
            self.now, self.now + max(0, span - int(age * (1 - self.terms.drift))), self.terms
        )
        self.own, self.told = self.durable, []  # the ballots told of all that was written then
        self._append([w.Entry(self.term, w.NOOP)], self.last())
        self._told("leads", term=self.term, votes=len(self.granted))
        self._beat()

    def _beat(self):
        self.round += 1
        self.beat_at = self.now + self.terms.beat
        for name in self.others():
            self.peers.setdefault(name, Peer(self.last() + 1, self.now))
        for name in [name for name in self.peers if name not in self.others()]:
            del self.peers[name]
        for name in self.peers:
            self._replicate(name)

    def _replicate(self, name):
        peer = self.peers[name]
        if peer.next <= self.base or self.term_at(peer.next - 1) is None:
            index, term, voters, learners, state = self.snapshot
            if self.now - peer.snapshot_at < SNAPSHOT_BEATS * self.terms.beat:
                return
            peer.snapshot_at = self.now
            self._send(
                name,
                w.Install(self.term, index, term, list(voters), list(learners), state or b"", self.round),
            )
            return
        at = peer.next - self.base - 1
        entries, size = [], 0
        for entry in self.entries[at : at + w.MOST_IN_APPEND]:
            size += weight(entry)
            if entries and size > w.MOST_BYTES:
                break
            entries.append(entry)
        peer.busy = bool(entries)
        self._send(
            name,
            w.Append(
                self.term,
                peer.next - 1,
                self.term_at(peer.next - 1),
                entries,
                self.commit,
                self.round,
                peer.life,
                {**self.marks, self.name: self._flushed()},
            ),
        )

    def propose(self, sort, body):
        """Its index."""
        self._append([w.Entry(self.term, sort, body)], self.last())
        for name, peer in self.peers.items():
            if not peer.busy:
                self._replicate(name)
        return self.last()

    def _appended(self, sender, told):
        if told.term > self.term:
            self._outranked(told.term)
            return
        peer = self.peers.get(sender)
        if self.state != LEADING or peer is None or told.term < self.term:
            return
        if told.life < peer.life:
            return  # said before it ended
        if told.life > peer.life:  # what it held before its start, it may have forgotten
            peer.life, peer.match, peer.round = told.life, 0, 0
        self.marks[sender] = max(told.written, self.marks.get(sender, 0))
        peer.heard, peer.aside, peer.busy = self.now, told.aside, False
        if not peer.aside:
            peer.round = max(peer.round, told.round)
        if told.matched:
            peer.match = max(peer.match, told.last)
            peer.next = max(peer.next, told.last + 1)
        else:
            peer.next = max(1, min(peer.next - 1, told.last + 1))
        if peer.next <= self.last():
            self._replicate(sender)
        self._agree()
        self._keepers_of(sender, peer)

    def _counted(self, of):
        """The highest figure that a majority of the voters has reached."""
        own, figures = of(None), []
        for name in self.voters:
            peer = self.peers.get(name)
            figures.append(
                own if name == self.name else of(peer) if peer is not None and not peer.aside else 0
            )
        return sorted(figures, reverse=True)[len(self.voters) // 2]

    def _agree(self):
        confirmed = self._counted(lambda peer: self.round if peer is None else peer.round)
        # Its own disk counts once a majority has heard how often it was written: else a store put back from
        # before that write would not be noticed, and what it had agreed to be gone.
        while self.told and self.told[0][0] <= confirmed:
            self.own = self.told.pop(0)[1]
        index = self._counted(lambda peer: self.own if peer is None else peer.match)
        if index > self.commit and self.term_at(index) == self.term:
            self.commit = index
            self._apply()
        if self.term_at(self.commit) != self.term:
            return  # an earlier leader's grant may be on its way: who holds what is not known yet
        for who in self.leases.confirmed(confirmed):
            self._renewed(who)

    def _keepers_of(self, sender, peer):
        """One that has forgotten is struck, and taken in again as a learner; a learner that has all is a
        voter.
        """
        if self.changed > self.commit or self.term_at(self.commit) != self.term:
            return  # one change at a time, and none before an entry of this term is agreed
        if peer.aside == w.FORGOT and sender in self.voters and len(self.voters) > 1:
            rest = [name for name in self.voters if name != sender]
            self._told(
                "keeper struck from the voters", keeper=sender, why="it says it has forgotten something"
            )
            self.propose(w.CHANGE, (rest, [*self.learners, sender]))
        elif sender in self.learners and not peer.aside and peer.match >= self.commit > 0:
            rest = [name for name in self.learners if name != sender]
            self._told("keeper counts", keeper=sender)
            self.propose(w.CHANGE, ([*self.voters, sender], rest))

    def _lead_on(self):
        self.leases.forget(self.now, self.applied)
        if self.term_at(self.commit) == self.term:
            for name, member, after in self.leases.place(self.now, self.duties, self.applied):
                self.leases.granting[name] = self.propose(w.COMMAND, ("", GRANT, [name, member, after]))

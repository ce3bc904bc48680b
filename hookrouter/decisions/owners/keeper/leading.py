"""The leader's heartbeats, replication, commit, membership of lagging keepers, and grants of duties."""

from .. import protocol
from ..duties import GRANT
from ..leases import LeaseTable
from .peer import Peer
from .sizes import record_bytes
from .states import LEADER

ROUND_DELAY = 20  # 2 ms before a heartbeat round for waiting renewals, so that one round serves many
SNAPSHOT_RESEND_HEARTBEATS = 4  # heartbeats before a snapshot is resent; less than an election timeout


class Leading:
    """The part of Keeper that acts as leader."""

    def _become_leader(self):
        self.leader, self.round = self.name, 0
        self.peers = {name: Peer(self.last_index() + 1, self.now) for name in self.others()}
        # An earlier leader confirmed no renewal later than the latest acknowledgement by any of this leader's
        # voters.
        since_ack = min(self.votes.values())
        span = int(self.settings.lease * (1 + self.settings.clock_drift)) + 1
        self.leases = LeaseTable(
            self.now,
            self.now + max(0, span - int(since_ack * (1 - self.settings.clock_drift))),
            self.settings,
        )
        # The vote requests reported the count of all writes up to then.
        self.own_match, self.flush_reports = self.durable_index, []
        self._append([protocol.Entry(self.term, protocol.NOOP)], self.last_index())
        self._log_event("leads", term=self.term, votes=len(self.votes))
        self._send_heartbeats()

    def _send_heartbeats(self):
        self.round += 1
        self.heartbeat_at = self.now + self.settings.heartbeat
        for name in self.others():
            self.peers.setdefault(name, Peer(self.last_index() + 1, self.now))
        for name in [name for name in self.peers if name not in self.others()]:
            del self.peers[name]
        for name in self.peers:
            self._replicate(name)

    def _replicate(self, name):
        peer = self.peers[name]
        if peer.next_index <= self.base or self.term_at(peer.next_index - 1) is None:
            index, term, voters, learners, state = self.snapshot
            if self.now - peer.snapshot_sent_at < SNAPSHOT_RESEND_HEARTBEATS * self.settings.heartbeat:
                return
            peer.snapshot_sent_at = self.now
            self._send(
                name,
                protocol.InstallSnapshot(
                    self.term, index, term, list(voters), list(learners), state or b"", self.round
                ),
            )
            return
        position = peer.next_index - self.base - 1
        entries, size = [], 0
        for entry in self.entries[position : position + protocol.MAX_ENTRIES_IN_APPEND]:
            size += record_bytes(entry)
            if entries and size > protocol.MAX_RECORD_BYTES:
                break
            entries.append(entry)
        peer.append_pending = bool(entries)
        self._send(
            name,
            protocol.Append(
                self.term,
                peer.next_index - 1,
                self.term_at(peer.next_index - 1),
                entries,
                self.commit,
                self.round,
                peer.generation,
                {**self.write_counts, self.name: self._durable_write_count()},
            ),
        )

    def propose(self, kind, body):
        """Appends an entry and replicates it. Returns its index."""
        self._append([protocol.Entry(self.term, kind, body)], self.last_index())
        for name, peer in self.peers.items():
            if not peer.append_pending:
                self._replicate(name)
        return self.last_index()

    def _appended(self, sender, reply):
        if reply.term > self.term:
            self._adopt_term(reply.term)
            return
        peer = self.peers.get(sender)
        if self.state != LEADER or peer is None or reply.term < self.term:
            return
        if reply.generation < peer.generation:
            return  # from the peer's previous process
        if reply.generation > peer.generation:  # the restarted peer may have lost entries
            peer.generation, peer.match_index, peer.round = reply.generation, 0, 0
        self.write_counts[sender] = max(reply.write_count, self.write_counts.get(sender, 0))
        peer.heard_at, peer.exclusion, peer.append_pending = self.now, reply.exclusion, False
        if not peer.exclusion:
            peer.round = max(peer.round, reply.round)
        if reply.matched:
            peer.match_index = max(peer.match_index, reply.last_index)
            peer.next_index = max(peer.next_index, reply.last_index + 1)
        else:
            peer.next_index = max(1, min(peer.next_index - 1, reply.last_index + 1))
        if peer.next_index <= self.last_index():
            self._replicate(sender)
        self._advance_commit()
        self._update_voters(sender, peer)

    def _quorum_value(self, value_of):
        """Returns the highest value reached by a majority of the voters; value_of(None) is this leader's."""
        own_value, values = value_of(None), []
        for name in self.voters:
            peer = self.peers.get(name)
            values.append(
                own_value
                if name == self.name
                else value_of(peer)
                if peer is not None and not peer.exclusion
                else 0
            )
        return sorted(values, reverse=True)[len(self.voters) // 2]

    def _advance_commit(self):
        confirmed = self._quorum_value(lambda peer: self.round if peer is None else peer.round)
        # The leader's own log counts only after a majority knows the write count of its store. Otherwise a
        # store restored from before that write would not be noticed, and committed entries could be lost.
        while self.flush_reports and self.flush_reports[0][0] <= confirmed:
            self.own_match = self.flush_reports.pop(0)[1]
        index = self._quorum_value(lambda peer: self.own_match if peer is None else peer.match_index)
        if index > self.commit and self.term_at(index) == self.term:
            self.commit = index
            self._apply()
        if self.term_at(self.commit) != self.term:
            return  # an earlier leader's grants may not be committed yet, so owners are not known
        for member_id in self.leases.confirmed(confirmed):
            self._send_renewed(member_id)

    def _update_voters(self, sender, peer):
        """Demotes a voter whose store lost data to a learner, and promotes a learner that has caught up."""
        if self.config_index > self.commit or self.term_at(self.commit) != self.term:
            return  # one change at a time, and none before an entry of this term is committed
        if peer.exclusion == protocol.DATA_LOST and sender in self.voters and len(self.voters) > 1:
            rest = [name for name in self.voters if name != sender]
            self._log_event(
                "keeper struck from the voters", keeper=sender, why="it reports that its store has lost data"
            )
            self.propose(protocol.CONFIGURATION, (rest, [*self.learners, sender]))
        elif sender in self.learners and not peer.exclusion and peer.match_index >= self.commit > 0:
            rest = [name for name in self.learners if name != sender]
            self._log_event("keeper counts", keeper=sender)
            self.propose(protocol.CONFIGURATION, ([*self.voters, sender], rest))

    def _assign_duties(self):
        self.leases.forget_expired(self.now, self.applied)
        if self.term_at(self.commit) == self.term:
            for name, member, previous_token in self.leases.place(self.now, self.duties, self.applied):
                self.leases.granting[name] = self.propose(
                    protocol.COMMAND, ("", GRANT, [name, member, previous_token])
                )

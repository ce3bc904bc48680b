"""Pre-votes, elections, stepping down, and leadership transfer."""

from .. import protocol
from .states import (
    CANDIDATE,
    ELECTION_TIMEOUT,
    ELECTION_WON,
    LEADER,
    LEADERSHIP_TRANSFERRED,
    MAJORITY_LOST,
    PRE_CANDIDATE,
    PRE_VOTE_WON,
    STEP_DOWN,
)


class Elections:
    """The part of Keeper that elects leaders, with its timers."""

    def _reset_election_timer(self):
        self.election_at = self.now + self.random.randint(
            self.settings.min_election_timeout, self.settings.max_election_timeout
        )

    def _tick(self, event):
        if self.state == LEADER:
            responsive = [
                name
                for name, peer in self.peers.items()
                if self.now - peer.heard_at < self.settings.max_election_timeout and not peer.exclusion
            ]
            if not self._majority([self.name, *responsive]):
                self._transition(MAJORITY_LOST)
            elif (
                self.inflight_write is not None and self.now - self.inflight_since > self.settings.slow_flush
            ):
                self._log_event(
                    "disk is slow, another shall lead", flush_ms=(self.now - self.inflight_since) // 10
                )
                self._transfer_leadership()
                self._transition(MAJORITY_LOST)
        if self.state == LEADER:
            if self.now >= self.heartbeat_at:
                self._send_heartbeats()
            self._assign_duties()
        elif self.now >= self.election_at:
            if self.exclusion() == protocol.UNVERIFIED:
                self._send_hellos()
            self._reset_election_timer()
            flush_is_slow = (
                self.inflight_write is not None and self.now - self.inflight_since > self.settings.slow_flush
            )
            if self.name in self.voters and not self.exclusion() and not flush_is_slow:
                self._transition(ELECTION_TIMEOUT)
        if self.state != LEADER:
            self.heartbeat_at = self.election_at

    def _start_pre_vote(self):
        self.votes, self.leader = {self.name: self.now - self.acked_at}, None
        for name in self.voters:
            if name != self.name:
                self._send(
                    name,
                    protocol.RequestVote(
                        self.term + 1, self.term_at(self.last_index()), self.last_index(), pre_vote=True
                    ),
                )
        if self._majority(self.votes):
            self._transition(PRE_VOTE_WON)

    def _start_election(self, leadership_transfer=False):
        self.term, self.voted_for, self.leader = self.term + 1, self.name, None
        self.votes, self.dirty = {}, True
        for name in self.voters:
            if name != self.name:
                self._send_when_durable(
                    name,
                    protocol.RequestVote(
                        self.term,
                        self.term_at(self.last_index()),
                        self.last_index(),
                        leadership_transfer=leadership_transfer,
                        write_count=self.write_count + 1,
                    ),
                )
        self._send_when_durable(
            self.name, protocol.Vote(self.term, False, True, max(0, self.now - self.acked_at))
        )

    def _start_transfer_election(self):
        self._start_election(leadership_transfer=True)

    def _request_vote(self, sender, request):
        self.write_counts[sender] = max(request.write_count, self.write_counts.get(sender, 0))
        log_up_to_date = (request.last_term, request.last_index) >= (
            self.term_at(self.last_index()),
            self.last_index(),
        )
        leader_alive = (
            self.state == LEADER or self.now - self.leader_heard_at < self.settings.min_election_timeout
        )
        if self.exclusion() or (leader_alive and not request.leadership_transfer):
            return
        if request.pre_vote:
            grant = request.term > self.term and request.term > self.no_vote_through and log_up_to_date
            # A rejection carries this keeper's term; else two candidates of unequal terms could ask for ever.
            self._send_when_durable(sender, protocol.Vote(request.term if grant else self.term, True, grant))
            return
        if request.term > self.term:
            self._adopt_term(request.term)
        grant = (
            request.term == self.term
            and self.voted_for in (None, sender)
            and request.term > self.no_vote_through
            and log_up_to_date
        )
        if grant and self.voted_for is None:
            self.voted_for, self.dirty = sender, True
        if grant:
            self._reset_election_timer()
        self._send_when_durable(
            sender,
            protocol.Vote(
                self.term, False, grant, max(0, self.now - self.acked_at), self.write_count + self.dirty
            ),
        )

    def _vote(self, sender, vote):
        self.write_counts[sender] = max(vote.write_count, self.write_counts.get(sender, 0))
        if vote.pre_vote and vote.granted:
            if self.state == PRE_CANDIDATE and vote.term == self.term + 1:
                self.votes[sender] = 0
                if self._majority(self.votes):
                    self._transition(PRE_VOTE_WON)
            return
        if vote.term > self.term:
            self._adopt_term(vote.term)
        elif self.state == CANDIDATE and vote.term == self.term and vote.granted:
            self.votes[sender] = vote.since_ack
            if self._majority(self.votes):
                self._transition(ELECTION_WON)

    def _adopt_term(self, term):
        self.term, self.voted_for, self.dirty, self.leader = term, None, True, None
        self._transition(STEP_DOWN)

    def _timeout_now(self, sender, request):
        if request.term == self.term and self.name in self.voters and not self.exclusion():
            self._transition(LEADERSHIP_TRANSFERRED)

    def _step_down(self):
        for sender, key in self.pending_commands.values():
            self._send(sender, protocol.Answer(key))
        self.peers, self.leases, self.pending_commands = {}, None, {}
        self.acked_at = self.now  # a leader's own confirmations count as acknowledgements
        self._reset_election_timer()
        self.heartbeat_at = self.election_at

    def _lose_majority(self):
        self._log_event("leadership given up", term=self.term, why="no majority answers, or the disk is slow")
        self.leader = None
        self._step_down()

    def _transfer_leadership(self):
        """Asks the eligible voter with the longest log to start an election at once."""
        candidates = [
            name
            for name in self.peers
            if name in self.voters
            and not self.peers[name].exclusion
            and self.peers[name].match_index >= self.commit
        ]
        if candidates:
            self._send(
                max(candidates, key=lambda name: (self.peers[name].match_index, name)),
                protocol.TimeoutNow(self.term),
            )

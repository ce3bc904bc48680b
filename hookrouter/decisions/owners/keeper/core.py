"""The Keeper class: its state, its event dispatch, and the tables of transitions, messages and events."""

from collections import deque
from random import Random

from .. import protocol
from ..duties import Duties
from .applying import Applying
from .durability import Durability
from .elections import Elections
from .following import Following
from .leading import Leading
from .log import Log
from .member_requests import MemberRequests
from .peer import LONG_AGO
from .recovery import Recovery
from .sizes import record_bytes
from .states import (
    CANDIDATE,
    ELECTION_TIMEOUT,
    ELECTION_WON,
    FOLLOWER,
    LEADER,
    LEADERSHIP_TRANSFERRED,
    MAJORITY_LOST,
    PRE_CANDIDATE,
    PRE_VOTE_WON,
    STEP_DOWN,
    STORE_FAILED,
    STORE_RECOVERED,
    WRITE_FAILED,
)

AWAIT_ALL_REPLIES = 20_000  # 2 s after a start all others must reply to Hello; after that a majority suffices


class Keeper(Log, Durability, Recovery, Elections, Leading, Following, Applying, MemberRequests):
    """A server of the replicated log. take() handles an event and returns the effects, in order."""

    def __init__(self, settings, stored, now, seed):
        """settings, stored: of protocol; seed: of the random election timeouts."""
        self.settings, self.name, self.random = settings, settings.name, Random(seed)
        self.now, self.effects, self.write_id = now, [], 0
        self.generation = settings.generation
        self._load(stored)

    def _load(self, stored):
        """Initialises the state from disk alone."""
        self.state, self.leader = FOLLOWER, None
        self.term, self.voted_for, self.write_count, self.no_vote_through = (
            stored.term,
            stored.voted_for,
            stored.write_count,
            stored.no_vote_through,
        )
        self.write_counts, self.integrity_error = dict(stored.write_counts), stored.integrity_error
        # snapshot: (index, term, voters, learners, state); base: index of the last compacted entry
        self.snapshot = stored.snapshot or (0, 0, self.settings.keepers, (), None)
        self.base, self.base_term, self.entries = stored.base, stored.base_term, list(stored.entries)
        self.commit = self.applied = self.snapshot[0]
        self.duties = Duties(self.snapshot[4])
        self.durable_index = self.last_index()
        # unstored_entries: indices of entries with records that this keeper's copies have not stored yet;
        # record_bytes: size of the records in the log.
        self.unstored_entries, self.record_bytes = deque(), sum(map(record_bytes, self.entries))
        self._read_configuration()
        # inflight_sends wait for the write in flight, next_sends for the one after it; batch_last: last index
        # of the write in flight
        self.inflight_write, self.inflight_sends, self.inflight_since, self.batch_last = None, [], 0, 0
        # An integrity error is written again, so that it outlives the data that it is about.
        self.dirty, self.next_sends = self.integrity_error is not None, []
        self.first_unsaved, self.snapshot_unsaved = self.last_index() + 1, False
        # The previous process may have sent an acknowledgement just before it ended.
        self.acked_at, self.leader_heard_at = self.now, -LONG_AGO
        # hello_replies: keepers that confirmed this store's write count; votes: voter -> time since its last
        # acknowledgement of a leader
        self.hello_replies, self.votes, self.majority_suffices_at = (
            {self.name},
            {},
            self.now + AWAIT_ALL_REPLIES,
        )
        # pending_commands: log index -> (requester, idempotency key)
        self.peers, self.round, self.leases, self.pending_commands = {}, 0, None, {}
        # own_match: index up to which this leader's own log counts for commit; flush_reports: (round, durable
        # index), where the index counts once a majority has confirmed that round.
        self.own_match, self.flush_reports = 0, []
        self.heartbeat_at = self.now
        self._reset_election_timer()

    def take(self, now, event):
        """Handles an event of protocol. Returns the list of effects."""
        self.now, self.effects = now, []
        getattr(self, EVENTS[type(event)].__name__)(event)
        self._flush()
        return self.effects

    def alarm(self):
        """Returns when the next Tick is due: a heartbeat or an election timeout."""
        return self.heartbeat_at if self.state == LEADER else self.election_at

    def _transition(self, state_event):
        row = TRANSITIONS.get((self.state, state_event))
        if row is not None:
            self.state, action = row
            getattr(self, action.__name__)()

    def _log_event(self, event, **fields):
        self.effects.append(protocol.LogEvent(event, tuple(fields.items())))

    def _send(self, receiver, message):
        self.effects.append(protocol.Send(receiver, message))

    def _received(self, event):
        handler = MESSAGES.get(type(event.message))
        if handler is None or (self.state == STORE_FAILED and handler in NEED_STORE):
            return
        getattr(self, handler.__name__)(event.sender, event.message)

    def _no_action(self):
        pass


# (state, input) -> (next state, action)
TRANSITIONS = {
    (FOLLOWER, ELECTION_TIMEOUT): (PRE_CANDIDATE, Keeper._start_pre_vote),
    (PRE_CANDIDATE, ELECTION_TIMEOUT): (PRE_CANDIDATE, Keeper._start_pre_vote),
    (CANDIDATE, ELECTION_TIMEOUT): (PRE_CANDIDATE, Keeper._start_pre_vote),
    (PRE_CANDIDATE, PRE_VOTE_WON): (CANDIDATE, Keeper._start_election),
    (CANDIDATE, ELECTION_WON): (LEADER, Keeper._become_leader),
    (FOLLOWER, LEADERSHIP_TRANSFERRED): (CANDIDATE, Keeper._start_transfer_election),
    (FOLLOWER, STEP_DOWN): (FOLLOWER, Keeper._no_action),
    (PRE_CANDIDATE, STEP_DOWN): (FOLLOWER, Keeper._reset_election_timer),
    (CANDIDATE, STEP_DOWN): (FOLLOWER, Keeper._reset_election_timer),
    (LEADER, STEP_DOWN): (FOLLOWER, Keeper._step_down),
    (LEADER, MAJORITY_LOST): (FOLLOWER, Keeper._lose_majority),
    (FOLLOWER, WRITE_FAILED): (STORE_FAILED, Keeper._store_failed),
    (PRE_CANDIDATE, WRITE_FAILED): (STORE_FAILED, Keeper._store_failed),
    (CANDIDATE, WRITE_FAILED): (STORE_FAILED, Keeper._store_failed),
    (LEADER, WRITE_FAILED): (STORE_FAILED, Keeper._store_failed),
    (STORE_FAILED, STORE_RECOVERED): (FOLLOWER, Keeper._store_recovered),
}

MESSAGES = {
    protocol.RequestVote: Keeper._request_vote,
    protocol.Vote: Keeper._vote,
    protocol.Append: Keeper._on_append,
    protocol.Appended: Keeper._appended,
    protocol.InstallSnapshot: Keeper._on_install_snapshot,
    protocol.Hello: Keeper._hello,
    protocol.HelloReply: Keeper._hello_reply,
    protocol.TimeoutNow: Keeper._timeout_now,
    protocol.Renew: Keeper._renew,
    protocol.CommandRequest: Keeper._command,
    protocol.StatusRequest: Keeper._status,
}
NEED_STORE = {
    Keeper._request_vote,
    Keeper._vote,
    Keeper._on_append,
    Keeper._on_install_snapshot,
    Keeper._appended,
    Keeper._timeout_now,
}

EVENTS = {
    protocol.Received: Keeper._received,
    protocol.WriteFinished: Keeper._write_finished,
    protocol.Tick: Keeper._tick,
    protocol.StoreReopened: Keeper._store_reopened,
    protocol.Started: Keeper._started,
    protocol.RecordsStored: Keeper._records_stored,
    protocol.CopiesReopened: Keeper._resync_copies,
}

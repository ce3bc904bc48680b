"""The view: its state, the loop that takes events, and the dispatch tables of probes and messages."""

from collections import deque
from random import Random

from .. import protocol
from .digests import member_digest, supersedes
from .gossip import Gossip
from .member_table import MemberTable
from .pending import ANSWERED, DIRECT, INDIRECT, MAX_DISPUTED_DEATHS, OVERDUE
from .probing import Probing
from .suspicions import Suspicions

LEAVE_DURATION = 10_000  # 1 s in which a planned leave is announced


class View(MemberTable, Suspicions, Probing, Gossip):
    """One member's view of the fleet."""

    member_digest, supersedes = staticmethod(member_digest), staticmethod(supersedes)

    def __init__(self, terms, local_member, now, seed):
        """`local_member` is this process's Member; `seed` that of its random choices."""
        self.terms, self.local_member, self.random = terms, local_member, Random(seed)
        self.now, self.effects = now, []
        # key -> Member; key -> Suspicion; key -> when it died or left, earliest first
        self.members, self.suspicions, self.ended_at = {}, {}, {}
        self.alive_count = 0
        self.bucket_digests, self.digest = [0] * protocol.BUCKETS, 0
        # Keys in probe order, the position in it, and whether the next probe goes to a suspect.
        self.probe_order, self.probe_index, self.suspect_turn = [], 0, False
        self.probes, self.relayed, self.seq = {}, {}, 0  # seq -> Probe; seq -> (requester, its seq, due)
        # Updates to gossip: key -> times sent; queues of keys by times sent.
        self.transmit_counts, self.transmit_queues = {}, []
        self.disputed_deaths = {}  # key -> record of its death, not believed here
        self.keys_by_name = {}  # name -> keys of its processes
        self.health_score, self.rtt_mean, self.rtt_deviation = 0, 0.0, 0.0
        self.recent_digests, self.digest_since = deque(), now  # (when, key of the sender, its digest)
        self.next_probe_at, self.next_compare_at, self.next_reconnect_at = now, now, now
        self.last_received_at = now
        self.duplicates, self.left_at = set(), None
        self._store(local_member, "starts", ())

    def take(self, now, event):
        """Handles an event and returns the effects."""
        self.now, self.effects = now, []
        if self.left_at is None or now < self.left_at + LEAVE_DURATION:
            getattr(self, EVENTS[type(event)].__name__)(event)
        return self.effects

    def alarm(self):
        """Time at which the next Tick is due."""
        times = [
            self.next_probe_at,
            *(probe.due for probe in self.probes.values()),
            *(request[2] for request in self.relayed.values()),
        ]
        if self.suspicions:
            times.append(min(suspicion.due for suspicion in self.suspicions.values()))
        return max(self.now + 1, min(times))

    def _send(self, member, message):
        self.effects.append(protocol.Send(member.name, member.address, message))

    def alive(self):
        """Members that are not dead and have not left, this one included."""
        return [member for member in self.members.values() if member.state < protocol.DEAD]

    def settled_since(self):
        """Time since which all digests received lately were that of this view, or None."""
        others, since = self.alive_count - 1, self.now - self.terms.settle_duration
        if self.digest_since > since or self.suspicions:
            return None
        while self.recent_digests and self.recent_digests[0][0] < since:
            self.recent_digests.popleft()
        if others == 0:
            return None if self.terms.seeds else self.digest_since
        recent = {key for _, key, _ in self.recent_digests}
        if len(recent) < min(others, self.terms.settle_members) or any(
            digest != self.digest for _, _, digest in self.recent_digests
        ):
            return None
        return self.digest_since

    def _step(self, seq, outcome):
        probe = self.probes[seq]
        state, effect = TABLE[probe.state, outcome]
        if state is None:
            del self.probes[seq]
        else:
            probe.state = state
        getattr(self, effect.__name__)(seq, probe)

    def _on_received(self, received):
        message, key = received.message, (received.name, received.life)
        if key == self.local_member.key:
            return
        self.last_received_at = self.now
        # Members sent in bulk are not gossiped on, since others get them in bulk too; a leave is.
        for member in getattr(message, "updates", ()):
            self._learn(
                member,
                received.name,
                not isinstance(message, protocol.MemberList) or member.state == protocol.LEFT,
            )
        member = self.members.get(key)
        if member is not None and member.state == protocol.DEAD:
            # A dead member that sends is told of its death, so that it refutes. Not at once for each message:
            # a member that does not refute would be answered for ever.
            if len(self.disputed_deaths) < MAX_DISPUTED_DEATHS:
                self.disputed_deaths[key] = member
        getattr(self, MESSAGES[type(message)].__name__)(key, received, message)


# (state of a probe, outcome) -> (next state or None where the probe ends, effect)
TABLE = {
    (DIRECT, ANSWERED): (None, View._probe_acked),
    (DIRECT, OVERDUE): (INDIRECT, View._probe_indirectly),
    (INDIRECT, ANSWERED): (None, View._probe_acked),
    (INDIRECT, OVERDUE): (None, View._probe_failed),
}

EVENTS = {
    protocol.Received: View._on_received,
    protocol.Tick: View._on_tick,
    protocol.Leave: View._on_leave,
}
MESSAGES = {
    protocol.Ping: View._on_ping,
    protocol.Ack: View._on_ack,
    protocol.PingFor: View._on_ping_for,
    protocol.Nak: View._on_nak,
    protocol.Compare: View._on_compare,
    protocol.MemberList: View._on_member_list,
}

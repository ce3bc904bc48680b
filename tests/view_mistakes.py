"""Faults seeded into the membership decisions; the checks must find each of them."""

from hookrouter.decisions.view import View, protocol
from hookrouter.decisions.view.members import member_digest


class IncarnationNotRaised(View):
    """A refutation keeps the incarnation that is suspected."""

    def _update_self(self, incarnation, state=None):
        super()._update_self(self.local_member.incarnation if state is None else incarnation, state)


class DeadRevived(View):
    """An update of the same incarnation holds whatever was reported before."""

    supersedes = staticmethod(lambda new, old: new.incarnation >= old.incarnation and new.state != old.state)


class RefutationNotSpread(View):
    """A member raises its incarnation and does not gossip it."""

    def _update_self(self, incarnation, state=None):
        super()._update_self(incarnation, state)
        if state is None:
            self._dequeue(self.local_member.key)

    def _updates(self, recipient=None):
        return [member for member in super()._updates(recipient) if member.key != self.local_member.key]

    def _comparison(self, is_reply):
        return protocol.Compare(list(self.bucket_digests), is_reply)

    def _on_compare(self, key, received, compare):
        if self.local_member.incarnation == 0:
            super()._on_compare(key, received, compare)


class SuspicionWithoutBound(View):
    """A suspicion never times out."""

    def _suspect(self, member, accuser):
        super()._suspect(member, accuser)
        self.suspicions[member.key].due = 1 << 60

    def _confirm(self, member):
        pass

    def _on_death_report(self, member, old):
        pass


class DigestWithoutIncarnation(View):
    """The digest of a view leaves out incarnations and states."""

    member_digest = staticmethod(
        lambda member: 0
        if member.state >= protocol.DEAD
        else member_digest(
            protocol.Member(member.name, member.life, "h", 1, "z", "r", "v", 0, protocol.ALIVE)
        )
    )


class LeaveTakenForDeath(View):
    """A planned leave is not announced."""

    def _on_leave(self, event):
        self.left_at = self.now


class NeverItsOwnFault(View):
    """After a stall, a member counts probes as failed that could not be acked meanwhile."""

    def _recover_from_stall(self, duration):
        pass

    def _probe_failed(self, seq, probe):
        self.health_score = 0
        super()._probe_failed(seq, probe)


class BelievesDeaths(View):
    """Every reported death is believed."""

    def _on_death_report(self, member, old):
        self._store(member, "reported by another member", (member.accuser,))


MISTAKES = (
    IncarnationNotRaised,
    DeadRevived,
    RefutationNotSpread,
    SuspicionWithoutBound,
    DigestWithoutIncarnation,
    LeaveTakenForDeath,
    NeverItsOwnFault,
    BelievesDeaths,
)

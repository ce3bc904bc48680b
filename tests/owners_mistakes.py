"""Seeded mistakes, each a subclass of Keeper with one fault that the safety checks must find."""

from hookrouter.decisions.owners import Keeper, protocol


class VoteNotOnDisk(Keeper):
    """Sends a vote before it is on disk."""

    def _send_when_durable(self, receiver, message):
        if isinstance(message, protocol.Vote) and receiver != self.name:
            vote = protocol.Vote(
                message.term,
                message.pre_vote,
                message.granted,
                message.since_ack,
                self._durable_write_count(),
            )
            self.effects.append(protocol.Send(receiver, vote))
        else:
            super()._send_when_durable(receiver, message)


class AckBeforeDisk(Keeper):
    """Acknowledges entries before they are on disk."""

    def _send_when_durable(self, receiver, message):
        if isinstance(message, protocol.Appended):
            self.effects.append(protocol.Send(receiver, message))
        else:
            super()._send_when_durable(receiver, message)


class OlderTermCommitted(Keeper):
    """Commits an entry of an older term by counting replicas (figure 3.7 of Ongaro's thesis)."""

    def term_at(self, index):
        term = super().term_at(index)
        return self.term if self.state == "leading" and index and index == self.counted_index else term

    counted_index = 0

    def _advance_commit(self):
        self.counted_index = self._quorum_value(
            lambda peer: self.durable_index if peer is None else peer.match_index
        )
        super()._advance_commit()
        self.counted_index = 0


class ForgotAndVotes(Keeper):
    """Votes and counts although its store has lost data."""

    def exclusion(self):
        return 0

    def _set_integrity_error(self, reason):
        pass


class NoWaitForFormerLeases(Keeper):
    """A new leader does not wait for leases that an earlier leader confirmed."""

    def _become_leader(self):
        super()._become_leader()
        self.leases.earlier_leases_until = self.now


class RenewalUnconfirmed(Keeper):
    """A leader confirms renewals without confirming its leadership."""

    def _renew(self, sender, renew):
        super()._renew(sender, renew)
        if self.state == "leading":
            for member_id in self.leases.confirmed(1 << 50):
                self._send_renewed(member_id)


class GrantInFlightTold(Keeper):
    """A renewal between a grant's proposal and its commit still names the former owner.

    The fault schedules found this mistake in the program, with seed 254.
    """

    def _send_renewed(self, member_id):
        saved, self.leases.granting = self.leases.granting, {}
        super()._send_renewed(member_id)
        self.leases.granting = saved


class OwnConfirmationForgotten(Keeper):
    """A leader that is elected again at once ignores its own earlier confirmations of leases.

    The fault schedules found this mistake in the program, with seed 212.
    """

    def _step_down(self):
        saved = self.acked_at
        super()._step_down()
        self.acked_at = saved


class TwoVotesInATerm(Keeper):
    """Votes again in a term in which it has voted."""

    def _request_vote(self, sender, request):
        if not request.pre_vote and request.term == self.term and self.state == "following":
            self.voted_for = None
        super()._request_vote(sender, request)


class MinorityDecides(Keeper):
    """Accepts less than a majority as a quorum."""

    def _majority(self, names):
        return 2 * len(set(names) & set(self.voters)) >= len(self.voters) - 1


MISTAKES = (
    VoteNotOnDisk,
    AckBeforeDisk,
    OlderTermCommitted,
    ForgotAndVotes,
    NoWaitForFormerLeases,
    RenewalUnconfirmed,
    GrantInFlightTold,
    OwnConfirmationForgotten,
    TwoVotesInATerm,
    MinorityDecides,
)

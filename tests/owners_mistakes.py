"""Mistakes seeded on purpose, a keeper each: what a check of safety must find."""

from hookrouter.decisions.owners import Keeper
from hookrouter.decisions.owners import words as w


class VoteNotOnDisk(Keeper):
    def _durable(self, to, message):
        if isinstance(message, w.Vote) and to != self.name:
            told = w.Vote(message.term, message.pre, message.granted, message.age, self._flushed())
            self.out.append(w.Send(to, told))
        else:
            super()._durable(to, message)


class AckBeforeDisk(Keeper):
    """Its entries count, and are said to be held, before they are on disk."""

    def _durable(self, to, message):
        if isinstance(message, w.Appended):
            self.out.append(w.Send(to, message))
        else:
            super()._durable(to, message)


class OlderTermCommitted(Keeper):
    """Figure 3.7 of Ongaro's thesis: an entry of an older term counted as agreed."""

    def term_at(self, index):
        found = super().term_at(index)
        return self.term if self.state == "leading" and index and index == self.asked_for else found

    asked_for = 0

    def _agree(self):
        self.asked_for = self._counted(lambda peer: self.durable if peer is None else peer.match)
        super()._agree()
        self.asked_for = 0


class ForgotAndVotes(Keeper):
    def aside(self):
        return 0

    def _doubt(self, why):
        pass


class NoWaitForFormerLeases(Keeper):
    def _lead(self):
        super()._lead()
        self.leases.floor = self.now


class RenewalUnconfirmed(Keeper):
    """A leader that does not ask whether it still leads."""

    def _renew(self, sender, renew):
        super()._renew(sender, renew)
        if self.state == "leading":
            for who in self.leases.confirmed(1 << 50):
                self._renewed(who)


class GrantInFlightTold(Keeper):
    """Found by the schedules in this program: seed 254, a renewal between a grant's proposal and its commit."""

    def _renewed(self, who):
        kept, self.leases.granting = self.leases.granting, {}
        super()._renewed(who)
        self.leases.granting = kept


class OwnConfirmationForgotten(Keeper):
    """Found likewise: seed 212, a leader that stood again at once and forgot that it had counted itself."""

    def _step_back(self):
        kept = self.acked_at
        super()._step_back()
        self.acked_at = kept


class TwoVotesInATerm(Keeper):
    def _ballot(self, sender, ballot):
        if not ballot.pre and ballot.term == self.term and self.state == "following":
            self.voted = None
        super()._ballot(sender, ballot)


class MinorityDecides(Keeper):
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

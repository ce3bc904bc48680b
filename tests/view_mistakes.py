"""Mistakes seeded on purpose into the decisions on the view: a check that finds none of them is no check."""

from hookrouter.decisions.view import View
from hookrouter.decisions.view import words as w
from hookrouter.decisions.view.members import mark


class IncarnationNotRaised(View):
    """It says that it lives, under the incarnation that is suspected."""

    def _mine(self, incarnation, state=None):
        super()._mine(self.me.incarnation if state is None else incarnation, state)


class DeadRevived(View):
    """News of one incarnation hold whatever was said before."""

    holds = staticmethod(lambda new, old: new.incarnation >= old.incarnation and new.state != old.state)


class RefutationNotSpread(View):
    """It raises its incarnation and tells nobody."""

    def _mine(self, incarnation, state=None):
        super()._mine(incarnation, state)
        if state is None:
            self._no_news(self.me.key)

    def _news(self, to=None):
        return [row for row in super()._news(to) if row.key != self.me.key]

    def _compared(self, answer):
        return w.Compare(list(self.sums), answer)

    def _compare(self, key, heard, compare):
        if self.me.incarnation == 0:
            super()._compare(key, heard, compare)


class SuspicionWithoutBound(View):
    def _suspect(self, row, by):
        super()._suspect(row, by)
        self.suspicions[row.key].due = 1 << 60

    def _witness(self, row):
        pass

    def _said_dead(self, row, old):
        pass


class DigestWithoutIncarnation(View):
    """The sum of a view leaves out what changes about a member that stays."""

    mark = staticmethod(
        lambda row: 0
        if row.state >= w.DEAD
        else mark(w.Row(row.name, row.life, "h", 1, "z", "r", "v", 0, w.ALIVE))
    )


class LeaveTakenForDeath(View):
    """A planned end is not told."""

    def _leave(self, event):
        self.left_at = self.now


class NeverItsOwnFault(View):
    """After it stood still it takes all for silent that nobody asked."""

    def _stood_still(self, span):
        pass

    def _failed(self, seq, probe):
        self.aware = 0
        super()._failed(seq, probe)


class BelievesDeaths(View):
    """Who is said to be dead is buried."""

    def _said_dead(self, row, old):
        self._put(row, "on another's word", (row.by,))


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

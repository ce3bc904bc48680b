"""What is agreed is applied in order, and folded into a snapshot in time."""

from .. import words as w
from ..duties import GRANT
from .states import LEADING
from .weights import weight

MOST_WEIGHT = 8_000_000  # bytes of records in the log before a snapshot


class Agreed:
    def _apply(self):
        while self.applied < self.commit:
            self.applied += 1
            entry = self.entries[self.applied - self.base - 1]
            if entry.sort == w.COMMAND:
                key, command, fields = entry.body
                result = self.duties.apply(self.applied, key, command, fields)
                if command == GRANT and result[0] == "granted":
                    self._granted(fields)
                self._file(self.applied, self.duties.records)
                asked = self.asks.pop(self.applied, None)
                if asked is not None:
                    self._send(asked[0], w.Answer(asked[1], result))
        self._fold_due()

    def _fold_due(self):
        long = self.applied - self.base > self.terms.most_log + self.terms.lag
        # What the copies still lack stays in the log: they have it from nowhere else.
        if (long or self.weight > MOST_WEIGHT) and not self.unfiled and self.applied > self.base:
            self._fold()

    def _taken_in(self):
        """Aside, holding all that this leader knows to be agreed, and by that no voter: what was forgotten
        counts
        nowhere any more. But it may have voted in this term.
        """
        if self.doubt is not None and self.name in self.learners and self.changed <= self.commit:
            self.abstain, self.doubt, self.dirty = max(self.abstain, self.term), None, True
            self.known = set(self.voters) | {self.name}
            self._told("keeper learns anew", term=self.term)

    def _granted(self, fields):
        name, member, after = fields
        self._told("duty granted", duty=name, owner=member, number=self.applied)
        if self.state == LEADING:
            self.leases.granted(name, after)
            self._renewed(member)

    def _fold(self):
        """A snapshot of what is agreed; some entries stay for those a little behind."""
        voters, learners = self.snapshot[2], self.snapshot[3]
        for entry in self.entries[: self.applied - self.base]:
            if entry.sort == w.CHANGE:
                voters, learners = map(tuple, entry.body)
        term = self.term_at(self.applied)
        self.snapshot = (self.applied, term, voters, learners, self.duties.state())
        base = self.applied if self.weight > MOST_WEIGHT else max(self.base, self.applied - self.terms.lag)
        self.base_term = self.term_at(base)
        del self.entries[: base - self.base]
        self.base, self.weight = base, sum(map(weight, self.entries))
        self.unsaved_snapshot = self.dirty = True
        self.unsaved = max(self.unsaved, self.base + 1)

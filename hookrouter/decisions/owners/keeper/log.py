"""The log of a keeper, and who keeps by it."""

from .. import words as w
from .weights import weight


class Log:
    def last(self):
        return self.base + len(self.entries)

    def term_at(self, index):
        """None where it is not kept."""
        if index == self.base:
            return self.base_term
        if index == self.snapshot[0]:
            return self.snapshot[1]
        at = index - self.base - 1
        return self.entries[at].term if 0 <= at < len(self.entries) else None

    def _find_keepers(self):
        """Who keeps by the newest entry that says so, agreed or not."""
        self.voters, self.learners, self.changed = (
            tuple(self.snapshot[2]),
            tuple(self.snapshot[3]),
            self.snapshot[0],
        )
        for at in range(len(self.entries) - 1, -1, -1):
            if self.entries[at].sort == w.CHANGE and self.base + at + 1 > self.snapshot[0]:
                self.voters, self.learners = map(tuple, self.entries[at].body)
                self.changed = self.base + at + 1
                return

    def _append(self, entries, after):
        """Puts entries behind that index; what stood there goes."""
        if after < self.last():
            del self.entries[after - self.base :]
            self.weight = sum(map(weight, self.entries))
            self.durable, self.batch_last = min(self.durable, after), min(self.batch_last, after)
            self._find_keepers()
        self.unsaved = min(self.unsaved, after + 1)
        for entry in entries:
            self.entries.append(entry)
            self.weight += weight(entry)
            if entry.sort == w.CHANGE:
                self.voters, self.learners, self.changed = (*map(tuple, entry.body), self.last())
        self.dirty = True

    def _flushed(self):
        return self.written - (self.inflight is not None)

    def others(self):
        return [name for name in (*self.voters, *self.learners) if name != self.name]

    def _majority(self, names):
        return 2 * len(set(names) & set(self.voters)) > len(self.voters)

    def aside(self):
        """Not 0 where it must neither vote nor count."""
        if self.doubt is not None:
            return w.FORGOT
        every = self.known >= {self.name, *self.others()}
        return 0 if every or (self._majority(self.known) and self.now >= self.sure_at) else w.UNSURE

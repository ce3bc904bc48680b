"""The keeper's log, and the cluster membership that it contains."""

from .. import protocol
from .sizes import record_bytes


class Log:
    """The part of Keeper that holds entries; entry i is self.entries[i - self.base - 1]."""

    def last_index(self):
        """Returns the index of the newest entry."""
        return self.base + len(self.entries)

    def term_at(self, index):
        """Returns the term of that entry, or None if the log does not have it."""
        if index == self.base:
            return self.base_term
        if index == self.snapshot[0]:
            return self.snapshot[1]
        position = index - self.base - 1
        return self.entries[position].term if 0 <= position < len(self.entries) else None

    def _read_configuration(self):
        """Sets voters and learners from the newest configuration entry, committed or not."""
        self.voters, self.learners, self.config_index = (
            tuple(self.snapshot[2]),
            tuple(self.snapshot[3]),
            self.snapshot[0],
        )
        for position in range(len(self.entries) - 1, -1, -1):
            if (
                self.entries[position].kind == protocol.CONFIGURATION
                and self.base + position + 1 > self.snapshot[0]
            ):
                self.voters, self.learners = map(tuple, self.entries[position].body)
                self.config_index = self.base + position + 1
                return

    def _append(self, entries, after):
        """Replaces all entries after that index."""
        if after < self.last_index():
            del self.entries[after - self.base :]
            self.record_bytes = sum(map(record_bytes, self.entries))
            self.durable_index, self.batch_last = min(self.durable_index, after), min(self.batch_last, after)
            self._read_configuration()
        self.first_unsaved = min(self.first_unsaved, after + 1)
        for entry in entries:
            self.entries.append(entry)
            self.record_bytes += record_bytes(entry)
            if entry.kind == protocol.CONFIGURATION:
                self.voters, self.learners, self.config_index = (*map(tuple, entry.body), self.last_index())
        self.dirty = True

    def _durable_write_count(self):
        return self.write_count - (self.inflight_write is not None)

    def others(self):
        """Returns the names of all other voters and learners."""
        return [name for name in (*self.voters, *self.learners) if name != self.name]

    def _majority(self, names):
        return 2 * len(set(names) & set(self.voters)) > len(self.voters)

    def exclusion(self):
        """Returns 0, or why this keeper must neither vote nor count: UNVERIFIED or DATA_LOST."""
        if self.integrity_error is not None:
            return protocol.DATA_LOST
        all_replied = self.hello_replies >= {self.name, *self.others()}
        return (
            0
            if all_replied or (self._majority(self.hello_replies) and self.now >= self.majority_suffices_at)
            else protocol.UNVERIFIED
        )

"""Applies committed entries in order, and compacts the log into snapshots."""

from .. import protocol
from ..duties import GRANT
from .sizes import record_bytes
from .states import LEADER

MAX_LOGGED_RECORD_BYTES = 8_000_000  # bytes of records in the log that trigger a snapshot


class Applying:
    """The part of Keeper between commit and snapshot."""

    def _apply(self):
        while self.applied < self.commit:
            self.applied += 1
            entry = self.entries[self.applied - self.base - 1]
            if entry.kind == protocol.COMMAND:
                key, command, fields = entry.body
                result = self.duties.apply(self.applied, key, command, fields)
                if command == GRANT and result[0] == "granted":
                    self._grant_applied(fields)
                self._emit_records(self.applied, self.duties.last_records)
                requester = self.pending_commands.pop(self.applied, None)
                if requester is not None:
                    self._send(requester[0], protocol.Answer(requester[1], result))
        self._compact_if_due()

    def _compact_if_due(self):
        too_long = self.applied - self.base > self.settings.max_log_entries + self.settings.log_tail
        # Records that the copies have not stored yet stay in the log, their only source.
        if (
            (too_long or self.record_bytes > MAX_LOGGED_RECORD_BYTES)
            and not self.unstored_entries
            and self.applied > self.base
        ):
            self._compact()

    def _readmit(self):
        """Ends the exclusion after data loss, once this keeper is a learner with all committed entries.

        As it is no voter by then, what its store lost counts nowhere. It may have voted in the current term,
        so it does not vote again through that term.
        """
        if (
            self.integrity_error is not None
            and self.name in self.learners
            and self.config_index <= self.commit
        ):
            self.no_vote_through, self.integrity_error, self.dirty = (
                max(self.no_vote_through, self.term),
                None,
                True,
            )
            self.hello_replies = set(self.voters) | {self.name}
            self._log_event("keeper learns anew", term=self.term)

    def _grant_applied(self, fields):
        name, member, previous_token = fields
        self._log_event("duty granted", duty=name, owner=member, number=self.applied)
        if self.state == LEADER:
            self.leases.granted(name, previous_token)
            self._send_renewed(member)

    def _compact(self):
        """Takes a snapshot of the applied state; some entries stay for followers that lag a little."""
        voters, learners = self.snapshot[2], self.snapshot[3]
        for entry in self.entries[: self.applied - self.base]:
            if entry.kind == protocol.CONFIGURATION:
                voters, learners = map(tuple, entry.body)
        term = self.term_at(self.applied)
        self.snapshot = (self.applied, term, voters, learners, self.duties.state())
        base = (
            self.applied
            if self.record_bytes > MAX_LOGGED_RECORD_BYTES
            else max(self.base, self.applied - self.settings.log_tail)
        )
        self.base_term = self.term_at(base)
        del self.entries[: base - self.base]
        self.base, self.record_bytes = base, sum(map(record_bytes, self.entries))
        self.snapshot_unsaved = self.dirty = True
        self.first_unsaved = max(self.first_unsaved, self.base + 1)

"""The follower's handling of the leader's entries and snapshots."""

from .. import protocol
from ..duties import Duties
from .sizes import record_bytes
from .states import FOLLOWER, STEP_DOWN, STORE_FAILED


class Following:
    """The part of Keeper that accepts a leader's messages."""

    def _accept_leader(self, sender, term):
        if term < self.term:
            self._send_when_durable(
                sender,
                protocol.Appended(
                    self.term, False, 0, 0, self.exclusion(), self.write_count, self.generation
                ),
            )
            return False
        if term > self.term:
            self._adopt_term(term)
        if self.state != FOLLOWER:
            self._transition(STEP_DOWN)
        self.leader, self.leader_heard_at = sender, self.now
        self._reset_election_timer()
        return True

    def _acknowledge(self, sender, matched, last_index, round_number):
        self.acked_at = self.now
        self._send_when_durable(
            sender,
            protocol.Appended(
                self.term,
                matched,
                last_index,
                round_number,
                self.exclusion(),
                self.write_count + self.dirty,
                self.generation,
            ),
        )

    def _on_append(self, sender, append):
        if self.state == STORE_FAILED or not self._accept_leader(sender, append.term):
            return
        for name, count in append.write_counts.items():
            self.write_counts[name] = max(count, self.write_counts.get(name, 0))
        if append.generation > self.generation:  # this machine's wall clock was set back
            self.generation = append.generation + 1
        if self.write_counts.get(self.name, 0) > self.write_count and self.integrity_error is None:
            self._set_integrity_error("the store is older than the leader knows it to be")
        prev_index, entries = append.prev_index, append.entries
        if prev_index < self.base:  # compacted entries are committed, so they match
            entries = entries[self.base - prev_index :] if prev_index + len(entries) > self.base else []
            prev_index = self.base
        elif self.term_at(prev_index) != append.prev_term:
            self._acknowledge(sender, False, min(self.last_index(), prev_index - 1), append.round)
            return
        last_match = prev_index
        for offset, entry in enumerate(entries):
            if self.term_at(prev_index + offset + 1) != entry.term:
                if prev_index + offset < self.commit:
                    self._set_integrity_error("a committed entry differs from the leader's")
                    return
                self._append(entries[offset:], prev_index + offset)
                last_match = prev_index + len(entries)
                break
            last_match = prev_index + offset + 1
        if min(append.commit, last_match) > self.commit:
            self.commit = min(append.commit, last_match)
            self._apply()
        if (
            append.generation == self.generation
            and append.commit == self.commit
            and self.term_at(self.commit) == self.term
        ):
            self._readmit()
        self._acknowledge(sender, True, last_match, append.round)

    def _on_install_snapshot(self, sender, install):
        if self.state == STORE_FAILED or not self._accept_leader(sender, install.term):
            return
        if install.index > self.commit:
            self.snapshot = (
                install.index,
                install.index_term,
                tuple(install.voters),
                tuple(install.learners),
                install.state or None,
            )
            if self.term_at(install.index) != install.index_term or install.index > self.last_index():
                self.entries = []
            else:
                del self.entries[: install.index - self.base]
            self.base, self.base_term = install.index, install.index_term
            self.commit = self.applied = install.index
            self.first_unsaved, self.snapshot_unsaved, self.dirty = self.base + 1, True, True
            self.durable_index = self.base
            self.duties = Duties(self.snapshot[4])
            self.record_bytes = sum(map(record_bytes, self.entries))
            self._resync_copies()
            self._read_configuration()
            self._log_event("snapshot taken in", index=install.index)
        self._acknowledge(
            sender, True, max(install.index, min(self.commit, self.last_index())), install.round
        )

"""Checks after a start: whether this keeper's store has lost data, and what its record copies lack."""

from .. import protocol
from ..duties import Duties
from .states import STEP_DOWN


class Recovery:
    """The part of Keeper that verifies its store with the other keepers and feeds the record copies."""

    def _started(self, event):
        self._send_hellos()
        self._resync_copies()

    def _resync_copies(self, event=None):
        """Emits what the record copies must hold as of the snapshot, and all records committed since."""
        duties = Duties(self.snapshot[4])
        self.unstored_entries.clear()
        if duties.sequences:
            self.unstored_entries.append(self.snapshot[0])
        self.effects.append(
            protocol.SyncCopies(
                self.snapshot[0],
                tuple(
                    (name, sequence.newest, sequence.chain_hash)
                    for name, sequence in duties.sequences.items()
                ),
            )
        )
        for index in range(self.snapshot[0] + 1, self.applied + 1):
            entry = self.entries[index - self.base - 1]
            if entry.kind == protocol.COMMAND:
                duties.apply(index, *entry.body)
                self._emit_records(index, duties.last_records)

    def _emit_records(self, index, records):
        if records:
            self.unstored_entries.append(index)
            self.effects.append(protocol.StoreRecords(index, tuple(records)))

    def _records_stored(self, event):
        while self.unstored_entries and self.unstored_entries[0] <= event.index:
            self.unstored_entries.popleft()
        self._compact_if_due()

    def _send_hellos(self):
        for name in self.others():
            self._send(name, protocol.Hello(self.write_count, self.generation))

    def _hello(self, sender, hello):
        self.write_counts[sender] = max(hello.write_count, self.write_counts.get(sender, 0))
        self._send(sender, protocol.HelloReply(self.write_counts[sender], hello.generation))

    def _hello_reply(self, sender, reply):
        if reply.generation != self.generation or sender not in self.others():
            return
        if reply.write_count > self.write_count and self.integrity_error is None:
            self._set_integrity_error("the store is older than other keepers know it to be")
        self.hello_replies.add(sender)

    def _set_integrity_error(self, why):
        self.integrity_error, self.dirty = why, True
        self._log_event("keeper set itself aside", why=why)
        self._transition(STEP_DOWN)

"""Batched writes, messages held back until the state they depend on is durable, and failed writes."""

from .. import protocol
from .leading import ROUND_DELAY
from .states import (
    LEADER,
    STORE_FAILED,
    STORE_RECOVERED,
    WRITE_FAILED,
)


class Durability:
    """The part of Keeper that writes its state; one write is in flight at a time."""

    def _send_when_durable(self, receiver, message):
        """Sends a message once all state changed so far is on disk."""
        effect = protocol.Send(receiver, message)
        if self.dirty:
            self.next_sends.append(effect)
        elif self.inflight_write is not None:
            self.inflight_sends.append(effect)
        else:
            self._send_now([effect])

    def _send_now(self, effects):
        for effect in effects:
            if effect.receiver == self.name:
                self._received(protocol.Received(self.name, effect.message))
            else:
                self.effects.append(effect)

    def _flush(self):
        if not self.dirty or self.inflight_write is not None or self.state == STORE_FAILED:
            return
        self.write_id += 1
        self.write_count += 1
        truncate_after = min(self.first_unsaved, self.last_index() + 1) - 1
        self.effects.append(
            protocol.Persist(
                self.write_id,
                self.term,
                self.voted_for,
                self.write_count,
                self.no_vote_through,
                self.integrity_error,
                tuple(self.write_counts.items()),
                truncate_after,
                tuple(self.entries[truncate_after - self.base :]),
                self.snapshot if self.snapshot_unsaved else None,
                self.base,
                self.base_term,
            )
        )
        self.inflight_write, self.inflight_since, self.batch_last = self.write_id, self.now, self.last_index()
        self.inflight_sends, self.next_sends = self.next_sends, []
        self.dirty, self.first_unsaved, self.snapshot_unsaved = False, self.last_index() + 1, False

    def _write_finished(self, event):
        if event.write_id != self.inflight_write:
            return
        if not event.succeeded:
            self._transition(WRITE_FAILED)
            return
        sends, self.inflight_write, self.inflight_sends = self.inflight_sends, None, []
        self.durable_index = self.batch_last
        self._send_now(sends)
        if self.state == LEADER:
            self.flush_reports.append((self.round + 1, self.durable_index))
            self.heartbeat_at = min(self.heartbeat_at, self.now + ROUND_DELAY)
            self._advance_commit()

    def _store_failed(self):
        """Drops the messages that waited for the failed write, since none of its data can be relied on."""
        self._log_event("keeper cannot write, it takes no part until it can", term=self.term)
        self.inflight_write, self.inflight_sends, self.next_sends, self.dirty = None, [], [], False
        self._transfer_leadership()
        self._step_down()

    def _store_reopened(self, event):
        if self.state == STORE_FAILED:
            self.stored = event.stored
            self._transition(STORE_RECOVERED)

    def _store_recovered(self):
        self._load(self.stored)
        self.stored = None
        self._send_hellos()
        self._resync_copies()
        self._log_event("keeper writes again", term=self.term, last=self.last_index())

"""A stream of commands to the fleet's replicated log: one at a time, resent until answered or failed."""

from collections import deque

from twisted.internet.defer import Deferred

from ...decisions.owners import protocol
from ...errors.wire import DutyLost

RESEND_INTERVAL = 0.3  # seconds until an unanswered command is sent again
MAX_PENDING = 1_000


class CommandStream:
    """Submits commands in order, one outstanding at a time.

    The log remembers the last key of each stream, so a resent command is applied only once.
    """

    def __init__(self, reactor, stream_id, send):
        """stream_id: NAME#GENERATION.STREAM; send(message): sends to the presumed leader."""
        self.reactor, self.stream_id, self.send = reactor, stream_id, send
        self.command_count, self.pending, self.stopped = 0, deque(), False  # (CommandRequest, Deferred)

    def submit(self, command, fields):
        """Returns a Deferred of the result, a list; it fails with DutyLost."""
        self.command_count += 1
        deferred = Deferred()
        if self.stopped or len(self.pending) >= MAX_PENDING:
            deferred.errback(DutyLost("the duty is another's now"))
            return deferred
        self.pending.append(
            (protocol.CommandRequest(f"{self.stream_id}/{self.command_count}", command, fields), deferred)
        )
        if len(self.pending) == 1:
            self._send_until_answered(self.pending[0])
        return deferred

    def _send_until_answered(self, entry):
        if self.pending and self.pending[0] is entry:
            self.send(entry[0])
            self.reactor.callLater(RESEND_INTERVAL, self._send_until_answered, entry)

    def on_answer(self, answer):
        """Handles an answer; returns whether it was for this stream."""
        if not self.pending or self.pending[0][0].key != answer.key or answer.result is None:
            return False
        _, deferred = self.pending.popleft()
        if self.pending:
            self._send_until_answered(self.pending[0])
        deferred.callback(answer.result)
        return True

    def on_leader_changed(self):
        """Resends the outstanding command to the new leader at once."""
        if self.pending:
            self.send(self.pending[0][0])

    def fail_pending(self):
        """Fails all pending commands with DutyLost."""
        pending, self.pending = self.pending, deque()
        for _, deferred in pending:
            deferred.errback(DutyLost("the duty is another's now"))

    def stop(self):
        """Fails all pending commands and refuses new ones."""
        self.stopped = True
        self.fail_pending()

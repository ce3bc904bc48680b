"""Commands to the fleet's log, one after the other, each asked until it is answered or its duty is lost."""

from collections import deque

from twisted.internet.defer import Deferred

from ...decisions.owners import protocol
from ...errors.wire import DutyLost

RESEND_INTERVAL = 0.3  # seconds until a command without an answer is asked again
MAX_PENDING = 1_000


class CommandStream:
    """A stream of commands of its own: the log remembers the last key of each."""

    def __init__(self, reactor, stream_id, send):
        """who: NAME#LIFE.STREAM; tell(message): to the leader as far as it is known."""
        self.reactor, self.stream_id, self.send = reactor, stream_id, send
        self.command_count, self.pending, self.stopped = 0, deque(), False  # (Ask, its Deferred)

    def submit(self, command, fields):
        """A Deferred of the result, a list."""
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
        """Whether it was this stream's."""
        if not self.pending or self.pending[0][0].key != answer.key or answer.result is None:
            return False
        _, deferred = self.pending.popleft()
        if self.pending:
            self._send_until_answered(self.pending[0])
        deferred.callback(answer.result)
        return True

    def on_leader_changed(self):
        """Another leads: what waits is asked there at once."""
        if self.pending:
            self.send(self.pending[0][0])

    def fail_pending(self):
        """What waits ends now."""
        pending, self.pending = self.pending, deque()
        for _, deferred in pending:
            deferred.errback(DutyLost("the duty is another's now"))

    def stop(self):
        self.stopped = True
        self.fail_pending()

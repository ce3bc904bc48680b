"""One client connection: its calls, their replies, and the order in which it closes.

A client that violates the protocol is still owed the answers to the calls it made before: no further input is
accepted, and the connection closes once these calls are answered.

It closes in this order: no further calls are accepted and open ones are abandoned; pending replies are
written; the write side is shut down; input is discarded until the client closes too or a deadline passes; the
connection is closed.
"""

from collections import deque
from typing import NamedTuple

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from zope.interface import implementer

from ..errors.wire import TooManyMessages
from . import methods
from .input_reader import InputReader
from .intake import Intake
from .outbox import Outbox

# Phases of a connection: input is accepted; open calls are answered and input is discarded; it closes.
OPEN, ANSWERING, CLOSING = "open", "answering", "closing"


class OpenCall(NamedTuple):
    """A call that has not been answered."""

    method: bytes
    body_bytes: int
    trace: str  # the client's id


@implementer(IHalfCloseableProtocol)
class Connection(Protocol):
    """Protocol of one client connection, created by Front."""

    def __init__(self, front):
        self.front = front
        self.intake = Intake()
        self.open_calls = {}  # sequence number -> OpenCall
        self.slot = None
        self.peer = "unknown"  # address of the client, for the log
        self.outbox = Outbox(front.deadlines, front.unread, self._on_stuck)
        self.phase = OPEN
        self.pending_calls = None  # messages read and not processed yet; None when no read is being processed
        self.has_messages = False  # whether the reads being processed completed any
        self.calls_taken = 0  # of the present turn
        self.input = None  # its InputReader, once it is connected

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.input = InputReader(self.front)
        self.outbox.transport = self.transport
        address = self.transport.getPeer()
        self.peer = f"{address.host}:{address.port}"
        self.slot = self.front.register(self)
        if self.slot is None:
            self.front.log("no descriptor for a client, connection refused", peer=self.peer)
            self.transport.abortConnection()
            return
        self.transport.registerProducer(self, True)

    @property
    def ending(self):
        """Whether no further input is accepted."""
        return self.phase is not OPEN

    def dataReceived(self, data):
        self.input.received = True
        if self.ending:
            return
        if self.pending_calls is not None:
            self._accept(self.intake.read(data))
            return
        self.intake.start_turn()
        self.calls_taken = 0
        batch = self.intake.read(data)
        self.pending_calls, self.has_messages = deque(), False
        try:
            self._accept(batch)
            self._process()
        finally:
            self.pending_calls = None
            self.input.on_turn_end()
        self.front.on_data(self, self.has_messages)
        self.close_if_answered()

    def _accept(self, batch):
        """Queues the calls of a read; what it withdraws is given up at once, whatever waits before it."""
        self.has_messages |= batch.has_messages
        self.pending_calls.extend(batch.calls)
        for seqid in batch.withdrawn:
            methods.withdraw(self, seqid)
        if isinstance(batch.violation, TooManyMessages):
            self.front.count("clients_flooding")
            self.finish("client floods, connection ended", batch.violation.user_message())
        elif batch.violation is not None:
            self.front.count("clients_malformed")
            self.finish("client sent what cannot be read, connection ended", batch.violation.user_message())

    def _process(self):
        """Processes calls once all input is read: a call's interrupt or the end of the connection may follow
        it.
        """
        self.read_pending()
        while self.pending_calls and self.phase is not CLOSING:
            message = self.pending_calls.popleft()
            if self.intake.is_withdrawn(message):
                continue
            self.intake.release(message)
            methods.dispatch(self, message)
            if message.seqid not in self.open_calls:
                self.intake.settle(message.seqid)

    def read_pending(self):
        """Reads all available input: after a pause of the process timers run before reads, and the end of the
        connection lies behind all that its client wrote.
        """
        self.input.read_to_the_end(self.transport, self._is_closing, self.readConnectionLost)

    def _is_closing(self):
        return self.phase is CLOSING

    def readConnectionLost(self):
        """The client closed its side, so it waits for no reply."""
        self._begin_close()
        self.transport.loseConnection()

    def connectionLost(self, reason):
        self.phase = CLOSING
        self.outbox.close()
        if self.slot is not None:
            self.front.unregister(self)

    def abort(self, event, detail=""):
        """Closes the connection at once and abandons its open calls; logs why."""
        self.front.log_cut_off(self, event, detail)
        self.phase = CLOSING
        self.outbox.stop()
        self.transport.abortConnection()
        self.front.abandon(self)

    def close(self, event="idle client connection ended"):
        """Lingering close: closing with unread input would reset the connection and lose the last replies.

        event: why, for the log.
        """
        if self.phase is not CLOSING:
            self.front.log_cut_off(self, event)
            self._linger()

    def finish(self, event, detail=""):
        """Accepts no further input and closes once all calls read before are answered; logs why."""
        if self.ending:
            return
        self.front.log_end(self, event, detail)
        self.phase = ANSWERING
        self.intake.discard_partial()
        self.front.watch.stop(self)

    def close_if_answered(self):
        """Closes a connection that accepts no further input once nothing is owed on it."""
        if self.phase is not ANSWERING or self.open_calls or self.pending_calls is not None:
            return
        if self.intake.latest_seqid:
            self._linger()
        else:  # no call was ever read, so no answer can be lost
            self.phase = CLOSING
            self.transport.abortConnection()

    def _linger(self):
        self._begin_close()
        self.transport.loseWriteConnection()
        self.transport.doWrite()  # shuts down at once if all is written: no input is unread now

    def _begin_close(self):
        """Abandons open calls and flushes; the producer is unregistered, or the transport would wait for its
        end.
        """
        if self.phase is not CLOSING:
            self.phase = CLOSING
            self.front.abandon(self)
            self.outbox.pause()  # the rest, too, has a deadline
            self.transport.unregisterProducer()
            self.outbox.flush()

    def writeConnectionLost(self):
        """All is written and the write side is shut down."""
        self.outbox.stop()
        self.front.start_linger(self)

    # Producer interface: the state of the transport's buffer. Input is read even from a client that does not
    # read, because its interrupts and its end must be seen.
    def pauseProducing(self):
        """The transport's buffer is full."""
        self.outbox.pause()

    def resumeProducing(self):
        """The client has read all that was passed on."""
        self.outbox.resume()

    def stopProducing(self):
        """Required by the producer interface; connectionLost() does the work."""

    def _on_stuck(self, reason):
        self.front.count("clients_not_reading")
        waiting = f"{self.outbox.unread_bytes} bytes waited, {reason}"
        self.abort("client does not read its answers, connection ended", waiting)

    def add_call(self, message, request):
        """Opens the call of a message; it is open until it is answered, withdrawn or abandoned."""
        self.open_calls[message.seqid] = OpenCall(message.name, len(request.body), request.trace)
        self.calls_taken += 1
        self.front.shares.open_count += 1
        self.front.body_memory.take(len(request.body))

    def close_call(self, seqid):
        """Closes an open call; returns the name of its method, or None if it was not open."""
        call = self.open_calls.pop(seqid, None)
        self.intake.settle(seqid)
        if call is not None:
            self.front.shares.open_count -= 1
            self.front.body_memory.give_back(call.body_bytes)
        if not self.open_calls:
            self.front.mark_idle(self)
        return None if call is None else call.method

    def write(self, pieces):
        """Writes a reply."""
        self.outbox.write(pieces)

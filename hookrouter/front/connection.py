"""One client's connection: calls read from frames, answers written, what it does not read bounded.

Its end, in order: no call is taken any more and what is open is given up; what was written goes out whole;
this side is shut down; what still comes is read and dropped until the client ends too, or a deadline; it is
closed.
"""

from collections import deque

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from zope.interface import implementer

from ..parsers import thrift
from ..parsers.thrift import Malformed
from . import methods
from .methods import MAX_OPEN_CALLS, MAX_UNREAD_SHARE

MAX_FRAME_BYTES = 65_536  # bytes: a write's body has 48,000 at most, its fields some hundreds
MAX_CANCELLED_PER_READ = 8  # calls in the read that brought them: a client that waits at all never does so
DRAIN_TIMEOUT = 10.0  # seconds a client may take to read what was written: none waits longer for it
MAX_READS = 32  # in a row, 64 kB each: as many calls as may be open, each with the longest body


@implementer(IHalfCloseableProtocol)
class Connection(Protocol):
    def __init__(self, front):
        self.front = front
        self.frames = thrift.Frames(MAX_FRAME_BYTES)
        self.open_calls = {}  # sequence number -> (name of the method, bytes of the body)
        self.slot = self.drain_timer = None
        self.latest_seqid = 0  # sequence number of a call
        self.queue = []  # pieces of answers that wait until the client has read those before
        self.unread_bytes = 0  # bytes of these, or of those handed on last
        self.ending = False  # nothing more is taken
        self.received = False  # something, by the newest read
        self.pending_messages = None  # messages read and not acted on yet, while a read is under way
        self.cancelled = set()  # sequence numbers of those among them that are

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.slot = self.front.register(self)
        if self.slot is None:
            self.transport.abortConnection()
            return
        self.transport.registerProducer(self, True)

    def dataReceived(self, data):
        if self.ending:
            return
        self.received = True
        try:
            messages = [thrift.Message(frame) for frame in self.frames.feed(data)]
            cancelled = self._validate(messages)
            if self.pending_messages is None:
                self._process(messages, cancelled)
            else:
                self._enqueue(messages, cancelled)
        except Malformed as error:
            self.front.log("client sent what cannot be read, connection ended", error.user_message())
            self.front.count("clients_malformed")
            self.abort()

    def _process(self, messages, cancelled):
        """Once nothing more lies unread: behind a call its interrupt may lie, or the client's end."""
        self.pending_messages, self.cancelled, has_frames = deque(messages), cancelled, bool(messages)
        try:
            self.read_pending()
            while self.pending_messages and not self.ending:
                has_frames, message = True, self.pending_messages.popleft()
                if message.seqid not in self.cancelled or message.name != b"execute":
                    methods.dispatch(self, message)
        finally:
            self.pending_messages = None
        self.front.on_data(self, has_frames)

    def _enqueue(self, messages, cancelled):
        """What came while earlier messages are acted on: it waits, but what it withdraws is withdrawn."""
        pending_executes = {message.seqid for message in self.pending_messages if message.name == b"execute"}
        self.pending_messages.extend(messages)
        self.cancelled |= cancelled
        for message in messages:
            if message.name == b"interrupt":
                seqid = message.arguments().get(1)
                if isinstance(seqid, int) and seqid in pending_executes:
                    self.cancelled.add(seqid)
                else:
                    methods.interrupt(self, message, message.arguments())

    def _validate(self, messages):
        """Looked at before any is taken: who opens too many, or one number twice, gets none of them.

        Numbers of the calls that are withdrawn again in the same read: they are not taken at all.
        """
        open_count, executed, cancelled = len(self.open_calls), set(), set()
        for message in messages:
            if message.kind == thrift.CALL:
                if message.seqid <= self.latest_seqid:
                    raise Malformed(f"sequence number {message.seqid} after {self.latest_seqid}")
                self.latest_seqid = message.seqid
                if message.name == b"execute":
                    executed.add(message.seqid)
                    open_count += 1
                if open_count > MAX_OPEN_CALLS:
                    raise Malformed(f"more than {MAX_OPEN_CALLS} calls open")
            elif message.kind == thrift.ONEWAY and message.name == b"interrupt":
                open_count -= 1
                seqid = message.arguments().get(1)
                if (
                    isinstance(seqid, int) and seqid in executed
                ):  # it may be of any type, and of no call so far
                    cancelled.add(seqid)
            else:
                raise Malformed(f"a message of kind {message.kind}")
        if len(cancelled) > MAX_CANCELLED_PER_READ:
            raise Malformed(f"{len(cancelled)} calls withdrawn as they were made")
        return cancelled

    def read_pending(self):
        """Takes in all that lies unread: after a pause of the process its deadlines come before its reads."""
        for _ in range(MAX_READS):
            if self.ending:
                return
            self.received = False
            if self.transport.doRead() is not None:
                self.readConnectionLost()
            elif not self.received:
                return

    def readConnectionLost(self):
        """The client has closed its side: it has gone, and waits for nothing."""
        self._begin_close()
        self.transport.loseConnection()

    def connectionLost(self, reason):
        self.ending = True
        if self.slot is None:
            return
        self._stop_drain()
        self.front.unregister(self)

    def abort(self):
        """At once, with all that is open on it."""
        self.ending = True
        self.transport.abortConnection()
        self.front.abandon(self)

    def close(self):
        """A lingering close: closed over unread bytes, it would be reset, and its last answers lost."""
        if not self.ending:
            self._begin_close()
            self.transport.loseWriteConnection()
            self.transport.doWrite()  # at once where all is written: nothing lies unread now

    def _begin_close(self):
        """With a producer the transport would wait for that one's end too."""
        if not self.ending:
            self.ending = True
            self.front.abandon(self)
            if self.drain_timer is None:
                self.drain_timer = self.front.deadlines.after(DRAIN_TIMEOUT, self._on_drain_timeout)
            self.transport.unregisterProducer()
            self._flush_queue()

    def _flush_queue(self):
        queue, self.queue = self.queue, []
        if queue:
            self.transport.writeSequence(queue)

    def writeConnectionLost(self):
        """All is written, and this side shut down."""
        self._stop_drain()
        self.front.start_linger(self)

    # What the transport tells of its buffer. A client that does not read is read from all the same: what it
    # withdraws, and its end, must be seen.
    def pauseProducing(self):
        """Called at each write beyond the buffer."""
        if self.drain_timer is None:
            self.drain_timer = self.front.deadlines.after(DRAIN_TIMEOUT, self._on_drain_timeout)

    def resumeProducing(self):
        """It has read all that was handed on: what came meanwhile is next, and has its own time."""
        waiting_bytes = self.unread_bytes
        self._stop_drain()
        self._flush_queue()
        if self.drain_timer is not None:
            self._add_unread(waiting_bytes)

    def stopProducing(self):
        pass

    def _stop_drain(self):
        self.front.deadlines.drop(self.drain_timer)
        self.drain_timer = None
        unread_bytes, self.unread_bytes = self.unread_bytes, 0
        self.front.body_memory.give_back(unread_bytes)

    def _on_drain_timeout(self):
        self.front.log(
            "client does not read its answers, connection ended", f"{self.unread_bytes} bytes waited"
        )
        self.front.count("clients_not_reading")
        self.abort()

    def close_call(self, seqid):
        """The method's name of an open call, which is open no longer; None where it was not."""
        name, size = self.open_calls.pop(seqid, (None, 0))
        self.front.body_memory.give_back(size)
        if not self.open_calls:
            self.front.mark_idle(self)
        return name

    def write(self, pieces):
        if self.drain_timer is None:
            self.transport.writeSequence(pieces)
            return
        self.queue.extend(pieces)
        self._add_unread(sum(map(len, pieces)))
        if self.unread_bytes > self.front.body_memory.size * MAX_UNREAD_SHARE:
            self._on_drain_timeout()

    def _add_unread(self, size):
        self.unread_bytes += size
        self.front.body_memory.take(size)

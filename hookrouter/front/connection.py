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
from .methods import MOST_OPEN, MOST_UNREAD

LONGEST_FRAME = 65_536  # bytes: a write's body has 48,000 at most, its fields some hundreds
MOST_WITHDRAWN = 8  # calls in the read that brought them: a client that waits at all never does so
LONGEST_DRAIN = 10.0  # seconds a client may take to read what was written: none waits longer for it
MOST_READS = 32  # in a row, 64 kB each: as many calls as may be open, each with the longest body


@implementer(IHalfCloseableProtocol)
class Connection(Protocol):
    def __init__(self, front):
        self.front = front
        self.frames = thrift.Frames(LONGEST_FRAME)
        self.open = {}  # sequence number -> (name of the method, bytes of the body)
        self.number = self.draining = None
        self.newest = 0  # sequence number of a call
        self.queue = []  # pieces of answers that wait until the client has read those before
        self.unread = 0  # bytes of these, or of those handed on last
        self.ending = False  # nothing more is taken
        self.came = False  # something, by the newest read
        self.read = None  # messages read and not acted on yet, while a read is under way
        self.withdrawn = set()  # sequence numbers of those among them that are

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.number = self.front.joined(self)
        if self.number is None:
            self.transport.abortConnection()
            return
        self.transport.registerProducer(self, True)

    def dataReceived(self, data):
        if self.ending:
            return
        self.came = True
        try:
            messages = [thrift.Message(frame) for frame in self.frames.feed(data)]
            withdrawn = self._count(messages)
            if self.read is None:
                self._act(messages, withdrawn)
            else:
                self._read_on(messages, withdrawn)
        except Malformed as wrong:
            self.front.log("client sent what cannot be read, connection ended", wrong.user_message())
            self.front.count("clients_malformed")
            self.cut()

    def _act(self, messages, withdrawn):
        """Once nothing more lies unread: behind a call its interrupt may lie, or the client's end."""
        self.read, self.withdrawn, whole = deque(messages), withdrawn, bool(messages)
        try:
            self.catch_up()
            while self.read and not self.ending:
                whole, message = True, self.read.popleft()
                if message.seqid not in self.withdrawn or message.name != b"execute":
                    methods.act(self, message)
        finally:
            self.read = None
        self.front.heard(self, whole)

    def _read_on(self, messages, withdrawn):
        """What came while earlier messages are acted on: it waits, but what it withdraws is withdrawn."""
        waiting = {message.seqid for message in self.read if message.name == b"execute"}
        self.read.extend(messages)
        self.withdrawn |= withdrawn
        for message in messages:
            if message.name == b"interrupt":
                seqid = message.arguments().get(1)
                if isinstance(seqid, int) and seqid in waiting:
                    self.withdrawn.add(seqid)
                else:
                    methods.interrupt(self, message, message.arguments())

    def _count(self, messages):
        """Looked at before any is taken: who opens too many, or one number twice, gets none of them.

        Numbers of the calls that are withdrawn again in the same read: they are not taken at all.
        """
        count, asked, withdrawn = len(self.open), set(), set()
        for message in messages:
            if message.kind == thrift.CALL:
                if message.seqid <= self.newest:
                    raise Malformed(f"sequence number {message.seqid} after {self.newest}")
                self.newest = message.seqid
                if message.name == b"execute":
                    asked.add(message.seqid)
                    count += 1
                if count > MOST_OPEN:
                    raise Malformed(f"more than {MOST_OPEN} calls open")
            elif message.kind == thrift.ONEWAY and message.name == b"interrupt":
                count -= 1
                seqid = message.arguments().get(1)
                if isinstance(seqid, int) and seqid in asked:  # it may be of any type, and of no call so far
                    withdrawn.add(seqid)
            else:
                raise Malformed(f"a message of kind {message.kind}")
        if len(withdrawn) > MOST_WITHDRAWN:
            raise Malformed(f"{len(withdrawn)} calls withdrawn as they were made")
        return withdrawn

    def catch_up(self):
        """Takes in all that lies unread: after a pause of the process its deadlines come before its reads."""
        for _ in range(MOST_READS):
            if self.ending:
                return
            self.came = False
            if self.transport.doRead() is not None:
                self.readConnectionLost()
            elif not self.came:
                return

    def readConnectionLost(self):
        """The client has closed its side: it has gone, and waits for nothing."""
        self._end()
        self.transport.loseConnection()

    def connectionLost(self, reason):
        self.ending = True
        if self.number is None:
            return
        self._drained()
        self.front.parted(self)

    def cut(self):
        """At once, with all that is open on it."""
        self.ending = True
        self.transport.abortConnection()
        self.front.give_up(self)

    def end(self):
        """A lingering close: closed over unread bytes, it would be reset, and its last answers lost."""
        if not self.ending:
            self._end()
            self.transport.loseWriteConnection()
            self.transport.doWrite()  # at once where all is written: nothing lies unread now

    def _end(self):
        """With a producer the transport would wait for that one's end too."""
        if not self.ending:
            self.ending = True
            self.front.give_up(self)
            if self.draining is None:
                self.draining = self.front.deadlines.after(LONGEST_DRAIN, self._not_read)
            self.transport.unregisterProducer()
            self._hand_on()

    def _hand_on(self):
        queue, self.queue = self.queue, []
        if queue:
            self.transport.writeSequence(queue)

    def writeConnectionLost(self):
        """All is written, and this side shut down."""
        self._drained()
        self.front.lingers(self)

    # What the transport tells of its buffer. A client that does not read is read from all the same: what it
    # withdraws, and its end, must be seen.
    def pauseProducing(self):
        """Called at each write beyond the buffer."""
        if self.draining is None:
            self.draining = self.front.deadlines.after(LONGEST_DRAIN, self._not_read)

    def resumeProducing(self):
        """It has read all that was handed on: what came meanwhile is next, and has its own time."""
        waited = self.unread
        self._drained()
        self._hand_on()
        if self.draining is not None:
            self._hold(waited)

    def stopProducing(self):
        pass

    def _drained(self):
        self.front.deadlines.drop(self.draining)
        self.draining = None
        unread, self.unread = self.unread, 0
        self.front.room.give_back(unread)

    def _not_read(self):
        self.front.log("client does not read its answers, connection ended", f"{self.unread} bytes waited")
        self.front.count("clients_not_reading")
        self.cut()

    def close_call(self, seqid):
        """The method's name of an open call, which is open no longer; None where it was not."""
        name, size = self.open.pop(seqid, (None, 0))
        self.front.room.give_back(size)
        if not self.open:
            self.front.rests(self)
        return name

    def write(self, pieces):
        if self.draining is None:
            self.transport.writeSequence(pieces)
            return
        self.queue.extend(pieces)
        self._hold(sum(map(len, pieces)))
        if self.unread > self.front.room.size * MOST_UNREAD:
            self._not_read()

    def _hold(self, size):
        self.unread += size
        self.front.room.take(size)

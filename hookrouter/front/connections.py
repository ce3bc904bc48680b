"""Client connections: each owns its descriptor's slot and the calls open on it, and gives both back."""

from twisted.internet.protocol import Factory, Protocol

from ..parsers import thrift
from ..parsers.thrift import Malformed
from ..tables.slots import Slots
from . import calls

LONGEST_FRAME = 65_536  # bytes: a write's body has 48,000 at most, its fields some hundreds
MOST_OPEN = 32  # calls on one connection, as the protocol has it
LONGEST_DRAIN = 10.0  # seconds a client may take to read what was written: none waits longer for it


class Connection(Protocol):
    def __init__(self, front):
        self.front = front
        self.frames = thrift.Frames(LONGEST_FRAME)
        self.open = {}  # sequence number -> (name of the method, bytes of the body)
        self.number = self.idle = self.draining = None
        self.busy = True  # since the last look whether it is idle
        self.unread = 0  # bytes written that wait for the client, once these are many
        self.ending = False

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.number = self.front.joined(self)
        if self.number is None:
            self.transport.abortConnection()
            return
        self.transport.registerProducer(self, True)
        self._look()

    def _look(self):
        """Ends a connection on which nothing was open or came for a while."""
        if not self.open and not self.busy:
            self.end()
        self.busy = False
        self.idle = self.front.deadlines.after(self.front.idle_for, self._look)

    def dataReceived(self, data):
        try:
            for frame in self.frames.feed(data):
                self.busy = True
                self._read(thrift.Message(frame))
        except Malformed as wrong:
            self.front.log("client sent what cannot be read, connection ended", str(wrong))
            self.front.count("clients_malformed")
            self.transport.abortConnection()
        if self.front.room.full():
            self.front.room.wait(self)
            self.transport.pauseProducing()

    def connectionLost(self, reason):
        if self.number is None:
            return
        self.front.deadlines.drop(self.idle)
        self._drained()
        self.front.room.leave(self)
        self.front.parted(self)

    def end(self):
        """Once what was written is read. With a producer the transport would wait for that one's end too."""
        if not self.ending:
            self.ending = True
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    # What the transport tells of its buffer: a client that does not read is not read from.
    def pauseProducing(self):
        """Called at each write beyond the buffer."""
        if self.draining is None:
            self.transport.pauseProducing()
            self.draining = self.front.deadlines.after(LONGEST_DRAIN, self._not_read)

    def resumeProducing(self):
        self._drained()
        self.resume()

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
        self.transport.abortConnection()

    def resume(self):
        """Read on, unless something else still forbids it."""
        if self.front.room.full():
            self.front.room.wait(self)
        elif self.draining is None:
            self.transport.resumeProducing()

    def _read(self, message):
        if message.kind not in (thrift.CALL, thrift.ONEWAY):
            raise Malformed(f"a message of kind {message.kind}")
        if message.seqid in self.open:
            self.front.log("client used a sequence number that is still open, call passed over")
            self.front.count("calls_malformed")
            return
        method = METHODS.get(message.name)
        if method is None:
            self._refuse(message, thrift.UNKNOWN_METHOD, "unknown method")
            return
        try:
            arguments = message.arguments()
        except Malformed as wrong:
            self._refuse(message, thrift.PROTOCOL_ERROR, str(wrong))
            return
        method(self, message, arguments)

    def _refuse(self, message, code, text):
        self._unreadable(text)
        if message.kind == thrift.CALL:
            self.write(thrift.application_exception(message.name, message.seqid, code, text))

    def _unreadable(self, text):
        self.front.log("client made a call that cannot be read", text)
        self.front.count("calls_malformed")

    def _execute(self, message, arguments):
        if len(self.open) >= MOST_OPEN:
            self._refuse(message, thrift.INTERNAL_ERROR, f"more than {MOST_OPEN} calls open")
            return
        try:
            asked = calls.read_asked(arguments)
        except Malformed as wrong:
            self._unreadable(str(wrong))
            self.write(calls.failed(message.name, message.seqid, str(wrong)))
            return
        self.open[message.seqid] = message.name, len(asked.body)
        self.front.room.take(len(asked.body))
        self.front.desk.taken((self.number, message.seqid), asked)

    def _interrupt(self, message, arguments):
        seqid = arguments.get(1)
        if isinstance(seqid, int) and self.close_call(seqid) is not None:
            self.front.desk.left((self.number, seqid))

    def _check(self, message, arguments):
        self.write(calls.checked(message.name, message.seqid, self.front.desk.ready()))

    def close_call(self, seqid):
        """The method's name of an open call, which is open no longer; None where it was not."""
        name, size = self.open.pop(seqid, (None, 0))
        self.front.room.give_back(size)
        return name

    def write(self, pieces):
        self.busy = True
        self.transport.writeSequence(pieces)
        if self.draining is not None:
            size = sum(map(len, pieces))
            self.unread += size
            self.front.room.take(size)


METHODS = {b"execute": Connection._execute, b"interrupt": Connection._interrupt, b"check": Connection._check}


class Front(Factory):
    """desk: what is told of lookups. An answer to a call that is no longer open goes nowhere."""

    noisy = False

    def __init__(self, desk, deadlines, room, most, idle_for, log, count):
        self.desk, self.deadlines, self.room, self.idle_for = desk, deadlines, room, idle_for
        self.log, self.count = log, count
        self.connections = Slots(most)
        self.port = None

    def buildProtocol(self, address):
        return Connection(self)

    def joined(self, connection):
        number = self.connections.take(connection)
        self.count("clients_connected" if number is not None else "clients_turned_away")
        if len(self.connections) >= self.connections.size and self.port is not None:
            self.log("all descriptors for clients are taken, more wait")
            self.port.stopReading()  # the rest wait in the listening queue
        return number

    def parted(self, connection):
        self.connections.give_back(connection.number)
        if self.port is not None and self.port.connected:
            self.port.startReading()
        for seqid in list(connection.open):
            connection.close_call(seqid)
            self.desk.left((connection.number, seqid))

    def _answer(self, call, pieces_of, *values):
        number, seqid = call
        connection = self.connections.get(number)
        name = connection.close_call(seqid) if connection is not None else None
        if name is not None:
            connection.write(pieces_of(name, seqid, *values))

    def satisfied(self, call, pieces, length):
        self._answer(call, calls.satisfied, pieces, length)

    def unchanged(self, call):
        self._answer(call, calls.unchanged)

    def nacked(self, call, stay_away):
        self._answer(call, calls.nacked, stay_away)

    def failed(self, call, text=""):
        self._answer(call, calls.failed, text)

    def end_idle(self):
        """Ends the connections on which no call is open."""
        for connection in self.connections.held():
            if not connection.open:
                connection.end()

"""Client connections: each owns its descriptor's slot and the calls open on it, and gives both back."""

from twisted.internet.protocol import Factory, Protocol

from ..parsers import thrift
from ..parsers.thrift import Malformed
from ..tables.slots import Slots
from . import calls

LONGEST_FRAME = 65_536  # bytes: a write's body has 48,000 at most, its fields some hundreds
MOST_OPEN = 32  # calls on one connection, as the protocol has it


class Connection(Protocol):
    def __init__(self, front):
        self.front = front
        self.frames = thrift.Frames(LONGEST_FRAME)
        self.open = {}  # sequence number -> name of the method
        self.number = None

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.number = self.front.joined(self)
        if self.number is None:
            self.transport.abortConnection()

    def dataReceived(self, data):
        try:
            for frame in self.frames.feed(data):
                self._read(thrift.Message(frame))
        except Malformed as wrong:
            self.front.log("client sent what cannot be read, connection ended", str(wrong))
            self.front.count("clients_malformed")
            self.transport.abortConnection()

    def connectionLost(self, reason):
        if self.number is not None:
            self.front.parted(self)

    # What the transport tells of its buffer: a client that does not read is not read from.
    def pauseProducing(self):
        self.transport.pauseProducing()

    def resumeProducing(self):
        self.transport.resumeProducing()

    def stopProducing(self):
        pass

    def _read(self, message):
        if message.kind not in (thrift.CALL, thrift.ONEWAY):
            raise Malformed(f"a message of kind {message.kind}")
        if message.seqid in self.open:
            self.front.log("client used a sequence number that is still open, call passed over", "")
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
        self.front.log("client made a call that cannot be read", text)
        self.front.count("calls_malformed")
        if message.kind == thrift.CALL:
            self.write(thrift.application_exception(message.name, message.seqid, code, text))

    def _execute(self, message, arguments):
        if len(self.open) >= MOST_OPEN:
            self._refuse(message, thrift.INTERNAL_ERROR, f"more than {MOST_OPEN} calls open")
            return
        try:
            asked = calls.read_asked(arguments)
        except Malformed as wrong:
            self.front.log("client made a call that cannot be read", str(wrong))
            self.front.count("calls_malformed")
            self.write(calls.failed(message.name, message.seqid, str(wrong)))
            return
        self.open[message.seqid] = message.name
        self.front.desk.taken((self.number, message.seqid), asked)

    def _interrupt(self, message, arguments):
        seqid = arguments.get(1)
        if self.open.pop(seqid, None) is not None:
            self.front.desk.left((self.number, seqid))

    def _check(self, message, arguments):
        self.write(calls.checked(message.name, message.seqid, self.front.desk.ready()))

    def write(self, pieces):
        self.transport.writeSequence(pieces)


METHODS = {b"execute": Connection._execute, b"interrupt": Connection._interrupt, b"check": Connection._check}


class Front(Factory):
    """desk: what is told of lookups. An answer to a call that is no longer open goes nowhere."""

    noisy = False

    def __init__(self, desk, most, log, count):
        self.desk, self.log, self.count = desk, log, count
        self.connections = Slots(most)
        self.port = None

    def buildProtocol(self, address):
        return Connection(self)

    def joined(self, connection):
        number = self.connections.take(connection)
        self.count("clients_connected" if number is not None else "clients_turned_away")
        if len(self.connections) >= self.connections.size and self.port is not None:
            self.port.stopReading()  # the rest wait in the listening queue
        return number

    def parted(self, connection):
        self.connections.give_back(connection.number)
        if self.port is not None and self.port.connected:
            self.port.startReading()
        for seqid in list(connection.open):
            self.desk.left((connection.number, seqid))
        connection.open.clear()

    def _closing(self, call):
        """The connection and method of a call that is open, which it is no longer then."""
        number, seqid = call
        connection = self.connections.get(number)
        name = connection.open.pop(seqid, None) if connection is not None else None
        return connection, name, seqid

    def _answer(self, call, pieces_of, *values):
        connection, name, seqid = self._closing(call)
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
                connection.transport.loseConnection()

"""Calls over HTTP/1.1 to one address: one at a time over one connection, kept for the next."""

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionAborted, TimeoutError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from ..parsers import http1

LONGEST_ANSWER = 1_000_000  # bytes


class Connection(Protocol):
    def __init__(self, caller):
        self.caller = caller
        self.answers = http1.ResponseParser(self._on_head, self._on_body, self._on_end, caller.longest)
        self.head, self.pieces = None, []

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.caller.came_up(self)

    def dataReceived(self, data):
        try:
            self.answers.feed(data)
        except http1.Malformed as wrong:
            self.caller.failed(self, Failure(wrong))

    def _on_head(self, answer):
        if self.caller.call is None or self.head is not None:
            raise http1.Malformed("an answer to nothing")
        self.head = answer

    def _on_body(self, piece):
        self.pieces.append(bytes(piece))

    def _on_end(self):
        head, body = self.head, b"".join(self.pieces)
        self.head, self.pieces = None, []
        self.caller.answered(self, head, body)

    def connectionLost(self, reason):
        self.caller.went_down(self, reason)


class Way(ClientFactory):
    noisy = False

    def __init__(self, connection):
        self.connection = connection

    def buildProtocol(self, address):
        return self.connection

    def clientConnectionFailed(self, connector, reason):
        self.connection.caller.went_down(self.connection, reason)


class Caller:
    """Owns its connection and the one call that is out: its Deferred fires once, and its deadline goes with
    it.
    """

    def __init__(self, reactor, deadlines, address, longest=LONGEST_ANSWER):
        """longest: bytes of an answer, at most."""
        self.reactor, self.deadlines, self.address, self.longest = reactor, deadlines, address, longest
        self.connection = self.connector = self.call = self.pieces = self.deadline = None
        self.up = False

    def busy(self):
        return self.call is not None

    def start(self, method, target, fields, body, within):
        """A Deferred of (status, body); it fails after that many seconds, or with the connection."""
        host, port = self.address
        self.pieces = http1.request(
            method,
            target,
            [(b"Host", f"{host}:{port}".encode()), (b"Content-Length", b"%d" % len(body)), *fields],
            body,
        )
        call = self.call = Deferred()
        self.deadline = self.deadlines.after(within, self._overdue)
        if self.connection is None:
            self.connection = Connection(self)
            self.connector = self.reactor.connectTCP(host, port, Way(self.connection), timeout=None)
        elif self.up:
            self.connection.transport.writeSequence(self.pieces)
        return call

    def came_up(self, connection):
        if connection is not self.connection:
            connection.transport.abortConnection()
            return
        self.up = True
        if self.call is not None:
            connection.transport.writeSequence(self.pieces)

    def answered(self, connection, head, body):
        if connection is self.connection:
            if not head.keep_alive:
                self._drop()
            self._end().callback((head.status, body))

    def failed(self, connection, failure):
        """Ends the connection, and the call that is out."""
        if connection is self.connection:
            self._drop()
            if self.call is not None:
                self._end().errback(failure)

    def went_down(self, connection, failure):
        """It has ended by itself, or never came up: there is nothing left to close."""
        if connection is self.connection:
            self.connection, self.connector, self.up = None, None, False
            if self.call is not None:
                self._end().errback(failure)

    def _overdue(self):
        self.failed(self.connection, Failure(TimeoutError()))

    def stop(self):
        self.failed(self.connection, Failure(ConnectionAborted()))

    def _end(self):
        self.deadlines.drop(self.deadline)
        call, self.call = self.call, None
        return call

    def _drop(self):
        """Ends the connection, whether it is up or on its way; the next call makes a new one."""
        connection, connector, up = self.connection, self.connector, self.up
        self.connection, self.connector, self.up = None, None, False
        if up and connection.transport is not None:
            connection.transport.abortConnection()
        elif connector is not None and not up:
            connector.stopConnecting()

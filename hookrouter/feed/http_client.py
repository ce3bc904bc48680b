"""HTTP/1.1 client for one address, with one call at a time over a connection that is kept for the next."""

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionAborted, TimeoutError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from ..parsers import http1

MAX_BODY_BYTES = 1_000_000  # of one response


class Connection(Protocol):
    """Protocol of one connection, created by HttpClient."""

    def __init__(self, client):
        self.client = client
        self.parser = http1.ResponseParser(self._on_head, self._on_body, self._on_end, client.max_body)
        self.head, self.pieces = None, []

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.client.on_connected(self)

    def dataReceived(self, data):
        if self.parser is None:
            return  # read by a transport whose connection had ended already
        try:
            self.parser.feed(data)
        except http1.Malformed as error:
            self.client.fail(self, Failure(error))

    def _on_head(self, answer):
        if self.client.call is None or self.head is not None:
            raise http1.Malformed("an answer to nothing")
        self.head = answer

    def _on_body(self, piece):
        self.pieces.append(bytes(piece))

    def _on_end(self):
        head, body = self.head, b"".join(self.pieces)
        self.head, self.pieces = None, []
        self.client.on_response(self, head, body)

    def connectionLost(self, reason):
        self.parser = None  # without it a reference cycle would hold what was read of a response
        self.client.on_disconnected(self, reason)


class ConnectionFactory(ClientFactory):
    """Factory of one outgoing connection."""

    noisy = False

    def __init__(self, connection):
        self.connection = connection

    def buildProtocol(self, address):
        return self.connection

    def clientConnectionFailed(self, connector, reason):
        self.connection.client.on_disconnected(self.connection, reason)


class HttpClient:
    """Owns its connection and the call in progress, whose Deferred fires once and takes its timer with it."""

    def __init__(self, reactor, deadlines, address, max_body=MAX_BODY_BYTES):
        """address: (host, port). max_body: limit of a response's body in bytes."""
        self.reactor, self.deadlines, self.address, self.max_body = reactor, deadlines, address, max_body
        self.connection = self.connector = self.call = self.pieces = self.timer = None
        self.connected = False

    def busy(self):
        """Whether a call is in progress."""
        return self.call is not None

    def start(self, method, target, fields, body, timeout):
        """Starts a call; returns a Deferred of (status, body), which fails after timeout seconds or with the
        connection.
        """
        host, port = self.address
        self.pieces = http1.request(
            method,
            target,
            [(b"Host", f"{host}:{port}".encode()), (b"Content-Length", b"%d" % len(body)), *fields],
            body,
        )
        call = self.call = Deferred()
        self.timer = self.deadlines.after(timeout, self._on_timeout)
        if self.connection is None:
            self.connection = Connection(self)
            self.connector = self.reactor.connectTCP(
                host, port, ConnectionFactory(self.connection), timeout=None
            )
        elif self.connected:
            self.connection.transport.writeSequence(self.pieces)
        return call

    def on_connected(self, connection):
        """Writes the request of the call in progress."""
        if connection is not self.connection:
            connection.transport.abortConnection()
            return
        self.connected = True
        if self.call is not None:
            connection.transport.writeSequence(self.pieces)

    def on_response(self, connection, head, body):
        """Ends the call with a complete response."""
        if connection is self.connection:
            if not head.keep_alive:
                self._drop()
            self._finish_call().callback((head.status, body))

    def fail(self, connection, failure):
        """Closes the connection and fails the call in progress."""
        if connection is self.connection:
            self._drop()
            if self.call is not None:
                self._finish_call().errback(failure)

    def on_disconnected(self, connection, failure):
        """The connection ended or could not be established, so there is nothing left to close."""
        if connection is self.connection:
            self.connection, self.connector, self.connected = None, None, False
            if self.call is not None:
                self._finish_call().errback(failure)

    def _on_timeout(self):
        self.fail(self.connection, Failure(TimeoutError()))

    def stop(self):
        """Closes the connection and fails the call in progress."""
        self.fail(self.connection, Failure(ConnectionAborted()))

    def _finish_call(self):
        self.deadlines.drop(self.timer)
        call, self.call = self.call, None
        return call

    def _drop(self):
        """Closes the connection, established or not; the next call opens a new one."""
        connection, connector, connected = self.connection, self.connector, self.connected
        self.connection, self.connector, self.connected = None, None, False
        if connected and connection.transport is not None:
            connection.transport.abortConnection()
        elif connector is not None and not connected:
            connector.stopConnecting()

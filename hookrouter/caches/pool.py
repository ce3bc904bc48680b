"""Connections to caches, one request at a time each, kept for the next one; sends and probes over them.

A connection owns its descriptor's slot and gives it back when it is gone. A send owns its deadline and its
connection while it runs, gives both back when it ends, and then fires its Deferred, once. One that is given
up has ended when its connection is closed, not before: the next send of its lookup may be out at once.
"""

from collections import deque

from .. import interface
from ..tables.slots import Slots
from ..terms import SECOND
from . import requests
from .connection import Connection, ConnectionFactory
from .send import Endpoint, Send, always_wanted

MIN_IDLE = 0.02  # seconds: an answer's double comes some milliseconds late and must not pass for the next


class CachePool:
    def __init__(self, reactor, deadlines, body_memory, limit, terms, log, count):
        self.reactor, self.deadlines, self.body_memory, self.log, self.count = (
            reactor,
            deadlines,
            body_memory,
            log,
            count,
        )
        self.connect_timeout = terms.connect_timeout / SECOND
        # Left before the cache closes it, by the time a connection may take: no request crosses the close.
        self.idle_timeout = max(0, terms.idle_timeout - terms.connect_timeout) / SECOND
        self.report_fields = terms.report_fields if terms.report_mode != "none" else ()
        self.endpoints = {}
        self.connections = Slots(limit)
        self.idle = {}  # connections that wait for the next send, the longest idle first
        self.waiting = deque()  # sends without a descriptor

    # ---- addresses

    def update(self, name, address, born):
        """A cache listens there. What was open to another process at this address or of this name goes."""
        previous = self.endpoints.get(name)
        if previous is not None and (previous.host, previous.port) == address and previous.born == born:
            return
        for endpoint in self.endpoints.values():
            if (endpoint.host, endpoint.port) == address or endpoint is previous:
                self._close_idle_connections(endpoint)
        self.endpoints[name] = Endpoint(name, address, born)

    def remove(self, name):
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            self._close_idle_connections(endpoint)

    def keep_only(self, names):
        for name in [name for name in self.endpoints if name not in names]:
            self.remove(name)

    def _close_idle_connections(self, endpoint):
        for connection in list(endpoint.idle):
            self._close_connection(connection)

    # ---- sends and probes

    def send(self, name, request, timeout, start_within, is_wanted=always_wanted):
        """The Send, on its way; silent for that many seconds, it is late, and not written within so many it
        never is.
        """
        self.count("sends")
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return self._send_to_unknown()
        client_revision = None if request.client_revision is None else request.client_revision.encode()
        send = Send(
            self,
            endpoint,
            requests.encode_request(request, endpoint.host_field),
            client_revision,
            (request.kind, request.object, request.part),
            request.not_repeatable,
            is_wanted,
        )
        return self._launch(send, timeout, start_within)

    def probe(self, name):
        self.count("probes")
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return self._send_to_unknown()
        # No time is stated for a probe but that of a connection.
        send = Send(self, endpoint, requests.encode_probe(self.report_fields, endpoint.host_field))
        return self._launch(send, self.connect_timeout, self.connect_timeout)

    def _send_to_unknown(self):
        """A send to a cache that was forgotten since it was picked: it never leaves."""
        send = Send(self, None, ())
        send.timeout_timer = self.deadlines.after(0, self.abort, send, interface.VOID)
        return send

    def _launch(self, send, timeout, start_within):
        send.timeout_timer = self.deadlines.after(timeout, self.on_timeout, send)
        self._start(send)
        if not send.written and send.result is None:
            send.start_timer = self.deadlines.after(start_within, self._on_start_timeout, send)
        return send

    def _start(self, send):
        while send.endpoint.idle:
            connection = send.endpoint.idle[0 if send.not_repeatable else -1]
            if send.not_repeatable and self.deadlines.clock.seconds() < connection.idle_since + MIN_IDLE:
                break
            self._take_from_idle(connection)
            if connection.ready_for_request():
                self._write_request(send, connection)
                return
        connection = Connection(self, send.endpoint)
        connection.slot = self.connections.take(connection)
        if connection.slot is None:
            self.waiting.append(send)
            self.log("all descriptors for caches are taken, sends wait")
            self.count("sends_waited")
            if self.idle:  # the longest idle gives its descriptor up
                self._close_connection(next(iter(self.idle)))
            return
        self.count("connections")
        connection.send, send.connection = send, connection
        connection.connector = self.reactor.connectTCP(
            send.endpoint.host, send.endpoint.port, ConnectionFactory(connection), timeout=None
        )

    def _write_request(self, send, connection):
        """The one place where a request leaves: none does that nobody waits for, nor past its last moment."""
        connection.send, send.connection = send, connection
        if send.start_timer is not None and self.deadlines.due(send.start_timer, 0):
            self.abort(send, interface.UNREACHED)
        elif not send.is_wanted():
            self.abort(send, interface.CANCELLED)
        else:
            send.written = True
            self.deadlines.drop(send.start_timer)
            connection.transport.writeSequence(send.pieces)
            connection.transport.doWrite()  # now, and not after all else that the reactor has read

    def on_timeout(self, send):
        if send.written and send.result is None:
            send.connection.read_pending()  # an answer that came in time may lie unread
        if send.written:
            outcome = interface.LATE
        else:  # it never left: for want of a descriptor, or of an answer to the connection
            outcome = interface.VOID if send.connection is None else interface.UNREACHED
        self.abort(send, outcome)

    def abort(self, send, outcome):
        """Ends so, once its connection is closed, unless it has its end already."""
        if send.result is not None:
            return
        send.result = requests.SendResult(outcome)
        if send.connection is not None:
            send.connection.discard_response()
            send.connection.close()
        else:
            if send.endpoint is not None:
                self.waiting.remove(send)
            self._finish(send)

    def _finish(self, send):
        """The one end of a send: it holds nothing from here on."""
        self.deadlines.drop(send.timeout_timer)
        self.deadlines.drop(send.start_timer)
        connection, send.connection = send.connection, None
        if connection is not None:
            connection.send = None
            connection.discard_response()
        send.deferred.callback(send.result)

    # ---- connections

    def on_connected(self, connection):
        if connection.send.result is None:
            self._write_request(connection.send, connection)

    def _on_start_timeout(self, send):
        self.abort(send, interface.VOID if send.connection is None else interface.UNREACHED)

    def on_disconnected(self, connection):
        """The one place where a connection's descriptor is given back."""
        self._take_from_idle(connection)
        self.connections.give_back(connection.slot)
        connection.transport = connection.connector = None
        send = connection.send
        if send is not None:
            send.result = send.result or requests.SendResult(
                interface.BROKEN if send.written else interface.UNREACHED
            )
            self._finish(send)
        while self.waiting and len(self.connections) < self.connections.size:
            self._start(self.waiting.popleft())

    def on_response(self, connection):
        send, head = connection.send, connection.head
        send.result = requests.read_result(
            head, tuple(connection.pieces), connection.length, self.report_fields
        )
        if connection.parser.buffer:  # passed on, for its length says so, but not kept: that may be wrong
            send.result = send.result._replace(storable_issued_at=None)
        connection.send = send.connection = None
        connection.discard_response()
        if head.keep and not connection.parser.buffer:
            self._keep_alive(connection)
        else:
            connection.close()
        self._finish(send)

    def on_malformed_response(self, connection):
        if connection.send is not None:
            self.abort(connection.send, interface.BROKEN)
        else:
            connection.close()

    def _keep_alive(self, connection):
        is_current = self.endpoints.get(connection.endpoint.name) is connection.endpoint
        for send in self.waiting if is_current else ():
            if send.endpoint is connection.endpoint and not send.not_repeatable:
                self.waiting.remove(send)
                self._write_request(send, connection)
                return
        if (
            not is_current or self.waiting or self.idle_timeout <= 0
        ):  # not its cache's now, or wanted elsewhere
            connection.close()
            return
        connection.idle_since = self.deadlines.clock.seconds()
        connection.endpoint.idle.append(connection)
        self.idle[connection] = True
        connection.idle_timer = self.deadlines.after(self.idle_timeout, self._close_connection, connection)

    def _take_from_idle(self, connection):
        if self.idle.pop(connection, None):
            connection.endpoint.idle.remove(connection)
            self.deadlines.drop(connection.idle_timer)

    def _close_connection(self, connection):
        self._take_from_idle(connection)
        connection.close()

"""Pool of connections to caches, with one request at a time each; sends and probes over them.

A connection owns its descriptor slot and releases it when it is gone. A send owns its timers and its
connection while it runs, releases both at its end, and then fires its Deferred once. A send that is cancelled
ends only when its connection is closed, because the next send of its lookup may start at once.
"""

from collections import deque

from .. import interface
from ..tables.slots import Slots
from ..terms import SECOND
from . import requests
from .connection import Connection, ConnectionFactory
from .send import Endpoint, Send, always_wanted

MIN_IDLE = 0.02  # seconds: duplicates of a response arrive within milliseconds; this tells them from the next


class CachePool:
    """Addresses of caches, connections and sends. limit: of connections; body_memory: for responses."""

    def __init__(self, reactor, deadlines, body_memory, limit, terms, log, count):
        self.reactor, self.deadlines, self.body_memory, self.log, self.count = (
            reactor,
            deadlines,
            body_memory,
            log,
            count,
        )
        self.connect_timeout = terms.connect_timeout / SECOND
        # Closed before the cache closes it, by the connect timeout: no request crosses the close.
        self.idle_timeout = max(0, terms.idle_timeout - terms.connect_timeout) / SECOND
        self.report_fields = terms.report_fields if terms.report_mode != "none" else ()
        self.endpoints = {}
        self.connections = Slots(limit)
        self.idle = {}  # idle connections, the longest idle first
        self.waiting = deque()  # sends that wait for a descriptor

    # ---- addresses

    def update(self, name, address, born):
        """Sets the address of a cache. Idle connections to another process at this address or of this name
        are closed.
        """
        previous = self.endpoints.get(name)
        if previous is not None and (previous.host, previous.port) == address and previous.born == born:
            return
        for endpoint in self.endpoints.values():
            if (endpoint.host, endpoint.port) == address or endpoint is previous:
                self._close_idle_connections(endpoint)
        self.endpoints[name] = Endpoint(name, address, born)

    def remove(self, name):
        """Removes a cache; its active sends go on."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            self._close_idle_connections(endpoint)

    def keep_only(self, names):
        """Removes all caches but the named ones."""
        for name in [name for name in self.endpoints if name not in names]:
            self.remove(name)

    def _close_idle_connections(self, endpoint):
        for connection in list(endpoint.idle):
            self._close_connection(connection)

    # ---- sends and probes

    def send(self, name, request, timeout, start_within, is_wanted=always_wanted):
        """Starts a send and returns it. It ends as LATE after timeout seconds, and is not written after
        start_within seconds or if is_wanted() is false.
        """
        self.count("sends")
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return self._send_to_unknown()
        client_revision = None if request.client_revision is None else request.client_revision.encode()
        send = Send(
            self,
            endpoint,
            requests.request_encoder(request, endpoint.host_field),
            client_revision,
            (request.kind, request.object, request.part),
            request.not_repeatable,
            is_wanted,
        )
        return self._launch(send, timeout, start_within)

    def probe(self, name):
        """Starts a probe and returns it as a Send."""
        self.count("probes")
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return self._send_to_unknown()
        # The settings state no timeout for probes but that of connections.
        send = Send(self, endpoint, requests.probe_encoder(self.report_fields, endpoint.host_field))
        return self._launch(send, self.connect_timeout, self.connect_timeout)

    def _send_to_unknown(self):
        """A send to a cache that was removed after Control selected it; it is never written."""
        send = Send(self, None, None)
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
            if self.idle:  # closes the longest idle one for its descriptor
                self._close_connection(next(iter(self.idle)))
            return
        self.count("connections")
        connection.send, send.connection = send, connection
        connection.connector = self.reactor.connectTCP(
            send.endpoint.host, send.endpoint.port, ConnectionFactory(connection), timeout=None
        )

    def _write_request(self, send, connection):
        """The only place where a request is written; not if the client is gone or the start is overdue."""
        connection.send, send.connection = send, connection
        if send.start_timer is not None and self.deadlines.due(send.start_timer, 0):
            self.abort(send, interface.UNREACHED)
        elif not send.is_wanted():
            self.abort(send, interface.CANCELLED)
        else:
            send.written = True
            self.deadlines.drop(send.start_timer)
            time_left = int(self.deadlines.left(send.timeout_timer) * SECOND)
            connection.transport.writeSequence(send.encode(time_left))
            connection.transport.doWrite()  # now, not after all other events of the reactor

    def on_timeout(self, send):
        """Ends a send whose timeout is over, unless its response has arrived unread."""
        if send.written and send.result is None:
            send.connection.read_pending()  # a response that arrived in time may be unread
        if send.written:
            outcome = interface.LATE
        else:  # not written: no descriptor, or not connected
            outcome = interface.VOID if send.connection is None else interface.UNREACHED
        self.abort(send, outcome)

    def abort(self, send, outcome):
        """Ends a send with that outcome once its connection is closed, unless it has a result already."""
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
        """The only place where a send ends: it holds no resources afterwards."""
        self.deadlines.drop(send.timeout_timer)
        self.deadlines.drop(send.start_timer)
        connection, send.connection = send.connection, None
        if connection is not None:
            connection.send = None
            connection.discard_response()
        send.deferred.callback(send.result)

    # ---- connections

    def on_connected(self, connection):
        """A connection is established: writes its request."""
        if connection.send.result is None:
            self._write_request(connection.send, connection)

    def _on_start_timeout(self, send):
        self.abort(send, interface.VOID if send.connection is None else interface.UNREACHED)

    def on_disconnected(self, connection):
        """The only place where a connection's descriptor slot is released."""
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
        """A response is complete: ends its send, keeps or closes the connection."""
        send, head = connection.send, connection.head
        send.result = requests.read_result(
            head, tuple(connection.pieces), connection.length, self.report_fields
        )
        if connection.parser.buffer:
            # Passed on as its length says, but not stored, as the length may be wrong.
            send.result = send.result._replace(storable_issued_at=None)
        connection.send = send.connection = None
        connection.discard_response()
        if head.keep_alive and not connection.parser.buffer:
            self._keep_alive(connection)
        else:
            connection.close()
        self._finish(send)

    def on_malformed_response(self, connection):
        """Ends the send of a connection whose response is invalid as BROKEN."""
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
        if not is_current or self.waiting or self.idle_timeout <= 0:
            # The cache has moved, or the descriptor is needed.
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

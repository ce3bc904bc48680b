"""Pool of connections to caches, with one request at a time each; sends and probes over them.

A connection rests after each response before it takes another request, since a second response may follow. A
send that finds none that has rested reserves one that rests, has a spare one dialled, and takes whichever is
ready first.

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
from .endpoints import Endpoints
from .idle import REST_DURATION, IdleConnections
from .reservations import Reservations
from .responses import Responses
from .send import Send, always_wanted, is_reserved, unwritten_outcome


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
        idle_timeout = max(0, terms.idle_timeout - terms.connect_timeout) / SECOND
        self.idle = IdleConnections(deadlines, idle_timeout, self.close_connection)
        self.report_fields = terms.report_fields if terms.report_mode != "none" else ()
        self.endpoints = Endpoints(self._close_idle_connections, log)
        self.connections = Slots(limit)
        self.waiting = deque()  # sends that wait for a descriptor
        self.reservations, self.responses = Reservations(self), Responses(self)

    # ---- addresses

    def update(self, name, address, born):
        """Sets the address of a cache; see Endpoints.update."""
        self.endpoints.update(name, address, born)

    def remove(self, name):
        """Removes a cache; see Endpoints.remove."""
        self.endpoints.remove(name)

    def keep_only(self, names):
        """Removes all caches but the named ones."""
        self.endpoints.keep_only(names)

    def _close_idle_connections(self, endpoint):
        for connection in list(endpoint.idle):
            self.close_connection(connection)

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
        self._start(send, min(timeout, start_within))
        if not send.written and send.result is None:
            send.start_timer = self.deadlines.after(start_within, self._on_start_timeout, send)
        return send

    def _start(self, send, start_within=0.0):
        """Writes the request to an idle connection, one rested within start_within seconds, or a new one."""
        if not self.endpoints.is_current(send.endpoint):
            self._end_unwritten(send)
            return
        while connection := self.idle.select(send.endpoint, send.not_repeatable, start_within):
            rest_left = self.idle.rest_left(connection, send.not_repeatable)
            if rest_left > REST_DURATION and self.connections.is_full():
                break  # closing an idle connection for its descriptor is sooner
            self.idle.take(connection)
            if rest_left > 0:
                self.reservations.reserve(send, connection)
                return
            if connection.ready_for_request():
                self.write_request(send, connection)
                return
        self._connect(send)

    def _end_unwritten(self, send):
        """Ends a send that holds no connection and does not wait for one: its cache has gone."""
        self.count("sends_to_gone_caches")
        send.result = requests.SendResult(interface.VOID)
        self.finish(send)

    def _connect(self, send):
        connection = Connection(self, send.endpoint)
        connection.slot = self.connections.take(connection)
        if connection.slot is None:
            self.waiting.append(send)
            self.log("all descriptors for caches are taken, sends wait")
            self.count("sends_waited")
            if self.idle:  # closes the longest idle one for its descriptor
                self.close_connection(self.idle.longest())
            return
        connection.send, send.connection = send, connection
        self.dial(connection)

    def dial(self, connection):
        """Starts to connect a connection to its endpoint."""
        self.count("connections")
        connection.connector = self.reactor.connectTCP(
            connection.endpoint.host, connection.endpoint.port, ConnectionFactory(connection), timeout=None
        )

    def write_request(self, send, connection):
        """The only place where a request is written; not if the client is gone or the start is overdue."""
        connection.send, send.connection = send, connection
        if send.start_timer is not None and self.deadlines.due(send.start_timer, 0):
            self.abort(send, interface.UNREACHED)
        elif not self.endpoints.is_current(send.endpoint):
            self.count("sends_to_gone_caches")
            self.abort(send, interface.VOID)
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
        self.abort(send, interface.LATE if send.written else unwritten_outcome(send))

    def abort(self, send, outcome):
        """Ends a send with that outcome once its connection is closed, unless it has a result already."""
        if send.result is not None:
            return
        send.result = requests.SendResult(outcome)
        if is_reserved(send):
            self.reservations.give_up(send.connection)
            self.finish(send)
        elif send.connection is not None:
            send.connection.discard_response()
            send.connection.close()
        else:
            if send.endpoint is not None:
                self.waiting.remove(send)
            self.finish(send)

    def finish(self, send):
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
        """A connection is established: writes its request; a spare one without a request becomes idle."""
        if connection.spare_for is not None:
            self.reservations.on_spare_connected(connection)
        elif connection.send.result is None:
            self.write_request(connection.send, connection)

    def _on_start_timeout(self, send):
        self.abort(send, unwritten_outcome(send))

    def on_disconnected(self, connection):
        """The only place where a connection's descriptor slot is released."""
        self.idle.take(connection)
        self.deadlines.drop(connection.idle_timer)
        self.connections.give_back(connection.slot)
        connection.release()
        send = connection.send
        if connection.reserved_for is not None:  # closed, or something came on it, while it rested
            waiting_send, connection.reserved_for = connection.reserved_for, None
            waiting_send.connection = None
            self._start(waiting_send)
        elif send is not None:
            send.result = send.result or requests.SendResult(
                interface.BROKEN if send.written else interface.UNREACHED
            )
            self.finish(send)
        while self.waiting and len(self.connections) < self.connections.size:
            self._start(self.waiting.popleft())

    def pause_reading(self):
        """The body memory is full: no connection reads more of a response until there is room."""
        for connection in self.connections.occupied():
            if connection.is_reading():
                connection.pause()

    def close_connection(self, connection):
        """Closes a connection, idle or not."""
        self.idle.take(connection)
        connection.close()

"""Connections to caches, one request at a time each, kept for the next one; sends and probes over them.

A connection owns its descriptor's slot and gives it back when it is gone. A send owns its deadline and its
connection while it runs, gives both back when it ends, and then fires its Deferred, once. One that is given
up has ended when its connection is closed, not before: the next send of its lookup may be out at once.
"""

from collections import deque

from .. import interface
from ..tables.slots import Slots
from ..terms import SECOND
from . import errands
from .connection import Connection, Outgoing
from .send import Place, Send, always

RESTED = 0.02  # seconds: an answer's double comes some milliseconds late and must not pass for the next


class Caches:
    def __init__(self, reactor, deadlines, room, most, terms, log, count):
        self.reactor, self.deadlines, self.room, self.log, self.count = reactor, deadlines, room, log, count
        self.connect_for = terms.connect_timeout / SECOND
        # Left before the cache closes it, by the time a connection may take: no request crosses the close.
        self.idle_for = max(0, terms.idle_timeout - terms.connect_timeout) / SECOND
        self.names = terms.report_fields if terms.report_mode != "none" else ()
        self.places = {}
        self.connections = Slots(most)
        self.idle = {}  # connections that wait for the next send, the longest idle first
        self.waiting = deque()  # sends without a descriptor

    # ---- addresses

    def learn(self, name, address, born):
        """A cache listens there. What was open to another process at this address or of this name goes."""
        old = self.places.get(name)
        if old is not None and (old.host, old.port) == address and old.born == born:
            return
        for place in self.places.values():
            if (place.host, place.port) == address or place is old:
                self._close_idle(place)
        self.places[name] = Place(name, address, born)

    def forget(self, name):
        place = self.places.pop(name, None)
        if place is not None:
            self._close_idle(place)

    def keep_only(self, names):
        for name in [name for name in self.places if name not in names]:
            self.forget(name)

    def _close_idle(self, place):
        for connection in list(place.idle):
            self._end_idle(connection)

    # ---- sends and probes

    def send(self, name, errand, within, leave_within, wanted=always):
        """The Send, on its way; silent for that many seconds, it is late, and not written within so many it
        never is.
        """
        self.count("sends")
        place = self.places.get(name)
        if place is None:
            return self._nowhere()
        seen = None if errand.seen is None else errand.seen.encode()
        send = Send(
            self,
            place,
            errands.request(errand, place.field),
            seen,
            (errand.kind, errand.object, errand.part),
            errand.once,
            wanted,
        )
        return self._go(send, within, leave_within)

    def probe(self, name):
        self.count("probes")
        place = self.places.get(name)
        if place is None:
            return self._nowhere()
        # No time is stated for a probe but that of a connection.
        send = Send(self, place, errands.probe(self.names, place.field))
        return self._go(send, self.connect_for, self.connect_for)

    def _nowhere(self):
        """A send to a cache that was forgotten since it was picked: it never leaves."""
        send = Send(self, None, ())
        send.deadline = self.deadlines.after(0, self.give_up, send, interface.VOID)
        return send

    def _go(self, send, within, leave_within):
        send.deadline = self.deadlines.after(within, self.overdue, send)
        self._start(send)
        if not send.written and send.ended is None:
            send.leave_by = self.deadlines.after(leave_within, self._not_left, send)
        return send

    def _start(self, send):
        while send.place.idle:
            connection = send.place.idle[0 if send.once else -1]
            if send.once and self.deadlines.clock.seconds() < connection.idle_since + RESTED:
                break
            self._unidle(connection)
            if connection.quiet():
                self._put(send, connection)
                return
        connection = Connection(self, send.place)
        connection.number = self.connections.take(connection)
        if connection.number is None:
            self.waiting.append(send)
            self.log("all descriptors for caches are taken, sends wait")
            self.count("sends_waited")
            if self.idle:  # the longest idle gives its descriptor up
                self._end_idle(next(iter(self.idle)))
            return
        self.count("connections")
        connection.send, send.connection = send, connection
        connection.connector = self.reactor.connectTCP(
            send.place.host, send.place.port, Outgoing(connection), timeout=None
        )

    def _put(self, send, connection):
        """The one place where a request leaves: none does that nobody waits for, nor past its last moment."""
        connection.send, send.connection = send, connection
        if send.leave_by is not None and self.deadlines.due(send.leave_by, 0):
            self.give_up(send, interface.UNREACHED)
        elif not send.wanted():
            self.give_up(send, interface.CANCELLED)
        else:
            send.written = True
            self.deadlines.drop(send.leave_by)
            connection.transport.writeSequence(send.pieces)
            connection.transport.doWrite()  # now, and not after all else that the reactor has read

    def overdue(self, send):
        if send.written and send.ended is None:
            send.connection.catch_up()  # an answer that came in time may lie unread
        if send.written:
            end = interface.LATE
        else:  # it never left: for want of a descriptor, or of an answer to the connection
            end = interface.VOID if send.connection is None else interface.UNREACHED
        self.give_up(send, end)

    def give_up(self, send, end):
        """Ends so, once its connection is closed, unless it has its end already."""
        if send.ended is not None:
            return
        send.ended = errands.Ended(end)
        if send.connection is not None:
            send.connection.empty()
            send.connection.close()
        else:
            if send.place is not None:
                self.waiting.remove(send)
            self._finish(send)

    def _finish(self, send):
        """The one end of a send: it holds nothing from here on."""
        self.deadlines.drop(send.deadline)
        self.deadlines.drop(send.leave_by)
        connection, send.connection = send.connection, None
        if connection is not None:
            connection.send = None
            connection.empty()
        send.deferred.callback(send.ended)

    # ---- connections

    def came_up(self, connection):
        if connection.send.ended is None:
            self._put(connection.send, connection)

    def _not_left(self, send):
        self.give_up(send, interface.VOID if send.connection is None else interface.UNREACHED)

    def went_down(self, connection):
        """The one place where a connection's descriptor is given back."""
        self._unidle(connection)
        self.connections.give_back(connection.number)
        connection.transport = connection.connector = None
        send = connection.send
        if send is not None:
            send.ended = send.ended or errands.Ended(
                interface.BROKEN if send.written else interface.UNREACHED
            )
            self._finish(send)
        while self.waiting and len(self.connections) < self.connections.size:
            self._start(self.waiting.popleft())

    def answered(self, connection):
        send, head = connection.send, connection.head
        send.ended = errands.read_ended(head, tuple(connection.pieces), connection.length, self.names)
        if connection.answers.buffer:  # passed on, for its length says so, but not kept: that may be wrong
            send.ended = send.ended._replace(made=None)
        connection.send = send.connection = None
        connection.empty()
        if head.keep_alive and not connection.answers.buffer:
            self._keep(connection)
        else:
            connection.close()
        self._finish(send)

    def lost_answer(self, connection):
        if connection.send is not None:
            self.give_up(connection.send, interface.BROKEN)
        else:
            connection.close()

    def _keep(self, connection):
        current = self.places.get(connection.place.name) is connection.place
        for send in self.waiting if current else ():
            if send.place is connection.place and not send.once:
                self.waiting.remove(send)
                self._put(send, connection)
                return
        if not current or self.waiting or self.idle_for <= 0:  # not its cache's now, or wanted elsewhere
            connection.close()
            return
        connection.idle_since = self.deadlines.clock.seconds()
        connection.place.idle.append(connection)
        self.idle[connection] = True
        connection.idle_until = self.deadlines.after(self.idle_for, self._end_idle, connection)

    def _unidle(self, connection):
        if self.idle.pop(connection, None):
            connection.place.idle.remove(connection)
            self.deadlines.drop(connection.idle_until)

    def _end_idle(self, connection):
        self._unidle(connection)
        connection.close()

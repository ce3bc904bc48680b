"""All client connections: each owns its descriptor's slot and the calls open on it, and gives both back.

Who is silent, in half a frame or idle stands in an order by time: the oldest are ended in time, and before
it where descriptors or the bytes of half frames run short. So no client can hold up another.
"""

from itertools import islice

from twisted.internet import tcp
from twisted.internet.protocol import Factory

from ..tables.slots import Slots
from . import calls
from .connection import Connection

HEARING = 2.0  # seconds for a first frame, or for the rest of one: no call is longer than some packets
SOON = 0.1  # seconds of silence or idleness that are left to all: what was sent with the connection is here
SPARE = 1 / 16  # of the descriptors, made free at a time where they run short
LOOK = 0.1  # seconds between looks at who is silent or idle for too long
LINGER = 0.5  # seconds for a client's end after ours: some ways there and back, while what crosses is dropped
MOST_LINGERING = 1 / 4  # of the descriptors: beyond it the oldest are closed, whatever crosses


class Listener(tcp.Port):
    """Accepts no more at a time than there are slots: who finds none waits in the listening queue."""

    def doRead(self):
        self.numberAccepts = self.factory.free()
        return tcp.Port.doRead(self)

    def stopListening(self):
        """Whoever waits in the queue comes first: to a client it is connected, and may have sent its call."""
        before = None
        while self.connected and not self.factory.full() and len(self.factory.connections) != before:
            before = len(self.factory.connections)
            self.doRead()
        return tcp.Port.stopListening(self)


class Front(Factory):
    """desk: what is told of lookups. An answer to a call that is no longer open goes nowhere.

    half: bytes of half frames that all connections may hold.
    """

    noisy = False

    def __init__(self, desk, deadlines, room, most, half, idle_for, log, count):
        self.desk, self.deadlines, self.room, self.idle_for = desk, deadlines, room, idle_for
        self.log, self.count = log, count
        self.connections = Slots(most)
        self.half, self.halves, self.half_held = half, {}, 0  # bytes of a half frame by connection, and all
        self.silent, self.idle = {}, {}  # connection -> since when, the longest first
        self.lingering = {}  # connection -> the deadline of its close, the longest first
        self.look = self.port = None

    def buildProtocol(self, address):
        return Connection(self)

    # ---- connections

    def free(self):
        return max(1, self.connections.size - len(self.connections))

    def full(self):
        return len(self.connections) >= self.connections.size

    def joined(self, connection):
        number = self.connections.take(connection)
        self.count("clients_connected" if number is not None else "clients_turned_away")
        if number is not None:
            self.silent[connection] = self.deadlines.clock.seconds()
            if self.look is None:
                self.look = self.deadlines.after(LOOK, self._look)
        if self.full():
            self._make_room()
        return number

    def parted(self, connection):
        self.connections.give_back(connection.number)
        self.deadlines.drop(self.lingering.pop(connection, None))
        self.give_up(connection)
        if self.port is not None and self.port.connected:
            self.port.startReading()

    def give_up(self, connection):
        """Nothing more is awaited from it, nor owed to it."""
        for seqid in list(connection.open):
            connection.close_call(seqid)
            self.desk.left((connection.number, seqid))
        self._half(connection, 0)
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)

    def heard(self, connection, whole):
        """It sent something, and with that whole frames or none."""
        if connection.ending:
            return
        left = len(connection.frames.buffer)
        if left or connection in self.halves:
            self._half(connection, left)
        if whole or not left:
            self.silent.pop(connection, None)
        if left:
            self.silent.setdefault(connection, self.deadlines.clock.seconds())
        if whole and not connection.open:
            self.rests(connection)
        while self.half_held > self.half:
            self._cut(next(iter(self.halves)), "half frames fill their room")

    def _half(self, connection, size):
        self.half_held += size - self.halves.pop(connection, 0)
        if size:
            self.halves[connection] = size

    def rests(self, connection):
        """No call is open on it from now on."""
        self.idle.pop(connection, None)
        if not connection.ending:
            self.idle[connection] = self.deadlines.clock.seconds()

    def lingers(self, connection):
        """This side of it is shut down; what its client still sends is dropped."""
        self.lingering[connection] = self.deadlines.after(LINGER, connection.transport.loseConnection)
        if len(self.lingering) > max(1, self.connections.size * MOST_LINGERING):
            oldest = next(iter(self.lingering))
            self.deadlines.drop(self.lingering.pop(oldest))
            oldest.transport.loseConnection()

    def catch_up(self, call):
        """Takes in what lies unread on the connection of this call."""
        connection = self.connections.get(call[0])
        if connection is not None:
            connection.catch_up()

    def _look(self):
        now = self.deadlines.clock.seconds()
        for connection in self._since(self.silent, now - HEARING):
            self._cut(connection, "silent for too long")
        for connection in self._since(self.idle, now - self.idle_for):
            connection.end()
        if self.full():
            self._make_room()
        self.look = self.deadlines.after(LOOK, self._look) if len(self.connections) else None

    def _since(self, waiting, moment, most=None):
        """Those that wait since then or longer, also once what lies unread of theirs is taken in."""
        found = []
        for connection, since in islice(waiting.items(), most):
            if since > moment:
                break
            found.append((connection, since))
        for connection, _ in found:
            connection.catch_up()
        return [connection for connection, since in found if waiting.get(connection) == since]

    def _make_room(self):
        """Some of the silent go first, then some of the idle; where all are busy, whoever comes waits."""
        soon = self.deadlines.clock.seconds() - SOON
        # Those that linger give theirs back soon: nobody else is ended in their place.
        several = max(0, max(1, int(self.connections.size * SPARE)) - len(self.lingering))
        silent = self._since(self.silent, soon, several)
        for connection in silent:
            self._cut(connection, "descriptors for clients are short")
        for connection in () if silent else self._since(self.idle, soon, several):
            self.log("descriptors for clients are short, an idle connection ended")
            self.count("clients_shed")
            connection.end()
        if self.port is not None:
            self.port.stopReading()

    def _cut(self, connection, why):
        self.log("client is silent, connection ended", why)
        self.count("clients_shed")
        connection.cut()

    # ---- answers

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

    # ---- the end

    def end_idle(self):
        """Ends the connections on which no call is open nor begun; one half come has its time to be heard."""
        for connection in self.connections.occupied():
            if not connection.open:
                connection.catch_up()
            if not connection.open and connection not in self.halves:
                connection.end()

    def cut_off(self):
        """All of them, now; those that linger have had all written and are closed in order."""
        for connection in self.connections.occupied():
            if connection in self.lingering:
                connection.transport.loseConnection()
            else:
                connection.cut()

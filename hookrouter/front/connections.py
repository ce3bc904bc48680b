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

FRAME_TIMEOUT = 2.0  # seconds for a first frame, or for the rest of one: no call is longer than some packets
MIN_SILENCE = (
    0.1  # seconds of silence or idleness that are left to all: what was sent with the connection is here
)
SHED_SHARE = 1 / 16  # of the descriptors, made free at a time where they run short
SWEEP_INTERVAL = 0.1  # seconds between looks at who is silent or idle for too long
LINGER_TIMEOUT = (
    0.5  # seconds for a client's end after ours: some ways there and back, while what crosses is dropped
)
MAX_LINGERING_SHARE = 1 / 4  # of the descriptors: beyond it the oldest are closed, whatever crosses


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

    def __init__(self, handler, deadlines, body_memory, limit, max_partial_bytes, idle_timeout, log, count):
        self.handler, self.deadlines, self.body_memory, self.idle_timeout = (
            handler,
            deadlines,
            body_memory,
            idle_timeout,
        )
        self.log, self.count = log, count
        self.connections = Slots(limit)
        self.max_partial_bytes, self.partial_bytes, self.partial_bytes_total = (
            max_partial_bytes,
            {},
            0,
        )  # bytes of a half frame by connection, and all
        self.silent, self.idle = {}, {}  # connection -> since when, the longest first
        self.lingering = {}  # connection -> the deadline of its close, the longest first
        self.sweep_timer = self.port = None

    def buildProtocol(self, address):
        return Connection(self)

    # ---- connections

    def free(self):
        return max(1, self.connections.size - len(self.connections))

    def full(self):
        return len(self.connections) >= self.connections.size

    def register(self, connection):
        slot = self.connections.take(connection)
        self.count("clients_connected" if slot is not None else "clients_turned_away")
        if slot is not None:
            self.silent[connection] = self.deadlines.clock.seconds()
            if self.sweep_timer is None:
                self.sweep_timer = self.deadlines.after(SWEEP_INTERVAL, self._sweep)
        if self.full():
            self._free_descriptors()
        return slot

    def unregister(self, connection):
        self.connections.give_back(connection.slot)
        self.deadlines.drop(self.lingering.pop(connection, None))
        self.abandon(connection)
        if self.port is not None and self.port.connected:
            self.port.startReading()

    def abandon(self, connection):
        """Nothing more is awaited from it, nor owed to it."""
        for seqid in list(connection.open_calls):
            connection.close_call(seqid)
            self.handler.on_client_gone((connection.slot, seqid))
        self._set_partial(connection, 0)
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)

    def on_data(self, connection, has_frames):
        """It sent something, and with that whole frames or none."""
        if connection.ending:
            return
        partial = len(connection.frames.buffer)
        if partial or connection in self.partial_bytes:
            self._set_partial(connection, partial)
        if has_frames or not partial:
            self.silent.pop(connection, None)
        if partial:
            self.silent.setdefault(connection, self.deadlines.clock.seconds())
        if has_frames and not connection.open_calls:
            self.mark_idle(connection)
        while self.partial_bytes_total > self.max_partial_bytes:
            self._shed(next(iter(self.partial_bytes)), "half frames fill their room")

    def _set_partial(self, connection, size):
        self.partial_bytes_total += size - self.partial_bytes.pop(connection, 0)
        if size:
            self.partial_bytes[connection] = size

    def mark_idle(self, connection):
        """No call is open on it from now on."""
        self.idle.pop(connection, None)
        if not connection.ending:
            self.idle[connection] = self.deadlines.clock.seconds()

    def start_linger(self, connection):
        """This side of it is shut down; what its client still sends is dropped."""
        self.lingering[connection] = self.deadlines.after(LINGER_TIMEOUT, connection.transport.loseConnection)
        if len(self.lingering) > max(1, self.connections.size * MAX_LINGERING_SHARE):
            oldest = next(iter(self.lingering))
            self.deadlines.drop(self.lingering.pop(oldest))
            oldest.transport.loseConnection()

    def read_pending(self, call):
        """Takes in what lies unread on the connection of this call."""
        connection = self.connections.get(call[0])
        if connection is not None:
            connection.read_pending()

    def _sweep(self):
        now = self.deadlines.clock.seconds()
        for connection in self._waiting_since(self.silent, now - FRAME_TIMEOUT):
            self._shed(connection, "silent for too long")
        for connection in self._waiting_since(self.idle, now - self.idle_timeout):
            connection.close()
        if self.full():
            self._free_descriptors()
        self.sweep_timer = (
            self.deadlines.after(SWEEP_INTERVAL, self._sweep) if len(self.connections) else None
        )

    def _waiting_since(self, waiting, moment, limit=None):
        """Those that wait since then or longer, also once what lies unread of theirs is taken in."""
        found = []
        for connection, since in islice(waiting.items(), limit):
            if since > moment:
                break
            found.append((connection, since))
        for connection, _ in found:
            connection.read_pending()
        return [connection for connection, since in found if waiting.get(connection) == since]

    def _free_descriptors(self):
        """Some of the silent go first, then some of the idle; where all are busy, whoever comes waits."""
        silent_since = self.deadlines.clock.seconds() - MIN_SILENCE
        # Those that linger give theirs back soon: nobody else is ended in their place.
        shed_count = max(0, max(1, int(self.connections.size * SHED_SHARE)) - len(self.lingering))
        silent = self._waiting_since(self.silent, silent_since, shed_count)
        for connection in silent:
            self._shed(connection, "descriptors for clients are short")
        for connection in () if silent else self._waiting_since(self.idle, silent_since, shed_count):
            self.log("descriptors for clients are short, an idle connection ended")
            self.count("clients_shed")
            connection.close()
        if self.port is not None:
            self.port.stopReading()

    def _shed(self, connection, reason):
        self.log("client is silent, connection ended", reason)
        self.count("clients_shed")
        connection.abort()

    # ---- answers

    def _answer(self, call, encode, *values):
        slot, seqid = call
        connection = self.connections.get(slot)
        name = connection.close_call(seqid) if connection is not None else None
        if name is not None:
            connection.write(encode(name, seqid, *values))

    def satisfied(self, call, pieces, length):
        self._answer(call, calls.satisfied, pieces, length)

    def unchanged(self, call):
        self._answer(call, calls.unchanged)

    def nacked(self, call, retry_after):
        self._answer(call, calls.nacked, retry_after)

    def failed(self, call, text=""):
        self._answer(call, calls.failed, text)

    # ---- the end

    def close_idle(self):
        """Ends the connections on which no call is open nor begun; one half come has its time to be heard."""
        for connection in self.connections.occupied():
            if not connection.open_calls:
                connection.read_pending()
            if not connection.open_calls and connection not in self.partial_bytes:
                connection.close()

    def abort_all(self):
        """All of them, now; those that linger have had all written and are closed in order."""
        for connection in self.connections.occupied():
            if connection in self.lingering:
                connection.transport.loseConnection()
            else:
                connection.abort()

"""All client connections: each owns a descriptor slot and its open calls, and releases both.

Those that have been silent or idle the longest are closed when their time is over, or earlier if descriptors
or memory for incomplete frames run short, so no client can block others.
"""

from twisted.internet.protocol import Factory

from ..tables.slots import Slots
from . import calls
from .call_shares import CallShares
from .connection import Connection
from .input_reader import Unwatched
from .input_watch import InputWatch, waiting_since
from .outbox import UnreadAnswers

FRAME_TIMEOUT = 2.0  # seconds for a first frame or the rest of one: no call is longer than some packets
MIN_SILENCE = 0.1  # seconds of silence that are always allowed: by then data sent with the connection is here
SHED_SHARE = 1 / 16  # share of the descriptors that is freed at a time when they run short
SWEEP_INTERVAL = 0.1  # seconds between sweeps of silent and idle connections
# Seconds for the client to close after us: some round trips; its input is discarded meanwhile.
LINGER_TIMEOUT = 0.5
MAX_LINGERING_SHARE = 1 / 4  # share of the descriptors; beyond it the oldest are closed at once


class Front(Factory):
    """Factory of the client connections.

    handler: gets on_lookup(call, request) and on_client_gone(call), and is asked ready(). A call is (slot,
    sequence number); replies to calls that are no longer open are dropped. limit: maximum of connections;
    max_calls: open at a time; max_partial_bytes: of all incomplete frames together; idle_timeout: seconds.
    """

    noisy = False

    def __init__(
        self, handler, deadlines, body_memory, limit, max_calls, max_partial_bytes, idle_timeout, log, count
    ):
        self.handler, self.deadlines, self.body_memory, self.idle_timeout = (
            handler,
            deadlines,
            body_memory,
            idle_timeout,
        )
        self.log, self.count = log, count
        self.connections = Slots(limit)
        self.unread = UnreadAnswers(body_memory)
        self.shares = CallShares(self, max_calls)
        self.watch = InputWatch(deadlines.clock, max_partial_bytes)
        self.lingering = {}  # connection -> timer of its close, the oldest first
        self.sweep_timer = self.port = None
        self.polls = Unwatched()  # a clock.PollWatch where the reactor is watched

    def buildProtocol(self, address):
        return Connection(self)

    # ---- connections

    def on_accept_failed(self, error, event):
        """accept() raised an OSError; event: what that means, for the log."""
        self.count("accepts_failed")
        self.log(event, str(error))

    def free(self):
        """Number of connections to accept at a time, at least 1."""
        return max(1, self.connections.size - len(self.connections))

    def full(self):
        """Whether all slots are taken."""
        return len(self.connections) >= self.connections.size

    def register(self, connection):
        """Takes a slot for a new connection; None if there is none."""
        slot = self.connections.take(connection)
        self.count("clients_connected" if slot is not None else "clients_turned_away")
        if slot is not None:
            self.watch.start(connection)
            if self.sweep_timer is None:
                self.sweep_timer = self.deadlines.after(SWEEP_INTERVAL, self._sweep)
        if self.full():
            self._free_descriptors()
        return slot

    def unregister(self, connection):
        """Releases the slot of a connection that is gone."""
        self.connections.give_back(connection.slot)
        self.deadlines.drop(self.lingering.pop(connection, None))
        self.abandon(connection)
        if self.port is not None and self.port.connected:
            self.port.startReading()

    def abandon(self, connection):
        """Drops all open calls of a connection; no more input is expected of it."""
        for seqid in list(connection.open_calls):
            connection.close_call(seqid)
            self.handler.on_client_gone((connection.slot, seqid))
        connection.intake.close()
        self.watch.stop(connection)

    def log_cut_off(self, connection, event, detail=""):
        """Logs why the router ends a connection, and counts the open calls that get no answer by that."""
        for _ in connection.open_calls:
            self.count("calls_cut_off")
        self.log_end(connection, event, detail)

    def log_end(self, connection, event, detail=""):
        """Logs why the router ends a connection, with what was read on it and the ids of its open calls."""
        traces = [call.trace for call in connection.open_calls.values()]
        self.log(
            event,
            detail,
            peer=connection.peer,
            open_calls=len(traces),
            ids=",".join(traces) or "none",
            calls_read=connection.intake.calls_read,
            half_frame_bytes=connection.intake.partial_bytes(),
            unread_bytes=connection.outbox.unread_bytes,
        )

    def on_data(self, connection, has_frames):
        """Updates the timeouts of a connection after input. has_frames: it contained a complete frame."""
        if connection.ending:
            return
        self.watch.on_input(connection, has_frames, connection.intake.partial_bytes())
        if has_frames and not connection.open_calls:
            self.mark_idle(connection)
        while (oldest := self.watch.oldest_partial()) is not None:
            self._shed(oldest, "half frames fill their room")

    def mark_idle(self, connection):
        """The connection has no open call from now on."""
        if connection.ending:
            self.watch.mark_busy(connection)
        else:
            self.watch.mark_idle(connection)

    def start_linger(self, connection):
        """The write side of a connection is shut down; its input is discarded until it is closed."""
        self.lingering[connection] = self.deadlines.after(LINGER_TIMEOUT, connection.transport.loseConnection)
        if len(self.lingering) > max(1, self.connections.size * MAX_LINGERING_SHARE):
            oldest = next(iter(self.lingering))
            self.deadlines.drop(self.lingering.pop(oldest))
            oldest.transport.loseConnection()

    def input_age(self, call):
        """Seconds for which a call that is being read may have lain unread at most."""
        connection = self.connections.get(call[0])
        return max(self.polls.age(), connection.input.age())

    def read_pending(self, call):
        """Reads available input of the connection of a call."""
        connection = self.connections.get(call[0])
        if connection is not None:
            connection.read_pending()

    def _sweep(self):
        now = self.deadlines.clock.seconds()
        for connection in waiting_since(self.watch.silent, now - FRAME_TIMEOUT, self.shares.is_busy):
            self._shed(connection, "silent for too long")
        for connection in waiting_since(self.watch.idle, now - self.idle_timeout, self.shares.is_busy):
            connection.close()
        if self.full():
            self._free_descriptors()
        self.sweep_timer = (
            self.deadlines.after(SWEEP_INTERVAL, self._sweep) if len(self.connections) else None
        )

    def _free_descriptors(self):
        """Closes some silent connections, or else some idle ones; if all are busy, new ones wait."""
        silent_since = self.deadlines.clock.seconds() - MIN_SILENCE
        # Lingering connections release theirs soon, so they count as freed.
        shed_count = max(0, max(1, int(self.connections.size * SHED_SHARE)) - len(self.lingering))
        waiting = waiting_since(self.watch.silent, silent_since, self.shares.is_busy)
        silent = [connection for connection in waiting if not connection.open_calls][:shed_count]
        for connection in silent:
            self._shed(connection, "descriptors for clients are short")
        for connection in (
            () if silent else waiting_since(self.watch.idle, silent_since, self.shares.is_busy, shed_count)
        ):
            self.count("clients_shed")
            connection.close("descriptors for clients are short, an idle connection ended")
        if self.port is not None:
            self.port.stopReading()

    def _shed(self, connection, reason):
        self.count("clients_shed")
        connection.finish("client is silent, connection ended", reason)
        connection.close_if_answered()

    # ---- replies

    def _answer(self, call, encode, *values):
        slot, seqid = call
        connection = self.connections.get(slot)
        name = connection.close_call(seqid) if connection is not None else None
        if name is not None:
            connection.write(encode(name, seqid, *values))
            connection.close_if_answered()

    def satisfied(self, call, pieces, length):
        """Replies with a body of that length; fails the call if its client leaves too much unread."""
        connection = self.connections.get(call[0])
        if connection is None or connection.outbox.has_room(length):
            self._answer(call, calls.satisfied, pieces, length)
            return
        self.log("client does not read its answers, one without its body", peer=connection.peer)
        self.count("bodies_left_out")
        self.failed(call, "answers are not read")

    def unchanged(self, call):
        """Replies that the client's copy is current."""
        self._answer(call, calls.unchanged)

    def nacked(self, call, retry_after):
        """Rejects a call that may be retried; retry_after in tenths of a millisecond."""
        self._answer(call, calls.nacked, retry_after)

    def failed(self, call, text=""):
        """Fails a call."""
        self._answer(call, calls.failed, text)

    # ---- shutdown

    def close_idle(self):
        """Closes connections without an open call or incomplete frame; an incomplete one keeps its time to
        arrive. To be called again and again: those that there is no time for are left to the next call.
        """
        for connection in self.connections.occupied():
            if self.shares.is_busy():
                return
            if not connection.open_calls:
                connection.read_pending()
            if not connection.open_calls and connection not in self.watch.partial_bytes:
                connection.close("idle client connection ended, the process exits")

    def abort_all(self):
        """Closes all connections now; lingering ones, which have all written, without a reset."""
        for connection in self.connections.occupied():
            if connection in self.lingering:
                connection.transport.loseConnection()
            else:
                connection.abort("client connection ended, the process exits")

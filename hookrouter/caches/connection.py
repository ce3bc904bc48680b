"""One connection to a cache: parses one response at a time, checks it against the request, and pauses reading
while body memory is full.
"""

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol

from ..parsers import http1
from ..parsers.http1 import Malformed
from . import requests
from .acknowledgement import acknowledge_now
from .response_tail import CUT_OFF, FOLLOWED, SILENT

READ_BYTES = 16_384  # at a time: what a connection may read before it learns that memory is full
MAX_READS = 32  # in a row: more than the longest response
SMALL_PIECE_BYTES = 4_096  # of a body; shorter ones are joined, as each would take more than its bytes
MAX_JOINED_BYTES = 65_536
REVISION_FIELDS = (
    b"x-rev",
    b"x-since-ms",
    b"content-length",
)  # together they differ between copies of different objects


class Connection(Protocol):
    """Protocol of one connection, created by CachePool."""

    def __init__(self, caches, endpoint):
        self.caches, self.endpoint = caches, endpoint
        self.slot = self.send = self.idle_timer = self.connector = None
        self.closing = self.lingers = False  # lingers: open, but takes no request any more
        self.received = False  # whether the last read returned data
        self.spare_for = None  # send that may take it once it is up; None: not a spare, or up already
        self.reserved_for = None  # send that waits until it has rested
        # By the deadlines' clock: since when it is idle, when it may take a request, and one that must not be
        # repeated.
        self.idle_since = self.rested_at = self.silent_at = 0.0
        self.head_hash = None  # of the last response that named no revision
        self.may_repeat = False  # whether the last response may be the one before once more
        self.tail = None  # ResponseTail of the last response
        self.previous = None  # target of the last request, and the REVISION_FIELDS of its response
        self.parser = http1.ResponseParser(
            self._on_head, self._on_body, self._on_end, requests.MAX_BODY_BYTES
        )
        self.head, self.pieces, self.length = None, [], 0
        self.counted_bytes = 0  # of the response, as the body memory knows

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BYTES
        self.caches.on_connected(self)

    def acknowledge(self):
        """Has what the peer's system holds back behind a response come at once, not with the next request."""
        acknowledge_now(self.transport)

    def ready_for_request(self):
        """Whether a request can be written: unexpected data, or the end, may be unread by the reactor."""
        if self.transport.doRead() is not None:
            self.close()
        return not self.closing

    def read_pending(self):
        """Reads all available input: after a pause of the process timers run before reads."""
        for _ in range(MAX_READS):
            if self.closing or self.send is None or self in self.caches.body_memory.waiting:
                return
            self.received = False
            if self.transport.doRead() is not None or not self.received:
                return  # the reactor reports the end

    def dataReceived(self, data):
        self.received = True
        if self.closing:
            return
        if self.send is None:
            self.caches.count("caches_unasked")
            self.end_tail(FOLLOWED)
            self.close()  # no request is outstanding
            return
        if self.tail is not None:
            self.tail.suspend()  # its meaning is clear once the head is complete
        try:
            self.parser.feed(data)
        except Malformed as error:
            self.caches.log(
                "cache sent what cannot be read, connection ended",
                f"{self.endpoint.name}: {error.user_message()}",
            )
            self.caches.count("caches_malformed")
            if self.head is None:  # it may belong to the response before
                self.end_tail(FOLLOWED)
            self.caches.responses.on_malformed(self)
        self._count_memory()
        if self.is_reading() and self.caches.body_memory.full():
            self.caches.pause_reading()

    def is_reading(self):
        """Whether it holds part of a response and reads on; one with none yet may get a short one whole."""
        is_open = self.transport is not None and not self.closing
        waits = self.send is not None and self.send.written and self.send.result is None
        return is_open and waits and self.counted_bytes > 0 and self not in self.caches.body_memory.waiting

    def pause(self):
        """Stops reading until the body memory has room."""
        self.caches.body_memory.wait(self)
        self.transport.pauseProducing()

    def _count_memory(self):
        """Counts what is held of the response: its body, its head, and what the parser has not passed on."""
        held = self.length
        if self.head is not None:
            held += self.head.size
        if self.parser is not None:
            held += len(self.parser.buffer)
        change, self.counted_bytes = held - self.counted_bytes, held
        if change > 0:
            self.caches.body_memory.take(change)
        elif change < 0:
            self.caches.body_memory.give_back(-change)

    def resume(self):
        """Resumes reading; called by the body memory."""
        self.transport.resumeProducing()

    def _on_head(self, answer):
        if self.send is None or self.head is not None:
            raise Malformed("a response without a request")
        if answer.status == 304 and (
            self.send.client_revision is None or answer.fields.get(b"x-rev") != self.send.client_revision
        ):
            raise Malformed("304 for a revision that was not requested")
        self._compare_head(answer)
        if answer.status == 200 and b"x-rev" in answer.fields:
            target, revision = self.send.target, [answer.fields.get(name) for name in REVISION_FIELDS]
            if self.previous is not None and self.previous[0] != target and self.previous[1] == revision:
                raise Malformed("repeated response of the previous request")
            self.previous = target, revision
        self.end_tail(SILENT)
        self.head = answer

    def _compare_head(self, answer):
        """Notes whether the response has the head of the one before: another one may follow it then.

        Those that name a revision are told by that.
        """
        names_revision = answer.status in (200, 304) and b"x-rev" in answer.fields
        head_hash = None if names_revision else hash((answer.status, *answer.fields.items()))
        self.may_repeat = head_hash is not None and head_hash == self.head_hash
        self.head_hash = head_hash

    def _on_body(self, piece):
        if self.send is None:
            raise Malformed("a body without a request")
        self.length += len(piece)
        last = self.pieces[-1] if self.pieces else None
        if last is None or len(piece) > SMALL_PIECE_BYTES or len(last) > MAX_JOINED_BYTES:
            self.pieces.append(piece)
        elif isinstance(last, bytearray):
            last += piece
        elif len(last) <= SMALL_PIECE_BYTES:
            self.pieces[-1] = bytearray(last) + piece
        else:
            self.pieces.append(piece)

    def body(self):
        """The pieces of the body."""
        return tuple(bytes(piece) if isinstance(piece, bytearray) else piece for piece in self.pieces)

    def _on_end(self):
        self.caches.responses.on_complete(self)

    def end_tail(self, event):
        """Tells the watcher of the last response what followed it, see ResponseTail."""
        tail, self.tail = self.tail, None
        if tail is None:
            return
        has_part_of_head = self.head is None and self.parser.buffer
        tail.step(FOLLOWED if has_part_of_head and event == CUT_OFF else event)

    def connectionLost(self, reason):
        ended_by_peer = not self.closing and reason.check(ConnectionDone)
        self.end_tail(SILENT if ended_by_peer and not self.parser.buffer else CUT_OFF)
        self.caches.on_disconnected(self)

    def release(self):
        """The connection is gone. Without its parser, which calls it, it is in no reference cycle, so what it
        held is freed at once and not at some later collection.
        """
        self.parser = self.transport = self.connector = None
        self._count_memory()

    def discard_response(self):
        """Releases the memory of the response received so far."""
        self.caches.body_memory.leave(self)
        self.head, self.pieces, self.length = None, [], 0
        self._count_memory()

    def close(self):
        """Closes at once, whether connected or connecting."""
        self.closing = True
        self.end_tail(CUT_OFF)
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.stopConnecting()


class ConnectionFactory(ClientFactory):
    """Factory of one outgoing connection."""

    noisy = False

    def __init__(self, connection):
        self.connection = connection

    def buildProtocol(self, address):
        return self.connection

    def clientConnectionFailed(self, connector, reason):
        self.connection.caches.on_disconnected(self.connection)

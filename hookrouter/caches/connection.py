"""One connection to a cache: an answer at a time, held against what was asked, read while there is room."""

from twisted.internet.protocol import ClientFactory, Protocol

from ..parsers import http1
from ..parsers.http1 import Malformed
from . import errands

MOST_READS = 8  # in a row, 64 kB each: more than the longest answer has
NAMING = (b"x-rev", b"x-since-ms", b"content-length")  # fields that no two objects' copies have alike


class Connection(Protocol):
    def __init__(self, caches, place):
        self.caches, self.place = caches, place
        self.number = self.send = self.idle_until = self.connector = None
        self.closing = False
        self.came = False  # something, by the newest read
        self.idle_since = 0.0
        self.last = None  # (kind, object, part) that was asked last, and what named the copy that came
        self.answers = http1.ResponseParser(self._on_head, self._on_body, self._on_end, errands.LONGEST_BODY)
        self.head, self.pieces, self.length = None, [], 0

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.caches.came_up(self)

    def quiet(self):
        """Whether it can take a request: what came unasked, or its end, may lie unread before the reactor."""
        if self.transport.doRead() is not None:
            self.close()
        return not self.closing

    def catch_up(self):
        """Takes in all that lies unread: after a pause of the process its deadlines come before its reads."""
        for _ in range(MOST_READS):
            if self.closing or self.send is None or self in self.caches.room.waiting:
                return
            self.came = False
            if self.transport.doRead() is not None or not self.came:
                return  # its end is told by the reactor

    def dataReceived(self, data):
        self.came = True
        if self.closing:
            return
        if self.send is None:
            self.caches.count("caches_unasked")
            self.close()  # nothing was asked
            return
        try:
            self.answers.feed(data)
        except Malformed as wrong:
            self.caches.log(
                "cache sent what cannot be read, connection ended",
                f"{self.place.name}: {wrong.user_message()}",
            )
            self.caches.count("caches_malformed")
            self.caches.lost_answer(self)
        if self.send is not None and self.send.ended is None and self.caches.room.full():
            self.caches.room.wait(self)
            self.transport.pauseProducing()

    def resume(self):
        self.transport.resumeProducing()

    def _on_head(self, answer):
        if self.send is None or self.head is not None:
            raise Malformed("an answer to nothing")
        if answer.status == 304 and (self.send.seen is None or answer.fields.get(b"x-rev") != self.send.seen):
            raise Malformed("304 where there is no such copy")
        if answer.status == 200 and b"x-rev" in answer.fields:
            asked, copy = self.send.asked, [answer.fields.get(name) for name in NAMING]
            if self.last is not None and self.last[0] != asked and self.last[1] == copy:
                raise Malformed("the answer before, once more")
            self.last = asked, copy
        self.head = answer

    def _on_body(self, piece):
        if self.send is None:
            raise Malformed("a body to nothing")
        self.pieces.append(piece)
        self.length += len(piece)
        self.caches.room.take(len(piece))

    def _on_end(self):
        self.caches.answered(self)

    def connectionLost(self, reason):
        self.caches.went_down(self)

    def empty(self):
        """Gives back what its send has received."""
        self.caches.room.leave(self)
        self.caches.room.give_back(self.length)
        self.head, self.pieces, self.length = None, [], 0

    def close(self):
        """Ends it at once, whether it is up or not."""
        self.closing = True
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.stopConnecting()


class Outgoing(ClientFactory):
    """One connection's way up."""

    noisy = False

    def __init__(self, connection):
        self.connection = connection

    def buildProtocol(self, address):
        return self.connection

    def clientConnectionFailed(self, connector, reason):
        self.connection.caches.went_down(self.connection)

"""Follows the platform's feed over one connection, resumed after the last event number when it ends."""

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from ..parsers import http1, sse
from . import events

# Seconds: a comment comes every second; an event counts as delivered 4 s after the feed falls silent.
SILENCE_TIMEOUT = 1.8
CONNECT_TIMEOUT = 1.0  # seconds: more than any connection within a site takes
MIN_PAUSE = 0.05  # seconds before the next connection, doubled each time the last one brought nothing
# Seconds: an event counts as delivered 2 s after a disconnect; refused connections cost little.
MAX_PAUSE = 0.4
# The comment with this number shows that nothing is left to tell: the first may precede the missed events.
CAUGHT_UP_COMMENT = 2
MALFORMED_EVENT_ADVICE = "look at the feed's version; the event is lost, the place is kept"
MAX_STREAM_BYTES = 2**60  # no limit: one connection carries events for as long as it lasts


class Stream(Protocol):
    """Protocol of one connection to the feed."""

    def __init__(self, feed):
        self.feed, self.reason = feed, None
        self.parser = http1.ResponseParser(
            self._on_head, self._on_body, self._on_end, MAX_STREAM_BYTES, until_close=True
        )
        self.events = sse.Events()

    def connectionMade(self):
        feed = self.feed
        feed.on_activity(self)
        self.transport.writeSequence(
            http1.request(
                b"GET",
                feed.path,
                [
                    (b"Host", f"{feed.host}:{feed.port}".encode()),
                    (b"Accept", b"text/event-stream"),
                    *feed.request_fields(),
                ],
            )
        )

    def dataReceived(self, data):
        if self.parser is None:
            return  # read by a transport whose connection had ended already
        self.feed.on_activity(self)
        try:
            self.parser.feed(data)
        except (http1.Malformed, sse.Malformed) as error:
            self.feed.abort(self, error.user_message())

    def _on_head(self, answer):
        if answer.status != 200:
            self.feed.on_rejected(answer)
            raise http1.Malformed(f"status {answer.status}")

    def _on_body(self, piece):
        self.feed.pause = MIN_PAUSE
        comments_before = self.events.comments
        for _, data in self.events.feed(piece):
            self.feed.on_event(self, data)
        if self.events.comments > comments_before and self.events.comments >= CAUGHT_UP_COMMENT:
            self.feed.on_caught_up(self)

    def _on_end(self):
        self.transport.loseConnection()

    def connectionLost(self, reason):
        self.parser = self.events = None  # without it a reference cycle would hold what was read of an event
        self.feed.on_disconnected(self, self.reason or reason.getErrorMessage())


class StreamFactory(ClientFactory):
    """Factory of one connection to the feed."""

    noisy = False

    def __init__(self, stream):
        self.stream = stream

    def buildProtocol(self, address):
        return self.stream

    def clientConnectionFailed(self, connector, reason):
        self.stream.feed.on_disconnected(self.stream, self.stream.reason or describe_failure(reason))


def describe_failure(failure):
    """The text of a Failure; of the one inside where a connection ended while it was being established."""
    inner = failure.value.args[0] if failure.value.args else None
    return (inner if isinstance(inner, Failure) else failure).getErrorMessage()


class Feed:
    """Follows the feed.

    handler: gets on_cache_list(event) and on_purge(event), on_caught_up() whenever the feed has nothing left
    to tell, and on_events_missed() where it told what was not understood, or left something out.
    last_number: of the last event delivered.
    """

    path, connection_counter = b"/v1/events", "feed_connections"
    ended_message = "feed connection ended, a new one follows"

    def __init__(self, reactor, deadlines, handler, address, last_number, log, count):
        self.reactor, self.deadlines, self.handler, self.log, self.count = (
            reactor,
            deadlines,
            handler,
            log,
            count,
        )
        self.host, self.port = address
        self.last_number, self.pause = last_number, MIN_PAUSE
        self.connector = self.stream = self.timer = None
        self.stopped = False

    def start(self):
        """Opens a connection."""
        if self.stopped:
            return
        self.count(self.connection_counter)
        self.stream = Stream(self)
        self.timer = self.deadlines.after(CONNECT_TIMEOUT, self.abort, self.stream, "not up in time")
        self.connector = self.reactor.connectTCP(
            self.host, self.port, StreamFactory(self.stream), timeout=None
        )

    def request_fields(self):
        """Header fields of the request that state where to resume."""
        return [(b"Last-Event-ID", b"%d" % self.last_number)]

    def stop(self):
        """Closes the connection and opens no other."""
        self.stopped = True
        self.deadlines.drop(self.timer)
        if self.stream is not None:
            self.abort(self.stream, "stopped")

    def move(self, address):
        """Follows the feed at another address, from the same event number on."""
        if address == (self.host, self.port):
            return
        self.host, self.port = address
        self.pause = MIN_PAUSE
        if self.stream is not None:
            self.abort(self.stream, "the feed has moved")
        elif not self.stopped:
            self.deadlines.drop(self.timer)
            self.start()

    def apply_known(self, events):
        """Delivers events from elsewhere, in order; those after a gap in the numbers are left to the feed."""
        for event in events:
            if event.number == self.last_number + 1:
                self._deliver(event)

    def on_rejected(self, answer):
        """The response has another status than 200; for subclasses."""

    def on_caught_up(self, stream):
        """The feed has told all that it had to tell; for subclasses with another sign of it."""
        if stream is self.stream:
            self.handler.on_caught_up()

    def on_activity(self, stream):
        """Restarts the silence timer after a connection or input."""
        if stream is self.stream:  # late input of an old connection must not restart the timer of the next
            self.deadlines.drop(self.timer)
            self.timer = self.deadlines.after(SILENCE_TIMEOUT, self.abort, stream, "silent")

    def abort(self, stream, reason):
        """Closes the connection, if it is the current one."""
        if stream is not self.stream:
            return
        stream.reason = reason
        if stream.transport is not None:
            stream.transport.abortConnection()
        else:
            self.connector.stopConnecting()

    def on_disconnected(self, stream, reason):
        """The only place where a connection, or an attempt to connect, is over."""
        stream.transport = None
        if stream is not self.stream:
            return  # its end was handled before
        self.deadlines.drop(self.timer)
        self.stream = self.connector = None
        if not self.stopped:
            self.log(self.ended_message, reason)
            self.timer = self.deadlines.after(self.pause, self.start)
            self.pause = min(MAX_PAUSE, 2 * self.pause)

    def on_event(self, stream, data):
        """Delivers an event unless it was delivered before; invalid ones are skipped."""
        if stream is not self.stream:
            return
        try:
            event = events.parse_event(data)
        except events.Malformed as error:
            self.log(
                "feed sent an event that cannot be read, passed over",
                f"{error}; do: {MALFORMED_EVENT_ADVICE}",
            )
            self.count("feed_malformed")
            self.handler.on_events_missed()
            return
        if event.number <= self.last_number:
            return  # already delivered
        if event.number > self.last_number + 1:
            self.log("feed left numbers out", f"{event.number} came after {self.last_number}")
            self.count("feed_gaps")
            self.handler.on_events_missed()
        self._deliver(event)

    def _deliver(self, event):
        self.last_number = event.number
        self.count("feed_events")
        if isinstance(event, events.CacheListEvent):
            self.handler.on_cache_list(event)
        else:
            self.handler.on_purge(event)

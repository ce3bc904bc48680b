"""Follows the control feed: one connection, resumed after any end from the last number told."""

from twisted.internet.protocol import ClientFactory, Protocol

from ..parsers import http1, sse
from . import events

SILENCE_TIMEOUT = (
    1.8  # seconds: a comment comes every second; what a feed has counts as told 4 s after it stops
)
CONNECT_TIMEOUT = 1.0  # seconds for a connection: more than any way within a site takes
MIN_PAUSE = 0.05  # seconds before the next connection, doubled each time nothing came over the last
MAX_PAUSE = 0.4  # seconds: what a feed has counts as told 2 s after it broke off; refusals cost little
MALFORMED_EVENT_ADVICE = "look at the feed's version; the event is lost, the place is kept"
MAX_STREAM_BYTES = 2**60  # bytes: one connection may carry events for as long as it lasts


class Stream(Protocol):
    def __init__(self, feed):
        self.feed, self.reason = feed, None
        self.parser = http1.Answers(
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
        for _, data in self.events.feed(piece):
            self.feed.on_event(self, data)

    def _on_end(self):
        self.transport.loseConnection()

    def connectionLost(self, reason):
        self.feed.on_disconnected(self, self.reason or reason.getErrorMessage())


class StreamFactory(ClientFactory):
    noisy = False

    def __init__(self, stream):
        self.stream = stream

    def buildProtocol(self, address):
        return self.stream

    def clientConnectionFailed(self, connector, reason):
        self.stream.feed.on_disconnected(self.stream, self.stream.reason or reason.getErrorMessage())


class Feed:
    """desk: what is told of events, listed(event) and purged(event). last: the number told so far."""

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
        if self.stopped:
            return
        self.count(self.connection_counter)
        self.stream = Stream(self)
        self.timer = self.deadlines.after(CONNECT_TIMEOUT, self.abort, self.stream, "not up in time")
        self.connector = self.reactor.connectTCP(
            self.host, self.port, StreamFactory(self.stream), timeout=None
        )

    def request_fields(self):
        """Of the request: from where on."""
        return [(b"Last-Event-ID", b"%d" % self.last_number)]

    def stop(self):
        self.stopped = True
        self.deadlines.drop(self.timer)
        if self.stream is not None:
            self.abort(self.stream, "stopped")

    def move(self, address):
        """The feed is elsewhere now; the numbers go on."""
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
        """Events from elsewhere, in order; those that leave numbers out are left to the feed."""
        for event in events:
            if event.number == self.last_number + 1:
                self._deliver(event)

    def on_rejected(self, answer):
        """Another status than 200 came."""

    def on_activity(self, stream):
        if stream is self.stream:  # a late byte of an old one must not take the next one's timer away
            self.deadlines.drop(self.timer)
            self.timer = self.deadlines.after(SILENCE_TIMEOUT, self.abort, stream, "silent")

    def abort(self, stream, reason):
        if stream is not self.stream:
            return
        stream.reason = reason
        if stream.transport is not None:
            stream.transport.abortConnection()
        else:
            self.connector.stopConnecting()

    def on_disconnected(self, stream, reason):
        """The one place where a connection, or the way to it, is over."""
        stream.transport = None
        if stream is not self.stream:
            return  # its end was told before
        self.deadlines.drop(self.timer)
        self.stream = self.connector = None
        if not self.stopped:
            self.log(self.ended_message, reason)
            self.timer = self.deadlines.after(self.pause, self.start)
            self.pause = min(MAX_PAUSE, 2 * self.pause)

    def on_event(self, stream, data):
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
            return
        if event.number <= self.last_number:
            return  # told already
        if event.number > self.last_number + 1:
            self.log("feed left numbers out", f"{event.number} came after {self.last_number}")
            self.count("feed_gaps")
        self._deliver(event)

    def _deliver(self, event):
        self.last_number = event.number
        self.count("feed_events")
        if isinstance(event, events.CacheListEvent):
            self.handler.on_cache_list(event)
        else:
            self.handler.on_purge(event)

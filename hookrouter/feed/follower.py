"""Follows the control feed: one connection, resumed after any end from the last number told."""

from twisted.internet.protocol import ClientFactory, Protocol

from ..parsers import http1, sse
from . import events

SILENCE = 1.8  # seconds: a comment comes every second; what a feed has counts as told 4 s after it stops
UP_WITHIN = 1.0  # seconds for a connection: more than any way within a site takes
FIRST_PAUSE = 0.05  # seconds before the next connection, doubled each time nothing came over the last
LONGEST_PAUSE = 0.4  # seconds: what a feed has counts as told 2 s after it broke off; refusals cost little
PASSED_OVER = "look at the feed's version; the event is lost, the place is kept"
LONGEST_STREAM = 2**60  # bytes: one connection may carry events for as long as it lasts


class Stream(Protocol):
    def __init__(self, feed):
        self.feed, self.why = feed, None
        self.answers = http1.ResponseParser(
            self._on_head, self._on_body, self._on_end, LONGEST_STREAM, until_close=True
        )
        self.events = sse.Events()

    def connectionMade(self):
        feed = self.feed
        feed.heard(self)
        self.transport.writeSequence(
            http1.request(
                b"GET",
                feed.path,
                [
                    (b"Host", f"{feed.host}:{feed.port}".encode()),
                    (b"Accept", b"text/event-stream"),
                    *feed.fields(),
                ],
            )
        )

    def dataReceived(self, data):
        self.feed.heard(self)
        try:
            self.answers.feed(data)
        except (http1.Malformed, sse.Malformed) as wrong:
            self.feed.end(self, wrong.user_message())

    def _on_head(self, answer):
        if answer.status != 200:
            self.feed.refused(answer)
            raise http1.Malformed(f"status {answer.status}")

    def _on_body(self, piece):
        self.feed.pause = FIRST_PAUSE
        for _, data in self.events.feed(piece):
            self.feed.came(self, data)

    def _on_end(self):
        self.transport.loseConnection()

    def connectionLost(self, reason):
        self.feed.went_down(self, self.why or reason.getErrorMessage())


class Way(ClientFactory):
    noisy = False

    def __init__(self, stream):
        self.stream = stream

    def buildProtocol(self, address):
        return self.stream

    def clientConnectionFailed(self, connector, reason):
        self.stream.feed.went_down(self.stream, self.stream.why or reason.getErrorMessage())


class Feed:
    """desk: what is told of events, listed(event) and purged(event). last: the number told so far."""

    path, counted = b"/v1/events", "feed_connections"
    ended = "feed connection ended, a new one follows"

    def __init__(self, reactor, deadlines, desk, address, last, log, count):
        self.reactor, self.deadlines, self.desk, self.log, self.count = reactor, deadlines, desk, log, count
        self.host, self.port = address
        self.last, self.pause = last, FIRST_PAUSE
        self.connector = self.stream = self.patience = None
        self.stopped = False

    def start(self):
        if self.stopped:
            return
        self.count(self.counted)
        self.stream = Stream(self)
        self.patience = self.deadlines.after(UP_WITHIN, self.end, self.stream, "not up in time")
        self.connector = self.reactor.connectTCP(self.host, self.port, Way(self.stream), timeout=None)

    def fields(self):
        """Of the request: from where on."""
        return [(b"Last-Event-ID", b"%d" % self.last)]

    def stop(self):
        self.stopped = True
        self.deadlines.drop(self.patience)
        if self.stream is not None:
            self.end(self.stream, "stopped")

    def move(self, address):
        """The feed is elsewhere now; the numbers go on."""
        if address == (self.host, self.port):
            return
        self.host, self.port = address
        self.pause = FIRST_PAUSE
        if self.stream is not None:
            self.end(self.stream, "the feed has moved")
        elif not self.stopped:
            self.deadlines.drop(self.patience)
            self.start()

    def catch_up(self, events):
        """Events from elsewhere, in order; those that leave numbers out are left to the feed."""
        for event in events:
            if event.n == self.last + 1:
                self._tell(event)

    def refused(self, answer):
        """Another status than 200 came."""

    def heard(self, stream):
        if stream is self.stream:  # a late byte of an old one must not take the next one's timer away
            self.deadlines.drop(self.patience)
            self.patience = self.deadlines.after(SILENCE, self.end, stream, "silent")

    def end(self, stream, why):
        if stream is not self.stream:
            return
        stream.why = why
        if stream.transport is not None:
            stream.transport.abortConnection()
        else:
            self.connector.stopConnecting()

    def went_down(self, stream, why):
        """The one place where a connection, or the way to it, is over."""
        stream.transport = None
        if stream is not self.stream:
            return  # its end was told before
        self.deadlines.drop(self.patience)
        self.stream = self.connector = None
        if not self.stopped:
            self.log(self.ended, why)
            self.patience = self.deadlines.after(self.pause, self.start)
            self.pause = min(LONGEST_PAUSE, 2 * self.pause)

    def came(self, stream, data):
        if stream is not self.stream:
            return
        try:
            event = events.parse_event(data)
        except events.Malformed as wrong:
            self.log("feed sent an event that cannot be read, passed over", f"{wrong}; do: {PASSED_OVER}")
            self.count("feed_malformed")
            return
        if event.n <= self.last:
            return  # told already
        if event.n > self.last + 1:
            self.log("feed left numbers out", f"{event.n} came after {self.last}")
            self.count("feed_gaps")
        self._tell(event)

    def _tell(self, event):
        self.last = event.n
        self.count("feed_events")
        if isinstance(event, events.Listed):
            self.desk.listed(event)
        else:
            self.desk.purged(event)

"""Purges on the network: a follower in memory, and a desk's stream whose follower reads slowly."""

import pytest
from fleet import Net, answer
from purging import SECOND, event, purges, site
from scenes import START_TIME
from twisted.internet.defer import Deferred

from hookrouter.desk.publisher import FollowRequest, Publisher
from hookrouter.desk.stream import READ_TIMEOUT, Stream
from hookrouter.feed.purges import PurgeFeed
from hookrouter.purges import wire
from hookrouter.purges.followers import Followers
from hookrouter.purges.tail import Tail
from hookrouter.purges.types import Position
from hookrouter.tables.deadlines import Deadlines


class Handler:
    """Records the callbacks of a feed."""

    def __init__(self):
        self.applied, self.grants, self.snapshots = [], [], []

    def on_epoch(self, epoch):
        self.epoch = epoch

    def on_purges(self, purges):
        self.applied += [purge.n for purge in purges]

    def on_snapshot(self, purges, newest):
        self.snapshots.append((len(purges), newest))

    def on_grant(self, *grant):
        self.grants.append(grant)

    def acknowledged(self, n):
        return n, n


class FollowerScene:
    def __init__(self, folder):
        self.net, self.handler, self.counted, self.lines = Net(), Handler(), [], []
        self.feed = PurgeFeed(
            self.net,
            Deadlines(self.net),
            self.handler,
            (("127.0.0.1", 9100),),
            site(folder)["purges"],
            "r1",
            lambda *line, **more: self.lines.append(line),
            self.counted.append,
            wall=lambda: START_TIME + self.net.seconds(),
            steady=lambda: int(self.net.seconds() * SECOND),
        )
        self.feed.start()

    def stream(self):
        """The newest feed connection, established and with its response head sent."""
        for way in reversed(self.net.ways):
            if not way.over and hasattr(way.factory, "stream"):
                line = way.up()
                line.asked = line.take()
                line.come(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                return line
        raise AssertionError("no connection")

    def renewals(self):
        """The connection for renewals."""
        self.net.advance(0)
        way = next(way for way in reversed(self.net.ways) if hasattr(way.factory, "connection"))
        return way.wire if way.over else way.up()

    def send(self, line, data):
        line.come(b"%x\r\n%s\r\n" % (len(data), data))


@pytest.mark.parametrize("late", (0.6, None))
def test_renewals_go_on_after_one_whose_answer_came_late_or_never(tmp_path, late):
    s = FollowerScene(tmp_path)
    s.stream()
    line = s.renewals()
    assert line.take().startswith(b"POST /v1/renew")
    for _ in range(round((late or 1.2) * 10)):  # the next one is due meanwhile
        s.net.advance(0.1)
    if late is not None:
        line.come(answer(200, b'{"span":20000,"epoch":5,"at":0,"settling":0}'))
    s.net.advance(0.02)
    assert s.renewals().take().startswith(b"POST /v1/renew")


def test_a_stream_of_purges_is_answered_for_together_and_a_single_one_at_once(tmp_path):
    s = FollowerScene(tmp_path)
    stream = s.stream()
    line, answered = s.renewals(), []

    def answer_renewal():
        asked = line.take()
        if asked:
            answered.append((s.net.seconds(), b'"n":%d,' % s.feed.place.position.n in asked))
            line.come(answer(200, b'{"span":20000,"epoch":5,"at":0,"settling":0}'))

    answer_renewal()
    for _ in range(30):
        s.net.advance(0.01)
    began = s.net.seconds()
    for n in range(1, 65):  # 32 a second for 2 s
        s.send(stream, event("purges", 5, purges=purges(n)))
        for _ in range(3):
            s.net.advance(0.0104)
            answer_renewal()
    times = [at - began for at, _ in answered if at > began]
    assert times[0] < 0.02 and all(now for _, now in answered[1:])
    assert 9 <= len(times) <= 11  # one each 0.2 s of a lease of 2 s
    for _ in range(30):
        s.net.advance(0.01)
        answer_renewal()
    assert s.feed.place.position.n == 64 and answered[-1][1]


def test_events_cut_at_every_byte_repeated_and_out_of_order_are_applied_once_in_order(tmp_path):
    s = FollowerScene(tmp_path)
    line = s.stream()
    assert b"X-Position: 0.0" in line.asked and b"Bearer 0123456789abcdef" in line.asked
    data = (
        event("purges", 5, purges=purges(1, 2))
        + event("purges", 5, purges=purges(2, 3))
        + event("beat", 5, n=3)
    )
    for byte in b"%x\r\n%s\r\n" % (len(data), data):
        line.come(bytes((byte,)))
    assert s.handler.applied == [1, 2, 3]
    s.send(line, event("purges", 5, purges=purges(5)))  # 4 is missing
    s.net.advance(0)
    assert not line.open and s.counted.count("purge_gaps") == 1
    s.net.pump([0.05] * 4)
    line = s.stream()
    assert b"X-Position: 5.3" in line.asked and b"X-Epoch: 5" in line.asked
    s.send(line, event("begin", 6) + event("purges", 6, purges=purges(1, 2, 3)))
    line.abortConnection()  # half a snapshot
    s.net.pump([0.05] * 10)
    line = s.stream()
    s.send(line, event("purges", 6, purges=purges(4, epoch=6)))
    assert s.handler.applied == [1, 2, 3, 4] and s.handler.snapshots == []
    s.send(
        line,
        event("begin", 6) + event("purges", 6, purges=purges(1, 9)) + event("end", 6, n=9, of=6, count=2),
    )
    assert s.handler.snapshots == [(2, (6, 9))]
    s.send(line, event("beat", 5, n=3))  # a former life
    s.net.advance(0)
    assert not line.open


@pytest.mark.parametrize(
    "data",
    [
        b"data: {}\n\n",
        b'data: {"t": "purges", "epoch": "x"}\n\n',
        b"data: \xff\n\n",
        b"data: " + b"[" * 90_000 + b"\n\n",
        b'data: {"t": "purges", "epoch": 5, "purges": [[1]]}\n\n',
        b'data: {"t": "burst", "epoch": 5}\n\n',
    ],
)
def test_what_cannot_be_read_ends_that_connection_and_changes_nothing(tmp_path, data):
    s = FollowerScene(tmp_path)
    line = s.stream()
    s.send(line, data)
    s.net.advance(0)
    assert not line.open and s.handler.applied == [] and "purges_malformed" in s.counted


def test_the_lease_is_renewed_by_what_was_applied_and_counted_from_when_it_was_asked(tmp_path):
    s = FollowerScene(tmp_path)
    line = s.renewals()
    asked = wire.read_renew(line.take().partition(b"\r\n\r\n")[2])
    assert (asked.name, asked.n, asked.seen, asked.relay) == ("r1", 0, 0, False)
    s.net.advance(0.3)
    body = wire.write(wire.Granted(20_000, 5, 77, 40))
    line.come(answer(200, body))
    assert s.handler.grants == [(0, int(START_TIME * SECOND), 20_000, 77)]
    feed = s.stream()
    s.send(feed, event("purges", 5, purges=purges(1, 2)))
    s.net.advance(0.01)
    assert wire.read_renew(line.take().partition(b"\r\n\r\n")[2]).n == 2
    s.send(feed, event("purges", 5, purges=purges(3)))
    s.net.advance(0.1)
    assert line.take() == b""  # one at a time
    line.come(answer(200, wire.write(wire.Granted(20_000, 4, 77, 40))))  # of a former life
    assert len(s.handler.grants) == 1 and "renewals_refused" in s.counted
    s.net.advance(0.5)
    assert wire.read_renew(line.take().partition(b"\r\n\r\n")[2]).n == 3
    line.come(b"HTTP/1.1 garbage\r\n\r\n")
    s.net.advance(0)
    assert "renewals_failed" in s.counted
    s.net.advance(0.6)
    again = s.renewals()
    assert again is not line and again.take()
    s.net.advance(1.1)  # silent: given up
    assert s.counted.count("renewals_failed") == 2
    s.net.pump([0.1] * 6)
    next(way for way in reversed(s.net.ways) if hasattr(way.factory, "connection")).refuse()
    s.net.advance(0)
    assert s.counted.count("renewals_failed") == 3
    s.feed.stop()
    s.net.advance(5)
    assert len(s.feed.deadlines) == 0 and all(way.wire is None or not way.wire.open for way in s.net.ways)


# ---- a stream of the desk whose follower reads slowly


class Request:
    def __init__(self):
        self.written, self.channel, self.aborted = [], self, False

    def registerProducer(self, producer, streaming):
        assert streaming

    def write(self, data):
        self.written.append(data)

    def forceAbortClient(self):
        self.aborted = True

    def notifyFinish(self):
        return Deferred()


class LonePublisher(Publisher):
    def __init__(self, net, recent):
        super().__init__(net, lambda *args, **more: None)
        self.tail, self.followers = Tail(1 << 60, 5, recent=recent, names=recent), Followers(SECOND, 0, 0, 0)
        self.clock, self.names, self.asked = (lambda: 77), set(), []

    def is_stored(self, name, generation):
        self.asked.append(name)
        return name in self.names


def test_no_lease_is_given_before_its_name_would_outlive_a_crash():
    publisher = LonePublisher(Net(), 10)
    asked = wire.Renew("r1", 1, 0, 0, 0, 0, 0, 0)
    assert publisher.renew(asked).span == 0 and publisher.followers.rows == {} and publisher.asked == ["r1"]
    publisher.names.add("r1")
    assert publisher.renew(asked).span == SECOND and list(publisher.followers.rows) == ["r1"]
    assert publisher.renew(wire.Renew("r1", 0, 0, 0, 0, 0, 0, 0)) is None


def test_a_follower_that_knows_a_later_epoch_than_its_relay_comes_again(tmp_path):
    publisher, request = LonePublisher(Net(), 10), Request()
    assert publisher.follow(request, FollowRequest(Position(6, 3), 6, None)) is False
    assert publisher.streams == {} and request.written == []


def test_a_follower_that_does_not_read_holds_no_more_than_it_was_given_and_is_cut(tmp_path):
    net = Net()
    publisher, request = LonePublisher(net, 2_000), Request()
    stream = Stream(publisher, request, 0, None)
    publisher.streams[stream] = True
    stream.pauseProducing()
    for n in range(1, 1_501):
        publisher.tail.add(purges(n)[0])
        publisher.publish()
    assert request.written == []
    stream.resumeProducing()
    net.advance(0)
    got = [row[1] for data in request.written for row in wire.read_event(data[6:]).purges]
    assert got == list(range(1, 1_501)) and max(map(len, request.written)) < 60_000
    stream.pauseProducing()
    net.advance(READ_TIMEOUT + 1)
    stream.heartbeat()
    assert request.aborted and publisher.streams == {}
    late = Stream(publisher, Request(), 100, None)
    for n in range(1_501, 5_000):
        publisher.tail.add(purges(n)[0])
    late.pump()
    assert late.request.aborted  # too far behind: it comes again, for a snapshot

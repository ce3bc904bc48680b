"""The control feed in memory: each event is delivered once, in order, across connections."""

import gc
import json
import weakref

import pytest
from fleet import Net, Noted, endpoint, members
from twisted.internet.error import ConnectError, ConnectionDone
from twisted.python.failure import Failure

from hookrouter import interface
from hookrouter.feed import Feed, read_known
from hookrouter.feed.events import Malformed, parse_event
from hookrouter.tables.deadlines import Deadlines

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


def purge(n, **more):
    return {"n": n, "purge": {"at": 1764576000123, **more}}


def told(event):
    return b"id: %d\ndata: %s\n\n" % (event["n"], json.dumps(event).encode())


class Scene:
    def __init__(self, last=3):
        self.net, self.noted, self.seen = Net(), Noted(), []
        self.caught_up = self.missed = 0
        self.feed = Feed(
            self.net, Deadlines(self.net), self, ("127.0.0.1", 9092), last, self.noted.log, self.noted.count
        )
        self.feed.start()

    def on_cache_list(self, event):
        self.seen.append(event)

    def on_purge(self, event):
        self.seen.append(event)

    def on_caught_up(self):
        self.caught_up += 1

    def on_events_missed(self):
        self.missed += 1

    def numbers(self):
        return [event.number for event in self.seen]


def test_events_become_lists_and_purges():
    s = Scene()
    wire = s.net.ways[0].up()
    assert wire.take().startswith(b"GET /v1/events HTTP/1.1\r\n") and s.feed.last_number == 3
    wire.come(HEAD + told(members(4, endpoint("s-1", 7001, status="leaving", since=1764576000000))))
    wire.come(told(purge(5, key="7f3a")) + told(purge(6, group=17)) + b": comment\n\n")
    listed, by_key, by_group = s.seen
    assert listed.caches == (interface.Cache("s-1", "edge", 0, 8, 17645760000000, interface.DRAINING, "box"),)
    assert listed.addresses == (("127.0.0.1", 7001),) and not listed.snapshot
    assert (by_key.object, by_key.purged_at) == ("7f3a", 17645760001230) and (
        by_group.object,
        by_group.group,
    ) == (
        None,
        17,
    )


def test_a_new_connection_goes_on_where_the_last_one_ended():
    s = Scene()
    wire = s.net.ways[0].up()
    wire.come(HEAD + told(purge(4, group=1)) + told(purge(5, group=1))[:20])
    wire.abortConnection()
    s.net.pump([0, 0.05])
    wire = s.net.ways[1].up()
    assert b"Last-Event-ID: 4\r\n" in wire.take()
    wire.come(HEAD + told(purge(4, group=1)) + told(purge(5, group=1)) + told(purge(5, group=1)))
    assert s.numbers() == [4, 5]


def test_silence_is_an_end_and_comments_are_not():
    s = Scene()
    wire = s.net.ways[0].up()
    wire.come(HEAD)
    for _ in range(10):
        s.net.advance(1)
        wire.come(b":\n\n")
    assert wire.open and len(s.net.ways) == 1
    s.net.pump([1, 0.9, 0, 0.05])  # its events count as delivered 4 s after it falls silent
    assert not wire.open and len(s.net.ways) == 2


def test_a_feed_that_is_gone_is_tried_again_soon_but_not_in_a_rush():
    s = Scene()
    for _ in range(100):
        if not s.net.ways[-1].over:
            s.net.ways[-1].refuse()
        s.net.advance(0.1)
    assert 20 < len(s.net.ways) < 35
    s.net.ways[-1].over or s.net.ways[-1].refuse()
    s.net.advance(1)
    s.net.pump([0.5, 0.5, 0, 1])  # never connected
    assert s.net.ways[-2].over and not s.net.ways[-1].over


@pytest.mark.parametrize(
    "garbage", [b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", b"junk\r\n\r\n", b"x" * 20_000]
)
def test_what_is_no_stream_of_events_leads_to_a_new_connection(garbage):
    s = Scene()
    s.net.ways[0].up().come(garbage)
    s.net.pump([0, 0.05])
    assert len(s.net.ways) == 2 and s.noted.lines


@pytest.mark.parametrize(
    "data",
    [
        b"{",
        b"[]",
        b"[" * 100_000,
        b'{"n":4}',
        b'{"n":"4","purge":{"at":1,"group":1}}',
        b'{"n":4,"purge":{"group":1}}',
        b'{"n":4,"members":{"snapshot":true,"endpoints":[7]}}',
        b"\xff\xfe",
        json.dumps(members(4, {**endpoint("a", 1), "address": "nowhere"})).encode(),
        json.dumps(members(4, {**endpoint("a", 1), "status": "odd"})).encode(),
    ],
)
def test_an_event_that_cannot_be_read_is_passed_over_without_losing_the_place(data):
    s = Scene()
    wire = s.net.ways[0].up()
    wire.come(HEAD + b"data: " + data + b"\n\n" + told(purge(4, group=1)))
    assert s.numbers() == [4] and "feed_malformed" in s.noted.counted and wire.open
    with pytest.raises(Malformed):
        parse_event(data)


def test_a_feed_that_moves_is_followed_there_with_the_numbers_going_on():
    s = Scene()
    old = s.net.ways[0].up()
    old.come(HEAD + told(purge(4, group=1)))
    s.feed.move(("127.0.0.1", 9092))
    assert old.open  # the address is the same
    s.feed.move(("127.0.0.1", 9093))
    s.net.pump([0, 0.05])
    new = s.net.ways[-1]
    assert not old.open and new.port == 9093 and b"Last-Event-ID: 4\r\n" in new.up().take()
    new.wire.come(HEAD + told(purge(4, group=1)) + told(purge(5, group=1)))
    new.wire.abortConnection()
    s.net.advance(0)
    s.feed.move(("127.0.0.1", 9094))  # between two connections: at once
    assert s.net.ways[-1].port == 9094 and s.numbers() == [4, 5]
    s.feed.stop()
    s.net.advance(5)
    assert len(s.feed.deadlines) == 0


def test_events_from_elsewhere_are_told_only_where_they_follow():
    s = Scene()
    _, events = read_known({"n": 9, "events": [purge(n, group=1) for n in (2, 3, 4, 5, 8, 9)]})
    s.feed.apply_known(events)
    s.net.ways[0].up().come(HEAD + told(purge(5, group=1)) + told(purge(6, group=1)))
    assert s.numbers() == [4, 5, 6]


def test_after_stop_nothing_follows():
    s = Scene()
    s.net.ways[0].up()
    s.feed.stop()
    s.net.pump([0, 1, 5])
    assert len(s.net.ways) == 1 and len(s.feed.deadlines) == 0


def test_the_known_events_come_with_their_last_number():
    last, events = read_known(
        {"n": 2, "events": [members(1, endpoint("a", 7001), whole=True), purge(2, key="ab")]}
    )
    assert last == 2 and [event.number for event in events] == [1, 2] and events[0].snapshot


def test_a_late_byte_of_an_old_stream_takes_the_next_ones_timer_not_away():
    s = Scene()
    old = s.net.ways[0].up()
    stream = old.protocol
    s.feed.abort(stream, "silent")
    s.net.advance(0)
    stream.feed.on_activity(stream)
    s.net.advance(0.05)
    assert len(s.net.ways) == 2
    stream.feed.on_activity(stream)
    s.net.advance(1)
    assert s.net.ways[1].over  # it had a second to come up


def test_half_an_event_of_a_feed_that_is_gone_stays_in_memory_until_no_collection():
    s = Scene()
    gc.collect()
    gc.disable()
    try:
        wire = s.net.ways[0].up()
        wire.come(HEAD + b"data: " + b"x" * 100_000)
        parser = weakref.ref(wire.protocol.events)
        wire.abortConnection()
        s.net.advance(0)
        assert parser() is None
    finally:
        gc.enable()


def test_a_connection_that_ended_while_it_was_established_is_logged_without_a_traceback():
    s = Scene()
    way = s.net.ways[0]
    way.factory.clientConnectionFailed(way, Failure(ConnectError(string=Failure(ConnectionDone()))))
    ((event, text),) = s.noted.lines
    assert event.startswith("feed connection ended") and text == "Connection was closed cleanly."

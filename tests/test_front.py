"""Client connections in memory: each call answered once, whatever else comes."""

from fleet import Net, Noted, Wire, answers, message

from hookrouter.front import Front
from hookrouter.parsers import thrift
from hookrouter.tables.deadlines import Deadlines
from hookrouter.tables.room import Room


class Desk:
    def __init__(self):
        self.calls, self.gone, self.good = [], [], True

    def taken(self, call, asked):
        self.calls.append((call, asked))

    def left(self, call):
        self.gone.append(call)

    def ready(self):
        return self.good


class Port:
    connected, reading = True, True

    def stopReading(self):
        self.reading = False

    def startReading(self):
        self.reading = True


class Scene:
    def __init__(self, most=4, room=10_000):
        self.net, self.desk, self.noted, self.room = Net(), Desk(), Noted(), Room(room, lambda: self.noted.count("room_filled"))
        self.front = Front(self.desk, Deadlines(self.net), self.room, most, 15.0, self.noted.log, self.noted.count)
        self.front.port = Port()

    def client(self):
        return Wire(self.net).join(self.front.buildProtocol(None))


def test_calls_are_read_as_put_and_answered_once_in_any_order():
    s = Scene()
    wire = s.client()
    wire.come(message(1, dup="1", replay="5c0f", have="4be0") + message(2, body=b"\x00\r\n"))
    wire.come(message(3) + message(4))
    (first, asked), (second, other) = s.desk.calls[:2]
    assert asked.trace == f"{1:016x}" and (asked.kind, asked.allow, asked.part, asked.group) == ("clip", 15_000, 3, 17)
    assert (asked.repeat, asked.key, asked.seen, asked.size) == (True, "5c0f", "4be0", 412.5)
    assert (other.repeat, other.key, other.seen, other.body) == (False, None, None, b"\x00\r\n")
    s.front.satisfied(second, (b"ab", b"\x00c"), 4)
    s.front.nacked(s.desk.calls[2][0], 2505)
    s.front.unchanged(first)
    s.front.failed(s.desk.calls[3][0])
    for call, _ in s.desk.calls:
        s.front.failed(call)  # answered already: goes nowhere
    assert answers(wire.take()) == {
        2: (thrift.REPLY, {0: {1: b"ab\x00c", 2: {}, 3: True}}), 3: (thrift.REPLY, {1: {1: {b"cooldown": b"250"}}}),
        1: (thrift.REPLY, {0: {1: b"", 2: {b"same": b"1"}, 3: True}}), 4: (thrift.REPLY, {2: {1: {}}})}
    assert s.room.held == 0


def test_check_tells_whether_lookups_can_be_served():
    s = Scene()
    wire = s.client()
    wire.come(message(1, b"check"))
    s.desk.good = False
    wire.come(message(2, b"check"))
    assert [a[1][0][3] for a in answers(wire.take()).values()] == [True, False]


def test_no_answer_after_an_interrupt():
    s = Scene()
    wire = s.client()
    wire.come(message(1, body=b"x" * 100) + message(2, b"interrupt", interrupted=1) + message(3, b"interrupt", interrupted=9))
    s.front.satisfied(s.desk.calls[0][0], (b"x",), 1)
    assert s.desk.gone == [s.desk.calls[0][0]] and wire.take() == b"" and s.room.held == 0


def test_bad_calls_get_their_failure_and_the_others_go_on():
    s = Scene()
    wire = s.client()
    for n, fields in enumerate(({"ref": None}, {"allow": "soon"}, {"allow": "-1"}, {"allow": "nan"}, {"lookup": "../x"},
                                {"part": "x"}, {"have": "a\r\nX-Do: held"}, {"service": None}, {"ref": "\u00e9"})):
        wire.come(message(n, **fields))
        assert answers(wire.take())[n][1].keys() == {2}
    wire.come(message(20, b"destroy"))
    assert answers(wire.take())[20] == (thrift.EXCEPTION, {1: b"unknown method", 2: thrift.UNKNOWN_METHOD})
    deep = thrift.field(thrift.STRUCT, 1) * 50 + b"\x00" * 51
    wire.come(b"".join(thrift.message(thrift.CALL, b"execute", 21, deep)))
    assert answers(wire.take())[21][1][2] == thrift.PROTOCOL_ERROR
    wire.come(b"".join(thrift.message(thrift.CALL, b"execute", 22, b"\x00")))
    assert answers(wire.take())[22][1].keys() == {2}
    assert s.desk.calls == [] and wire.open
    wire.come(message(23))
    assert len(s.desk.calls) == 1


def test_a_sequence_number_that_is_open_is_not_answered_twice():
    s = Scene()
    wire = s.client()
    wire.come(message(1) + message(1) + message(1, b"check"))
    assert len(s.desk.calls) == 1 and wire.take() == b""
    s.front.failed(s.desk.calls[0][0])
    assert len(answers(wire.take())) == 1


def test_more_calls_open_than_allowed_are_refused_at_once():
    s = Scene()
    wire = s.client()
    wire.come(b"".join(message(n) for n in range(1, 34)))
    assert len(s.desk.calls) == 32 and list(answers(wire.take())) == [33]


def test_garbage_ends_that_connection_only_and_its_calls_are_given_up():
    s = Scene()
    wire, other = s.client(), s.client()
    wire.come(message(1, body=b"x"))
    other.come(message(1))
    wire.come(b"\xff" * 50)
    s.net.advance(0)
    assert not wire.open and other.open and s.desk.gone == [s.desk.calls[0][0]]
    assert len(s.front.connections) == 1 and s.room.held == 0
    s.front.satisfied(s.desk.calls[0][0], (b"x",), 1)
    s.front.failed(s.desk.calls[1][0])
    assert wire.take() == b"" and len(answers(other.take())) == 1
    s.front.failed((s.desk.calls[0][0][0], 1))  # the slot's next owner never meets an answer for the last
    fresh = s.client()
    fresh.come(message(1))
    s.front.satisfied(s.desk.calls[0][0], (b"x",), 1)
    assert fresh.take() == b""


def test_clients_hold_no_more_than_their_descriptors():
    s = Scene(most=2)
    first, second = s.client(), s.client()
    assert not s.front.port.reading
    third = s.client()  # one that was accepted in the same turn
    s.net.advance(0)
    assert not third.open and second.open and len(s.front.connections) == 2
    first.abortConnection()
    s.net.advance(0)
    assert s.front.port.reading and len(s.front.connections) == 1


def test_a_client_that_does_not_read_is_not_read_from_and_ends():
    s = Scene()
    wire = s.client()
    wire.come(message(1) + message(2))
    wire.producer.pauseProducing()  # the transport's buffer is long
    s.front.satisfied(s.desk.calls[0][0], (b"x" * 5000,), 5000)
    assert wire.producerState == "paused" and s.room.held > 5000
    wire.producer.pauseProducing()  # as at each write beyond it
    wire.producer.resumeProducing()
    assert wire.producerState == "producing" and s.room.held == 0
    s.net.pump([9, 0.9])
    wire.producer.pauseProducing()
    s.net.advance(1)
    assert wire.open  # it had read all: that it waited before is forgotten
    s.front.satisfied(s.desk.calls[1][0], (b"x" * 5000,), 5000)
    s.net.pump([5, 5, 0])
    assert not wire.open and s.room.held == 0 and "clients_not_reading" in s.noted.counted


def test_no_more_is_read_while_bodies_fill_the_room():
    s = Scene(room=100)
    wire, late = s.client(), s.client()
    wire.come(message(1, body=b"x" * 200))
    late.come(message(1))
    assert wire.producerState == late.producerState == "paused"
    s.front.failed(s.desk.calls[0][0])
    assert wire.producerState == late.producerState == "producing"


def test_connections_without_calls_end_after_the_idle_time_the_others_stay():
    s = Scene()
    idle, busy = s.client(), s.client()
    busy.come(message(1))
    s.net.pump([10, 10, 15])
    assert not idle.open and idle.producer is None and busy.open  # a producer would hold the end up
    s.front.failed(s.desk.calls[0][0])
    s.net.pump([20, 20])
    assert not busy.open and len(s.front.connections) == 0

"""Input of caches, feed and signals at the moment when something else ends, on real sockets."""

import pytest
from crossings import ATTEMPT_TIMEOUT, CACHES, CALL, FIRST, RouterMachine, event, sockets_for
from fleet import answer, endpoint, members, message

from hookrouter.caches.idle import REST_DURATION

KEYED = {"hold": {"dedup_duration": 7_000}}  # a repeat may start within 0.7 s, less 50 ms


# ---- a repeat of a deduplicated lookup is written within its window or never


def broken_at(machine, seconds):
    """A deduplicated call whose attempt breaks so many seconds after it was sent."""
    client = machine.client()
    client.send(message(8, ref=CALL, service="hold", replay="ab12", allow="4000"))
    machine.until(machine.unanswered)
    machine.advance(seconds)
    return client


@pytest.mark.parametrize(
    "after, paused, written", [(0.02, False, True), (0.2, False, False), (0.2, True, False)]
)
def test_a_repeat_whose_dial_comes_up_past_its_window_is_never_written(tmp_path, after, paused, written):
    with RouterMachine(tmp_path, kinds=KEYED) as machine:
        client = broken_at(machine, 0.6)
        machine.reactor.held_ports = {machine.caches["o0"].port}
        machine.unanswered()[0].reset()
        machine.turns()
        assert machine.counters.values["sends_broken"] == 1 and machine.gauges()["sends_out"] == 1
        machine.pause(after) if paused else machine.advance(after)
        machine.reactor.held_ports = set()
        machine.turns()
        assert machine.attempts(CALL) == ["o0"] * (1 + written)
        if not written:
            machine.advance(3.5, 0.05)
            assert machine.attempts(CALL) == ["o0"] and client.answers()[8][1].keys() in ({1}, {2})


@pytest.mark.parametrize("freed_at, written", [(0.62, True), (0.85, False)])
def test_a_repeat_that_gets_a_descriptor_past_its_window_is_never_written(tmp_path, freed_at, written):
    with RouterMachine(tmp_path, kinds=KEYED, sockets=sockets_for(caches=1)) as machine:
        client, other = broken_at(machine, 0.55), machine.client()
        other.send(message(1, ref="b" * 16))
        machine.until(lambda: machine.gauges()["sends_waiting"] == 1)
        machine.answer(b"", status=500)  # it may have run; the waiting send goes first
        machine.until(lambda: machine.unanswered() and machine.gauges()["sends_waiting"] == 1)
        machine.advance(freed_at - machine.reactor.now)
        other.send(message(2, b"interrupt", interrupted=1))
        machine.turns()
        assert machine.attempts(CALL) == ["o0"] * (1 + written)
        if not written:
            machine.advance(3.5, 0.05)
            assert machine.attempts(CALL) == ["o0"] and client.answers()[8][1].keys() in ({1}, {2})


# ---- responses of caches


@pytest.mark.parametrize("end", ["fin", "reset"])
@pytest.mark.parametrize("cut", [7, 20, -1, -30])
def test_an_answer_cut_short_goes_to_nobody_and_the_further_ones_does(tmp_path, end, cut):
    with RouterMachine(tmp_path) as machine:
        client, said = machine.client(), answer(200, b"half" * 20)
        client.send(message(8, ref=CALL, allow="4000"))
        machine.until(machine.unanswered)
        peer = machine.unanswered()[0]
        for byte in said[:cut]:
            peer.send(bytes([byte]))
            machine.reads()
        getattr(peer, end)()
        machine.until(lambda: len(machine.attempts(CALL)) == 2)
        machine.answer(b"whole")
        machine.until(lambda: 8 in client.answers())
        assert client.body(8) == b"whole" and machine.counters.values["sends_broken"] == 1


def test_an_answer_that_never_ends_is_over_with_its_attempt(tmp_path):
    with RouterMachine(tmp_path) as machine:
        client = machine.client()
        client.send(message(8, ref=CALL, allow="4000"))
        machine.until(machine.unanswered)
        peer = machine.unanswered()[0]
        peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while peer.read() and peer.end is None:
            peer.send(b"1\r\nx\r\n")
            machine.advance(0.05, 0.05)
            assert machine.reactor.now < ATTEMPT_TIMEOUT
        machine.until(lambda: len(machine.attempts(CALL)) == 2)
        machine.answer(b"whole")
        machine.until(lambda: 8 in client.answers())
        assert client.body(8) == b"whole" and machine.gauges()["body_bytes_held"] == 0


def test_of_two_answers_at_once_the_second_reaches_nobody(tmp_path):
    with RouterMachine(tmp_path) as machine:
        client = machine.client()
        client.send(message(8, ref=CALL))
        peer = machine.answer(b"first")
        machine.until(lambda: 8 in client.answers())
        machine.advance(2 * REST_DURATION)
        client.send(message(9, ref="d" * 16))
        machine.until(lambda: len(machine.unanswered()) == 1)
        assert machine.unanswered() == [peer]  # the same connection
        peer.answered += 1
        peer.send(answer(200, b"second") + answer(200, b"third"))
        machine.until(lambda: 9 in client.answers())
        client.send(message(10, ref="e" * 16))
        fresh = machine.answer(b"fourth")
        machine.until(lambda: 10 in client.answers())
        assert [client.body(n) for n in (8, 9, 10)] == [b"first", b"second", b"fourth"]
        assert fresh is not peer and peer.end


@FIRST
@pytest.mark.parametrize("late", [b"H", answer(200, b"old")], ids=["a byte", "an answer"])
@pytest.mark.parametrize("over", ["interrupt", "interrupt unread", "deadline"])
def test_what_comes_for_an_attempt_that_is_given_up_reaches_no_other_call(tmp_path, first, late, over):
    with RouterMachine(tmp_path) as machine:
        client = machine.client()
        client.send(message(8, ref=CALL, allow="4000"))
        machine.until(machine.unanswered)
        peer, machine.reactor.first = machine.unanswered()[0], first
        if over == "deadline":
            machine.pause(ATTEMPT_TIMEOUT)
            machine.timers()
        else:
            machine.end_unread(client, "interrupt")
            if over == "interrupt":
                machine.reads()
        peer.send(late)
        machine.turns()
        peer.read()
        if over == "interrupt unread" and first is CACHES and 8 in client.answers():
            assert client.body(8) == b"old"  # it arrived in time, and does no harm
            return
        assert peer.end and 8 not in client.answers()
        if over != "deadline":
            client.send(message(10, ref="d" * 16))
        assert machine.answer(b"new") is not peer
        machine.until(client.answers)
        assert {number: client.body(number) for number in client.answers()} == {
            8 if over == "deadline" else 10: b"new"
        }


@FIRST
@pytest.mark.parametrize("end", ["fin", "reset", "byte"])
@pytest.mark.parametrize("unread", [False, True])
def test_an_idle_connection_that_ended_long_after_costs_no_attempt(tmp_path, first, end, unread):
    with RouterMachine(tmp_path) as machine:
        client = machine.client()
        client.send(message(1, ref="b" * 16))
        peer = machine.answer(b"x")
        machine.until(lambda: 1 in client.answers())
        machine.advance(5, 0.1)
        machine.reactor.first = first
        if end == "byte":
            peer.send(b"H")
        else:
            getattr(peer, end)()
        if not unread:
            machine.turns()
        client.send(message(8, ref=CALL))
        assert machine.answer(b"y") is not peer
        machine.until(lambda: 8 in client.answers())
        assert machine.attempts(CALL) == ["c0"] and machine.counters.values["sends_broken"] == 0


@FIRST
@pytest.mark.parametrize("status", ["left", "leaving", "another at its address"])
def test_a_list_that_comes_while_an_attempt_is_out_or_waits_for_its_dial(tmp_path, first, status):
    """No attempt starts at a cache that has gone; an active one may still be answered."""
    with RouterMachine(tmp_path) as machine:
        client, feed = machine.client(), machine.start_feed()
        machine.reactor.first = first
        client.send(message(8, ref=CALL, allow="4000"))
        machine.until(machine.unanswered)
        port = machine.caches["c0"].port
        rows = (
            [endpoint("c0", port, status="left"), endpoint("c9", port)]
            if status.startswith("another")
            else [endpoint("c0", port, status=status)]
        )
        feed.send(event(members(2, *rows)))
        machine.turns()
        client.send(message(9, ref="d" * 16))
        machine.until(lambda: machine.attempts("d" * 16))
        assert machine.attempts("d" * 16) == (["c0"] if status.startswith("another") else ["p0"])
        for peer in machine.unanswered():
            peer.answered += 1
            peer.send(answer(200, b"8" if CALL.encode() in peer.got else b"9"))
        machine.until(lambda: len(client.answers()) == 2)
        assert (client.body(8), client.body(9)) == (b"8", b"9")

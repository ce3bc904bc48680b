"""What caches, the feed and signals do in the moment in which something else ends, on real sockets."""

import pytest
from crossings import ATTEMPT, CACHES, CALL, FIRST, Machine, event, sockets_for
from fleet import answer, endpoint, members, message

KEYED = {"hold": {"dedup_duration": 7_000}}  # 0.7 s for a repeat, less 50 ms


# ---- a repeat of a keyed class leaves in its window or never


def broken_at(m, seconds):
    """A keyed call whose attempt was broken that long after it left."""
    client = m.client()
    client.send(message(8, ref=CALL, service="hold", replay="ab12", allow="4000"))
    m.until(m.asking)
    m.advance(seconds)
    return client


@pytest.mark.parametrize(
    "after, paused, written", [(0.02, False, True), (0.2, False, False), (0.2, True, False)]
)
def test_a_repeat_whose_dial_comes_up_past_its_window_is_never_written(tmp_path, after, paused, written):
    with Machine(tmp_path, kinds=KEYED) as m:
        client = broken_at(m, 0.6)
        m.reactor.held_ports = {m.caches["o0"].port}
        m.asking()[0].reset()
        m.turns()
        assert m.counters.values["sends_broken"] == 1 and m.held()["sends_out"] == 1
        m.pause(after) if paused else m.advance(after)
        m.reactor.held_ports = set()
        m.turns()
        assert m.asked(CALL) == ["o0"] * (1 + written)
        if not written:
            m.advance(3.5, 0.05)
            assert m.asked(CALL) == ["o0"] and client.answers()[8][1].keys() in ({1}, {2})


@pytest.mark.parametrize("freed_at, written", [(0.62, True), (0.85, False)])
def test_a_repeat_that_gets_a_descriptor_past_its_window_is_never_written(tmp_path, freed_at, written):
    with Machine(tmp_path, kinds=KEYED, sockets=sockets_for(caches=1)) as m:
        client, other = broken_at(m, 0.55), m.client()
        other.send(message(1, ref="b" * 16))
        m.until(lambda: m.held()["sends_waiting"] == 1)
        m.answer(b"", status=500)  # it may have run; who waits comes first
        m.until(lambda: m.asking() and m.held()["sends_waiting"] == 1)
        m.advance(freed_at - m.reactor.now)
        other.send(message(2, b"interrupt", interrupted=1))
        m.turns()
        assert m.asked(CALL) == ["o0"] * (1 + written)
        if not written:
            m.advance(3.5, 0.05)
            assert m.asked(CALL) == ["o0"] and client.answers()[8][1].keys() in ({1}, {2})


# ---- answers of caches


@pytest.mark.parametrize("end", ["fin", "reset"])
@pytest.mark.parametrize("cut", [7, 20, -1, -30])
def test_an_answer_cut_short_goes_to_nobody_and_the_further_ones_does(tmp_path, end, cut):
    with Machine(tmp_path) as m:
        client, said = m.client(), answer(200, b"half" * 20)
        client.send(message(8, ref=CALL, allow="4000"))
        m.until(m.asking)
        peer = m.asking()[0]
        for byte in said[:cut]:
            peer.send(bytes([byte]))
            m.reads()
        getattr(peer, end)()
        m.until(lambda: len(m.asked(CALL)) == 2)
        m.answer(b"whole")
        m.until(lambda: 8 in client.answers())
        assert client.body(8) == b"whole" and m.counters.values["sends_broken"] == 1


def test_an_answer_that_never_ends_is_over_with_its_attempt(tmp_path):
    with Machine(tmp_path) as m:
        client = m.client()
        client.send(message(8, ref=CALL, allow="4000"))
        m.until(m.asking)
        peer = m.asking()[0]
        peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while peer.read() and peer.end is None:
            peer.send(b"1\r\nx\r\n")
            m.advance(0.05, 0.05)
            assert m.reactor.now < ATTEMPT
        m.until(lambda: len(m.asked(CALL)) == 2)
        m.answer(b"whole")
        m.until(lambda: 8 in client.answers())
        assert client.body(8) == b"whole" and m.held()["body_bytes_held"] == 0


def test_of_two_answers_at_once_the_second_reaches_nobody(tmp_path):
    with Machine(tmp_path) as m:
        client = m.client()
        client.send(message(8, ref=CALL))
        peer = m.answer(b"first")
        m.until(lambda: 8 in client.answers())
        client.send(message(9, ref="d" * 16))
        m.until(lambda: len(m.asking()) == 1)
        assert m.asking() == [peer]  # the same connection
        peer.answered += 1
        peer.send(answer(200, b"second") + answer(200, b"third"))
        m.until(lambda: 9 in client.answers())
        client.send(message(10, ref="e" * 16))
        fresh = m.answer(b"fourth")
        m.until(lambda: 10 in client.answers())
        assert [client.body(n) for n in (8, 9, 10)] == [b"first", b"second", b"fourth"]
        assert fresh is not peer and peer.end


@FIRST
@pytest.mark.parametrize("late", [b"H", answer(200, b"old")], ids=["a byte", "an answer"])
@pytest.mark.parametrize("over", ["interrupt", "interrupt unread", "deadline"])
def test_what_comes_for_an_attempt_that_is_given_up_reaches_no_other_call(tmp_path, first, late, over):
    with Machine(tmp_path) as m:
        client = m.client()
        client.send(message(8, ref=CALL, allow="4000"))
        m.until(m.asking)
        peer, m.reactor.first = m.asking()[0], first
        if over == "deadline":
            m.pause(ATTEMPT)
            m.timers()
        else:
            m.ends(client, "interrupt")
            if over == "interrupt":
                m.reads()
        peer.send(late)
        m.turns()
        peer.read()
        if over == "interrupt unread" and first is CACHES and 8 in client.answers():
            assert client.body(8) == b"old"  # it came in time: owed no more, and harmless
            return
        assert peer.end and 8 not in client.answers()
        if over != "deadline":
            client.send(message(10, ref="d" * 16))
        assert m.answer(b"new") is not peer
        m.until(client.answers)
        assert {number: client.body(number) for number in client.answers()} == {
            8 if over == "deadline" else 10: b"new"
        }


@FIRST
@pytest.mark.parametrize("end", ["fin", "reset", "byte"])
@pytest.mark.parametrize("unread", [False, True])
def test_an_idle_connection_that_ended_long_after_costs_no_attempt(tmp_path, first, end, unread):
    with Machine(tmp_path) as m:
        client = m.client()
        client.send(message(1, ref="b" * 16))
        peer = m.answer(b"x")
        m.until(lambda: 1 in client.answers())
        m.advance(5, 0.1)
        m.reactor.first = first
        if end == "byte":
            peer.send(b"H")
        else:
            getattr(peer, end)()
        if not unread:
            m.turns()
        client.send(message(8, ref=CALL))
        assert m.answer(b"y") is not peer
        m.until(lambda: 8 in client.answers())
        assert m.asked(CALL) == ["c0"] and m.counters.values["sends_broken"] == 0


@FIRST
@pytest.mark.parametrize("status", ["left", "leaving", "another at its address"])
def test_a_list_that_comes_while_an_attempt_is_out_or_waits_for_its_dial(tmp_path, first, status):
    """One that has gone is begun no attempt for; what is out at it may still be answered."""
    with Machine(tmp_path) as m:
        client, feed = m.client(), m.follow()
        m.reactor.first = first
        client.send(message(8, ref=CALL, allow="4000"))
        m.until(m.asking)
        port = m.caches["c0"].port
        rows = (
            [endpoint("c0", port, status="left"), endpoint("c9", port)]
            if status.startswith("another")
            else [endpoint("c0", port, status=status)]
        )
        feed.send(event(members(2, *rows)))
        m.turns()
        client.send(message(9, ref="d" * 16))
        m.until(lambda: m.asked("d" * 16))
        assert m.asked("d" * 16) == (["c0"] if status.startswith("another") else ["p0"])
        for peer in m.asking():
            peer.answered += 1
            peer.send(answer(200, b"8" if CALL.encode() in peer.got else b"9"))
        m.until(lambda: len(client.answers()) == 2)
        assert (client.body(8), client.body(9)) == (b"8", b"9")

"""What clients do in the moment in which something else ends, on real sockets; crossings.py forces the order."""

import socket

import pytest
from crossings import ATTEMPT, CALL, FIRST, Machine, sockets_for
from fleet import answer, message

ENDS = ("fin", "reset", "interrupt")
BEHIND = pytest.mark.parametrize("behind", [0, 4])


# ---- a client that has gone: no attempt begins once the router could have read it


@FIRST
@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("reads", ["one", "two"])
@pytest.mark.parametrize("dial", ["warm", "new"])
def test_a_call_and_its_end_that_both_lie_unread_begin_no_attempt(tmp_path, first, how, reads, dial):
    with Machine(tmp_path) as m:
        client = m.warm() if dial == "warm" else m.client()
        m.reactor.first, call = first, message(8, ref=CALL)
        if reads == "two":
            client.transport.bufferSize = len(call)  # the read ends with the call
        client.send(call)
        m.ends(client, how)
        m.turns()
        assert m.asked(CALL) == []
        m.nothing_is_owed()


@FIRST
@BEHIND
@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("over", ["late", "not up", "second copy"])
def test_what_is_over_before_the_clients_end_is_read_begins_no_further_attempt(
    tmp_path, first, how, behind, over
):
    with Machine(tmp_path, {"may_duplicate": over == "second copy"}) as m:
        client, before = attempt_out(m, over)
        m.reactor.first = first
        m.pause(0.5 if over == "not up" else ATTEMPT)
        m.ends(client, how, behind=behind)
        m.turns()
        assert m.asked(CALL) == before
        m.nothing_is_owed()


@pytest.mark.parametrize("over", ["late", "not up", "second copy"])
def test_what_is_over_begins_a_further_attempt_where_the_client_waits(tmp_path, over):
    """Else the test above would show nothing."""
    with Machine(tmp_path, {"may_duplicate": over == "second copy"}) as m:
        _, before = attempt_out(m, over)
        m.pause(0.5 if over == "not up" else ATTEMPT)
        m.turns()
        assert m.asked(CALL) == [*before, "p0"]


def attempt_out(m, over):
    """A client whose attempt is out, or waits for its dial; the next can go at once over an idle connection."""
    client = m.warm(*[b"Connection: close"] * (over == "not up"))
    if over == "not up":
        m.reactor.held_ports = {m.caches["c0"].port}
    client.send(message(8, ref=CALL, allow="4000"))
    m.until(lambda: m.held()["sends_out"])
    m.turns()
    return client, [] if over == "not up" else ["c0"]


@BEHIND
@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("attempt", ["first", "further"])
def test_a_dial_that_comes_up_before_the_clients_end_is_read_gets_no_request(tmp_path, how, behind, attempt):
    with Machine(tmp_path) as m:
        client, ports, before = m.client(), {cache.port for cache in m.caches.values()}, []
        m.reactor.held_ports = ports if attempt == "first" else ports - {m.caches["c0"].port}
        client.send(message(8, ref=CALL, allow="4000"))
        if attempt == "further":
            m.until(m.asking)
            m.asking()[0].reset()
            before = ["c0"]
        m.until(lambda: m.counters.values["connections"] == 1 + len(before))
        m.turns()
        m.ends(client, how, behind=behind)
        m.reactor.held_ports = set()
        m.turns()
        assert m.asked(CALL) == before
        m.nothing_is_owed()


def waiting_for_a_descriptor(tmp_path, **terms):
    """A machine whose one connection to caches is busy, and a client whose attempt waits for it."""
    m = Machine(tmp_path, terms, sockets=sockets_for(caches=1))
    other, client = m.client(), m.client()
    other.send(message(1, ref="b" * 16))
    m.until(m.asking)
    client.send(message(8, ref=CALL))
    m.until(lambda: m.held()["sends_waiting"] == 1)
    return m, client


@BEHIND
@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("freed", ["answered", "closed", "reset"])
def test_a_connection_that_gets_free_before_the_clients_end_is_read_gets_no_request(
    tmp_path, how, behind, freed
):
    m, client = waiting_for_a_descriptor(tmp_path)
    with m:
        m.ends(client, how, behind=behind)
        if freed == "reset":
            m.asking()[0].reset()
        else:
            m.answer(b"x", *[b"Connection: close"] * (freed == "closed"))
        m.turns()
        assert m.asked(CALL) == [] and m.held()["sends_waiting"] == 0


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("waits", ["dial", "descriptor"])
def test_an_attempt_that_waits_is_withdrawn_with_its_client_also_where_none_may_be_cancelled(
    tmp_path, how, waits
):
    if waits == "descriptor":
        m, client = waiting_for_a_descriptor(tmp_path, may_cancel=False)
    else:
        m = Machine(tmp_path, {"may_cancel": False})
        client, m.reactor.held_ports = m.client(), {cache.port for cache in m.caches.values()}
        client.send(message(8, ref=CALL))
        m.until(lambda: m.held()["sends_out"] == 1)
    with m:
        m.ends(client, how)
        m.turns()  # the end is read
        m.reactor.held_ports = set()
        if waits == "descriptor":
            m.answer(b"x")
        m.turns()
        assert m.asked(CALL) == []
        m.nothing_is_owed()


@pytest.mark.parametrize("how", ["fin", "interrupt"])
def test_the_end_of_a_client_that_does_not_read_its_answers_is_seen_at_once(tmp_path, how):
    with Machine(tmp_path) as m:
        client = m.client(rcvbuf=4096)
        client.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.send(message(7, ref="b" * 16, part="2") + message(8, ref=CALL, allow="4000"))
        m.until(lambda: len(m.asking()) == 2)
        next(peer for peer in m.asking() if b"/2 " in peer.got).send(answer(200, b"x" * 240_000))
        m.until(lambda: m.held()["lookups_held"] == 1)
        m.turns()
        m.ends(client, how)
        m.turns()
        assert m.held()["lookups_held"] == 0
        m.pause(ATTEMPT)
        m.turns()
        assert m.asked(CALL) == ["c0"]


@pytest.mark.parametrize("how", ["fin", "reset"])
@pytest.mark.parametrize("reads", ["one", "several"])
def test_many_calls_and_the_end_in_one_go_leave_nothing(tmp_path, how, reads):
    with Machine(tmp_path) as m:
        client = m.client()
        calls = [message(n, ref=f"{n:016x}", lookup=f"{n:016x}") for n in range(1, 33)]
        if reads == "several":
            client.transport.bufferSize = len(calls[0]) * 5 + 7
        client.send(b"".join(calls))
        m.ends(client, how)
        m.turns(40)
        assert m.asked() == []
        m.nothing_is_owed()
        assert m.held()["clients_held"] == 0 and not m.router.open_trace_ids
        m.advance(1.0, 0.1)
        assert m.asked() == [] and m.held()["connections_held"] == 0


@FIRST
@BEHIND
@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("said", ["a byte", "an answer", "fin", "reset"])
def test_a_clients_end_and_its_caches_word_in_one_moment_leave_nothing(tmp_path, first, behind, how, said):
    with Machine(tmp_path) as m:
        client = m.warm()
        client.send(message(8, ref=CALL))
        m.until(m.asking)
        peer, m.reactor.first = m.asking()[0], first
        m.ends(client, how, behind=behind)
        if said in ("fin", "reset"):
            getattr(peer, said)()
        else:
            peer.send(b"H" if said == "a byte" else answer(200, b"x"))
        m.turns()
        assert m.asked(CALL) == ["c0"]
        m.nothing_is_owed()
        assert m.held()["body_bytes_held"] == 0 and not m.router.open_trace_ids
        assert how == "interrupt" or m.held()["clients_held"] == 0

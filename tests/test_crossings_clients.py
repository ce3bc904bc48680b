"""Input of clients at the moment when something else ends, on real sockets; crossings.py sets the order."""

import socket

import pytest
from crossings import ATTEMPT_TIMEOUT, CALL, FIRST, RouterMachine, sockets_for
from fleet import answer, message

ENDS = ("fin", "reset", "interrupt")
BEHIND = pytest.mark.parametrize("behind", [0, 4])


# ---- a client that is gone: no attempt starts once the router could have read its end


@FIRST
@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("reads", ["one", "two"])
@pytest.mark.parametrize("dial", ["warm", "new"])
def test_a_call_and_its_end_that_both_lie_unread_begin_no_attempt(tmp_path, first, how, reads, dial):
    with RouterMachine(tmp_path) as machine:
        client = machine.warm_client() if dial == "warm" else machine.client()
        machine.reactor.first, call = first, message(8, ref=CALL)
        if reads == "two":
            client.transport.bufferSize = len(call)  # the read ends with the call
        client.send(call)
        machine.end_unread(client, how)
        machine.turns()
        assert machine.attempts(CALL) == []
        machine.assert_nothing_pending()


@FIRST
@BEHIND
@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("over", ["late", "not up", "second copy"])
def test_what_is_over_before_the_clients_end_is_read_begins_no_further_attempt(
    tmp_path, first, how, behind, over
):
    with RouterMachine(tmp_path, {"may_duplicate": over == "second copy"}) as machine:
        client, before = attempt_out(machine, over)
        machine.reactor.first = first
        machine.pause(0.5 if over == "not up" else ATTEMPT_TIMEOUT)
        machine.end_unread(client, how, behind=behind)
        machine.turns()
        assert machine.attempts(CALL) == before
        machine.assert_nothing_pending()


@pytest.mark.parametrize("over", ["late", "not up", "second copy"])
def test_what_is_over_begins_a_further_attempt_where_the_client_waits(tmp_path, over):
    """Control experiment: without the client's end the test above would start an attempt."""
    with RouterMachine(tmp_path, {"may_duplicate": over == "second copy"}) as machine:
        _, before = attempt_out(machine, over)
        machine.pause(0.5 if over == "not up" else ATTEMPT_TIMEOUT)
        machine.turns()
        assert machine.attempts(CALL) == [*before, "p0"]


def attempt_out(machine, over):
    """A client with an active attempt, or one that is still connecting; the next one can start at once on an
    idle connection.
    """
    client = machine.warm_client(*[b"Connection: close"] * (over == "not up"))
    if over == "not up":
        machine.reactor.held_ports = {machine.caches["c0"].port}
    client.send(message(8, ref=CALL, allow="4000"))
    machine.until(lambda: machine.gauges()["sends_out"])
    machine.turns()
    return client, [] if over == "not up" else ["c0"]


@BEHIND
@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("attempt", ["first", "further"])
def test_a_dial_that_comes_up_before_the_clients_end_is_read_gets_no_request(tmp_path, how, behind, attempt):
    with RouterMachine(tmp_path) as machine:
        client, ports, before = machine.client(), {cache.port for cache in machine.caches.values()}, []
        machine.reactor.held_ports = ports if attempt == "first" else ports - {machine.caches["c0"].port}
        client.send(message(8, ref=CALL, allow="4000"))
        if attempt == "further":
            machine.until(machine.unanswered)
            machine.unanswered()[0].reset()
            before = ["c0"]
        machine.until(lambda: machine.counters.values["connections"] == 1 + len(before))
        machine.turns()
        machine.end_unread(client, how, behind=behind)
        machine.reactor.held_ports = set()
        machine.turns()
        assert machine.attempts(CALL) == before
        machine.assert_nothing_pending()


def waiting_for_a_descriptor(tmp_path, **terms):
    """A machine whose only connection to caches is busy, and a client whose attempt waits for it."""
    machine = RouterMachine(tmp_path, terms, sockets=sockets_for(caches=1))
    other, client = machine.client(), machine.client()
    other.send(message(1, ref="b" * 16))
    machine.until(machine.unanswered)
    client.send(message(8, ref=CALL))
    machine.until(lambda: machine.gauges()["sends_waiting"] == 1)
    return machine, client


@BEHIND
@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("freed", ["answered", "closed", "reset"])
def test_a_connection_that_gets_free_before_the_clients_end_is_read_gets_no_request(
    tmp_path, how, behind, freed
):
    machine, client = waiting_for_a_descriptor(tmp_path)
    with machine:
        machine.end_unread(client, how, behind=behind)
        if freed == "reset":
            machine.unanswered()[0].reset()
        else:
            machine.answer(b"x", *[b"Connection: close"] * (freed == "closed"))
        machine.turns()
        assert machine.attempts(CALL) == [] and machine.gauges()["sends_waiting"] == 0


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("waits", ["dial", "descriptor"])
def test_an_attempt_that_waits_is_withdrawn_with_its_client_also_where_none_may_be_cancelled(
    tmp_path, how, waits
):
    if waits == "descriptor":
        machine, client = waiting_for_a_descriptor(tmp_path, may_cancel=False)
    else:
        machine = RouterMachine(tmp_path, {"may_cancel": False})
        client, machine.reactor.held_ports = (
            machine.client(),
            {cache.port for cache in machine.caches.values()},
        )
        client.send(message(8, ref=CALL))
        machine.until(lambda: machine.gauges()["sends_out"] == 1)
    with machine:
        machine.end_unread(client, how)
        machine.turns()  # the end is read
        machine.reactor.held_ports = set()
        if waits == "descriptor":
            machine.answer(b"x")
        machine.turns()
        assert machine.attempts(CALL) == []
        machine.assert_nothing_pending()


@pytest.mark.parametrize("how", ["fin", "interrupt"])
def test_the_end_of_a_client_that_does_not_read_its_answers_is_seen_at_once(tmp_path, how):
    with RouterMachine(tmp_path) as machine:
        client = machine.client(rcvbuf=4096)
        client.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.send(message(7, ref="b" * 16, part="2") + message(8, ref=CALL, allow="4000"))
        machine.until(lambda: len(machine.unanswered()) == 2)
        next(peer for peer in machine.unanswered() if b"/2 " in peer.got).send(answer(200, b"x" * 240_000))
        machine.until(lambda: machine.gauges()["lookups_held"] == 1)
        machine.turns()
        machine.end_unread(client, how)
        machine.turns()
        assert machine.gauges()["lookups_held"] == 0
        machine.pause(ATTEMPT_TIMEOUT)
        machine.turns()
        assert machine.attempts(CALL) == ["c0"]


@pytest.mark.parametrize("how", ["fin", "reset"])
@pytest.mark.parametrize("reads", ["one", "several"])
def test_many_calls_and_the_end_in_one_go_leave_nothing(tmp_path, how, reads):
    with RouterMachine(tmp_path) as machine:
        client = machine.client()
        calls = [message(n, ref=f"{n:016x}", lookup=f"{n:016x}") for n in range(1, 33)]
        if reads == "several":
            client.transport.bufferSize = len(calls[0]) * 5 + 7
        client.send(b"".join(calls))
        machine.end_unread(client, how)
        machine.turns(40)
        assert machine.attempts() == []
        machine.assert_nothing_pending()
        assert machine.gauges()["clients_held"] == 0 and not machine.router.open_trace_ids
        machine.advance(1.0, 0.1)
        assert machine.attempts() == [] and machine.gauges()["connections_held"] == 0


@FIRST
@BEHIND
@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("said", ["a byte", "an answer", "fin", "reset"])
def test_a_clients_end_and_its_caches_word_in_one_moment_leave_nothing(tmp_path, first, behind, how, said):
    with RouterMachine(tmp_path) as machine:
        client = machine.warm_client()
        client.send(message(8, ref=CALL))
        machine.until(machine.unanswered)
        peer, machine.reactor.first = machine.unanswered()[0], first
        machine.end_unread(client, how, behind=behind)
        if said in ("fin", "reset"):
            getattr(peer, said)()
        else:
            peer.send(b"H" if said == "a byte" else answer(200, b"x"))
        machine.turns()
        assert machine.attempts(CALL) == ["c0"]
        machine.assert_nothing_pending()
        assert machine.gauges()["body_bytes_held"] == 0 and not machine.router.open_trace_ids
        assert how == "interrupt" or machine.gauges()["clients_held"] == 0

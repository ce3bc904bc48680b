"""What clients do in the moment in which something else ends, on real sockets; crossings.py forces the order."""

import socket

import pytest
from crossings import ATTEMPT, CACHES, CLIENTS, Machine, sockets_for
from fleet import answer, message

ENDS = ("fin", "reset", "interrupt")
CALL = "c" * 16  # the trace of the call that crosses something
FILLER = message(90, b"interrupt", interrupted=10 ** 6)  # owed nothing: no such call was made
FIRST = pytest.mark.parametrize("first", [CACHES, CLIENTS], ids=["caches first", "clients first"])
BEHIND = pytest.mark.parametrize("behind", [0, 4])


def ends(machine, client, how, seqid=8, behind=0):
    """The client's end, which lies unread in the router's socket, behind so much that it takes as many reads more."""
    if behind:
        client.transport.bufferSize = len(FILLER)
        client.send(FILLER * behind)
    if how == "interrupt":
        client.send(message(seqid + 1, b"interrupt", interrupted=seqid))
    else:
        getattr(client, how)()
    machine.lies_unread(client, end=how != "interrupt")


def nothing_is_owed(machine):
    held = machine.held()
    assert [held[name] for name in ("lookups_held", "sends_out", "sends_waiting")] == [0, 0, 0]


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
        ends(m, client, how)
        m.turns()
        assert m.asked(CALL) == []
        nothing_is_owed(m)


@FIRST
@BEHIND
@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("over", ["late", "not up", "second copy"])
def test_what_is_over_before_the_clients_end_is_read_begins_no_further_attempt(tmp_path, first, how, behind, over):
    with Machine(tmp_path, {"second_copies": over == "second copy"}) as m:
        client, before = attempt_out(m, over)
        m.reactor.first = first
        m.pause(0.5 if over == "not up" else ATTEMPT)
        ends(m, client, how, behind=behind)
        m.turns()
        assert m.asked(CALL) == before
        nothing_is_owed(m)


@pytest.mark.parametrize("over", ["late", "not up", "second copy"])
def test_what_is_over_begins_a_further_attempt_where_the_client_waits(tmp_path, over):
    """Else the test above would show nothing."""
    with Machine(tmp_path, {"second_copies": over == "second copy"}) as m:
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
        ends(m, client, how, behind=behind)
        m.reactor.held_ports = set()
        m.turns()
        assert m.asked(CALL) == before
        nothing_is_owed(m)


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
def test_a_connection_that_gets_free_before_the_clients_end_is_read_gets_no_request(tmp_path, how, behind, freed):
    m, client = waiting_for_a_descriptor(tmp_path)
    with m:
        ends(m, client, how, behind=behind)
        if freed == "reset":
            m.asking()[0].reset()
        else:
            m.answer(b"x", *[b"Connection: close"] * (freed == "closed"))
        m.turns()
        assert m.asked(CALL) == [] and m.held()["sends_waiting"] == 0


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("waits", ["dial", "descriptor"])
def test_an_attempt_that_waits_is_withdrawn_with_its_client_also_where_none_may_be_cancelled(tmp_path, how, waits):
    if waits == "descriptor":
        m, client = waiting_for_a_descriptor(tmp_path, may_cancel=False)
    else:
        m = Machine(tmp_path, {"may_cancel": False})
        client, m.reactor.held_ports = m.client(), {cache.port for cache in m.caches.values()}
        client.send(message(8, ref=CALL))
        m.until(lambda: m.held()["sends_out"] == 1)
    with m:
        ends(m, client, how)
        m.turns()  # the end is read
        m.reactor.held_ports = set()
        if waits == "descriptor":
            m.answer(b"x")
        m.turns()
        assert m.asked(CALL) == []
        nothing_is_owed(m)


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
        ends(m, client, how)
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
        ends(m, client, how)
        m.turns(40)
        assert m.asked() == []
        nothing_is_owed(m)
        assert m.held()["clients_held"] == 0 and not m.router.traces
        m.advance(1.0, 0.1)
        assert m.asked() == [] and m.held()["connections_held"] == 0


# ---- lingering close: the router ends a connection in the moment in which bytes arrive on it

WHYS = pytest.mark.parametrize("why", ["idle", "short", "the end"])



def resting_client(tmp_path, why):
    """A machine and a resting client; where descriptors are to run short others hold all but one."""
    m = Machine(tmp_path, **({"sockets": sockets_for(caches=4)} if why == "short" else {}))
    client = m.client()
    client.send(message(1, b"check"))
    m.until(lambda: 1 in client.answers())
    if why == "short":
        crowd(m)
    return m, client


def crowd(m):
    """All descriptors for clients but one are held."""
    for _ in range(m.router.front.connections.size - len(m.clients) - 1):
        m.client().send(message(1, b"check"))
    m.advance(0.2)


def ended_by(m, why, rest=20):
    """The router has just ended the resting connection; it has neither written nor read since."""
    if why == "idle":
        m.pause(rest)
        m.timers()
    elif why == "the end":
        m.service().stop()
        m.pause(0.71)
        m.timers()
    else:
        m.client()
        assert m.counters.values["clients_shed"] == 1


def open_clients(machine):
    return [connection.transport.client for connection in machine.router.front.connections.held()]


@WHYS
@pytest.mark.parametrize("more", [False, True])
def test_bytes_that_cross_the_end_of_a_resting_connection_reset_nothing(tmp_path, why, more):
    m, client = resting_client(tmp_path, why)
    with m:
        ended_by(m, why)
        client.send(message(2, ref=CALL))
        m.turns()
        assert client.ended_cleanly()
        if more:
            client.send(message(3, ref="d" * 16))
            m.turns()
            assert client.ended_cleanly()
        assert client.answers().keys() == {1} and m.asked() == []
        client.socket.close()
        m.turns()
        assert client.name not in open_clients(m)
        nothing_is_owed(m)


@WHYS
@pytest.mark.parametrize("sndbuf", [None, 4096])
def test_an_answer_in_the_buffers_is_whole_before_the_end(tmp_path, why, sndbuf):
    with Machine(tmp_path, **({"sockets": sockets_for(caches=4)} if why == "short" else {})) as m:
        client = m.client(rcvbuf=4096)
        if sndbuf is not None:
            client.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, sndbuf)
        client.send(message(1, ref="a" * 16))
        m.answer(b"x" * 200_000)
        m.until(lambda: m.held()["lookups_held"] == 0)
        m.router.front.idle_for = 5  # less than a client has to read what was written to it
        if why == "short":
            crowd(m)
        ended_by(m, why, rest=6)
        client.send(message(2, ref=CALL))
        m.until(lambda: client.read() is not None and client.end)
        assert client.ended_cleanly()
        assert client.answers()[1][1][0][1] == b"x" * 200_000 and m.asked(CALL) == []


@WHYS
def test_a_connection_that_lingers_is_counted_until_its_close_which_comes_within_a_second(tmp_path, why):
    m, client = resting_client(tmp_path, why)
    with m:
        ended_by(m, why)
        client.send(message(2, ref=CALL))
        m.turns()
        assert client.ended_cleanly() and client.name in open_clients(m)
        m.advance(0.1)
        assert client.name in open_clients(m)
        m.advance(1.4)  # the client never closes
        assert client.name not in open_clients(m) and m.asked() == []


def test_connections_that_linger_hold_no_more_descriptors_than_clients_may(tmp_path):
    with Machine(tmp_path, sockets=sockets_for(caches=4)) as m:
        most = m.router.front.connections.size
        for _ in range(2 * most):  # none of them ever closes
            client = m.client()
            client.send(message(1, b"check"))
            m.until(lambda: 1 in client.answers())  # noqa: B023
            assert m.held()["clients_held"] <= most
            m.advance(0.2)
        assert m.counters.values["clients_turned_away"] == 0
        assert all(client.end in (None, "fin") for client in m.clients if client.read())

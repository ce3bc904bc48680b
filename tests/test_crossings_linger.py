"""Lingering close: the router ends a connection in the moment in which bytes arrive on it, on real sockets."""

import socket

import pytest
from crossings import CALL, Machine, sockets_for
from fleet import message

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
    return [connection.transport.client for connection in machine.router.front.connections.occupied()]


CROSSING = {
    "call": message(2, ref=CALL),
    "half a call": message(2, ref=CALL)[:50],
    "check": message(2, b"check"),
    "interrupt": message(2, b"interrupt", interrupted=1),
    "garbage": b"\xff" * 300,
}


@WHYS
@pytest.mark.parametrize("what", CROSSING)
@pytest.mark.parametrize("more", [False, True])
def test_bytes_that_cross_the_end_of_a_resting_connection_reset_nothing(tmp_path, why, what, more):
    m, client = resting_client(tmp_path, why)
    with m:
        ended_by(m, why)
        client.send(CROSSING[what])
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
        m.nothing_is_owed()


@WHYS
@pytest.mark.parametrize("how", ["fin", "reset"])
@pytest.mark.parametrize("call", [False, True])
def test_a_clients_end_that_crosses_the_routers_leaves_nothing(tmp_path, why, how, call):
    m, client = resting_client(tmp_path, why)
    with m:
        ended_by(m, why)
        if call:
            client.send(message(2, ref=CALL))
        getattr(client, how)()
        m.turns()
        assert how == "reset" or (client.read() and client.end == "fin")
        assert client.name not in open_clients(m) and m.asked() == []
        m.nothing_is_owed()


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
        m.router.front.idle_timeout = 5  # less than a client has to read what was written to it
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
        for _ in range(2 * most):  # none of them ever closes; who finds no descriptor waits for the next one
            client = m.client(within=1.5)
            client.send(message(1, b"check"))
            m.until(lambda: 1 in client.answers())  # noqa: B023
            assert m.held()["clients_held"] <= most
            m.advance(0.2)
        assert m.counters.values["clients_turned_away"] == 0
        assert all(client.end in (None, "fin") for client in m.clients if client.read())

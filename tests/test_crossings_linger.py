"""Lingering close: the router closes a connection at the moment when bytes arrive on it, on real sockets."""

import socket

import pytest
from crossings import CALL, RouterMachine, sockets_for
from fleet import message

REASONS = pytest.mark.parametrize("why", ["idle", "short", "the end"])


def resting_client(tmp_path, why):
    """A machine and an idle client; for "short", other clients hold all descriptors but one."""
    machine = RouterMachine(tmp_path, **({"sockets": sockets_for(caches=4)} if why == "short" else {}))
    client = machine.client()
    client.send(message(1, b"check"))
    machine.until(lambda: 1 in client.answers())
    if why == "short":
        crowd(machine)
    return machine, client


def crowd(machine):
    """Connects clients until only one descriptor for clients is free."""
    for _ in range(machine.router.front.connections.size - len(machine.clients) - 1):
        machine.client().send(message(1, b"check"))
    machine.advance(0.2)


def ended_by(machine, why, rest=20):
    """Lets the router close the idle connection; it has neither written nor read since."""
    if why == "idle":
        machine.pause(rest)
        machine.timers()
    elif why == "the end":
        machine.service().stop()
        machine.pause(0.71)
        machine.timers()
    else:
        machine.client()
        assert machine.counters.values["clients_shed"] == 1


def open_clients(machine):
    return [connection.transport.client for connection in machine.router.front.connections.occupied()]


CROSSING = {
    "call": message(2, ref=CALL),
    "half a call": message(2, ref=CALL)[:50],
    "check": message(2, b"check"),
    "interrupt": message(2, b"interrupt", interrupted=1),
    "garbage": b"\xff" * 300,
}


@REASONS
@pytest.mark.parametrize("what", CROSSING)
@pytest.mark.parametrize("more", [False, True])
def test_bytes_that_cross_the_end_of_a_resting_connection_reset_nothing(tmp_path, why, what, more):
    machine, client = resting_client(tmp_path, why)
    with machine:
        ended_by(machine, why)
        client.send(CROSSING[what])
        machine.turns()
        assert client.ended_cleanly()
        if more:
            client.send(message(3, ref="d" * 16))
            machine.turns()
            assert client.ended_cleanly()
        assert client.answers().keys() == {1} and machine.attempts() == []
        client.socket.close()
        machine.turns()
        assert client.name not in open_clients(machine)
        machine.assert_nothing_pending()


@REASONS
@pytest.mark.parametrize("how", ["fin", "reset"])
@pytest.mark.parametrize("call", [False, True])
def test_a_clients_end_that_crosses_the_routers_leaves_nothing(tmp_path, why, how, call):
    machine, client = resting_client(tmp_path, why)
    with machine:
        ended_by(machine, why)
        if call:
            client.send(message(2, ref=CALL))
        getattr(client, how)()
        machine.turns()
        assert how == "reset" or (client.read() and client.end == "fin")
        assert client.name not in open_clients(machine) and machine.attempts() == []
        machine.assert_nothing_pending()


@REASONS
@pytest.mark.parametrize("sndbuf", [None, 4096])
def test_an_answer_in_the_buffers_is_whole_before_the_end(tmp_path, why, sndbuf):
    with RouterMachine(tmp_path, **({"sockets": sockets_for(caches=4)} if why == "short" else {})) as machine:
        client = machine.client(rcvbuf=4096)
        if sndbuf is not None:
            client.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, sndbuf)
        client.send(message(1, ref="a" * 16))
        machine.answer(b"x" * 200_000)
        machine.until(lambda: machine.gauges()["lookups_held"] == 0)
        machine.router.front.idle_timeout = 5  # shorter than DRAIN_TIMEOUT
        if why == "short":
            crowd(machine)
        ended_by(machine, why, rest=6)
        client.send(message(2, ref=CALL))
        machine.until(lambda: client.read() is not None and client.end)
        assert client.ended_cleanly()
        assert client.answers()[1][1][0][1] == b"x" * 200_000 and machine.attempts(CALL) == []


@REASONS
def test_a_connection_that_lingers_is_counted_until_its_close_which_comes_within_a_second(tmp_path, why):
    machine, client = resting_client(tmp_path, why)
    with machine:
        ended_by(machine, why)
        client.send(message(2, ref=CALL))
        machine.turns()
        assert client.ended_cleanly() and client.name in open_clients(machine)
        machine.advance(0.1)
        assert client.name in open_clients(machine)
        machine.advance(1.4)  # the client never closes
        assert client.name not in open_clients(machine) and machine.attempts() == []


def test_connections_that_linger_hold_no_more_descriptors_than_clients_may(tmp_path):
    with RouterMachine(tmp_path, sockets=sockets_for(caches=4)) as machine:
        most = machine.router.front.connections.size
        for _ in range(2 * most):  # none of them closes; a client without a descriptor waits for the next one
            client = machine.client(within=1.5)
            client.send(message(1, b"check"))
            machine.until(lambda: 1 in client.answers())  # noqa: B023
            assert machine.gauges()["clients_held"] <= most
            machine.advance(0.2)
        assert machine.counters.values["clients_turned_away"] == 0
        assert all(client.end in (None, "fin") for client in machine.clients if client.read())

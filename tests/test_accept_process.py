"""accept() that fails: connections wait in the queue or are gone, the listener goes on; real processes."""

import errno
import os
import time

import pytest
from processes import running_router
from protocol_client import ProtocolClient

from standins.preload import FailingCalls

ERRORS = (  # of accept(2)
    "ECONNABORTED EINTR EMFILE ENFILE ENOBUFS ENOMEM EPROTO EPERM ENETDOWN ENOPROTOOPT EHOSTDOWN ENONET "
    "EHOSTUNREACH EOPNOTSUPP ENETUNREACH"
).split()
CLIENTS, SEED = 24, 7
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    """Processor time that a process has used."""
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def ask_all(port, number):
    """Connects so many clients, each with one call; returns them once these are answered or too late."""
    clients = [ProtocolClient(port) for _ in range(number)]
    for client in clients:
        client.send(client.next_call("1", 1_500))
    for client in clients:
        client.receive(2.0)
        client.socket.close()
    return [(client.ended, client.unanswered()) for client in clients]


@pytest.fixture(scope="module", name="machine")
def running_machine(tmp_path_factory):
    """The shim of a router that runs for all tests, its process and its port."""
    folder = tmp_path_factory.mktemp("machine")
    shim = FailingCalls(folder, SEED)
    with running_router(folder, environment=shim.environment) as (process, port):
        yield shim, process, port


@pytest.mark.parametrize("name", ERRORS)
def test_no_request_is_lost_while_accept_fails_one_time_in_three(machine, name):
    shim, _, port = machine
    shim.fail(getattr(errno, name), 3, "accept4")
    assert ask_all(port, CLIENTS) == [(None, [])] * CLIENTS


@pytest.mark.parametrize("name", ["EMFILE", "ENOBUFS", "ECONNABORTED"])
def test_a_listener_whose_accept_fails_for_a_second_neither_spins_nor_ends(machine, name):
    shim, process, port = machine
    shim.fail(0, 0)
    assert ask_all(port, 1) == [(None, [])]
    shim.fail(getattr(errno, name), 1, "accept4")
    with ProtocolClient(port, name) as client:
        client.send(client.next_call("1", 3_000))
        before = cpu_seconds(process)
        time.sleep(1.0)
        assert cpu_seconds(process) - before < 0.3
        shim.fail(0, 0)
        client.receive(2.0)
        assert (client.ended, client.unanswered()) == (None, [])

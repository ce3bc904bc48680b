"""System calls that fail, or read and write little, one time in several; real processes, seeded."""

import errno
import time

import pytest
from processes import running_router
from protocol_client import LARGE, ProtocolClient

from standins.preload import SHORT, FailingCalls

SEED = 11
RECOVERY = 0.1  # seconds until what a call that failed has held up goes on
CONNECT_ERRORS = "EADDRNOTAVAIL ENETUNREACH EHOSTUNREACH ECONNREFUSED ETIMEDOUT EAGAIN EACCES EPERM".split()
SOCKET_ERRORS = "EMFILE ENFILE ENOBUFS ENOMEM EACCES".split()
# These break no connection; Linux may report them, and the call is made again.
HARMLESS = [
    ("recv", "EINTR"),
    ("recv", "EAGAIN"),
    ("send", "EINTR"),
    ("send", "EAGAIN"),
    ("send", "ENOBUFS"),
    ("epoll_wait", "EINTR"),
    ("recv", "SHORT"),
    ("send", "SHORT"),
]
FAILING = [
    *(("connect", name) for name in CONNECT_ERRORS),
    *(("socket", name) for name in SOCKET_ERRORS),
    *HARMLESS,
]


def number_of(name):
    return SHORT if name == "SHORT" else getattr(errno, name)


@pytest.fixture(scope="module", name="machine")
def running_machine(tmp_path_factory):
    """The shim of a router that runs for all tests, and its port; it ends without a connection cut off."""
    folder = tmp_path_factory.mktemp("machine")
    shim = FailingCalls(folder, SEED)
    with running_router(folder, environment=shim.environment) as (_, port):
        yield shim, port


@pytest.fixture(scope="module", name="broken_machine")
def running_broken_machine(tmp_path_factory):
    """The same for tests in which connections break."""
    folder = tmp_path_factory.mktemp("broken")
    shim = FailingCalls(folder, SEED)
    with running_router(folder, environment=shim.environment, clean=False) as (_, port):
        yield shim, port


@pytest.mark.parametrize(("call", "name"), FAILING)
def test_no_request_is_lost_while_a_call_fails_one_time_in_three(machine, call, name):
    """A request may be nacked; each gets one whole answer, and the connection stays."""
    shim, port = machine
    clients = [ProtocolClient(port, f"{call} {name} {number}") for number in range(4)]
    for client in clients:
        client.send(client.next_call("1", 1_500))
        client.receive(2.0)
    shim.fail(number_of(name), 3, call)
    for _ in range(10):
        for client in clients:
            client.send(client.next_call("1", 1_500) + client.next_call(LARGE, 1_500))
        time.sleep(0.02)
    for client in clients:
        client.receive(2.0)
    shim.fail(0, 0)
    time.sleep(RECOVERY)
    for client in clients:
        client.send(client.next_call("1", 1_500))
        client.receive(2.0)
        client.socket.close()
    assert [(client.ended, client.unanswered()) for client in clients] == [(None, [])] * 4
    assert {client.outcome(client.made[-1]) for client in clients} <= {"satisfied", "nacked"}


def test_service_is_back_by_itself_once_calls_work_again(machine):
    shim, port = machine
    shim.fail(errno.ENETUNREACH, 1, "connect")
    with ProtocolClient(port, "outage") as client:
        client.send(b"".join(client.next_call("1", 300) for _ in range(8)))
        client.receive(1.0)
        shim.fail(0, 0)
        assert client.unanswered() == []
        end = time.monotonic() + 10.0
        while client.outcome(client.made[-1]) != "satisfied" and time.monotonic() < end:
            client.send(client.next_call("2", 1_000))
            client.receive(1.5)
            time.sleep(0.2)
        assert client.outcome(client.made[-1]) == "satisfied"


@pytest.mark.parametrize(
    ("call", "name", "seen"),
    [
        ("connect", "ENETUNREACH", "nacked"),
        ("socket", "EMFILE", "nacked"),
        ("recv", "ECONNRESET", "ended"),
        ("send", "EPIPE", "ended"),
    ],
)
def test_the_shim_reaches_the_call(broken_machine, call, name, seen):
    """Control experiment: where every call fails, the client notices."""
    shim, port = broken_machine
    with ProtocolClient(port, f"{call} {name}") as client:
        client.send(client.next_call("1", 400))
        client.receive(1.0)
        shim.fail(number_of(name), 1, call)
        client.send(b"".join(client.next_call(str(part), 400) for part in (2, 3, 4, 5)))
        client.receive(1.0)
        shim.fail(0, 0)
        if seen == "ended":
            assert client.ended is not None
        else:
            assert "nacked" in {client.outcome(number) for number in client.made}


BROKEN = "ECONNRESET ETIMEDOUT EHOSTUNREACH EPIPE ENETDOWN ENETUNREACH".split()


@pytest.mark.parametrize("name", BROKEN)
@pytest.mark.parametrize("call", ["recv", "send"])
def test_a_broken_connection_costs_no_call_on_another_its_answer(broken_machine, call, name):
    """The connections that break may be those to clients or to caches; the errors of either stay theirs."""
    shim, port = broken_machine
    shim.fail(number_of(name), 12, call)
    for number in range(30):
        with ProtocolClient(port, f"{call} {name} {number}") as client:
            client.send(client.next_call("1", 1_000))
            client.receive(1.6)
            assert client.ended is not None or client.unanswered() == []
    shim.fail(0, 0)
    time.sleep(RECOVERY)
    with ProtocolClient(port, f"{call} {name} after") as client:
        client.send(client.next_call("1", 1_500))
        client.receive(2.0)
        assert client.unanswered() == []

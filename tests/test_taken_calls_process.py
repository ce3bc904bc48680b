"""Calls that a router has read are answered, whatever else their client sends; real processes on loopback."""

import signal
import time

import pytest
from fleet import message
from processes import running_router
from protocol_client import LARGE, MAX_OPEN_CALLS, ProtocolClient

ALLOW_MS = 800
ANSWERED_WITHIN = ALLOW_MS / 1000 + 0.5  # seconds: later an answer counts as lost
SHORT_READ = 64  # bytes: longer than an interrupt, shorter than a call


@pytest.mark.parametrize("reads", ["whole", "short"])
def test_calls_withdrawn_and_made_at_the_bound_end_no_connection(tmp_path, reads):
    """An interrupt that was read but not processed counted as an open call: a regular client had 33."""
    program = ("standins.short_reads", str(SHORT_READ)) if reads == "short" else ("hookrouter",)
    with running_router(tmp_path, program) as (_, port):
        clients = [ProtocolClient(port, seed) for seed in range(4)]
        for client in clients:
            client.send(b"".join(client.next_call(allow=ALLOW_MS) for _ in range(MAX_OPEN_CALLS)))
        for _ in range(150):
            for client in clients:
                client.receive()
                client.send(client.next_withdrawal())
                while len(client.open_calls) < MAX_OPEN_CALLS:
                    client.send(client.next_call(allow=ALLOW_MS))
        for client in clients:
            client.receive(ANSWERED_WITHIN)
            client.socket.close()
        assert [(client.ended, client.unanswered()) for client in clients] == [(None, [])] * 4


def test_calls_withdrawn_while_the_router_was_stopped_end_no_connection(tmp_path):
    """More than eight calls withdrawn in the read that brought them ended the connection of a regular client."""
    with running_router(tmp_path) as (process, port), ProtocolClient(port) as client:
        client.send(b"".join(client.next_call(allow=2 * ALLOW_MS) for _ in range(10)))
        time.sleep(0.1)
        process.send_signal(signal.SIGSTOP)
        for _ in range(20):
            client.send(client.next_call(allow=ALLOW_MS))
            client.send(client.next_withdrawal(client.made[-1]))
        time.sleep(0.1)
        process.send_signal(signal.SIGCONT)
        client.receive(2 * ANSWERED_WITHIN)
        assert (client.ended, client.unanswered()) == (None, [])


VIOLATIONS = {
    "a frame length": b"\xff" * 50,
    "a number that does not rise": message(1),
    "a frame that is no message": b"\x00\x00\x00\x0c" + b"\x01" * 12,
}


@pytest.mark.parametrize("violation", VIOLATIONS)
@pytest.mark.parametrize("when", ["in the same read", "later"])
def test_calls_before_what_cannot_be_read_are_answered(tmp_path, violation, when):
    with running_router(tmp_path) as (_, port), ProtocolClient(port) as client:
        calls = b"".join(client.next_call(allow=ALLOW_MS) for _ in range(3)) + client.next_call(LARGE)
        client.send(calls + VIOLATIONS[violation] * (when == "in the same read"))
        if when == "later":
            time.sleep(0.1)
            client.send(VIOLATIONS[violation])
        client.receive(ANSWERED_WITHIN)
        assert client.unanswered() == [] and client.outcome(4) == "satisfied"
        client.receive(ANSWERED_WITHIN)
        client.open_calls.append("none")  # waits for the end of the connection
        client.receive(ANSWERED_WITHIN)
        assert client.ended == "fin"


def test_a_call_beyond_the_bound_is_nacked_and_the_others_are_answered(tmp_path):
    with running_router(tmp_path) as (_, port), ProtocolClient(port) as client:
        client.send(b"".join(client.next_call(allow=ALLOW_MS) for _ in range(MAX_OPEN_CALLS)))
        client.send(message(90) + message(91))
        client.receive(0.3)
        assert sorted(client.replies) == [90, 91]
        assert client.outcome(90) == client.outcome(91) == "nacked"
        client.receive(ANSWERED_WITHIN)
        assert (client.ended, client.unanswered()) == (None, [])


def test_a_client_that_reads_late_gets_an_answer_to_each_of_its_calls(tmp_path):
    """Answers beyond the bound on unread bytes ended the connection, and all other calls with it."""
    with running_router(tmp_path) as (_, port), ProtocolClient(port, receive_buffer=65_536) as client:
        client.send(b"".join(client.next_call(LARGE, allow=4_000) for _ in range(MAX_OPEN_CALLS)))
        time.sleep(2.5)  # by then every body has come from the cache
        client.receive(4.0)
        assert (client.ended, client.unanswered()) == (None, [])

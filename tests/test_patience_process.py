"""The deadline that a router passes to a cache is at most what the client has left; real processes."""

import signal
import time

import pytest
from processes import Cache, running_router
from protocol_client import MAX_OPEN_CALLS, ProtocolClient

SLACK = 0.15  # seconds, by the operators' terms
ALLOW_MS = 1_000
PAUSE = 0.5  # seconds that the process is stopped


def recording_cache(received):
    """A cache that notes when each request came and until when it may be answered, by the client's id."""

    class RecordingCache(Cache):
        def receive(self):
            piece = self.request.recv(65536)
            now = time.monotonic()
            for head in piece.split(b"\r\n\r\n")[:-1]:
                fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
                patience = int(fields[b"X-Patience"]) / 1000
                received.append((fields[b"X-Trace"].decode(), now + patience))
            return piece

    return RecordingCache


def excess(clients, received):
    """Seconds by which the deadlines passed on exceed their clients', the worst last."""
    deadlines = {ref: deadline for client in clients for ref, deadline in client.deadlines.items()}
    return sorted(until - deadlines[ref] for ref, until in received)


def test_after_a_pause_no_deadline_passed_on_is_longer_than_the_clients(tmp_path):
    received = []
    with (
        running_router(tmp_path, cache=recording_cache(received)) as (process, port),
        ProtocolClient(port) as client,
    ):
        client.send(client.next_call("1", ALLOW_MS))
        client.receive(1.0)
        for _ in range(3):
            process.send_signal(signal.SIGSTOP)
            client.send(b"".join(client.next_call("2", ALLOW_MS) for _ in range(8)))
            time.sleep(PAUSE)
            process.send_signal(signal.SIGCONT)
            client.receive(ALLOW_MS / 1000 + 0.5)
            time.sleep(0.1)
        assert client.unanswered() == [] and len(received) > 8
        assert excess([client], received)[-1] <= SLACK


@pytest.mark.parametrize("connections", [20])
def test_in_a_burst_no_deadline_passed_on_is_longer_than_the_clients(tmp_path, connections):
    received = []
    with running_router(tmp_path, cache=recording_cache(received)) as (_, port):
        clients = [ProtocolClient(port, seed) for seed in range(connections)]
        for client in clients:
            client.send(b"".join(client.next_call("1", 400) for _ in range(MAX_OPEN_CALLS)))
        for client in clients:
            client.receive(1.0)
            client.socket.close()
        assert [client.unanswered() for client in clients] == [[]] * connections
        assert excess(clients, received)[-1] <= SLACK

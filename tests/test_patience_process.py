"""The deadline that a router passes to a cache is at most what the client has left; real processes."""

import signal
import socket
import subprocess
import sys
import time

import pytest
from processes import running_router
from protocol_client import MAX_OPEN_CALLS, ProtocolClient

from standins.ports import free_port

SLACK = 0.15  # seconds, by the operators' terms
ALLOW_MS = 1_000
PAUSE = 0.5  # seconds that the process is stopped


class RecordingCache:
    """The process of a recording cache, and what it has noted."""

    def __init__(self, folder):
        self.port, self.file = free_port(), folder / "received"
        command = [sys.executable, "-m", "standins.recording_cache", str(self.port), str(self.file)]
        self.process = subprocess.Popen(command)

    def __enter__(self):
        while True:
            try:
                socket.create_connection(("127.0.0.1", self.port)).close()
                return self
            except ConnectionRefusedError:
                time.sleep(0.02)

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait()

    def received(self):
        """The requests so far: (client's id, until when it may be answered)."""
        rows = (line.split() for line in self.file.read_text().splitlines())
        return [(trace, float(until)) for trace, until in rows]


def excess(clients, received):
    """Seconds by which the deadlines passed on exceed their clients', the worst last."""
    deadlines = {ref: deadline for client in clients for ref, deadline in client.deadlines.items()}
    return sorted(until - deadlines[ref] for ref, until in received)


def test_after_a_pause_no_deadline_passed_on_is_longer_than_the_clients(tmp_path):
    with (
        RecordingCache(tmp_path) as cache,
        running_router(tmp_path, cache_port=cache.port) as (process, port),
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
        assert client.unanswered() == [] and len(cache.received()) > 8
        assert excess([client], cache.received())[-1] <= SLACK


@pytest.mark.parametrize("connections", [20])
def test_in_a_burst_no_deadline_passed_on_is_longer_than_the_clients(tmp_path, connections):
    with RecordingCache(tmp_path) as cache, running_router(tmp_path, cache_port=cache.port) as (_, port):
        clients = [ProtocolClient(port, seed) for seed in range(connections)]
        for client in clients:
            client.send(b"".join(client.next_call("1", 400) for _ in range(MAX_OPEN_CALLS)))
        for client in clients:
            client.receive(1.0)
            client.socket.close()
        assert [client.unanswered() for client in clients] == [[]] * connections
        assert excess(clients, cache.received())[-1] <= SLACK

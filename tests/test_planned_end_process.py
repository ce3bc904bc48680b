"""A planned end while clients go on sending on open connections; real processes, killed at the page's earliest."""

import signal
import threading
import time

import pytest
from processes import running_router
from protocol_client import SILENT, ProtocolClient

CROSSING = 0.05  # seconds before a close within which a client's request is sent again on another connection
KILL_MARGIN = (
    0.7  # seconds after the longest deadline, counted from SIGTERM, that SIGKILL comes at the earliest
)
LONGEST_DEADLINE = 3.0  # seconds: a longer one counts as this
CLIENTS = 4


class Sender:
    """Sends calls until the router ends the connection, and keeps when each was written."""

    def __init__(self, port, seed, allow, pace):
        self.client, self.allow, self.pace = ProtocolClient(port, seed), allow, pace
        self.written, self.ended_at = {}, None
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        client = self.client
        while client.ended is None:
            if len(client.open_calls) < 32:
                data = client.next_call(client.dice.choice(("1", "2", SILENT)), self.allow)
                self.written[client.made[-1]] = time.monotonic()
                client.send(data)
            client.receive(self.pace)
        self.ended_at = time.monotonic()

    def lost(self):
        """Calls without an answer that did not cross the end of the connection."""
        before = self.ended_at - CROSSING
        return [call for call in self.client.unanswered() if self.written[call] < before]


@pytest.mark.parametrize("deadline_ms", [150, 600, 4_000])
@pytest.mark.parametrize("pace", [0.002, 0.03])
def test_no_call_is_lost_on_connections_that_are_used_until_the_end(tmp_path, deadline_ms, pace):
    with running_router(tmp_path, deadline_ms=deadline_ms, clean=False) as (process, port):
        senders = [Sender(port, seed, deadline_ms, pace) for seed in range(CLIENTS)]
        time.sleep(0.5)
        process.send_signal(signal.SIGTERM)
        time.sleep(min(LONGEST_DEADLINE, deadline_ms / 1000) + KILL_MARGIN)
        process.kill()
        for sender in senders:
            sender.thread.join(2.0)
            sender.client.socket.close()
        assert [sender.lost() for sender in senders] == [[]] * CLIENTS
        assert {sender.client.ended for sender in senders} == {"fin"}

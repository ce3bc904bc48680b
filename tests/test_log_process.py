"""Standard error that nobody reads: a full pipe stops no request; a real process."""

import os
import signal
import time

from processes import running_router
from protocol_client import ProtocolClient

PIPE_BYTES = 65_536


def test_a_full_pipe_on_standard_error_costs_no_call_its_answer(tmp_path):
    """A write to it blocked the only thread, for good."""
    with running_router(tmp_path) as (process, port), ProtocolClient(port) as client:
        for _ in range(60):  # each prints all counters, some 3 kB
            process.send_signal(signal.SIGUSR1)
            time.sleep(0.01)
        client.send(client.next_call("1", 1_000))
        client.receive(2.0)
        assert (client.ended, client.unanswered()) == (None, [])
        read = os.read(process.stderr.fileno(), 2 * PIPE_BYTES)
        assert len(read) > PIPE_BYTES / 2  # it was full indeed
        process.send_signal(signal.SIGUSR1)
        time.sleep(0.2)
        assert b"lines could not be written" in os.read(process.stderr.fileno(), PIPE_BYTES)

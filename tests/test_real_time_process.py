"""Steps of the wall clock under a running router: deadlines, windows and graces are spans of real time."""

import signal
import time

import pytest
from processes import Cache, running_router
from protocol_client import SILENT, ProtocolClient

from standins.preload import WallClock

STEPS = pytest.mark.parametrize("step", [-3600, -2, 2, 3600])  # seconds
CALLS = 10  # few enough that the router takes all of them at once
ALLOW_MS = 1_500
SLACK = 0.5  # seconds


class SlowCache(Cache):
    """Answers after a quarter of a second."""

    def answer(self, target):
        time.sleep(0.25)
        super().answer(target)


@STEPS
def test_calls_that_wait_are_answered_at_their_time_whatever_the_wall_clock_does(tmp_path, step):
    clock = WallClock(tmp_path)
    with (
        running_router(tmp_path, environment=clock.environment) as (_, port),
        ProtocolClient(port) as client,
    ):
        began = time.monotonic()
        client.send(b"".join(client.next_call(SILENT, ALLOW_MS) for _ in range(CALLS)))
        time.sleep(0.3)
        clock.step(step)
        client.receive(ALLOW_MS / 1000 - 0.6)
        assert client.replies == {}  # none is given up before its time
        client.receive(ALLOW_MS / 1000 + SLACK)
        took = time.monotonic() - began
        assert client.unanswered() == [] and took <= ALLOW_MS / 1000 + SLACK


@STEPS
def test_calls_are_served_while_the_wall_clock_is_stepped(tmp_path, step):
    clock = WallClock(tmp_path)
    with (
        running_router(tmp_path, environment=clock.environment, cache=SlowCache) as (_, port),
        ProtocolClient(port) as client,
    ):
        client.send(b"".join(client.next_call("1", ALLOW_MS) for _ in range(CALLS)))
        time.sleep(0.1)
        clock.step(step)
        client.receive(ALLOW_MS / 1000)
        assert {client.outcome(call) for call in client.made} == {"satisfied"}
        client.send(b"".join(client.next_call("2", ALLOW_MS) for _ in range(CALLS)))
        client.receive(ALLOW_MS / 1000)
        assert {client.outcome(call) for call in client.made} == {"satisfied"}


@STEPS
def test_a_planned_end_takes_its_real_time_whatever_the_wall_clock_does(tmp_path, step):
    clock = WallClock(tmp_path)
    with (
        running_router(tmp_path, environment=clock.environment) as (process, port),
        ProtocolClient(port) as client,
    ):
        client.send(b"".join(client.next_call(SILENT, ALLOW_MS) for _ in range(CALLS)))
        time.sleep(0.1)
        process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        clock.step(step)
        client.send(client.next_call("1", ALLOW_MS))
        client.receive(ALLOW_MS / 1000 + SLACK)
        assert client.unanswered() == [] and client.outcome(client.made[-1]) == "satisfied"
        assert process.wait(timeout=3.0) == 0

"""Steps of the wall clock under desk, relay and routers of fleet-wide purges: leases are spans of real time."""

import json
import time

import pytest
from processes import BackgroundServer, Cache
from purge_run import Run, relayed_fleet

from standins.preload import WallClock

IN_EFFECT_WITHIN = 1.4  # seconds, everywhere, by the size that the fleet is designed for
LEASE = 2.0  # seconds, as the site file of the tests states


class SteppedRun(Run):
    """A run whose processes have a wall clock that is stepped together."""

    def __init__(self, folder):
        super().__init__(folder)
        self.clock = WallClock(folder)

    def start(self, *arguments, said, **environment):
        return super().start(*arguments, said=said, **environment, **self.clock.environment)


@pytest.mark.parametrize("step", [-3600, 3600])
def test_leases_hold_and_purges_take_effect_after_a_step_of_every_wall_clock(tmp_path, step):
    with BackgroundServer(Cache) as cache, SteppedRun(tmp_path) as run:
        fleet = relayed_fleet(run, cache.port)
        routers = [process for process, _ in fleet.routers.values()]
        before = json.loads(run.call("submit", "--tag", "sheet", "--wait", "--json"))
        run.clock.step(step)
        began = time.monotonic()
        after = json.loads(run.call("submit", "--tag", "sheet", "--wait", "--json"))
        assert before["in_effect_ms"] and after["in_effect_ms"]
        # The command itself takes some of it to start.
        assert time.monotonic() - began < IN_EFFECT_WITHIN + 1.0
        time.sleep(2 * LEASE)
        assert {row["state"] for row in run.members(2)} == {"live"}
        for process in (*routers, fleet.relay, fleet.desk):
            process.terminate()
        logs = [process.communicate(timeout=10)[1] for process in (*routers, fleet.relay, fleet.desk)]
        assert all("Traceback" not in text for text in logs)
        assert [text.count("without a lease, fenced") for text in logs[:2]] == [0, 0]

"""Steps of the wall clock under desk, relay and routers of fleet-wide purges: leases are spans of real time."""

import json
import time

import pytest
from fleet import endpoint
from processes import BackgroundServer, Cache
from test_purge_processes import Run, router_of

from standins.ports import free_port
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
        desk = run.desk()
        relay_port = free_port()
        relay_site = run.site(
            f"[relay]\nname = depot\nlisten = 127.0.0.1:{relay_port}\nstore = names\n", "relay.ini"
        )
        below = run.site("", "below.ini", above=relay_port)
        relay = run.start("purges", "relay", "--site", relay_site, said="serving purges")
        fleet = [endpoint("c0", cache.port), endpoint("o0", cache.port, "origin")]
        routers = [
            router_of(run, fleet, "n1", below)[0],
            router_of(run, fleet, "n2", str(tmp_path / "desk.ini"))[0],
        ]
        run.members(2)
        before = json.loads(run.call("submit", "--tag", "sheet", "--wait", "--json"))
        run.clock.step(step)
        began = time.monotonic()
        after = json.loads(run.call("submit", "--tag", "sheet", "--wait", "--json"))
        assert before["in_effect_ms"] and after["in_effect_ms"]
        # The command itself takes some of it to start.
        assert time.monotonic() - began < IN_EFFECT_WITHIN + 1.0
        time.sleep(2 * LEASE)
        assert {row["state"] for row in run.members(2)} == {"live"}
        for process in (*routers, relay, desk):
            process.terminate()
        logs = [process.communicate(timeout=10)[1] for process in (*routers, relay, desk)]
        assert all("Traceback" not in text for text in logs)
        assert [text.count("without a lease, fenced") for text in logs[:2]] == [0, 0]

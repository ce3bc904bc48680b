"""Warming with real routers: its owner is stopped while it warms a replaced cache.

Another owner continues under a higher fencing number, and the cache refuses late fills of the first.
"""

import http.client
import re
import time

from standins.crowd import Crowd

GAINED = re.compile(r"duty gained: duty=warm\.z0/(\S+) number=(\d+)")
OVER = re.compile(r"warming is over: cache=(\S+) state=(\S+) why=(.*) number=(\d+)")


def wait(condition, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError(f"did not come within {seconds} s")


def gained_duties(crowd, names):
    """Returns [(router, number)] of all warming duties gained, in order of their numbers."""
    return sorted(
        ((name, int(number)) for name in names for _, number in GAINED.findall(crowd.processes.log(name))),
        key=lambda row: row[1],
    )


def test_a_stopped_owner_is_followed_and_its_late_fills_are_refused(tmp_path):
    sections = {"fleet": {}, "sharing": {}, "warming": {"slots": "1"}}
    with Crowd(tmp_path, 4, 4, sections=sections, zones=1, parents=2, seed=1) as crowd:
        crowd.ready()
        crowd.load.start(16, 120, names=600, alpha=1.0)
        time.sleep(5)
        new, names = crowd.caches.replace("c0"), [f"r{n}" for n in range(4)]
        first, first_number = wait(lambda: gained_duties(crowd, names), 10)[0]
        time.sleep(0.4)
        crowd.stop(first)
        crowd.caches.purge(group=7)
        second, second_number = wait(lambda: gained_duties(crowd, names)[1:], 15)[0]
        wait(lambda: OVER.search(crowd.processes.log(second)), 20)
        crowd.cont(first)
        wait(lambda: "lease over" in crowd.processes.log(first) or OVER.search(crowd.processes.log(first)), 5)
        crowd.load.wait()
        assert second_number > first_number and second != first
        # The fill of a process that was stopped between its check of the lease and its write.
        port = re.search(rf"'{re.escape(new)}'.*?127\.0\.0\.1:(\d+)", str(crowd.caches.known()))[1]
        late = http.client.HTTPConnection("127.0.0.1", int(port), timeout=2)
        late.request(
            "GET",
            "/fetch/page/842b7d9d43cddf75/0",
            headers={
                "X-Trace": "0000ffffffff0001",
                "X-Patience": "1000",
                "X-Origin-Pick": "p0",
                "X-Fence": f"warm.z0/{new} {first_number}",
            },
        )
        assert late.getresponse().status == 409
        late.close()
        table = next(one for one in crowd.caches.tables() if one["cache"] == new)
        neighbours = sum(
            count for slot in table["slots"] for source, count in slot["fills"].items() if source[0] == "c"
        )
        assert neighbours > 10 and sum(slot["refused"] for slot in table["slots"]) >= 1
        assert table["falls"] == [] and table["after_drain"] == []
        assert [line for line in crowd.verdict().violations if not line.startswith("lookups lost")] == []

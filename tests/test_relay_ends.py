"""Planned ends of relays and routers: a purge is in effect only once nobody below may answer from older copies."""

import json
import re
import socket
import time

import pytest
from fleet import answer, message
from processes import BackgroundServer, Cache, ask
from purge_run import Run, relayed_fleet, start_relay
from purging import NAME, SECOND
from test_purge_follower import LonePublisher, Net
from twisted.internet.defer import Deferred

from benchmarks.purges.shapes import LEASE, SKEW
from benchmarks.purges.world import World
from hookrouter.desk.desk import Desk
from hookrouter.desk.store import RestoredOrder
from hookrouter.purges import Purge, types, wire
from hookrouter.purges.followers import Followers, Renewal
from hookrouter.purges.tail import Tail
from hookrouter.stores.purge_log import LoadedPurges

LEASE_SECONDS = 2.0  # as the site file of the tests states
COMMAND_SECONDS = 1.0  # that a command may take to start


# Guards against old answers below a relay that ended as planned, with leaves that come late, twice or not at all.
@pytest.mark.parametrize("block", range(3))
def test_no_schedule_with_planned_ends_of_relays_and_routers_breaks_a_rule(block):
    for seed in range(20 * block, 20 * block + 20):
        assert World(seed, ends=0.15, relays=2).run() == [], seed


def renewal(name, n, generation=1, relay=False):
    return Renewal(name, generation, True, n, n, SKEW, relay)


# Guards against a purge in effect while routers below a relay that has left may answer from older copies.
def test_a_purge_waits_for_the_leases_below_a_relay_that_left_and_no_longer_than_a_lease():
    followers = Followers(LEASE, SKEW, 20, 0)
    followers.renew(0, renewal("depot", 0, relay=True), 0)
    assert not followers.left("depot", 1, relied_on=True) and not followers.left("depot", 1, relied_on=True)
    for n, accepted in ((1, 100), (2, 10 * LEASE)):  # with leases below, and after these
        followers.accepted(accepted, [Purge(1, n, accepted, types.OBJECT, "x")])
        assert followers.settle(accepted + followers.span - 1) == []
        followers.settle(accepted + followers.span)
        assert [done for done, _, _ in followers.settle(followers.latest(accepted))] == [n]
    struck_off = followers.span + 201 * LEASE
    followers.accepted(struck_off, [Purge(1, 3, struck_off, types.OBJECT, "x")])
    followers.settle(struck_off)
    assert [done for done, _, _ in followers.settle(struck_off + followers.settling())] == [3]


# Guards against a leave of a former life that ends the wait for the present one, or takes its name off the disk.
def test_a_leave_of_a_former_life_changes_nothing_of_the_present_one():
    publisher, left = LonePublisher(Net(), 10), []
    publisher.names.add("r1")
    publisher.follower_left = left.append
    assert publisher.renew(wire.Renew("r1", 2, 0, 0, 0, 0, 0, 0)).span == SECOND
    publisher.renew(wire.Renew("r1", 1, 0, 0, 0, 0, 0, 0, leave=True))
    assert left == [] and list(publisher.followers.rows) == ["r1"]
    publisher.renew(wire.Renew("r1", 2, 0, 0, 0, 0, 0, 0, leave=True))
    assert left == ["r1"] and publisher.followers.rows == {}


class SlowStore:
    """A store whose writes of names are done when the test says so."""

    def __init__(self):
        self.writes = []

    def update_followers(self, joined, left):
        self.writes.append((Deferred(), joined, left))
        return self.writes[-1][0]

    def done(self):
        self.writes.pop(0)[0].callback(None)


# Guards against a lease under a name whose removal waits for the disk: a crash of the desk would forget it.
def test_a_follower_that_starts_again_while_the_removal_of_its_name_waits_gets_no_lease_before_it_is_stored():
    store, purges = SlowStore(), {"lease": LEASE, "skew": SKEW}
    loaded = LoadedPurges(1, 0, [], [("n1", 1), ("n2", 1)], None)
    restored = RestoredOrder(Tail(1 << 60, 2), {}, loaded)
    limits = {"most live": 10, "most patterns": 10}
    desk = Desk(Net(), lambda *args, **more: None, purges, limits, store, restored)
    for name in ("n1", "n2"):  # the second removal waits for the first
        desk.renew(wire.Renew(name, 1, 0, 0, 0, 0, 0, 0, leave=True))
    assert desk.renew(wire.Renew("n2", 2, 0, 0, 0, 0, 0, 0)).span == 0
    store.done()
    assert [left for _, _, left in store.writes] == [[]]  # it is not removed after it came back
    store.done()
    assert desk.renew(wire.Renew("n2", 2, 0, 0, 0, 0, 0, 0)).span > 0


class DatedCache(Cache):
    """Keeps its copies, dated in their bytes, and fills one anew that is older than the request wants."""

    copies = {}  # target -> Unix time in milliseconds at which the origin gave the copy out

    def answer_request(self, head):
        target, limit = head.split(b" ")[1], re.search(rb"X-Stale-Limit: (\d+)", head)
        oldest_age = int(limit[1]) if limit else 0
        now = int(time.time() * 1_000)
        made = self.copies.get(target, 0)
        if made < now - (oldest_age or 60_000):
            made = self.copies[target] = now
        self.request.sendall(answer(200, b"%d" % made, b"X-Since-Ms: %d" % made, b"X-Tags: "))


def age_of_answer(port, since):
    """Milliseconds from since, a Unix time in seconds, to when the copy that the router answers was given out."""
    with socket.create_connection(("127.0.0.1", port), 5) as connection:
        connection.settimeout(10)
        result = ask(connection, message(1, lookup=NAME, allow="3000"), 1)[1][1]
    assert 0 in result, result
    return int(result[0][1]) - since * 1_000


def timed_purge(run):
    """Purges the object: (when it was submitted, seconds until it was in effect and said so)."""
    submitted_at, began = time.time(), time.monotonic()
    assert json.loads(run.call("submit", "--object", NAME, "--wait", "--json"))["in_effect_ms"]
    return submitted_at, time.monotonic() - began


# Guards against old answers of a real router below a relay that got SIGTERM, by its lease and after it.
def test_a_purge_binds_a_router_below_a_relay_that_ended_as_planned(tmp_path):
    with BackgroundServer(DatedCache) as cache, Run(tmp_path) as run:
        fleet = relayed_fleet(run, cache.port)
        router, port = fleet.routers["n1"]
        age_of_answer(port, 0)
        fleet.relay.terminate()
        assert fleet.relay.wait(10) == 0
        submitted_at, took = timed_purge(run)
        assert took < LEASE_SECONDS + COMMAND_SECONDS
        assert age_of_answer(port, submitted_at) >= 0
        time.sleep(LEASE_SECONDS)  # from here on it has no lease, and takes young copies
        age_of_answer(port, 0)
        submitted_at, took = timed_purge(run)
        assert took < LEASE_SECONDS + COMMAND_SECONDS
        assert age_of_answer(port, submitted_at) >= 0

        relay = start_relay(run, fleet.relay_site)  # as soon as it is back all is as before
        run.members(2)
        assert min(timed_purge(run)[1] for _ in range(3)) < LEASE_SECONDS / 2 + COMMAND_SECONDS
        router.terminate()  # with nobody below it, a relay goes from the list at once
        assert router.wait(10) == 0
        relay.terminate()
        assert relay.wait(10) == 0
        assert [row["name"] for row in run.members(1)] == ["n2"]

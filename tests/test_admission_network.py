"""Admission on the network: a follower in memory, and desk, relay and routers as processes in a storm."""

import json
import time

from fleet import answer, configuration, endpoint, members
from processes import BackgroundServer, Cache
from purging import event, purges, site
from test_purge_follower import FollowerScene

from hookrouter.feed.reconnect_pacing import ReconnectPacing
from standins.ports import free_port
from standins.storm import Storm


def test_a_follower_that_is_told_comes_back_then_with_its_ticket(tmp_path):
    s = FollowerScene(tmp_path)
    s.handler.lease_left = lambda: 1_234
    s.feed.pace()
    s.feed.on_disconnected(s.feed.stream, "closed")  # told nothing: by jitter
    assert 0.02 <= s.net.seconds() + s.feed.pause <= 0.4 and isinstance(s.feed.pacing, ReconnectPacing)
    s.net.pump([0.05] * 10)
    way = next(way for way in reversed(s.net.ways) if not way.over and hasattr(way.factory, "stream"))
    line = way.up()
    assert b"X-Lease: 1234" in line.take()
    line.come(answer(503, b"{}", b"X-Wait: 30000", b"X-Ticket: abcd", b"X-Fleet: 2000"))
    s.net.advance(0)
    before = len(s.net.ways)
    s.net.pump([0.1] * 29)
    assert not [way for way in s.net.ways[before:] if hasattr(way.factory, "stream")]
    s.net.pump([0.1] * 2)
    line = s.stream()
    assert b"X-Ticket: abcd" in line.asked and s.feed.pacing.reconnector.cap() == 16_000
    s.send(line, event("purges", 5, purges=purges(1)))
    assert s.handler.applied == [1] and s.feed.pacing.reconnector.ticket == ""


def test_a_desk_killed_twice_within_one_storm_of_processes(tmp_path):
    """Routers and followers come back each time; no purge that was acknowledged is lost or answered against."""
    assert site(tmp_path)["purges"]
    with BackgroundServer(Cache) as cache, Storm(tmp_path) as storm:
        desk = storm.desk()
        storm.relay()
        fleet = [endpoint("c0", cache.port), endpoint("o0", cache.port, "origin")]
        for n in range(6):
            path = tmp_path / f"n{n}.json"
            path.write_text(
                json.dumps(configuration(members(1, *fleet, whole=True), listen=f"127.0.0.1:{free_port()}"))
            )
            storm.start(
                "hookrouter",
                "serve",
                "--site",
                storm.sites["direct" if n < 3 else "below"],
                said="serving",
                EDGE_CONFIG=str(path),
                EDGE_NAME=f"n{n}",
            )
        storm.fill(4_000)
        history = storm.followers(60, forget=0.5, rude=0.1)
        storm.all_up(history, 60, 60)
        storm.purge_on(0.2)
        time.sleep(1)
        for pause in (0.25, 0.0):  # the second time in the middle of the storm
            storm.kill(desk)
            began = time.time() * 1_000
            desk = storm.desk()
            time.sleep(pause)
            if pause:
                storm.link.reset()
        storm.all_up(history, 60, 60, began)
        for _ in range(200):  # the routers too, those behind the relay by it
            rows = {row["name"]: row for row in storm.status()["members"]}
            if sum(row["state"] == "live" for row in rows.values()) >= 64:
                break
            time.sleep(0.1)
        assert {"depot", "n0", "n1", "n2", "f000"} <= set(rows)
        storm.over()
        known = {number for number in storm.acknowledged[-200:]}
        for number in known:  # none lost, each stated
            status, facts = storm.call("GET", f"/v1/purges/{number}")
            assert status == 200 and facts["number"] == number
        time.sleep(0.5)
        assert storm.late(history) == []
        with open(history, "a", encoding="utf-8") as file:  # and one that is seeded is found
            now = int(time.time() * 1_000)
            file.writelines(
                json.dumps([at, "f999", may, 0, True]) + "\n"
                for at, may in ((now - 9_000, True), (now, False))
            )
        assert [row[:2] for row in storm.late(history)] == [("f999", 0)]
        facts = storm.status()["admission"]
        assert facts["state"] == "open" and facts["counts"]["admitted"] >= 60
        assert sum(row["name"].startswith("n") for row in storm.status(storm.relay_port)["members"]) == 3

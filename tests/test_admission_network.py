"""Admission over the network: a follower in memory, and a reconnect storm of processes."""

import json
import time

from fleet import answer, configuration, endpoint, members
from processes import BackgroundServer, Cache
from purging import event, purges, site
from test_purge_follower import FollowerScene

from hookrouter.feed.reconnect_pacing import ReconnectPacing
from standins.ports import free_port
from standins.purge_rig import PurgeRig


def test_a_deferred_follower_reconnects_at_the_stated_time_with_its_ticket(tmp_path):
    scene = FollowerScene(tmp_path)
    scene.handler.lease_left = lambda: 1_234
    scene.feed.pace()
    scene.feed.on_disconnected(scene.feed.stream, "closed")  # without an answer: random delay
    assert 0.02 <= scene.net.seconds() + scene.feed.pause <= 0.4 and isinstance(
        scene.feed.pacing, ReconnectPacing
    )
    scene.net.pump([0.05] * 10)
    way = next(way for way in reversed(scene.net.ways) if not way.over and hasattr(way.factory, "stream"))
    line = way.up()
    assert b"X-Lease: 1234" in line.take()
    line.come(answer(503, b"{}", b"X-Wait: 30000", b"X-Ticket: abcd", b"X-Fleet: 2000"))
    scene.net.advance(0)
    before = len(scene.net.ways)
    scene.net.pump([0.1] * 29)
    assert not [way for way in scene.net.ways[before:] if hasattr(way.factory, "stream")]
    scene.net.pump([0.1] * 2)
    line = scene.stream()
    assert b"X-Ticket: abcd" in line.asked and scene.feed.pacing.reconnector.cap() == 16_000
    scene.send(line, event("purges", 5, purges=purges(1)))
    assert scene.handler.applied == [1] and scene.feed.pacing.reconnector.ticket == ""


def test_a_desk_killed_twice_during_one_reconnect_storm(tmp_path):
    """Routers and followers reconnect each time; no acknowledged purge is lost or violated by an answer."""
    assert site(tmp_path)["purges"]
    with BackgroundServer(Cache) as cache, PurgeRig(tmp_path) as purge_rig:
        desk = purge_rig.start_desk()
        purge_rig.start_relay()
        fleet = [endpoint("c0", cache.port), endpoint("o0", cache.port, "origin")]
        for n in range(6):
            path = tmp_path / f"n{n}.json"
            path.write_text(
                json.dumps(configuration(members(1, *fleet, whole=True), listen=f"127.0.0.1:{free_port()}"))
            )
            purge_rig.start(
                "hookrouter",
                "serve",
                "--site",
                purge_rig.sites["direct" if n < 3 else "below"],
                ready_text="serving",
                EDGE_CONFIG=str(path),
                EDGE_NAME=f"n{n}",
            )
        purge_rig.submit_many(4_000)
        history = purge_rig.start_followers(60, forget=0.5, rude=0.1)
        purge_rig.wait_connected(history, 60, 60)
        purge_rig.start_purges(0.2)
        time.sleep(1)
        for pause in (0.25, 0.0):  # the second kill is in the middle of the storm
            purge_rig.kill(desk)
            began = time.time() * 1_000
            desk = purge_rig.start_desk()
            time.sleep(pause)
            if pause:
                purge_rig.link.reset()
        purge_rig.wait_connected(history, 60, 60, began)
        for _ in range(200):  # routers too, directly or through the relay
            rows = {row["name"]: row for row in purge_rig.status()["members"]}
            if sum(row["state"] == "live" for row in rows.values()) >= 64:
                break
            time.sleep(0.1)
        assert {"depot", "n0", "n1", "n2", "f000"} <= set(rows)
        purge_rig.stop_purges()
        known = {number for number in purge_rig.acknowledged[-200:]}
        for number in known:  # none lost, each reported
            status, facts = purge_rig.call("GET", f"/v1/purges/{number}")
            assert status == 200 and facts["number"] == number
        time.sleep(0.5)
        assert purge_rig.stale_answers(history) == []
        with open(history, "a", encoding="utf-8") as file:  # the check finds a seeded violation
            now = int(time.time() * 1_000)
            file.writelines(
                json.dumps([at, "f999", may, 0, True]) + "\n"
                for at, may in ((now - 9_000, True), (now, False))
            )
        assert [row[:2] for row in purge_rig.stale_answers(history)] == [("f999", 0)]
        facts = purge_rig.status()["admission"]
        assert facts["state"] == "open" and facts["counts"]["admitted"] >= 60
        assert (
            sum(row["name"].startswith("n") for row in purge_rig.status(purge_rig.relay_port)["members"]) == 3
        )

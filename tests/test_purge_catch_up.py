"""Followers that catch up by sealed slices over the network: in memory, and as processes under faults."""

import http.client
import json
import re
import signal
import socket
import time

from fleet import answer, endpoint, message
from processes import BackgroundServer, Cache, ask
from purge_run import Run, router_of
from purging import event, purges, sealed_upto
from test_purge_follower import FollowerScene, LonePublisher, Net, Request

from hookrouter.desk.publisher import FollowRequest
from hookrouter.purges import Purge, slice_codec, types
from hookrouter.purges.retention.archive import Archive
from hookrouter.purges.tail import MOST_NAMES
from hookrouter.purges.types import START, Position
from standins.links import Link
from standins.ports import free_port

HOLD, SEALED = 864_000_000, 3_000_000


def encoded(span, *names, last=3):
    archive = Archive(HOLD, 2_000)
    for name in names:
        archive.add(Purge(5, last, span * archive.length, types.OBJECT, name))
    (one,) = archive.live()
    return slice_codec.encode(one.state())


# ---- a follower in memory


class CatchingUp(FollowerScene):
    def __init__(self, folder):
        super().__init__(folder)
        self.adopted = []
        self.handler.adopt = self.adopted.append
        self.asked = 0

    def snapshot(self, *rows, newest=9):
        line = self.stream()
        self.send(line, event("begin", 5, slices=list(rows)))
        self.send(line, event("end", 5, n=newest, of=5, count=0))
        return line

    def pass_time(self, seconds):
        """Advances in steps, so that calls scheduled by other calls run in time."""
        for _ in range(round(seconds * 100)):
            self.net.advance(0.01)

    def request(self, target):
        """The newest connection that requests that path, and its request."""
        self.pass_time(0.01)
        for way in reversed(self.net.ways):
            if hasattr(way.factory, "connection"):
                line = way.wire if way.wire is not None else (None if way.over else way.up())
                if line is not None and line.open and target in line.value():
                    return line, line.take()
        return None, b""

    def renewed(self):
        """The lowest applied number that the newest renewal reports; all renewals are answered."""
        least = None
        for _ in range(12):
            self.pass_time(0.1)
            line, asked = self.request(b"POST /v1/renew")
            if line is not None:
                least = json.loads(asked.rsplit(b"\r\n\r\n", 1)[1])["least"]
                line.come(answer(200, b'{"span":0,"epoch":5,"at":0,"settling":0}'))
        return least


def test_no_position_is_reported_before_the_last_slice_is_applied(tmp_path):
    scene, first, second = CatchingUp(tmp_path), encoded(7, "a"), encoded(6, "b")
    assert b"X-Slices: 0.0" in scene.snapshot(first.row, second.row).asked
    line, asked = scene.request(b"GET /v1/slices/" + first.row.digest.encode())
    assert b"Bearer 0123456789abcdef" in asked and scene.renewed() == -1
    line.come(answer(200, first.body)[:-1])
    assert scene.adopted == [] and scene.renewed() == -1
    line.come(first.body[-1:])
    assert [state.key.span for state in scene.adopted] == [7] and scene.renewed() == -1
    line, _ = scene.request(second.row.digest.encode())
    line.come(answer(200, second.body))
    scene.pass_time(0.01)
    assert [state.key.span for state in scene.adopted] == [7, 6] and scene.renewed() == 9
    assert scene.counted.count("slices_fetched") == 2


def test_a_truncated_or_wrong_slice_is_refused_counted_and_fetched_again(tmp_path):
    scene, wanted, other = CatchingUp(tmp_path), encoded(7, "a"), encoded(6, "b")
    scene.snapshot(wanted.row)
    target = wanted.row.digest.encode()
    line, _ = scene.request(target)
    line.come(answer(200, wanted.body)[:-5])
    line.abortConnection()  # in the middle of the body
    scene.pass_time(0.3)
    line, _ = scene.request(target)
    line.come(answer(200, other.body))
    assert scene.counted.count("slices_failed") == scene.counted.count("slices_refused") == 1
    assert "wire-slice" in str(scene.lines) and scene.adopted == []
    scene.pass_time(0.3)
    line, _ = scene.request(target)
    line.come(answer(200, wanted.body))
    scene.pass_time(0.01)
    assert [state.key.span for state in scene.adopted] == [7] and scene.renewed() == 9


def test_missing_slices_are_listed_again_and_applied_ones_are_not_fetched_again(tmp_path):
    scene, first, second = CatchingUp(tmp_path), encoded(7, "a"), encoded(6, "b")
    stream = scene.snapshot(first.row, second.row)
    line, _ = scene.request(first.row.digest.encode())
    line.come(answer(200, first.body))
    line, _ = scene.request(second.row.digest.encode())
    line.come(answer(404, b"{}"))
    assert not stream.open and scene.feed.catching_up()
    scene.pass_time(0.1)
    grown = encoded(6, "b", "c", last=8)
    again = scene.snapshot(grown.row, first.row, newest=11)
    assert b"X-Position: 0.0" in again.asked and b"X-Slices: 0.0" in again.asked
    assert scene.renewed() == -1
    line, _ = scene.request(grown.row.digest.encode())
    line.come(answer(200, grown.body))
    scene.pass_time(0.01)
    assert scene.request(first.row.digest.encode())[0] is None and scene.renewed() == 11
    # Later it states up to where it holds all slices.
    again.abortConnection()
    scene.pass_time(0.1)
    assert b"X-Slices: 5.11" in scene.stream().asked


def test_three_refused_slices_in_a_row_cause_another_snapshot(tmp_path):
    scene, wanted = CatchingUp(tmp_path), encoded(7, "a")
    scene.snapshot(wanted.row)
    for _ in range(3):
        line, _ = scene.request(wanted.row.digest.encode())
        line.come(answer(200, b"x" * wanted.row.size))
        scene.pass_time(0.3)
    assert scene.counted.count("slices_refused") == 3 and scene.feed.place.catch_up.list_anew
    line = scene.stream()  # the order continues without a snapshot: nothing is sealed there
    scene.send(line, event("purges", 5, purges=purges(1, 2)))
    assert not scene.feed.catching_up() and scene.renewed() == 2
    assert scene.feed.stop() is None


# ---- a desk or relay in memory


def filled_publisher(count, recent=5):
    publisher = LonePublisher(Net(), recent)
    for number in range(1, count + 1):
        publisher.tail.add(Purge(5, number, number, types.OBJECT, f"o{number}"))
    return publisher


def test_a_follower_without_slices_is_refused_only_if_something_is_sealed():
    young, sealed = filled_publisher(4), filled_publisher(40)
    assert young.follow(Request(), FollowRequest(Position(4, 1), 5, None))
    assert sealed.follow(Request(), FollowRequest(START, 5, None)) is False
    assert sealed.counters == {"followers_of_a_former_version": 1}
    request = Request()
    assert sealed.follow(request, FollowRequest(START, 5, START))
    assert b'"slices"' in b"".join(request.written) and sealed.slice("nothing") is None


def test_a_snapshot_lists_no_slices_older_than_the_followers_position():
    sealed = filled_publisher(40)
    assert [row.last for row in sealed.tail.snapshot(START).slices] == [35]
    assert sealed.tail.snapshot(Position(5, 36)).slices == []
    assert [purge.n for purge in sealed.tail.snapshot(Position(5, 36)).purges] == [37, 38, 39, 40]
    assert [row.last for row in sealed.tail.snapshot(Position(4, 36)).slices] == [35]  # of another epoch


# ---- processes


MANY, AT_ONCE = 23_000, 1_000  # more than a desk keeps by name
SECRET = {"Authorization": "Bearer 0123456789abcdef"}


class Answering(Cache):
    """Answers with fresh copies; records the requested maximum age in milliseconds by path."""

    limits = {}

    def handle(self):
        head = b""
        while piece := self.request.recv(65_536):
            head += piece
            while b"\r\n\r\n" in head:
                one, _, head = head.partition(b"\r\n\r\n")
                self.limits[one.split(b" ")[1]] = int(re.search(rb"X-Stale-Limit: (\d+)", one)[1])
                self.request.sendall(answer(200, b"copy", b"X-Since-Ms: %d" % (time.time() * 1_000)))


def submit(run, first, last):
    """Submits purges of objects named by their numbers; returns the numbers that the desk assigned."""
    connection, numbers = http.client.HTTPConnection("127.0.0.1", run.port, timeout=20), []
    for start in range(first, last, AT_ONCE):
        rows = [
            {"sort": "object", "what": f"{number:016x}"}
            for number in range(start, min(last, start + AT_ONCE))
        ]
        body = json.dumps({"key": f"many-{start}", "purges": rows})
        connection.request("POST", "/v1/purges", body, SECRET)
        response = connection.getresponse()
        answered = json.loads(response.read())
        assert response.status == 200, answered
        numbers += [int(row["number"].split(".")[1]) for row in answered["purges"]]
    connection.close()
    return numbers


def limit_ms(connection, number):
    """The maximum age in milliseconds that the router requests from a cache for the object of that name."""
    limit_ms.asked += 1
    part = f"{limit_ms.asked}"
    ask(connection, message(limit_ms.asked, lookup=f"{number:016x}", part=part), 1)
    return Answering.limits.get(f"/fetch/clip/{number:016x}/{part}".encode())


limit_ms.asked = 0


def facts(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    connection.request("GET", "/v1/status", headers=SECRET)
    found = json.loads(connection.getresponse().read())
    connection.close()
    return found


def wait_for(condition, within=30.0):
    end = time.monotonic() + within
    while not (found := condition()) and time.monotonic() < end:
        time.sleep(0.05)
    return found


def live(port, name, newest):
    """Whether that follower has applied all up to newest and holds a lease."""
    rows = {row["name"]: row for row in facts(port)["members"]}
    return name in rows and rows[name]["state"] == "live" and rows[name]["n"] >= newest


def test_a_starting_router_applies_sealed_purges_despite_kills_and_cuts(tmp_path):
    with BackgroundServer(Answering) as cache, Run(tmp_path) as run:
        desk, began = run.desk(), time.time()
        assert submit(run, 0, MANY) == list(range(1, MANY + 1))
        before = facts(run.port)
        assert before["sealed"] == MANY - MOST_NAMES and before["live"] == MANY
        link = Link(("127.0.0.1", run.port))
        relay_port = free_port()
        relay_site = run.site(
            f"[relay]\nname = depot\nlisten = 127.0.0.1:{relay_port}\nstore = names\nabove = 127.0.0.1:{link.port}\n",
            "relay.ini",
        )
        below = run.site("", "below.ini", above=relay_port)
        relay = run.start("purges", "relay", "--site", relay_site, said="serving purges")
        time.sleep(0.3)
        link.reset()  # in the middle of its snapshot, or of a slice
        assert wait_for(lambda: live(run.port, "depot", MANY))
        assert facts(relay_port)["sealed"] >= before["sealed"]

        fleet = [endpoint("c0", cache.port), endpoint("o0", cache.port, "origin")]
        router, port = router_of(run, fleet, "n1", below)
        time.sleep(0.5)
        router.kill()  # while it catches up
        router, port = router_of(run, fleet, "n1", below)
        assert wait_for(lambda: live(relay_port, "n1", MANY))
        with socket.create_connection(("127.0.0.1", port), 5) as connection:
            connection.settimeout(10)
            fresh_ms = 8_000  # of that kind; the router requests no older copies
            assert wait_for(lambda: limit_ms(connection, 1 << 40) == fresh_ms, 6)  # never purged
            for number in (1, MANY - 1):  # one sealed, one kept by name
                assert limit_ms(connection, number) < (time.time() - began) * 1_000 + 100

        desk.send_signal(signal.SIGKILL)  # while its store seals; no acknowledged purge is lost
        desk.wait()
        desk = run.desk()
        assert facts(run.port)["newest"].split(".")[1] == str(MANY)
        again = submit(run, 0, 1_000)  # older than the keys kept: becomes a new purge, which is harmless
        assert again == list(range(MANY + 1, MANY + 1_001))
        assert submit(run, MANY - 1_000, MANY) == list(range(MANY - 999, MANY + 1))  # known keys
        assert wait_for(lambda: live(run.port, "depot", MANY + 1_000))
        assert wait_for(lambda: live(relay_port, "n1", MANY + 1_000))

        assert wait_for(lambda: sealed_upto(tmp_path / "purges.db") >= 1_000, 40)
        desk.send_signal(signal.SIGTERM)
        errors = desk.communicate(timeout=10)[1]
        assert desk.returncode == 0 and "Traceback" not in errors, errors
        assert f"{MANY + 1_000} purges are sound" in run.call("verify")
        run.desk()  # restored from its sealed part
        assert facts(run.port)["sealed"] >= 1_000 and facts(run.port)["live"] >= MANY
        router.send_signal(signal.SIGTERM)
        errors = router.communicate(timeout=10)[1]
        assert "Traceback" not in errors and "slices_taken" in errors, errors
        relay.send_signal(signal.SIGTERM)
        assert "Traceback" not in relay.communicate(timeout=10)[1]
        link.close()

"""Followers that catch up by sealed slices on the network: in memory, and as processes under kills and cuts."""

import http.client
import json
import re
import signal
import socket
import time

from fleet import answer, endpoint, message
from processes import BackgroundServer, Cache, ask
from purging import event, purges, sealed_upto
from test_purge_follower import FollowerScene, LonePublisher, Net, Request
from test_purge_processes import Run, router_of

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
        """In steps, so that what is due after something else is due in time."""
        for _ in range(round(seconds * 100)):
            self.net.advance(0.01)

    def request(self, target):
        """The newest connection that asks for that path, and what it asked."""
        self.pass_time(0.01)
        for way in reversed(self.net.ways):
            if hasattr(way.factory, "connection"):
                line = way.wire if way.wire is not None else (None if way.over else way.up())
                if line is not None and line.open and target in line.value():
                    return line, line.take()
        return None, b""

    def renewed(self):
        """The least that the newest renewal says is applied; all are answered."""
        least = None
        for _ in range(12):
            self.pass_time(0.1)
            line, asked = self.request(b"POST /v1/renew")
            if line is not None:
                least = json.loads(asked.rsplit(b"\r\n\r\n", 1)[1])["least"]
                line.come(answer(200, b'{"span":0,"epoch":5,"at":0,"settling":0}'))
        return least


def test_nothing_is_answered_for_before_the_last_slice_is_taken_in(tmp_path):
    s, first, second = CatchingUp(tmp_path), encoded(7, "a"), encoded(6, "b")
    assert b"X-Slices: 0.0" in s.snapshot(first.row, second.row).asked
    line, asked = s.request(b"GET /v1/slices/" + first.row.digest.encode())
    assert b"Bearer 0123456789abcdef" in asked and s.renewed() == -1
    line.come(answer(200, first.body)[:-1])
    assert s.adopted == [] and s.renewed() == -1
    line.come(first.body[-1:])
    assert [state.key.span for state in s.adopted] == [7] and s.renewed() == -1
    line, _ = s.request(second.row.digest.encode())
    line.come(answer(200, second.body))
    s.pass_time(0.01)
    assert [state.key.span for state in s.adopted] == [7, 6] and s.renewed() == 9
    assert s.counted.count("slices_fetched") == 2


def test_a_slice_that_is_cut_short_altered_or_anothers_is_refused_counted_and_fetched_again(tmp_path):
    s, wanted, other = CatchingUp(tmp_path), encoded(7, "a"), encoded(6, "b")
    s.snapshot(wanted.row)
    target = wanted.row.digest.encode()
    line, _ = s.request(target)
    line.come(answer(200, wanted.body)[:-5])
    line.abortConnection()  # in the middle of it
    s.pass_time(0.3)
    line, _ = s.request(target)
    line.come(answer(200, other.body))
    assert s.counted.count("slices_failed") == s.counted.count("slices_refused") == 1
    assert "wire-slice" in str(s.lines) and s.adopted == []
    s.pass_time(0.3)
    line, _ = s.request(target)
    line.come(answer(200, wanted.body))
    s.pass_time(0.01)
    assert [state.key.span for state in s.adopted] == [7] and s.renewed() == 9


def test_slices_that_cannot_be_had_are_listed_anew_and_what_was_taken_is_not_asked_for_again(tmp_path):
    s, first, second = CatchingUp(tmp_path), encoded(7, "a"), encoded(6, "b")
    stream = s.snapshot(first.row, second.row)
    line, _ = s.request(first.row.digest.encode())
    line.come(answer(200, first.body))
    line, _ = s.request(second.row.digest.encode())
    line.come(answer(404, b"{}"))
    assert not stream.open and s.feed.catching_up()
    s.pass_time(0.1)
    grown = encoded(6, "b", "c", last=8)
    again = s.snapshot(grown.row, first.row, newest=11)
    assert b"X-Position: 0.0" in again.asked and b"X-Slices: 0.0" in again.asked
    assert s.renewed() == -1
    line, _ = s.request(grown.row.digest.encode())
    line.come(answer(200, grown.body))
    s.pass_time(0.01)
    assert s.request(first.row.digest.encode())[0] is None and s.renewed() == 11
    # Later it says up to where it holds all that is sealed.
    again.abortConnection()
    s.pass_time(0.1)
    assert b"X-Slices: 5.11" in s.stream().asked


def test_three_refusals_in_a_row_are_enough_and_another_snapshot_is_asked_for(tmp_path):
    s, wanted = CatchingUp(tmp_path), encoded(7, "a")
    s.snapshot(wanted.row)
    for _ in range(3):
        line, _ = s.request(wanted.row.digest.encode())
        line.come(answer(200, b"x" * wanted.row.size))
        s.pass_time(0.3)
    assert s.counted.count("slices_refused") == 3 and s.feed.place.catch_up.list_anew
    line = s.stream()  # the order goes on without a snapshot: nothing is sealed there
    s.send(line, event("purges", 5, purges=purges(1, 2)))
    assert not s.feed.catching_up() and s.renewed() == 2
    assert s.feed.stop() is None


# ---- a desk or relay in memory


def filled(count, recent=5):
    publisher = LonePublisher(Net(), recent)
    for n in range(1, count + 1):
        publisher.tail.add(Purge(5, n, n, types.OBJECT, f"o{n}"))
    return publisher


def test_a_follower_of_the_former_version_is_turned_away_only_where_something_is_sealed():
    young, old = filled(4), filled(40)
    assert young.follow(Request(), FollowRequest(Position(4, 1), 5, None))
    assert old.follow(Request(), FollowRequest(START, 5, None)) is False
    assert old.counters == {"followers_of_a_former_version": 1}
    request = Request()
    assert old.follow(request, FollowRequest(START, 5, START))
    assert b'"slices"' in b"".join(request.written) and old.slice("nothing") is None


def test_who_lacks_the_newest_is_given_no_slice_that_is_older_than_its_place():
    old = filled(40)
    assert [row.last for row in old.tail.snapshot(START).slices] == [35]
    assert old.tail.snapshot(Position(5, 36)).slices == []
    assert [purge.n for purge in old.tail.snapshot(Position(5, 36)).purges] == [37, 38, 39, 40]
    assert [row.last for row in old.tail.snapshot(Position(4, 36)).slices] == [35]  # of another life


# ---- processes


MANY, AT_ONCE = 23_000, 1_000  # more than a desk keeps one by one
SECRET = {"Authorization": "Bearer 0123456789abcdef"}


class Answering(Cache):
    """New copies; keeps the age that was asked for, in milliseconds, by path."""

    limits = {}

    def handle(self):
        head = b""
        while piece := self.request.recv(65_536):
            head += piece
            while b"\r\n\r\n" in head:
                one, _, head = head.partition(b"\r\n\r\n")
                self.limits[one.split(b" ")[1]] = int(re.search(rb"X-Stale-Limit: (\d+)", one)[1])
                self.request.sendall(answer(200, b"copy", b"X-Since-Ms: %d" % (time.time() * 1_000)))


def submitted(run, first, last):
    """Purges of objects named by their numbers; the numbers that the desk gave."""
    connection, given = http.client.HTTPConnection("127.0.0.1", run.port, timeout=20), []
    for start in range(first, last, AT_ONCE):
        rows = [{"sort": "object", "what": f"{n:016x}"} for n in range(start, min(last, start + AT_ONCE))]
        body = json.dumps({"key": f"many-{start}", "purges": rows})
        connection.request("POST", "/v1/purges", body, SECRET)
        got = connection.getresponse()
        answered = json.loads(got.read())
        assert got.status == 200, answered
        given += [int(row["number"].split(".")[1]) for row in answered["purges"]]
    connection.close()
    return given


def limit_ms(connection, n):
    """The age of copies that the router asks a cache for, for an object of that name."""
    limit_ms.asked += 1
    part = f"{limit_ms.asked}"
    ask(connection, message(limit_ms.asked, lookup=f"{n:016x}", part=part), 1)
    return Answering.limits.get(f"/fetch/clip/{n:016x}/{part}".encode())


limit_ms.asked = 0


def facts(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    connection.request("GET", "/v1/status", headers=SECRET)
    found = json.loads(connection.getresponse().read())
    connection.close()
    return found


def waited(what, within=30.0):
    end = time.monotonic() + within
    while not (found := what()) and time.monotonic() < end:
        time.sleep(0.05)
    return found


def live(port, name, newest):
    """Whether that follower has all up to there, with a lease."""
    rows = {row["name"]: row for row in facts(port)["members"]}
    return name in rows and rows[name]["state"] == "live" and rows[name]["n"] >= newest


def test_a_router_that_starts_is_bound_by_what_the_desk_has_sealed_through_kills_and_cuts(tmp_path):
    with BackgroundServer(Answering) as cache, Run(tmp_path) as run:
        desk, began = run.desk(), time.time()
        assert submitted(run, 0, MANY) == list(range(1, MANY + 1))
        sealed = facts(run.port)
        assert sealed["sealed"] == MANY - MOST_NAMES and sealed["live"] == MANY
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
        assert waited(lambda: live(run.port, "depot", MANY))
        assert facts(relay_port)["sealed"] >= sealed["sealed"]

        fleet = [endpoint("c0", cache.port), endpoint("o0", cache.port, "origin")]
        router, port = router_of(run, fleet, "n1", below)
        time.sleep(0.5)
        router.kill()  # while it catches up
        router, port = router_of(run, fleet, "n1", below)
        assert waited(lambda: live(relay_port, "n1", MANY))
        with socket.create_connection(("127.0.0.1", port), 5) as connection:
            connection.settimeout(10)
            fresh_ms = 8_000  # of that kind; the router asks for no older copies
            assert waited(lambda: limit_ms(connection, 1 << 40) == fresh_ms, 6)  # never purged
            for n in (1, MANY - 1):  # sealed; one by one
                assert limit_ms(connection, n) < (time.time() - began) * 1_000 + 100

        desk.send_signal(signal.SIGKILL)  # while its store seals; nothing that was acknowledged is lost
        desk.wait()
        desk = run.desk()
        assert facts(run.port)["newest"].split(".")[1] == str(MANY)
        again = submitted(run, 0, 1_000)  # of before what is kept one by one: a new purge, which is harmless
        assert again == list(range(MANY + 1, MANY + 1_001))
        assert submitted(run, MANY - 1_000, MANY) == list(range(MANY - 999, MANY + 1))  # known
        assert waited(lambda: live(run.port, "depot", MANY + 1_000))
        assert waited(lambda: live(relay_port, "n1", MANY + 1_000))

        assert waited(lambda: sealed_upto(tmp_path / "purges.db") >= 1_000, 40)
        desk.send_signal(signal.SIGTERM)
        said = desk.communicate(timeout=10)[1]
        assert desk.returncode == 0 and "Traceback" not in said, said
        assert f"{MANY + 1_000} purges are sound" in run.call("verify")
        run.desk()  # by its sealed part
        assert facts(run.port)["sealed"] >= 1_000 and facts(run.port)["live"] >= MANY
        router.send_signal(signal.SIGTERM)
        said = router.communicate(timeout=10)[1]
        assert "Traceback" not in said and "slices_taken" in said, said
        relay.send_signal(signal.SIGTERM)
        assert "Traceback" not in relay.communicate(timeout=10)[1]
        link.close()

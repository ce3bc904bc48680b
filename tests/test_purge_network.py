"""Purges on the network: a router in memory."""

import json

import pytest
from fleet import Net, Wire, answer, answers, configuration, endpoint, members, message
from purging import NAME, SECOND, site
from scenes import START_TIME, LogBuffer

from hookrouter import interface
from hookrouter.caches.response_tail import SILENCE_DURATION
from hookrouter.feed.events import parse_event
from hookrouter.log import Log
from hookrouter.node.counters import Counters
from hookrouter.node.router import Router
from hookrouter.node.start import read_start
from hookrouter.purges import Purge, types
from hookrouter.purges.guard import TRIAL_COST

FLEET = (
    endpoint("c0", 7100),
    endpoint("c1", 7101),
    endpoint("p0", 7102, "parent"),
    endpoint("o0", 7103, "origin"),
)


class Scene:
    def __init__(self, folder, more="", skew="1 ms"):
        self.net, self.out = Net(), LogBuffer()
        path = folder / "config.json"
        path.write_text(json.dumps(configuration(members(1, *FLEET, whole=True))))
        start = read_start({"EDGE_CONFIG": str(path)}, sections=site(folder, skew=skew, more=more))
        self.counters = Counters([kind.name for kind in start.terms.kinds])
        self.router = Router(
            start,
            self.net,
            Log(self.net.seconds, self.out),
            self.counters,
            self.wall,
            lambda: int(self.net.seconds() * SECOND),
        )
        self.net.advance(1)
        self.purging, self.clients, self.newest_number = self.router.purges, [], 0

    def wall(self):
        return START_TIME + self.net.seconds()

    def lease(self, span=2 * SECOND):
        now = int(self.net.seconds() * SECOND)
        self.purging.on_grant(now, self.router.now(), span, self.router.now())

    def purge(self, kind=types.OBJECT, what=NAME, ago=0.0):
        self.newest_number += 1
        self.purging.on_purges([Purge(1, self.newest_number, int((self.wall() - ago) * SECOND), kind, what)])

    def ask(self, **fields):
        """Makes a call on a new connection, because a silent one is closed."""
        self.clients.append(Wire(self.net).join(self.router.front.buildProtocol(None)))
        number = len(self.clients)
        self.clients[-1].come(message(1, ref=f"{number:016x}", **{"allow": "3000", **fields}))
        return number

    def cache(self):
        """The connection of the active send, and its maximum age in milliseconds."""
        lines = [
            way.wire or (way.up() if not way.over else None) for way in self.net.ways if way.port != 9100
        ]
        line = next(line for line in lines if line is not None and line.open and line.value())
        head = line.take()
        age = [part for part in head.split(b"\r\n") if part.startswith(b"X-Stale-Limit")]
        return line, int(age[0].split(b":")[1]) if age else None

    def comes(self, line, ago, *fields, body=b"bytes"):
        since = int((self.wall() - ago) * 1_000)
        line.come(answer(200, body, b"X-Since-Ms: %d" % since, *fields))

    def ends(self):
        words = {0: "satisfied", 1: "nacked", 2: "failed"}
        return {
            number: words[next(iter(struct))]
            for number, wire in enumerate(self.clients, 1)
            for _, struct in answers(wire.value()).values()
        }


def test_a_purge_told_while_a_fill_is_out_binds_its_answer_once_its_grace_is_over(tmp_path):
    s = Scene(tmp_path)
    s.lease(60 * SECOND)
    first = s.ask()
    line, _ = s.cache()
    s.purge()
    s.net.advance(0.4)  # within the grace of 500 ms
    s.comes(line, 1.0)
    assert s.ends() == {first: "satisfied"}
    second = s.ask(part="4")
    line, age = s.cache()
    assert 390 <= age <= 400  # requested with the send
    s.net.advance(0.2)
    s.comes(line, 1.0)  # a cache that ignores the bound, or a fill from another depot
    assert s.counters.values["copies_refused"] == 1 and second not in s.ends()
    line, age = s.cache()  # tried elsewhere
    s.comes(line, 0.1)
    assert s.ends()[second] == "satisfied"


def test_a_copy_of_its_own_is_not_given_once_purged_by_tag_pattern_or_group(tmp_path):
    for kind, what in (
        (types.TAG, "red"),
        (types.GLOB, f"clip/{NAME[:4]}*"),
        (types.GROUP, "17"),
        (types.OBJECT, NAME),
    ):
        s = Scene(tmp_path)
        s.lease(60 * SECOND)
        s.ask()
        s.comes(s.cache()[0], 0.0, b"X-Tags: red blue")
        s.net.advance(SILENCE_DURATION)  # then it is known to be whole
        s.ask()
        assert s.counters.values["copies_given"] == 1
        s.net.advance(0.1)
        s.purge(types.TAG, "green")  # none of its tags
        s.ask()
        assert s.counters.values["copies_given"] == 2
        s.purge(kind, what)
        s.ask()
        assert s.counters.values["copies_given"] == 2 and s.counters.values["sends"] == 2


def test_an_object_without_known_tags_is_bound_by_any_tag_and_304_is_judged_too(tmp_path):
    s = Scene(tmp_path)
    s.lease(60 * SECOND)
    s.purge(types.TAG, "red")
    s.net.advance(1)
    s.ask(have="aa")
    line, age = s.cache()
    assert age <= 1_000
    line.come(b"HTTP/1.1 304 X\r\nX-Rev: aa\r\nX-Since-Ms: %d\r\n\r\n" % int((s.wall() - 5) * 1_000))
    assert s.counters.values["copies_refused"] == 1 and s.ends() == {}


def test_a_first_send_leaves_unknown_tags_to_the_answer_and_a_refused_one_asks_for_less_age(tmp_path):
    s = Scene(tmp_path)
    s.lease(60 * SECOND)
    for n in range(2 * TRIAL_COST):  # responses that name their tags
        s.ask(part=str(n))
        s.comes(s.cache()[0], 0.0, b"X-Tags: red")
    s.purge(types.TAG, "blue")
    s.net.advance(1)
    good = s.ask(lookup="0" * 16)
    line, age = s.cache()
    assert age > 5_000
    s.comes(line, 5.0, b"X-Tags: green")
    assert s.ends()[good] == "satisfied"
    for n, tags in enumerate((b"X-Tags: green blue", b"X-Tags: " + b"x" * 65), 1):
        purged = s.ask(lookup=f"{n:016x}")
        line, age = s.cache()
        assert age > 5_000
        s.comes(line, 5.0, tags)  # of a tag that was purged; with tags that cannot be read
        assert s.counters.values["copies_refused"] == n and purged not in s.ends()
        line, age = s.cache()
        assert age <= 1_100  # the next send is bound by any tag
        s.comes(line, 0.1, tags)
        assert s.ends()[purged] == "satisfied"
    s.ask(lookup="5" * 16)
    assert s.cache()[1] <= 1_100  # two were rejected: trust in first sends has to build up again


def test_without_a_lease_only_young_copies_answer_and_a_pause_is_noticed_first(tmp_path):
    s = Scene(tmp_path)
    s.ask()
    assert s.cache()[1] == 1  # joining: only what the origin issues from now on
    s.lease()
    early = s.ask(part="5")
    line, age = s.cache()
    assert age > 2_000
    s.net.rightNow += 2.5  # the process was stopped, with the response unread
    s.comes(line, 5.0)
    assert early not in s.ends() and s.counters.values["copies_refused"] == 1
    assert "without a lease, fenced: was=current now=fenced" in s.out.text
    s.ask(part="6")
    assert s.cache()[1] <= 2_000


def test_a_snapshot_is_taken_in_by_slices_and_answered_for_only_as_a_whole(tmp_path):
    s = Scene(tmp_path)
    s.lease(60 * SECOND)
    ticks = iter(range(10**6))
    s.purging.stopwatch = lambda: next(ticks) / 1_000  # a millisecond per purge
    s.purging.on_snapshot(
        [Purge(1, n, int(s.wall() * SECOND), types.OBJECT, f"o{n}") for n in range(1, 22)], (1, 21)
    )
    assert 0 < len(s.router.guard.index) < 21 and s.purging.acknowledged(21) == (-1, -1)
    taken = s.ask()  # lookups go on between
    s.comes(s.cache()[0], 0.0)
    assert s.ends() == {taken: "satisfied"}
    s.net.pump([0.001] * 8)
    assert len(s.router.guard.index) == 21 and s.purging.acknowledged(21) == (21, 21)


# Guards against purges lost, and no lease, at a router whose snapshot holds patterns that fit no common set.
def test_a_snapshot_of_large_patterns_binds_and_is_answered_for(tmp_path):
    s = Scene(tmp_path)
    s.lease(60 * SECOND)
    s.purging.on_snapshot(
        [
            Purge(1, n, int(s.wall() * SECOND), types.REGEX, f"[^/]{{1,255}}/{n:04x}[^/]{{0,255}}")
            for n in range(1, 71)
        ],
        (1, 70),
    )
    s.net.pump([0.001] * 80)
    assert s.purging.acknowledged(70) == (70, 70)
    s.net.advance(1)
    for n in range(1, 71):
        s.ask(lookup=f"{n:04x}7a9c21e0b4d6")
        line, age = s.cache()
        assert age <= 1_100
        s.comes(line, 0.1)
    s.ask(lookup="ffff7a9c21e0b4d6")
    assert s.cache()[1] > 1_100


# Guards against a purge that is answered for though its application failed, and a backlog that stops behind it.
@pytest.mark.parametrize("fault", ("told", "on_fleet_purge"))
def test_a_purge_whose_application_fails_counts_against_every_name(tmp_path, monkeypatch, fault):
    s = Scene(tmp_path)
    s.lease(60 * SECOND)

    def failing(*_):
        raise RuntimeError("a fault")

    if fault == "told":
        monkeypatch.setattr(s.router.guard, fault, failing)
    else:
        s.router.warming_observer = type("Observer", (), {fault: staticmethod(failing)})
    told = int(s.wall() * SECOND)
    s.purging.on_purges(
        [Purge(1, 1, told, types.OBJECT, "another"), Purge(1, 2, told, types.OBJECT, "a third")]
    )
    monkeypatch.undo()
    s.router.warming_observer = None
    assert s.purging.acknowledged(2) == (2, 2)
    assert s.counters.values["purges_told"] == s.counters.values["purges_failed"] == 2
    assert s.out.text.count("purge could not be applied") == 2 and "RuntimeError" in s.out.text
    s.net.advance(1)
    s.ask()
    assert s.cache()[1] <= 1_100


def test_a_fenced_router_that_nacks_does_so_at_once_but_writes_go_on(tmp_path):
    s = Scene(tmp_path, "fenced = nack\n")
    read, write = s.ask(), s.ask(service="hold", replay="ab" * 16, body=b"x")
    assert s.ends() == {read: "nacked"}
    line, age = s.cache()
    assert age is None
    line.come(answer(200, b"done"))
    assert s.ends() == {read: "nacked", write: "satisfied"}


def test_a_drain_and_a_purge_at_once_are_both_kept(tmp_path):
    s = Scene(tmp_path)
    s.lease(60 * SECOND)
    s.ask()
    line, _ = s.cache()
    left = line.protocol.endpoint.name
    s.router.on_cache_list(
        parse_event(json.dumps(members(2, endpoint(left, 7100 + int(left[1]), status="leaving"))))
    )
    s.purge()
    s.net.advance(0.6)
    s.comes(line, 2.0)
    line, age = s.cache()
    assert line.protocol.endpoint.name != left and age <= 600
    s.comes(line, 0.1)
    assert s.ends() == {1: "satisfied"}


def test_a_kind_that_may_not_run_twice_is_never_taken_for_one_that_did_not_run(tmp_path):
    s = Scene(tmp_path)
    s.lease(60 * SECOND)
    s.purge()
    s.net.advance(1)
    hold = s.ask(service="hold", replay="ab" * 16, body=b"x")
    s.comes(s.cache()[0], 5.0)
    assert s.ends() == {hold: "satisfied"} and interface.MISSING in interface.NEVER_RAN

"""What routers share: laws of the merge, bounds on liars, schedules of faults, lists that are pulled, and real
processes."""

import json
import socket
import sys
import time
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest
from fleet import FLEET, configuration, endpoint, members, message, router
from hypothesis import given, settings
from hypothesis import strategies as s
from processes import BackgroundServer, Cache, FeedStandIn, ask
from sharing_mistakes import MISTAKES

sys.path.insert(0, str(Path(__file__).parent.parent))
from benchmarks.sharing_world import found, lied, sayings, taken_over, trial  # noqa: E402
from hookrouter import interface  # noqa: E402
from hookrouter.decisions.sharing import (  # noqa: E402
    Board,
    Terms,
    soft,  # noqa: E402
)
from hookrouter.decisions.sharing import words as w  # noqa: E402
from hookrouter.decisions.sharing.board import rank  # noqa: E402
from hookrouter.decisions.sharing.bounds import cut  # noqa: E402
from hookrouter.decisions.sharing.pulls import PIECE, Lender, Puller  # noqa: E402
from hookrouter.node.cache_loads import CacheLoads  # noqa: E402
from hookrouter.node.shared_state import SharedState  # noqa: E402
from hookrouter.site import InvalidSiteFile, read_text  # noqa: E402
from standins.ports import free_port
from standins.rig import Rig  # noqa: E402

NOW = 1_000_000
SMALL = Terms(tellers=3, most_caches=4)
few = settings(derandomize=True, deadline=None, max_examples=150)

loads = s.lists(
    s.builds(
        w.Load,
        s.sampled_from(("a", "b", "c", "d", "e")),
        s.sampled_from(("", "p")),
        s.integers(0, 900),
        s.integers(0, 900),
    ),
    max_size=6,
)
blocks = s.lists(
    s.builds(
        w.Block,
        s.sampled_from(("r1", "r2", "r3", "r4", "r5")),
        s.integers(1, 2),
        s.integers(0, 4),
        s.integers(0, 90_000),
        s.integers(1, 3),
        s.booleans(),
        loads,
    ),
    max_size=12,
)


def board(*parts):
    made = Board(SMALL)
    for part in parts:
        for block in part:
            made.merge(NOW, block)
    return made


def state(made):
    return {name: (t.life, t.number, t.floor, t.borns, t.count, t.rows) for name, t in made.tellers.items()}


def told(made):
    """What another board would be told of it."""
    return [block for name in made.tellers for block in made.blocks(NOW, name)]


def plain(parts):
    """The merge in slow lines: all blocks at hand, and what of them holds."""
    rows = [block for part in parts for block in part if block.age < SMALL.silent_after]
    lives = {block.teller: max(b.life for b in rows if b.teller == block.teller) for block in rows}
    kept = {}
    for name, life in lives.items():
        mine = [block for block in rows if (block.teller, block.life) == (name, life)]
        floor = max((block.number for block in mine if block.whole), default=-1)
        cells = {}
        for block in mine:
            for load in block.loads if block.number >= floor else ():
                cells.setdefault((load.cache, load.source), []).append((block.number, load.out, load.rate))
        best = {key: max(values) for key, values in cells.items()}
        keys = sorted(best, key=lambda key: (-best[key][0], key))[: SMALL.most_caches]
        kept[name] = life, floor, {key: best[key] for key in keys}
    first = sorted(kept, key=lambda name: (rank(name), name))[: SMALL.tellers]
    return {name: kept[name] for name in first}


@few
@given(blocks, blocks, blocks)
def test_the_merge_commutes_is_associative_and_twice_is_once(one, two, three):
    """Also by way of what boards tell each other, in any order, doubled."""
    said = sayings(one + two + three)
    one, two, three = said[: len(one)], said[len(one) : len(one) + len(two)], said[len(one) + len(two) :]
    whole = state(board(one, two, three))
    assert state(board(three, two, one)) == whole == state(board(one + two, three, two, one))
    left, right = board(one, two), board(two, three)
    assert state(board(told(left), three)) == whole == state(board(one, told(right)))
    assert state(board(told(left), told(right), told(left))) == whole


@few
@given(blocks, blocks)
def test_the_merge_is_what_the_plain_model_says_within_its_bounds(one, two):
    made = board(one, two)
    assert {
        name: (t.life, t.floor, {key: row[:3] for key, row in t.rows.items()})
        for name, t in made.tellers.items()
    } == plain((one, two))
    assert len(made.tellers) <= SMALL.tellers
    made.forget(NOW + SMALL.silent_after)
    assert not made.tellers  # all news ages


@few
@given(
    s.lists(s.floats(0, 1e6), min_size=1, max_size=20),
    s.floats(0, 1e12),
    s.sampled_from((0.125, 0.2, 0.5)),
    s.floats(0, 5),
)
def test_one_claim_moves_a_sum_within_its_bound(honest, claim, share, floor):
    shares = [max(0.125, 2 / len(honest))] * len(honest)
    most, _ = cut([*honest, claim], [*shares, share], floor)
    least, _ = cut([*honest, 0.0], [*shares, share], floor)
    total = sum(honest)
    assert least <= most * (1 + 1e-9)
    assert most <= max(total / (1 - share), total + floor) * (1 + 1e-9) + 1e-9


def test_seeded_schedules_of_faults_break_nothing():
    broken = {seed: broke for seed in range(1, 31) if (broke := trial(seed))}
    assert broken == {}
    assert {seed: broke for seed in range(1, 11) if (broke := lied(seed))} == {}
    assert all(not taken_over(seed) for seed in range(1, 200))


@pytest.mark.parametrize("mistake", MISTAKES, ids=lambda made: made.__name__)
def test_each_seeded_mistake_is_found(mistake):
    assert found(mistake) is not None


# ---- lists


@few
@given(s.integers(0, 4 * PIECE), s.integers(0, 1 << 30), s.integers(1, 4))
def test_a_list_comes_whole_through_loss_doubling_and_a_lender_that_begins_anew(size, seed, every):
    data, lender = bytes(n % 251 for n in range(size)), Lender(Terms())
    puller, now, lost, lent = Puller("x", 0, 200_000), 0, 0, [data]
    for step in range(2_000):
        now += 50
        if step == 40 + seed % 9:
            lender = Lender(Terms())  # restarted: its marks are others
            lender.marks = 7
            lent[0] = data[::-1]
        asked = puller.tick(now)
        pieces = lender.due(now) if asked is None else lender.asked(now, "m", asked, lambda: lent[0])
        while pieces:
            _, piece = pieces.pop(0)
            lost += 1
            if (seed + lost) % (every + 1) == 0:
                continue
            again = puller.piece(now, piece)
            puller.piece(now, piece)  # doubled
            if again is not None:
                pieces += lender.asked(now, "m", again, lambda: lent[0])
        if puller.state is None:
            break
    assert puller.result in (data, data[::-1])


def test_a_lender_keeps_its_pace_and_bounds_who_waits_and_a_puller_gives_up_in_time():
    terms, data = Terms(pull_rate=100_000), bytes(50 * PIECE)
    lender, sent = Lender(terms), 0
    for now in range(0, 100_000, 100):  # ten seconds
        for n in range(100):
            sent += sum(
                len(piece.data) for _, piece in lender.asked(now, f"m{n}", w.Pull("x", 0, 0), lambda: data)
            )
    assert 900_000 < sent <= 1_000_000 + 3 * PIECE and len(lender.waiting) <= 64
    puller = Puller("x", 0, 10_000)
    assert puller.tick(0) == w.Pull("x", 0, 0) and puller.tick(5_000) is not None
    assert puller.tick(10_000) is None and puller.state is None and puller.result is None


# ---- the router's part


def test_a_tally_averages_what_goes_out_and_forgets_caches_that_are_gone():
    cache_loads = CacheLoads()

    def rows(now):
        return {name: (out, rate) for name, _, out, rate in cache_loads.sample(now)}

    cache_loads.sample(0)
    for now in range(1_000, 200_001, 1_000):  # twice in 100 ms, each 50 ms long
        for _ in range(2):
            cache_loads.send_started("c0", "p0")
        cache_loads.send_ended("c0", "p0", interface.SATISFIED, 500)
        seen = rows(now)
        cache_loads.send_ended("c0", "p0", interface.FULL, 500)
    assert abs(seen["c0"][0] - 1) < 0.1 and abs(seen["p0"][1] - 20) < 1 and not cache_loads.active_sends
    for now in range(201_000, 500_000, 1_000):
        seen = rows(now)
    assert seen == {}


def test_a_starter_takes_over_half_of_what_two_neighbours_learnt_and_sets_nothing_aside_by_it():
    def told(control):
        made = SharedState(SimpleNamespace(control=control, now=lambda: control.now))
        made.cache_loads.update_caches(SimpleNamespace(caches=FLEET, snapshot=True))
        return made

    lender, starter = told(router()), told(router())
    n = lender.control.row_by_id["c1"]
    lender.control.last_answer_at[n] = 900_000
    lender.health.strikes[n], lender.times.average[0], lender.times.deviation[0] = 900, 400.0, 100.0
    before = list(starter.times.deviation)
    learnt = msgspec.msgpack.decode(msgspec.msgpack.encode(lender.learnt()), type=soft.Learnt)
    assert starter.adopt([learnt]) == 1 + len(learnt.kinds)
    assert starter.health.strikes[starter.control.row_by_id["c1"]] == 2
    assert starter.health.usable(starter.control.row_by_id["c1"])
    assert starter.times.average[0] == 200.0 and starter.times.deviation[0] == (before[0] + 100.0) / 2
    honest = soft.Learnt([w.Soft("c1", 0, False, 1.0, 0.0, -1, 0)], [])
    other = told(router())
    other.adopt([learnt, honest])  # of two the lower count holds
    assert other.health.strikes[other.control.row_by_id["c1"]] == 0


@pytest.mark.parametrize(
    "text, wrong",
    (
        ("[sharing]\n", "[fleet] is missing"),
        ("[sharing]\npull within = 1 d\n", "out of range"),
    ),
)
def test_the_section_is_refused_without_a_fleet(text, wrong):
    with pytest.raises(InvalidSiteFile, match="sharing") as refused:
        read_text("site.ini", text)
    assert any(wrong in line for line in refused.value.lines)


# ---- real processes


class Fresh(Cache):
    def extra_fields(self):
        return (b"X-Since-Ms: %d" % (time.time() * 1_000),)


def test_routers_tell_each_other_their_loads_and_one_cut_off_forgets_and_one_that_starts_pulls(tmp_path):
    with BackgroundServer(Fresh) as cache, BackgroundServer(FeedStandIn) as feed:
        rig, ports = (
            Rig(tmp_path, keepers=3, zones=1, sections="[sharing]\nsilent after = 3 s\npull within = 5 s\n"),
            {},
        )
        try:
            for name in rig.names:
                ports[name] = free_port()
                stated = configuration(
                    members(1, endpoint("c0", cache.port), endpoint("o0", cache.port, "origin"), whole=True),
                    listen=f"127.0.0.1:{ports[name]}",
                    feed=f"127.0.0.1:{feed.port}",
                )
                stated["settings"]["limits"]["peers"], stated["name"] = True, name
                rig.configs[name] = tmp_path / f"{name}.json"
                rig.configs[name].write_text(json.dumps(stated))
            rig.start()

            def shared(name):
                code, out = rig.command("shared", "--json")
                return json.loads(out).get(name) if code == 0 else None

            def rate(name):
                """Of the others, as that one is told: a second, at c0."""
                found = shared(name)
                return next((row[2] for row in found["caches"] if row[0] == "c0"), 0) if found else 0

            def tellers(name):
                found = shared(name)
                return len(found["tellers"]) if found else 0

            assert rig.wait(lambda: all(tellers(name) == 3 for name in rig.names))
            end = time.monotonic() + 15
            while rate("k1") < 5 and time.monotonic() < end:
                with socket.create_connection(("127.0.0.1", ports["k0"]), 5) as connection:
                    connection.settimeout(10)
                    ask(connection, b"".join(message(n) for n in range(1, 21)), 20)
            assert rate("k1") > 1 and rate("k2") > 1
            rig.exchange.split(["k2"], ["k0", "k1"])
            assert rig.wait(lambda: tellers("k2") <= 1 and tellers("k0") == 2)
            rig.exchange.heal()
            assert rig.wait(lambda: tellers("k2") == 3)
            rig.kill("k1")
            rig.start("k1")
            assert rig.wait(lambda: "took over what neighbours learnt" in rig.log("k1"))
            assert rig.wait(lambda: all(tellers(name) == 3 for name in rig.names))
        finally:
            rig.stop()
    assert not any("uncaught error" in rig.log(name) or "Traceback" in rig.log(name) for name in rig.names)

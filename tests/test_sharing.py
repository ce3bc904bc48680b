"""Sharing of loads: properties of the merge, bounds on faulty reporters, simulated faults, pulls, real processes."""

import json
import socket
import sys
import time
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest
from fleet import FLEET, configuration, endpoint, members, message, router
from hypothesis import given, settings, strategies
from processes import BackgroundServer, Cache, FeedStandIn, ask
from sharing_mistakes import MISTAKES

sys.path.insert(0, str(Path(__file__).parent.parent))
from benchmarks.sharing_world import found, lied, sayings, taken_over, trial  # noqa: E402
from hookrouter import interface  # noqa: E402
from hookrouter.decisions.sharing import (  # noqa: E402
    LoadTable,
    Terms,
    protocol,
    soft_state,
)
from hookrouter.decisions.sharing.bounds import capped_sum  # noqa: E402
from hookrouter.decisions.sharing.load_table import rank  # noqa: E402
from hookrouter.decisions.sharing.pulls import PIECE_BYTES, Lender, Puller  # noqa: E402
from hookrouter.node.cache_loads import CacheLoads  # noqa: E402
from hookrouter.node.shared_state import SharedState  # noqa: E402
from hookrouter.site import InvalidSiteFile, read_text  # noqa: E402
from standins.ports import free_port
from standins.rig import Rig  # noqa: E402

NOW = 1_000_000
SMALL = Terms(reporters=3, max_caches=4)
deterministic = settings(derandomize=True, deadline=None, max_examples=150)

loads = strategies.lists(
    strategies.builds(
        protocol.Load,
        strategies.sampled_from(("a", "b", "c", "d", "e")),
        strategies.sampled_from(("", "p")),
        strategies.integers(0, 900),
        strategies.integers(0, 900),
    ),
    max_size=6,
)
reports = strategies.lists(
    strategies.builds(
        protocol.Report,
        strategies.sampled_from(("r1", "r2", "r3", "r4", "r5")),
        strategies.integers(1, 2),
        strategies.integers(0, 4),
        strategies.integers(0, 90_000),
        strategies.integers(1, 3),
        strategies.booleans(),
        loads,
    ),
    max_size=12,
)


def load_table(*parts):
    made = LoadTable(SMALL)
    for part in parts:
        for report in part:
            made.merge(NOW, report)
    return made


def state(made):
    return {
        name: (t.life, t.number, t.complete_number, t.report_times, t.member_count, t.loads)
        for name, t in made.reporters.items()
    }


def sent_on(made):
    """The reports that a table sends to another."""
    return [report for name in made.reporters for report in made.reports(NOW, name)]


def reference_merge(parts):
    """A simple, slow model of the merge: all reports at once, and which of their loads hold."""
    rows = [report for part in parts for report in part if report.age < SMALL.silent_after]
    lives = {report.reporter: max(r.life for r in rows if r.reporter == report.reporter) for report in rows}
    kept = {}
    for name, life in lives.items():
        own = [report for report in rows if (report.reporter, report.life) == (name, life)]
        complete_number = max((report.number for report in own if report.complete), default=-1)
        cells = {}
        for report in own:
            for load in report.loads if report.number >= complete_number else ():
                cells.setdefault((load.cache, load.source), []).append(
                    (report.number, load.in_flight, load.rate)
                )
        best = {key: max(values) for key, values in cells.items()}
        keys = sorted(best, key=lambda key: (-best[key][0], key))[: SMALL.max_caches]
        kept[name] = life, complete_number, {key: best[key] for key in keys}
    first = sorted(kept, key=lambda name: (rank(name), name))[: SMALL.reporters]
    return {name: kept[name] for name in first}


@deterministic
@given(reports, reports, reports)
def test_the_merge_is_commutative_associative_and_idempotent(one, two, three):
    """Also where tables send their reports on, in any order and twice."""
    made = sayings(one + two + three)
    one, two, three = made[: len(one)], made[len(one) : len(one) + len(two)], made[len(one) + len(two) :]
    whole = state(load_table(one, two, three))
    assert state(load_table(three, two, one)) == whole == state(load_table(one + two, three, two, one))
    left, right = load_table(one, two), load_table(two, three)
    assert state(load_table(sent_on(left), three)) == whole == state(load_table(one, sent_on(right)))
    assert state(load_table(sent_on(left), sent_on(right), sent_on(left))) == whole


@deterministic
@given(reports, reports)
def test_the_merge_equals_the_reference_model_and_keeps_its_bounds(one, two):
    made = load_table(one, two)
    assert {
        name: (t.life, t.complete_number, {key: row[:3] for key, row in t.loads.items()})
        for name, t in made.reporters.items()
    } == reference_merge((one, two))
    assert len(made.reporters) <= SMALL.reporters
    made.forget(NOW + SMALL.silent_after)
    assert not made.reporters  # every report expires


@deterministic
@given(
    strategies.lists(strategies.floats(0, 1e6), min_size=1, max_size=20),
    strategies.floats(0, 1e12),
    strategies.sampled_from((0.125, 0.2, 0.5)),
    strategies.floats(0, 5),
)
def test_one_claim_moves_a_capped_sum_no_further_than_its_bound(honest, claim, share, floor):
    shares = [max(0.125, 2 / len(honest))] * len(honest)
    most, _ = capped_sum([*honest, claim], [*shares, share], floor)
    least, _ = capped_sum([*honest, 0.0], [*shares, share], floor)
    total = sum(honest)
    assert least <= most * (1 + 1e-9)
    assert most <= max(total / (1 - share), total + floor) * (1 + 1e-9) + 1e-9


def test_seeded_schedules_of_faults_violate_nothing():
    broken = {seed: broke for seed in range(1, 31) if (broke := trial(seed))}
    assert broken == {}
    assert {seed: broke for seed in range(1, 11) if (broke := lied(seed))} == {}
    assert all(not taken_over(seed) for seed in range(1, 200))


@pytest.mark.parametrize("mistake", MISTAKES, ids=lambda made: made.__name__)
def test_each_seeded_mistake_is_found(mistake):
    assert found(mistake) is not None


# ---- lists


@deterministic
@given(strategies.integers(0, 4 * PIECE_BYTES), strategies.integers(0, 1 << 30), strategies.integers(1, 4))
def test_a_list_arrives_complete_despite_loss_duplicates_and_a_restarted_lender(size, seed, every):
    data, lender = bytes(n % 251 for n in range(size)), Lender(Terms())
    puller, now, lost, lent = Puller("x", 0, 200_000), 0, 0, [data]
    for step in range(2_000):
        now += 50
        if step == 40 + seed % 9:
            lender = Lender(Terms())  # restarted: its versions differ
            lender.last_version = 7
            lent[0] = data[::-1]
        pull = puller.tick(now)
        pieces = lender.due_pieces(now) if pull is None else lender.request(now, "m", pull, lambda: lent[0])
        while pieces:
            _, piece = pieces.pop(0)
            lost += 1
            if (seed + lost) % (every + 1) == 0:
                continue
            again = puller.receive(now, piece)
            puller.receive(now, piece)  # a duplicate
            if again is not None:
                pieces += lender.request(now, "m", again, lambda: lent[0])
        if puller.state is None:
            break
    assert puller.result in (data, data[::-1])


def test_a_lender_keeps_its_rate_and_bounds_waiting_requests_and_a_pull_expires():
    terms, data = Terms(pull_rate=100_000), bytes(50 * PIECE_BYTES)
    lender, sent = Lender(terms), 0
    for now in range(0, 100_000, 100):  # ten seconds
        for n in range(100):
            sent += sum(
                len(piece.data)
                for _, piece in lender.request(now, f"m{n}", protocol.Pull("x", 0, 0), lambda: data)
            )
    assert 900_000 < sent <= 1_000_000 + 3 * PIECE_BYTES and len(lender.waiting) <= 64
    puller = Puller("x", 0, 10_000)
    assert puller.tick(0) == protocol.Pull("x", 0, 0) and puller.tick(5_000) is not None
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


def test_a_starting_router_takes_over_half_of_its_neighbours_evidence_and_sets_no_cache_aside():
    def told(control):
        made = SharedState(SimpleNamespace(control=control, now=lambda: control.now))
        made.cache_loads.update_caches(SimpleNamespace(caches=FLEET, snapshot=True))
        return made

    lender, starter = told(router()), told(router())
    n = lender.control.row_by_id["c1"]
    lender.control.last_answer_at[n] = 900_000
    lender.health.failures[n], lender.times.average[0], lender.times.deviation[0] = 900, 400.0, 100.0
    before = list(starter.times.deviation)
    learnt = msgspec.msgpack.decode(msgspec.msgpack.encode(lender.learnt()), type=soft_state.SoftState)
    assert starter.adopt([learnt]) == 1 + len(learnt.kinds)
    assert starter.health.failures[starter.control.row_by_id["c1"]] == 2
    assert starter.health.usable(starter.control.row_by_id["c1"])
    assert starter.times.average[0] == 200.0 and starter.times.deviation[0] == (before[0] + 100.0) / 2
    honest = soft_state.SoftState([protocol.CacheState("c1", 0, False, 1.0, 0.0, -1, 0)], [])
    other = told(router())
    other.adopt([learnt, honest])  # of two the lower failure count holds
    assert other.health.failures[other.control.row_by_id["c1"]] == 0


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


def test_routers_share_loads_one_cut_off_forgets_and_one_that_restarts_pulls_soft_state(tmp_path):
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
                """Sends a second of the others at c0, as that router estimates them."""
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
            rig.datagram_proxy.split(["k2"], ["k0", "k1"])
            assert rig.wait(lambda: tellers("k2") <= 1 and tellers("k0") == 2)
            rig.datagram_proxy.heal()
            assert rig.wait(lambda: tellers("k2") == 3)
            rig.kill("k1")
            rig.start("k1")
            assert rig.wait(lambda: "took over what neighbours learnt" in rig.log("k1"))
            assert rig.wait(lambda: all(tellers(name) == 3 for name in rig.names))
        finally:
            rig.stop()
    assert not any("uncaught error" in rig.log(name) or "Traceback" in rig.log(name) for name in rig.names)

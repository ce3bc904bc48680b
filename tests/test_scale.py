"""The scale benchmark: slopes, data file and judgement as units, and a run with some dozens of routers."""

import math
import os
import socket
from dataclasses import replace

import msgspec
import pytest

from benchmarks.scale import QUICK, play, room
from benchmarks.scale import results as r
from benchmarks.scale.chart import chart
from benchmarks.scale.errors import NotEnoughRoom, TooFewSizes, UnreadableResults
from benchmarks.scale.figures import results_of
from benchmarks.scale.judge import (
    Acknowledged,
    Answer,
    Seen,
    Verdict,
    effect_spans,
    judge,
    lost,
    old_copies,
    percentile,
    said_too_early,
)
from benchmarks.scale.page import page
from benchmarks.scale.scenes import group_killed, region_cut
from benchmarks.scale.session import starved_lag
from benchmarks.scale.slopes import Point, fit, predict_largest
from standins import sockets
from standins.crowd.regions import Plan

SIZES = (40, 80, 160, 320)


def points(law, sizes=SIZES):
    return [Point(size, law(size)) for size in sizes]


@pytest.mark.parametrize(
    ("formula", "coefficients", "law"),
    [
        ("constant", (7.0,), lambda n: 7.0),
        ("linear", (3.0, 0.25), lambda n: 3 + 0.25 * n),
        ("logarithmic", (3.0, 2.5), lambda n: 3 + 2.5 * math.log(n)),
    ],
)
def test_a_slope_finds_the_law_that_made_the_points(formula, coefficients, law):
    found = fit(points(law))
    assert found.formula == formula
    assert found.coefficients == pytest.approx(coefficients)
    assert found.residual == pytest.approx(0, abs=1e-9) and found.spread == 0
    assert found.at(1_200) == pytest.approx(law(1_200))
    assert found.extrapolates(1_200) and not found.extrapolates(100)


def test_noise_about_a_constant_is_no_slope():
    found = fit([Point(40, 10.1), Point(80, 9.9), Point(160, 10.1), Point(320, 9.9)])
    assert found.formula == "constant"
    assert found.residual == pytest.approx(0.1)


def test_repeats_at_one_size_give_the_spread():
    found = fit([*points(lambda n: n), Point(40, 44.0)])
    assert found.sizes == SIZES
    assert found.spread == pytest.approx(4 / 42)


def test_the_largest_size_is_predicted_from_the_smaller_ones_alone():
    all_points = [*points(lambda n: 2.0 * n, SIZES[:3]), Point(320, 800.0)]
    found = predict_largest(all_points)
    assert found.routers == 320 and found.measured == 800
    assert found.predicted == pytest.approx(640)
    assert found.error == pytest.approx(0.2)


@pytest.mark.parametrize("sizes", [(), (40,), (40, 80)])
def test_fewer_than_three_sizes_are_refused(sizes):
    repeats = [*points(float, sizes), *points(float, sizes)]
    with pytest.raises(TooFewSizes, match=f"{len(sizes)} sizes"):
        fit(repeats)


def test_three_sizes_predict_no_fourth():
    with pytest.raises(TooFewSizes, match="3 sizes"):
        predict_largest(points(float, SIZES[:3]))


def data_file(**changed):
    measured = r.Measurement("router", "view", "out", "bytes_per_s", 812.5)
    run = r.Run(60, 3, 3, 8, 10.0, 0.02, 32.0, (measured,))
    slope = r.Slope(
        "router", "view", "out", "bytes_per_s", "linear", (1.0, 0.5), (40, 80, 160), 0.125, 0.0625
    )
    machine = r.Machine(8, 24_103, "3.11.2", "Linux")
    made = r.Results(r.SCHEMA, machine, "0" * 40, "2026-12-02T05:00:00Z", (run,), (slope,))
    return msgspec.structs.replace(made, **changed)


def test_the_data_file_reads_back_as_it_was_written(tmp_path):
    path = tmp_path / "scale.json"
    r.write(path, data_file())
    assert r.read(path) == data_file()
    before = path.read_bytes()
    r.write(path, r.read(path))
    assert path.read_bytes() == before
    assert [entry.name for entry in tmp_path.iterdir()] == ["scale.json"]


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b'"schema": 1', b'"schema": 2'),
        (b'"role": "router"', b'"role": "gateway"'),
        (b'"commit"', b'"commits"'),
        (b'"value": 812.5', b'"value": "much"'),
        (b"{", b""),
    ],
)
def test_a_data_file_of_another_form_is_refused(old, new):
    with pytest.raises(UnreadableResults):
        r.decode(r.encode(data_file()).replace(old, new, 1))


def test_a_data_file_that_is_not_there_is_refused(tmp_path):
    with pytest.raises(UnreadableResults, match="scale.json"):
        r.read(tmp_path / "scale.json")


# ---- judgement


def purge(number, in_effect=None, name="a", made_ms=0.0, submitted=0.0):
    return Acknowledged(number, name, made_ms, submitted, in_effect)


def test_a_router_that_never_had_a_lease_lacks_nothing_and_one_that_had_is_judged():
    purges = [Acknowledged(n, f"o{n}", 0.0, 1.0, None) for n in (1, 2)]
    seen = [Seen(1.0, "h1", 1, "current"), Seen(2.0, "h1", 1, "fenced"), Seen(2.0, "h2", 0, "never")]
    final = {"h1": -1, "h2": -1, "real": -1}
    verdict = judge(purges, [1, 2], final, {"h1", "h2"}, seen, [], 1.0)
    assert verdict.never_up == ["h2"]
    assert [line.split()[0] for line in verdict.lost] == ["h1", "real"] and verdict.breaks() == 2


def test_a_purge_that_the_desk_lacks_and_a_router_that_stays_behind_are_lost():
    purges = [purge(1), purge(2), purge(3)]
    assert lost(purges, [1, 2, 3], {}) == []
    assert len(lost(purges, [1, 3], {})) == 1
    assert len(lost(purges, [1, 2, 3], {"h1": 2, "h2": 3})) == 1


def test_in_effect_is_said_too_early_only_beside_a_lease_that_was_held():
    purges = [purge(1, 10.0), purge(2, 20.0), purge(3)]
    kept = [Seen(15.0, "h1", 1, "current"), Seen(25.0, "h1", 2, "current"), Seen(25.0, "h2", 0, "fenced")]
    assert said_too_early(purges, kept) == []
    assert len(said_too_early(purges, [Seen(20.1, "h1", 1, "current")])) == 1
    assert said_too_early(purges, [Seen(20.0, "h1", 1, "current")]) == []  # not yet reported at that time


def test_a_later_purge_that_is_in_effect_first_binds_the_earlier_position_too():
    assert len(said_too_early([purge(7, 5.0), purge(6, 9.0)], [Seen(6.0, "h1", 6, "current")])) == 1


@pytest.mark.parametrize(
    ("asked", "made_ms", "breaks"),
    [(11.0, 4_000, 1), (9.0, 4_000, 0), (11.0, 5_000, 0), (11.0, 4_999.5, 0)],
)
def test_an_answer_older_than_a_purge_in_effect_is_a_break(asked, made_ms, breaks):
    purges = [purge(1, 10.0, "a", 5_000), purge(2, 10.0, "b", 9_000), purge(3, None, "a", 9_000)]
    answers = [Answer(asked, "r0", "a", made_ms)]
    assert len(old_copies(purges, answers, skew_ms=1.0)) == breaks


def test_spans_to_effect_are_counted_from_the_submission():
    spans = effect_spans([purge(1, 3.5, submitted=3.0), purge(2, 3.2, submitted=3.1), purge(3)])
    assert spans == pytest.approx([0.1, 0.5])
    assert percentile(spans, 0.99) == pytest.approx(0.5) and percentile([], 0.5) is None


# ---- room


WANTED = room.Wanted(hollow=1_200, in_process=25, real=12, keepers=3, relays=9, regions=3, zones=6)


def test_a_machine_with_room_is_accepted():
    room.check(WANTED, room.Room(64_000, 60_000, 20_000, 10_000))


@pytest.mark.parametrize(
    ("machine", "missing"),
    [
        (room.Room(8_000, 8_000, 20_000, 10_000), "memory"),
        (room.Room(64_000, 1_000, 20_000, 10_000), "memory"),
        (room.Room(64_000, 60_000, 256, 10_000), "descriptors"),
        (room.Room(64_000, 60_000, 20_000, 50), "processes"),
    ],
)
def test_what_is_missing_is_said_in_one_line(machine, missing):
    with pytest.raises(NotEnoughRoom, match=f"^{missing}: [^;]*$"):
        room.check(WANTED, machine)


def test_all_that_is_missing_is_said_at_once_before_anything_is_started(monkeypatch, tmp_path):
    monkeypatch.setattr(room, "machine", lambda: room.Room(100, 100, 10, 10))
    with pytest.raises(NotEnoughRoom, match="memory: .*; descriptors: .*; processes: "):
        play(tmp_path, QUICK, print)
    assert list(tmp_path.iterdir()) == []


# ---- counters of the kernel


def test_connections_are_counted_by_the_system():
    with socket.create_server(("127.0.0.1", 0)) as server:
        with socket.create_connection(server.getsockname()) as one, server.accept()[0] as other:
            one.sendall(b"x" * 1_000)
            while len(other.recv(2_000, socket.MSG_PEEK)) < 1_000:
                pass
            held = sockets.inodes(os.getpid())
            ports = one.getsockname()[1], other.getsockname()[1]
            found = {row.local_port: row for row in sockets.connections() if row.inode in held}
    assert found[ports[0]].sent.bytes == found[ports[1]].received.bytes == 1_000
    assert found[ports[0]].peer_port == ports[1] and found[ports[1]].received.messages >= 1


# ---- a whole run, small


def test_some_dozens_of_hollow_routers_and_three_real_ones_keep_every_rule(tmp_path):
    settings = replace(
        QUICK,
        plan=Plan(regions=2, zones_in_region=1, real=3, alone=0, plain=0, caches=3),
        sizes=(12, 24, 36),
        beyond=(),
        in_process=12,
        loaded=2,
        seconds=3.0,
        settle=0.5,
        budget=math.inf,
        purges_per_s=8.0,
        lookups_per_s=20.0,
        judge_starved=False,  # other load on the machine says nothing about the rules
    )
    session, verdict = play(tmp_path, settings, lambda text: None, scenes=(region_cut, group_killed))
    assert verdict == Verdict([], [], [], []) and session.crowd_breaks == [] and session.unfenced == 0
    assert len(session.measured) == 3 and session.ended_by is None
    assert session.back["region"] is not None and session.back["kill"] is not None
    assert all(process.poll() is not None for process in session.crowd.processes.by_name.values())
    assert not any(group.alive() for group in session.crowd.hollow.groups)
    results = results_of(session)
    assert r.decode(r.encode(results)) == results
    quantities = {(row.role, row.quantity) for row in results.slopes}
    for role in ("router", "relay", "keeper_leader", "keeper_follower", "desk"):
        assert {(role, quantity) for quantity in ("bytes_per_s", "messages_per_s")} <= quantities
    sent = {row.kind: row.value for row in results.runs[-1].measurements if row.role == "router"}
    assert all(sent[kind] > 0 for kind in ("view", "purge_feed", "keeper_stream", "sharing"))


def test_the_page_and_its_chart_are_made_of_the_data_file_alone():
    made = page(data_file(), {"purges_lost": 0, "ended_by": None})
    assert "| purges_lost | 0 |" in made and "| ended_by | None |" in made
    assert "| 60 | 3 | 3 | 8 | 10.0 | 32.0 | 0.020 |" in made
    assert "| router | view | out | B/s | 812 |" in made
    assert "| router | view | out | B/s | 1 + 0.5 n | 0.125 | 6 % |" in made
    assert "{" not in made
    assert made != page(data_file(runs=()), {})
    assert chart(data_file()).startswith("<svg") and "812" in chart(data_file())


def test_a_window_is_starved_by_less_where_purges_come_faster():
    assert starved_lag(32.0) == pytest.approx(0.0625)
    assert starved_lag(4.0) == starved_lag(1.0) == 0.25

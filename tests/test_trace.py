"""The trace of decisions: written under load and faults, read back, replayed, and accounted."""

import json
import os
from random import Random

import pytest
from fleet import FLEET as CACHES
from fleet import answer, answers, lookup, message, sends, terms
from fleet import cache as cache_of
from scenes import Scene

from hookrouter import interface
from hookrouter.__main__ import main
from hookrouter.control import Control
from hookrouter.node.tracing import BLOCK_BYTES
from hookrouter.stores.trace_log import MAX_SEGMENTS, TraceLog, list_segments, read_lines
from hookrouter.trace import Account, Replay, Row, UnreadableTrace, read_header, read_row
from hookrouter.trace.rows import MAX_LINE, Header, KindRow, known_load


def traced_scene(folder):
    return Scene(folder, trace={"folder": str(folder), "size": 8_000_000})


def read_traces(folder):
    runs = []
    for _, path in list_segments(str(folder)):
        content = list(read_lines(path))
        runs.append((read_header(content[0]), [read_row(line) for line in content[1:]]))
    return runs


def play_lookups(scene, count, seed=1):
    """Sends lookups that are satisfied, fail, or get no answer."""
    rng, wire = Random(seed), scene.client()
    for number in range(1, count + 1):
        wire.come(message(number, part=str(number % 4), lookup=f"{rng.randrange(20):016x}"))
        scene.net.advance(0.02)
        for connector in list(scene.net.ways):
            if connector.over:
                continue
            line = connector.up()
            if line.take() and (draw := rng.random()) < 0.8:
                line.come(
                    answer(200, b"x" * 200)
                    if draw < 0.7
                    else answer(503, b"", b"X-Declined: 1")
                    if draw < 0.75
                    else answer(500, b"")
                )
    scene.net.pump([0.2] * 30)


def test_a_call_withdrawn_before_it_is_decided_is_traced_and_holds_up_no_other(tmp_path):
    """The trace looked up its id, which was gone; the exception came out of another call's read or answer."""
    scene = traced_scene(tmp_path)
    wire = scene.client()
    wire.come(message(1))
    scene.router.decisions.deciding = True  # as while the socket is read before a request leaves
    wire.come(message(2))
    wire.come(message(3, b"interrupt", interrupted=2))
    scene.router.decisions.deciding = False
    scene.net.advance(2)
    assert wire.open and answers(wire.take()).keys() == {1} and scene.check_counters()["lookups_held"] == 0
    scene.router.trace.close()
    ((_, rows),) = read_traces(tmp_path)
    assert [row.event for row in rows].count("Lookup") == 2


def test_decisions_are_read_back_and_a_replay_by_the_same_build_repeats_them(tmp_path):
    scene = traced_scene(tmp_path)
    play_lookups(scene, 200)
    assert scene.router.trace.recorder.size < BLOCK_BYTES + MAX_LINE  # the lines not yet written are bounded
    scene.router.trace.close()
    ((header, rows),) = read_traces(tmp_path)
    assert (
        header.router == scene.start.name
        and len(rows) > 120
        and {row.event for row in rows} >= {"CacheList", "Lookup", "SendEnd", "Alarm"}
    )
    assert all(row.ref for row in rows if row.event == "Lookup")
    replay = Replay(header)
    for row in rows:
        replay.play(row)
    assert replay.rows == len(rows) and replay.different == 0
    header.seed = "other"
    other = Replay(header)
    for row in rows:
        other.play(row)
    assert other.different > 0 and other.differences  # the retry time of a nack is random


def test_the_oldest_segment_is_removed_and_a_new_run_continues_the_numbers(tmp_path):
    log = TraceLog(str(tmp_path), "n1", 80_000, b"{}\n")
    for _ in range(200):
        log.write(os.urandom(4_000).hex().encode() + b"\n")
    log.close()
    kept = list_segments(str(tmp_path), "n1")
    assert (
        len(kept) == MAX_SEGMENTS
        and sum(os.path.getsize(path) for _, path in kept) < 80_000 + MAX_SEGMENTS * 8_000
    )
    TraceLog(str(tmp_path), "n1", 80_000, b"{}\n").write(b"[]\n")
    TraceLog(str(tmp_path), "n10", 80_000, b"{}\n").write(b"[]\n")
    assert (
        list_segments(str(tmp_path), "n1")[-1][0] == kept[-1][0] + 1
        and len(list_segments(str(tmp_path), "n1")) == MAX_SEGMENTS
    )


def test_rows_before_damage_by_a_crash_or_the_disk_are_read(tmp_path):
    log = TraceLog(str(tmp_path), "n1", 1_000_000, b"{}\n")
    for number in range(50):
        log.write(b"[%d]\n" % number * 20)
    log.close()
    ((_, path),) = list_segments(str(tmp_path))
    content, complete = open(path, "rb").read(), list(read_lines(path))
    rng = Random(5)
    for _ in range(60):
        at = rng.randrange(1, len(content))
        damaged = (
            content[:at]
            if rng.random() < 0.5
            else content[:at] + bytes((content[at] ^ 0x40,)) + content[at + 1 :]
        )
        open(path, "wb").write(damaged)
        read_back = []
        try:
            for line in read_lines(path):
                read_back.append(line)
        except ValueError as error:
            assert path in str(error)
        assert read_back == complete[: len(read_back)]


@pytest.mark.parametrize(
    "line", [b"", b"{}", b"[1]", b"[1,2,3,4,5]", b"\xff", b"[" * 90_000, b"9" * (MAX_LINE + 1)]
)
def test_lines_that_are_not_of_a_trace_are_refused(line):
    for reader in (read_row, read_header):
        with pytest.raises(UnreadableTrace):
            reader(line)


def test_a_full_disk_ends_the_trace_but_not_the_router(tmp_path):
    scene = traced_scene(tmp_path)
    scene.router.trace.store.file = open("/dev/full", "wb")  # fails when flushed, and again when closed
    play_lookups(scene, 20)
    assert scene.counters.values["traces_failed"] == 1 and "trace cannot be written" in scene.out.text
    assert scene.check_counters()["lookups_held"] == 0
    scene.router.trace.close()


# ---- the account

HEADER = Header("r1", "0", 0.5, [KindRow("clip", 6_000, 1.6, 50_000, 2.0, 0.15)], 0, 1, [], False)


def add_rows(account, router, rows):
    for at, event, *effects in rows:
        effects_in_trace = [
            [
                type(e).__name__,
                list(e),
                [0, 1.0, 0, 1.0] if isinstance(e, (interface.Ask, interface.Obtain)) else None,
            ]
            for e in effects
        ]
        account.add(router, Row(at, type(event).__name__, list(event), effects_in_trace, "ref"))


def obtain(number, cache="c0", source="p0", hits_only=False):
    return interface.Obtain(number, cache, source, 30_000, 0, 1, True, hits_only, False, False)


def send_end(number, duration, outcome=interface.SATISFIED, cache="c0"):
    return interface.SendEnd(number, 0, outcome, 0, outcome == interface.SATISFIED, duration, cache, None)


def test_each_lookup_is_counted_once_with_its_cause():
    account = Account()
    account.begin(HEADER)
    # Sending time: 1,000 time units.
    request = lambda number: interface.Lookup(number, "clip", "k", 0, 1, 500.0, 60_000, False)  # noqa: E731
    add_rows(
        account,
        "r1",
        [
            (0, request(1), obtain(1)),
            (900, send_end(1, 900)),
            (1_000, request(2), obtain(2)),
            (11_000, send_end(2, 10_000)),  # late while other answers of the cache were quick
            (10_100, request(3), obtain(3)),
            (11_200, send_end(3, 1_100)),
            (10_200, request(4), obtain(4)),
            (11_300, send_end(4, 1_100)),
            (12_000, request(5), interface.Nack(5, 900, "fills")),
            (13_000, request(6), obtain(6)),
            (14_000, interface.ClientGone(6)),
            (15_000, request(7), interface.Give(7)),
            (16_000, request(8), obtain(8, hits_only=True)),
            (16_010, send_end(8, 10, interface.MISSING), interface.Nack(8, 900, "fills")),
            (17_000, request(9), obtain(9)),
            (18_000, request(10), interface.Ask(10, "c0", 900, 400)),
            (18_500, send_end(10, 500)),  # without a source, as writes are sent
        ],
    )
    account.begin(HEADER)  # the router was restarted: the ninth lookup has no end
    ends = [(ended.outcome, account.cause(ended)) for ended in account.ended_lookups]
    assert ("late", "its fill, others there were quick") in ends and ("open", "router ended") in ends
    assert ("in budget", "own copy") in ends and ends.count(("nacked", "fills")) == 2
    assert [row.outcome for row in account.ended_lookups].count("late") == 1 and account.by_kind()["clip"][
        0
    ] == 10
    assert account.skipped == 0 and account.sends()["held", "satisfied"] == (1, 500)
    assert sum(count for _, count, *_ in account.by_second()) == 10 and not any(
        account.in_flight_by_cache.values()
    )
    assert account.lost()[0][0] == ("clip", "nacked", "fills") and account.lost()[0][1] == 2
    assert account.sends()["held", "missing"] == (1, 10)


def test_large_objects_are_compared_with_the_rest_of_their_kind():
    account = Account()
    account.begin(HEADER)
    rows = []
    for number in range(
        400
    ):  # of the 40 largest every second is answered, of the 80 after them three in four, then all
        size = 1_000.0 - number
        answered = number % 2 == 0 if number < 40 else number % 4 != 0 if number < 120 else True
        rows.append(
            (
                number,
                interface.Lookup(number, "clip", "k", 0, 1, size, 60_000, False),
                interface.Give(number) if answered else interface.Nack(number, 900, "fills"),
            )
        )
    add_rows(account, "r1", rows)
    count, overall, largest, next_largest = account.by_size()["clip"]
    assert (
        (count, overall) == (400, 0.9)
        and largest == pytest.approx(0.5 / 0.9)
        and next_largest == pytest.approx(0.75 / 0.9)
    )
    account.ended_lookups = [ended._replace(size=0.0) for ended in account.ended_lookups]
    assert account.by_size() == {}


def test_rows_of_another_version_are_skipped_and_the_rest_counts():
    account = Account()
    account.begin(HEADER)
    account.add("r1", Row(1, "Lookup", [1], [], None))
    account.add("r1", Row(1, "Unheard", [], [["Obtain", [], None]], None))
    assert account.skipped == 2 and not account.ended_lookups


def test_the_commands_follow_a_lookup_and_account_for_a_trace(tmp_path, capsys):
    scene = traced_scene(tmp_path)
    play_lookups(scene, 40)
    scene.router.trace.close()
    ref = next(row.ref for row in read_traces(tmp_path)[0][1] if row.event == "Lookup")
    assert main(["trace", "show", str(tmp_path), "--lookup", ref, "--json"]) == 0
    shown = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert shown[0][2] == "Lookup" and shown[0][5] == ref and len(shown) >= 1
    assert main(["trace", "account", str(tmp_path), "--json"]) == 0
    counted = json.loads(capsys.readouterr().out)
    assert counted["skipped"] == 0 and counted["lookups"] == 40
    ((_, path),) = list_segments(str(tmp_path))
    header, *rows = list(read_lines(path))
    split_at = (
        next(number for number, line in enumerate(rows) if b"Lookup" in line and number > 20) + 1
    )  # a lookup is open in both
    (two := tmp_path / "two").mkdir()
    for part in (rows[:split_at], rows[split_at:]):
        log = TraceLog(str(two), scene.start.name, 8_000_000, header + b"\n")
        log.write(b"\n".join([*part, b""]))
        log.close()
    assert main(["trace", "account", str(two), "--json"]) == 0
    assert json.loads(capsys.readouterr().out) == counted  # a run in two segments counts as one
    assert main(["trace", "replay", str(two)]) == 0
    assert main(["trace", "account", str(tmp_path)]) == 0 and "utility %" in capsys.readouterr().out
    assert main(["trace", "replay", str(tmp_path)]) == 0
    (tmp_path / "empty").mkdir()
    capsys.readouterr()
    assert (
        main(["trace", "account", str(tmp_path / "empty")]) == 2
        and "no traces there" in capsys.readouterr().err
    )
    (tmp_path / "x.00000001.trace").write_bytes(b"no trace")
    assert main(["trace", "account", str(tmp_path / "x.00000001.trace")]) == 1
    assert "Traceback" not in capsys.readouterr().err


def test_known_load_is_of_the_caches_that_a_send_names():
    control = Control(1, terms())
    control.decide(1_000_000, [interface.CacheList(interface.REMEMBERED, (*CACHES, cache_of("c5")))])
    send = sends(control.decide(1_000_000, [lookup(1)]))[0]
    in_flight, window, upstream_in_flight, _ = known_load(control, send)
    assert (in_flight, upstream_in_flight) == (1, 1) and window == float("inf")

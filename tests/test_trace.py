"""The trace of decisions: written under load and faults, read back, made again, and counted."""

import json
import os
from random import Random

import pytest
from fleet import FLEET as CACHES
from fleet import answer, lookup, message, sends, terms
from fleet import cache as cache_of
from scenes import Scene

from hookrouter import interface
from hookrouter.__main__ import main
from hookrouter.control import Control
from hookrouter.node.tracing import BLOCK_BYTES
from hookrouter.stores.trace_log import SEGMENTS, TraceLog, lines, segments
from hookrouter.trace import Account, Replay, Row, UnreadableTrace, read_header, read_row
from hookrouter.trace.rows import MOST_LINE, Header, KindRow, belief


def traced(folder):
    return Scene(folder, trace={"folder": str(folder), "size": 8_000_000})


def read(folder):
    found = []
    for _, path in segments(str(folder)):
        whole = list(lines(path))
        found.append((read_header(whole[0]), [read_row(line) for line in whole[1:]]))
    return found


def busy(s, count, seed=1):
    """Lookups that are satisfied, fail, are left or go silent."""
    chance, wire = Random(seed), s.client()
    for n in range(1, count + 1):
        wire.come(message(n, part=str(n % 4), lookup=f"{chance.randrange(20):016x}"))
        s.net.advance(0.02)
        for way in list(s.net.ways):
            if way.over:
                continue
            line = way.up()
            if line.take() and (luck := chance.random()) < 0.8:
                line.come(
                    answer(200, b"x" * 200)
                    if luck < 0.7
                    else answer(503, b"", b"X-Declined: 1")
                    if luck < 0.75
                    else answer(500, b"")
                )
    s.net.pump([0.2] * 30)


def test_what_was_decided_is_read_back_and_made_again_by_the_same_build(tmp_path):
    s = traced(tmp_path)
    busy(s, 200)
    assert s.router.trace.recorder.size < BLOCK_BYTES + MOST_LINE  # what waits for the disk is bounded
    s.router.trace.close()
    ((header, rows),) = read(tmp_path)
    assert (
        header.router == s.start.name
        and len(rows) > 120
        and {row.event for row in rows} >= {"CacheList", "Lookup", "SendEnd", "Alarm"}
    )
    assert all(row.ref for row in rows if row.event == "Lookup")
    replay = Replay(header)
    for row in rows:
        replay.take(row)
    assert replay.rows == len(rows) and replay.different == 0
    header.seed = "other"
    other = Replay(header)
    for row in rows:
        other.take(row)
    assert other.different > 0 and other.differences  # a nack's time to come back is drawn


def test_the_oldest_goes_and_a_new_life_goes_on_behind_the_old_one(tmp_path):
    log = TraceLog(str(tmp_path), "n1", 80_000, b"{}\n")
    for _ in range(200):
        log.write(os.urandom(4_000).hex().encode() + b"\n")
    log.close()
    kept = segments(str(tmp_path), "n1")
    assert (
        len(kept) == SEGMENTS and sum(os.path.getsize(path) for _, path in kept) < 80_000 + SEGMENTS * 8_000
    )
    TraceLog(str(tmp_path), "n1", 80_000, b"{}\n").write(b"[]\n")
    TraceLog(str(tmp_path), "n10", 80_000, b"{}\n").write(b"[]\n")
    assert (
        segments(str(tmp_path), "n1")[-1][0] == kept[-1][0] + 1
        and len(segments(str(tmp_path), "n1")) == SEGMENTS
    )


def test_whatever_a_crash_or_the_disk_leaves_what_is_before_it_is_read(tmp_path):
    log = TraceLog(str(tmp_path), "n1", 1_000_000, b"{}\n")
    for n in range(50):
        log.write(b"[%d]\n" % n * 20)
    log.close()
    ((_, path),) = segments(str(tmp_path))
    whole, good = open(path, "rb").read(), list(lines(path))
    chance = Random(5)
    for _ in range(60):
        at = chance.randrange(1, len(whole))
        spoilt = (
            whole[:at] if chance.random() < 0.5 else whole[:at] + bytes((whole[at] ^ 0x40,)) + whole[at + 1 :]
        )
        open(path, "wb").write(spoilt)
        got = []
        try:
            for line in lines(path):
                got.append(line)
        except ValueError as wrong:
            assert path in str(wrong)
        assert got == good[: len(got)]


@pytest.mark.parametrize(
    "line", [b"", b"{}", b"[1]", b"[1,2,3,4,5]", b"\xff", b"[" * 90_000, b"9" * (MOST_LINE + 1)]
)
def test_lines_that_are_none_are_refused(line):
    for reader in (read_row, read_header):
        with pytest.raises(UnreadableTrace):
            reader(line)


def test_a_full_disk_ends_the_trace_and_not_the_router(tmp_path):
    s = traced(tmp_path)
    s.router.trace.store.file = open("/dev/full", "wb")  # refuses when flushed, and again when closed
    busy(s, 20)
    assert s.counters.values["traces_failed"] == 1 and "trace cannot be written" in s.out.text
    assert s.check_counters()["lookups_held"] == 0
    s.router.trace.close()


# ---- the account

HEADER = Header("r1", "0", 0.5, [KindRow("clip", 6_000, 1.6, 50_000, 2.0, 0.15)], 0, 1, [], False)


def told(account, router, rows):
    for at, event, *effects in rows:
        said = [
            [
                type(e).__name__,
                list(e),
                [0, 1.0, 0, 1.0] if isinstance(e, (interface.Ask, interface.Obtain)) else None,
            ]
            for e in effects
        ]
        account.take(router, Row(at, type(event).__name__, list(event), said, "ref"))


def ask_of(n, cache="c0", source="p0", held=False):
    return interface.Obtain(n, cache, source, 30_000, 0, 1, True, held, False, False)


def came(n, took, end=interface.SATISFIED, cache="c0"):
    return interface.SendEnd(n, 0, end, 0, end == interface.SATISFIED, took, cache, None)


def test_each_lookup_is_counted_once_and_laid_to_its_cause():
    account = Account()
    account.begin(HEADER)
    clip = lambda n: interface.Lookup(n, "clip", "k", 0, 1, 500.0, 60_000, False)  # noqa: E731, 1,000 units to send
    told(
        account,
        "r1",
        [
            (0, clip(1), ask_of(1)),
            (900, came(1, 900)),
            (1_000, clip(2), ask_of(2)),
            (11_000, came(2, 10_000)),  # late while others there were quick
            (10_100, clip(3), ask_of(3)),
            (11_200, came(3, 1_100)),
            (10_200, clip(4), ask_of(4)),
            (11_300, came(4, 1_100)),
            (12_000, clip(5), interface.Nack(5, 900, "fills")),
            (13_000, clip(6), ask_of(6)),
            (14_000, interface.ClientGone(6)),
            (15_000, clip(7), interface.Give(7)),
            (16_000, clip(8), ask_of(8, held=True)),
            (16_010, came(8, 10, interface.MISSING), interface.Nack(8, 900, "fills")),
            (17_000, clip(9), ask_of(9)),
            (18_000, clip(10), interface.Ask(10, "c0", 900, 400)),
            (18_500, came(10, 500)),  # without a source, as writes go
        ],
    )
    account.begin(HEADER)  # the router was started anew: the ninth has no end
    ends = [(end.outcome, account.cause(end)) for end in account.ends]
    assert ("late", "its fill, others there were quick") in ends and ("open", "router ended") in ends
    assert ("in budget", "own copy") in ends and ends.count(("nacked", "fills")) == 2
    assert [e.outcome for e in account.ends].count("late") == 1 and account.by_kind()["clip"][0] == 10
    assert account.skipped == 0 and account.sends()["held", "satisfied"] == (1, 500)
    assert sum(count for _, count, *_ in account.by_second()) == 10 and not any(account.at_cache.values())
    assert account.lost()[0][0] == ("clip", "nacked", "fills") and account.lost()[0][1] == 2
    assert account.sends()["held", "missing"] == (1, 10)


def test_large_objects_are_held_against_the_rest_of_their_kind():
    account = Account()
    account.begin(HEADER)
    rows = []
    for n in range(
        400
    ):  # of the 40 largest every second is answered, of the 80 after them three in four, then all
        size = 1_000.0 - n
        good = n % 2 == 0 if n < 40 else n % 4 != 0 if n < 120 else True
        rows.append(
            (
                n,
                interface.Lookup(n, "clip", "k", 0, 1, size, 60_000, False),
                interface.Give(n) if good else interface.Nack(n, 900, "fills"),
            )
        )
    told(account, "r1", rows)
    count, whole, largest, after = account.by_size()["clip"]
    assert (
        (count, whole) == (400, 0.9)
        and largest == pytest.approx(0.5 / 0.9)
        and after == pytest.approx(0.75 / 0.9)
    )
    account.ends = [end._replace(size=0.0) for end in account.ends]
    assert account.by_size() == {}


def test_rows_of_another_version_are_left_out_and_the_rest_counts():
    account = Account()
    account.begin(HEADER)
    account.take("r1", Row(1, "Lookup", [1], [], None))
    account.take("r1", Row(1, "Unheard", [], [["Obtain", [], None]], None))
    assert account.skipped == 2 and not account.ends


def test_the_commands_follow_a_lookup_and_account_for_a_trace(tmp_path, capsys):
    s = traced(tmp_path)
    busy(s, 40)
    s.router.trace.close()
    ref = next(row.ref for row in read(tmp_path)[0][1] if row.event == "Lookup")
    assert main(["trace", "show", str(tmp_path), "--lookup", ref, "--json"]) == 0
    shown = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert shown[0][2] == "Lookup" and shown[0][5] == ref and len(shown) >= 1
    assert main(["trace", "account", str(tmp_path), "--json"]) == 0
    counted = json.loads(capsys.readouterr().out)
    assert counted["skipped"] == 0 and counted["lookups"] == 40
    ((_, path),) = segments(str(tmp_path))
    header, *rest = list(lines(path))
    cut = (
        next(n for n, line in enumerate(rest) if b"Lookup" in line and n > 20) + 1
    )  # one is open across the two
    (two := tmp_path / "two").mkdir()
    for part in (rest[:cut], rest[cut:]):
        log = TraceLog(str(two), s.start.name, 8_000_000, header + b"\n")
        log.write(b"\n".join([*part, b""]))
        log.close()
    assert main(["trace", "account", str(two), "--json"]) == 0
    assert json.loads(capsys.readouterr().out) == counted  # a life in two segments is one
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


def test_beliefs_are_of_the_caches_that_a_send_names():
    control = Control(1, terms())
    control.decide(1_000_000, [interface.CacheList(interface.REMEMBERED, (*CACHES, cache_of("c5")))])
    send = sends(control.decide(1_000_000, [lookup(1)]))[0]
    out, room, feeding, _ = belief(control, send)
    assert (out, feeding) == (1, 1) and room == float("inf")

"""The sealed part of a store of purges: it restores the same order as all rows, also after a kill."""

import json
import sqlite3
import subprocess
import sys
from random import Random

import pytest
from test_purge_store import batch

from hookrouter.desk.local_store import restore_order
from hookrouter.purges import Guard, Position, Purge, PurgeTerms, slice_codec, types
from hookrouter.purges.tail import Tail
from hookrouter.stores import DamagedStore, PurgeLog, UnusableStore
from hookrouter.stores.purge_slices import SealingTerms

HOLD, SEALED, KEEP = 24_000, 2_000, 50
TERMS = SealingTerms(HOLD, SEALED, KEEP)
ROUTER = PurgeTerms(20_000, HOLD, 500, 20, types.YOUNG, 1_000, 10, SEALED)


def mixed_purges(first, last, epoch=1, step=10):
    """Purges of all kinds, some of them repeated."""
    rng, rows = Random(first), []
    for n in range(first, last + 1):
        kind = types.KINDS[n % len(types.KINDS)]
        rows.append((Purge(epoch, n, step * n, kind, f"{kind}/{rng.randrange(300)}"), f"k{n}"))
    return rows


def open_log(path, rows=()):
    log = PurgeLog(path)
    log.load(HOLD, SEALED)
    log.begin_epoch(1)
    if rows:
        log.append(rows)
    return log


def seal_all(log, limit=70):
    while log.seal_batch(TERMS, limit):
        pass


def guard_with(tail):
    """The guard of a router that has received the whole order."""
    guard, snapshot = Guard(ROUTER), tail.snapshot()
    for purge in snapshot.purges:
        guard.told(purge.timestamp, purge)
    for row in snapshot.slices:
        for _ in guard.adopt(row.bound, slice_codec.decode_row(row, tail.catalogue.body(row.digest))):
            pass
    return guard


def assert_all_bind(tail, rows):
    now = rows[-1][0].timestamp
    index = guard_with(tail).index
    for purge, _ in rows:
        if purge.timestamp < now - HOLD:
            continue
        name, group, tags = "none", "300", ()
        if purge.kind == types.GROUP:
            group = purge.what
        elif purge.kind == types.TAG:
            tags = (purge.what,)
        else:
            name = purge.what
        kind, _, rest = name.partition("/") if purge.kind in types.PATTERN_KINDS else ("clip", "", name)
        assert index.newest(kind, rest, group, tags) >= purge.timestamp, purge


def test_the_sealed_part_restores_the_same_order_as_all_rows(tmp_path):
    rows = mixed_purges(1, 1_000)
    log = open_log(tmp_path / "s.db", rows)
    unsealed_tail = restore_order(log.load(HOLD, SEALED), HOLD, 2).tail
    seal_all(log)
    log.close()
    log = PurgeLog(tmp_path / "s.db", must_exist=True)
    loaded = log.load(HOLD, SEALED)
    assert [purge.n for purge, _ in loaded.rows] == list(range(951, 1_001)) and loaded.sealed.through == 950
    tail, keys, _ = restore_order(loaded, HOLD, 2)
    assert (tail.newest, tail.last_timestamp, tail.firsts) == (
        unsealed_tail.newest,
        unsealed_tail.last_timestamp,
        [(1, 1)],
    )
    assert tail.exact == unsealed_tail.exact and set(keys) == {f"k{n}" for n in range(951, 1_001)}
    assert len(tail.archive) == 475 and tail.live() < unsealed_tail.live() + 475
    assert_all_bind(tail, rows)
    log.append(mixed_purges(1_001, 1_200, 2))  # the hash chain continues
    seal_all(log)
    assert log.load(HOLD, SEALED).sealed.firsts == [(1, 1), (1_001, 2)]
    assert log.verify() == (1_200, [])  # rows stay until the hold is over
    log.close()


def test_purges_older_than_the_hold_are_removed_by_the_orders_own_time(tmp_path):
    rows = mixed_purges(1, 4_000)
    log = open_log(tmp_path / "s.db", rows)
    seal_all(log, 300)
    sealed_part = log.load(HOLD, SEALED).sealed
    oldest = rows[-1][0].timestamp - HOLD
    assert min(purge.timestamp for purge in sealed_part.exact) >= oldest
    assert min(live_slice.bound for live_slice in sealed_part.archive.live()) >= oldest
    assert 24 <= len({key.span for key in sealed_part.archive.slices}) <= 26
    assert_all_bind(restore_order(log.load(HOLD, SEALED), HOLD, 2).tail, rows)
    log.truncate(3_000)  # rows are removed after a hold; none is sealed twice or left out
    log.append(mixed_purges(4_001, 4_300))
    seal_all(log, 300)
    assert_all_bind(restore_order(log.load(HOLD, SEALED), HOLD, 2).tail, rows + mixed_purges(4_001, 4_300))
    log.close()


def test_a_store_continues_after_all_its_rows_were_removed(tmp_path):
    log = open_log(tmp_path / "s.db", batch(1, 200))
    log.truncate(200)
    assert log.seal_batch(TERMS, 100) == 0
    log.append([(purge._replace(timestamp=10**6), key) for purge, key in batch(201, 300)])
    seal_all(log)
    loaded = log.load(HOLD, SEALED)
    assert (loaded.floor, loaded.sealed.through, len(loaded.rows)) == (200, 250, 50)
    assert restore_order(loaded, HOLD, 2).tail.newest == Position(1, 300)
    log.close()


# A process that seals, appends and truncates, and kills itself in the middle of a step.
KILLED = """
import os, signal, sys
sys.path.insert(0, "tests")
from hookrouter.stores import PurgeLog
from test_purge_slices import HOLD, SEALED, TERMS, mixed_purges
log = PurgeLog(sys.argv[1]); log.load(HOLD, SEALED)
left = int(sys.argv[2])
def trace(statement):
    global left
    left -= 1
    if left < 0:
        os.kill(os.getpid(), signal.SIGKILL)
log.connection.set_trace_callback(trace)
for k in range(6):
    log.seal_batch(TERMS, 100)
    first = 1_001 + 50 * k
    log.append(mixed_purges(first, first + 49))
    print(first + 49, flush=True)
    log.truncate(20 * k)
"""


@pytest.mark.parametrize("statements", (0, 1, 2, 4, 6, 9, 20, 60, 90, 100, 104, 106, 108, 110, 140, 300, 500))
def test_a_kill_at_any_statement_of_sealing_loses_nothing(tmp_path, statements):
    path = tmp_path / "s.db"
    open_log(path, mixed_purges(1, 1_000)).close()
    completed = subprocess.run(
        [sys.executable, "-c", KILLED, path, str(statements)], capture_output=True, text=True
    )
    assert completed.returncode == -9, completed.stderr
    last = max([1_000, *(int(line) for line in completed.stdout.split())])
    log = PurgeLog(path, must_exist=True)
    loaded = log.load(HOLD, SEALED)
    newest = loaded.rows[-1][0].n
    assert newest >= last and loaded.rows[0][0].n == max(loaded.floor, loaded.sealed.through) + 1
    rows = [row for first in range(0, newest, 50) for row in rows_from(first, newest)]
    assert_all_bind(restore_order(loaded, HOLD, 2).tail, rows)
    seal_all(log)
    assert_all_bind(restore_order(log.load(HOLD, SEALED), HOLD, 2).tail, rows)
    assert log.verify()[1] == []
    log.close()


def rows_from(first, newest):
    """The rows as they were appended: a thousand at once, then fifty at a time."""
    if first < 1_000:
        return mixed_purges(1, 1_000)[first : first + 50]
    return mixed_purges(first + 1, min(newest, first + 50))


@pytest.mark.parametrize(
    "damage, message",
    [
        ("UPDATE slices SET body = substr(body, 2) WHERE span = 1", "bytes that are not those"),
        ("UPDATE slices SET bound = bound - 1 WHERE span = 2", "are not as they were written"),
        ("DELETE FROM slices WHERE span = 3", "are not as they were written"),
        (
            "UPDATE slices SET (body, digest) = (SELECT body, digest FROM slices WHERE span = 1) WHERE span = 2",
            "are not as they were written",
        ),
        ("DELETE FROM exact WHERE kind = 'group'", "are not as they were written"),
        ("UPDATE exact SET made = made - 1", "are not as they were written"),
        ("UPDATE facts SET value = value - 1 WHERE name = 'sealed'", "are not as they were written"),
        ("UPDATE facts SET value = '[]' WHERE name = 'firsts'", "are not as they were written"),
        ("DELETE FROM facts WHERE name = 'sealed digest'", "sealed digest is missing"),
    ],
)
def test_corruption_of_the_sealed_part_is_detected_by_load_and_by_verify(tmp_path, damage, message):
    path = tmp_path / "s.db"
    log = open_log(path, mixed_purges(1, 1_000))
    seal_all(log)
    log.connection.execute(damage)
    log.close()
    log = PurgeLog(path, must_exist=True)
    with pytest.raises(DamagedStore, match=message):
        log.load(HOLD, SEALED)
    assert any(message in line for line in log.verify()[1])
    log.close()


def test_a_damaged_row_is_detected_when_sealed_and_its_batch_is_rolled_back(tmp_path):
    log = open_log(tmp_path / "s.db", mixed_purges(1, 1_000))
    assert log.seal_batch(TERMS, 100) == 100
    log.connection.execute("UPDATE purges SET what = 'other' WHERE n = 150")
    with pytest.raises(DamagedStore, match="purge 150 is not as it was written"):
        log.seal_batch(TERMS, 100)
    assert log.sealed_tables.sealed_through()[0] == 100
    log.close()


def test_a_full_disk_rolls_a_sealing_step_back_and_the_next_one_succeeds(tmp_path):
    log = open_log(tmp_path / "s.db", mixed_purges(1, 1_000))
    pages = log.connection.execute("PRAGMA page_count").fetchone()[0]
    log.connection.execute(f"PRAGMA max_page_count = {pages}")
    with pytest.raises(sqlite3.OperationalError, match="full"):
        log.seal_batch(TERMS, 900)
    assert log.sealed_tables.sealed_through()[0] == 0
    log.connection.execute("PRAGMA max_page_count = 100000")
    assert log.seal_batch(TERMS, 900) == 900
    log.close()


def test_a_store_of_the_previous_version_is_read_and_one_of_a_later_is_refused(tmp_path):
    path = tmp_path / "s.db"
    log = open_log(path, mixed_purges(1, 300))
    for statement in (
        "DROP TABLE slices",
        "DROP TABLE exact",
        "DELETE FROM facts WHERE name LIKE 'sealed%' OR name = 'firsts'",
        "UPDATE facts SET value = 1 WHERE name = 'version'",
    ):
        log.connection.execute(statement)
    log.close()
    log = PurgeLog(path, must_exist=True)
    loaded = log.load(HOLD, SEALED)
    assert (len(loaded.rows), loaded.sealed.through) == (300, 0)
    seal_all(log)
    assert log.load(HOLD, SEALED).sealed.through == 250
    log.connection.execute("UPDATE facts SET value = 3 WHERE name = 'version'")
    log.close()
    with pytest.raises(UnusableStore, match="of version 3, this program reads 2"):
        PurgeLog(path, must_exist=True)


def test_the_first_numbers_of_epochs_are_bounded(tmp_path):
    log = open_log(tmp_path / "s.db")
    log.append([(Purge(n, n, n, types.OBJECT, "o"), f"k{n}") for n in range(1, 1_400)])
    seal_all(log, 500)
    firsts = log.load(HOLD, SEALED).sealed.firsts
    assert len(firsts) == 1_000 and firsts[-1] == (1_349, 1_349)
    assert len(json.dumps(firsts)) < 20_000
    tail = Tail(HOLD)
    tail.recall((), firsts)
    assert tail.firsts == firsts
    log.close()

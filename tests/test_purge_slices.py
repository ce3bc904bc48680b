"""The sealed part of a store of purges: a start by it is as good as by all rows, after a kill at any step too."""

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


def mixed(first, last, epoch=1, step=10):
    """Purges of all kinds, some of them again and again."""
    dice, rows = Random(first), []
    for n in range(first, last + 1):
        kind = types.KINDS[n % len(types.KINDS)]
        rows.append((Purge(epoch, n, step * n, kind, f"{kind}/{dice.randrange(300)}"), f"k{n}"))
    return rows


def opened(path, rows=()):
    log = PurgeLog(path)
    log.load(HOLD, SEALED)
    log.begin_epoch(1)
    if rows:
        log.append(rows)
    return log


def sealed_all(log, most=70):
    while log.seal_batch(TERMS, most):
        pass


def bound_by(tail):
    """A router that was given all of this order."""
    guard, snapshot = Guard(ROUTER), tail.snapshot()
    for purge in snapshot.purges:
        guard.told(purge.timestamp, purge)
    for row in snapshot.slices:
        for _ in guard.adopt(row.bound, slice_codec.decode_row(row, tail.catalogue.body(row.digest))):
            pass
    return guard


def assert_all_bind(tail, rows):
    now = rows[-1][0].timestamp
    index = bound_by(tail).index
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


def test_a_start_by_the_sealed_part_gives_the_same_order_as_one_by_all_rows(tmp_path):
    rows = mixed(1, 1_000)
    log = opened(tmp_path / "s.db", rows)
    whole = restore_order(log.load(HOLD, SEALED), HOLD, 2).tail
    sealed_all(log)
    log.close()
    log = PurgeLog(tmp_path / "s.db", must_exist=True)
    loaded = log.load(HOLD, SEALED)
    assert [purge.n for purge, _ in loaded.rows] == list(range(951, 1_001)) and loaded.sealed.through == 950
    tail, keys, _ = restore_order(loaded, HOLD, 2)
    assert (tail.newest, tail.last_timestamp, tail.firsts) == (whole.newest, whole.last_timestamp, [(1, 1)])
    assert tail.exact == whole.exact and set(keys) == {f"k{n}" for n in range(951, 1_001)}
    assert len(tail.archive) == 475 and tail.live() < whole.live() + 475
    assert_all_bind(tail, rows)
    log.append(mixed(1_001, 1_200, 2))  # the chain of seals goes on
    sealed_all(log)
    assert log.load(HOLD, SEALED).sealed.firsts == [(1, 1), (1_001, 2)]
    assert log.verify() == (1_200, [])  # rows stay until the hold is over
    log.close()


def test_what_is_older_than_the_hold_goes_by_the_orders_own_time(tmp_path):
    rows = mixed(1, 4_000)
    log = opened(tmp_path / "s.db", rows)
    sealed_all(log, 300)
    part = log.load(HOLD, SEALED).sealed
    oldest = rows[-1][0].timestamp - HOLD
    assert min(purge.timestamp for purge in part.exact) >= oldest
    assert min(one.bound for one in part.archive.live()) >= oldest
    assert 24 <= len({key.span for key in part.archive.slices}) <= 26
    assert_all_bind(restore_order(log.load(HOLD, SEALED), HOLD, 2).tail, rows)
    log.truncate(3_000)  # the rows go after a hold; nothing is sealed twice or left out
    log.append(mixed(4_001, 4_300))
    sealed_all(log, 300)
    assert_all_bind(restore_order(log.load(HOLD, SEALED), HOLD, 2).tail, rows + mixed(4_001, 4_300))
    log.close()


def test_a_store_whose_rows_were_all_folded_away_goes_on(tmp_path):
    log = opened(tmp_path / "s.db", batch(1, 200))
    log.truncate(200)
    assert log.seal_batch(TERMS, 100) == 0
    log.append([(purge._replace(timestamp=10**6), key) for purge, key in batch(201, 300)])
    sealed_all(log)
    loaded = log.load(HOLD, SEALED)
    assert (loaded.floor, loaded.sealed.through, len(loaded.rows)) == (200, 250, 50)
    assert restore_order(loaded, HOLD, 2).tail.newest == Position(1, 300)
    log.close()


# A process that seals, appends and folds, and is killed by itself in the middle of a step.
KILLED = """
import os, signal, sys
sys.path.insert(0, "tests")
from hookrouter.stores import PurgeLog
from test_purge_slices import HOLD, SEALED, TERMS, mixed
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
    log.append(mixed(first, first + 49))
    print(first + 49, flush=True)
    log.truncate(20 * k)
"""


@pytest.mark.parametrize("statements", (0, 1, 2, 4, 6, 9, 20, 60, 90, 100, 104, 106, 108, 110, 140, 300, 500))
def test_a_kill_at_any_statement_of_sealing_loses_nothing(tmp_path, statements):
    path = tmp_path / "s.db"
    opened(path, mixed(1, 1_000)).close()
    out = subprocess.run(
        [sys.executable, "-c", KILLED, path, str(statements)], capture_output=True, text=True
    )
    assert out.returncode == -9, out.stderr
    last = max([1_000, *(int(line) for line in out.stdout.split())])
    log = PurgeLog(path, must_exist=True)
    loaded = log.load(HOLD, SEALED)
    newest = loaded.rows[-1][0].n
    assert newest >= last and loaded.rows[0][0].n == max(loaded.floor, loaded.sealed.through) + 1
    rows = [row for first in range(0, newest, 50) for row in rows_from(first, newest)]
    assert_all_bind(restore_order(loaded, HOLD, 2).tail, rows)
    sealed_all(log)
    assert_all_bind(restore_order(log.load(HOLD, SEALED), HOLD, 2).tail, rows)
    assert log.verify()[1] == []
    log.close()


def rows_from(first, newest):
    """As they were appended: a thousand at once, then fifty by fifty."""
    if first < 1_000:
        return mixed(1, 1_000)[first : first + 50]
    return mixed(first + 1, min(newest, first + 50))


@pytest.mark.parametrize(
    "wrong, said",
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
def test_damage_of_the_sealed_part_is_found_at_the_start_and_by_verify(tmp_path, wrong, said):
    path = tmp_path / "s.db"
    log = opened(path, mixed(1, 1_000))
    sealed_all(log)
    log.connection.execute(wrong)
    log.close()
    log = PurgeLog(path, must_exist=True)
    with pytest.raises(DamagedStore, match=said):
        log.load(HOLD, SEALED)
    assert any(said in line for line in log.verify()[1])
    log.close()


def test_a_damaged_row_is_found_when_it_is_sealed_and_nothing_of_it_is(tmp_path):
    log = opened(tmp_path / "s.db", mixed(1, 1_000))
    assert log.seal_batch(TERMS, 100) == 100
    log.connection.execute("UPDATE purges SET what = 'other' WHERE n = 150")
    with pytest.raises(DamagedStore, match="purge 150 is not as it was written"):
        log.seal_batch(TERMS, 100)
    assert log.sealed_tables.sealed_through()[0] == 100
    log.close()


def test_a_full_disk_ends_a_step_and_the_next_one_goes_on(tmp_path):
    log = opened(tmp_path / "s.db", mixed(1, 1_000))
    pages = log.connection.execute("PRAGMA page_count").fetchone()[0]
    log.connection.execute(f"PRAGMA max_page_count = {pages}")
    with pytest.raises(sqlite3.OperationalError, match="full"):
        log.seal_batch(TERMS, 900)
    assert log.sealed_tables.sealed_through()[0] == 0
    log.connection.execute("PRAGMA max_page_count = 100000")
    assert log.seal_batch(TERMS, 900) == 900
    log.close()


def test_a_store_of_the_former_version_is_read_and_one_of_a_later_is_refused(tmp_path):
    path = tmp_path / "s.db"
    log = opened(path, mixed(1, 300))
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
    sealed_all(log)
    assert log.load(HOLD, SEALED).sealed.through == 250
    log.connection.execute("UPDATE facts SET value = 3 WHERE name = 'version'")
    log.close()
    with pytest.raises(UnusableStore, match="of version 3, this program reads 2"):
        PurgeLog(path, must_exist=True)


def test_the_first_numbers_of_epochs_are_bounded(tmp_path):
    log = opened(tmp_path / "s.db")
    log.append([(Purge(n, n, n, types.OBJECT, "o"), f"k{n}") for n in range(1, 1_400)])
    sealed_all(log, 500)
    firsts = log.load(HOLD, SEALED).sealed.firsts
    assert len(firsts) == 1_000 and firsts[-1] == (1_349, 1_349)
    assert len(json.dumps(firsts)) < 20_000
    tail = Tail(HOLD)
    tail.recall((), firsts)
    assert tail.firsts == firsts
    log.close()

"""The store of purges under kills, full disks and corruption; faults of the operator's file."""

import os
import sqlite3
import subprocess
import sys

import pytest

from hookrouter.purges import Purge, types
from hookrouter.site import InvalidSiteFile, Secret, read, read_text
from hookrouter.stores import DamagedStore, PurgeLog, UnusableStore


def batch(first, last, epoch=1):
    return [(Purge(epoch, n, 10 * n, types.OBJECT, f"o{n}"), f"k{n}") for n in range(first, last + 1)]


def filled(path, last=3_000):
    log = PurgeLog(path)
    log.load()
    assert log.begin_epoch(1) == 1
    log.append(batch(1, last))
    log.update_followers([("r1", 5), ("r2", 6)], ["r9"])
    return log


def test_appended_purges_are_read_back_and_epochs_only_rise(tmp_path):
    path = tmp_path / "s.db"
    filled(path).close()
    log = PurgeLog(path)
    loaded = log.load()
    assert (loaded.epoch, loaded.floor, loaded.rows, loaded.followers) == (
        1,
        0,
        batch(1, 3_000),
        [("r1", 5), ("r2", 6)],
    )
    assert [log.begin_epoch(0), log.begin_epoch(7), log.begin_epoch(5)] == [2, 7, 8]
    log.truncate(2_999)
    log.append(batch(3_001, 3_002, 8))
    log.update_followers([], ["r1"])
    log.close()
    log = PurgeLog(path, must_exist=True)
    loaded = log.load()
    assert (loaded.floor, [p.n for p, _ in loaded.rows], loaded.followers) == (
        2_999,
        [3_000, 3_001, 3_002],
        [("r2", 6)],
    )
    log.close()


# A process that truncates and appends, and kills itself in the middle of a step: the store must be as before
# the step or as after it.
KILLED = """
import os, signal, sys, sqlite3
from hookrouter.stores import PurgeLog
from hookrouter.purges import Purge
log = PurgeLog(sys.argv[1]); log.load()
left = int(sys.argv[2])
def trace(statement):
    global left
    left -= 1
    if left < 0:
        os.kill(os.getpid(), signal.SIGKILL)
log.connection.set_trace_callback(trace)
epoch = log.begin_epoch(1)
for k in range(6):
    n = 3_001 + 50 * k
    log.append([(Purge(epoch, m, m, "object", f"o{m}"), f"k{m}") for m in range(n, n + 50)])
    print(n + 49, flush=True)
    log.truncate(n - 1_000)
    log.update_followers([(f"m{k}", k)], [f"m{k - 1}"])
"""


@pytest.mark.parametrize("statements", (0, 2, 3, 7, 30, 55, 58, 60, 61, 64, 150, 333))
def test_a_kill_at_any_statement_leaves_an_intact_store_with_all_acknowledged_purges(tmp_path, statements):
    path = tmp_path / "s.db"
    filled(path).close()
    completed = subprocess.run(
        [sys.executable, "-c", KILLED, path, str(statements)], capture_output=True, text=True
    )
    assert completed.returncode == -9, completed.stderr
    acknowledged = [int(line) for line in completed.stdout.split()]
    log = PurgeLog(path, must_exist=True)
    numbers = [purge.n for purge, _ in log.load().rows]
    assert numbers == list(range(numbers[0], numbers[-1] + 1)) and numbers[-1] >= max([3_000, *acknowledged])
    assert log.verify() == (len(numbers), [])
    log.close()


def test_a_full_disk_refuses_the_batch_and_keeps_earlier_ones(tmp_path):
    path = tmp_path / "s.db"
    log = filled(path, 100)
    pages = log.connection.execute("PRAGMA page_count").fetchone()[0]
    log.connection.execute(f"PRAGMA max_page_count = {pages}")
    with pytest.raises(sqlite3.OperationalError, match="full"):
        log.append(batch(101, 5_000))
    log.connection.execute("PRAGMA max_page_count = 100000")
    log.append(batch(101, 200))
    log.close()
    log = PurgeLog(path)
    assert len(log.load().rows) == 200
    log.close()


@pytest.mark.parametrize(
    "damage, number, message",
    [
        ("UPDATE purges SET what = 'o9' WHERE n = 70", 70, "is not as it was written"),
        ("UPDATE purges SET made = made + 1 WHERE n = 100", 100, "is not as it was written"),
        ("DELETE FROM purges WHERE n = 41", 41, "is missing, 42 follows"),
        ("DELETE FROM purges WHERE n <= 10", 1, "is missing, 11 follows"),
        (
            "UPDATE purges SET seal = (SELECT seal FROM purges WHERE n = 5) WHERE n = 6",
            6,
            "is not as it was written",
        ),
        ("UPDATE purges SET epoch = -1 WHERE n = 3", 3, "is not as it was written"),
        ("DELETE FROM facts WHERE name = 'floor seal'", None, "floor seal is missing"),
    ],
)
def test_corruption_is_detected_and_located(tmp_path, damage, number, message):
    path = tmp_path / "s.db"
    log = filled(path, 100)
    log.connection.execute(damage)
    log.close()
    log = PurgeLog(path)
    with pytest.raises(DamagedStore, match=message) as found:
        log.load()
    assert found.value.first_bad == number
    assert any(message in line for line in log.verify()[1])
    log.close()


@pytest.mark.parametrize("damage", ("torn", "flipped"))
def test_a_torn_or_flipped_page_is_detected(tmp_path, damage):
    path = tmp_path / "s.db"
    filled(path).close()
    data = bytearray(path.read_bytes())
    page_size, pages = 4_096, len(data) // 4_096
    detected = 0
    for number in range(1, pages, 7):
        damaged = bytearray(data)
        if damage == "torn":
            damaged[number * page_size + 512 : (number + 1) * page_size] = bytes(page_size - 512)
        else:
            damaged[number * page_size + 2_000] ^= 0x10
        path.write_bytes(damaged)
        try:
            log = PurgeLog(path, must_exist=True)
            intact = log.load().rows == batch(1, 3_000)
            log.close()
        except UnusableStore:
            intact = False
        detected += not intact
        if intact:  # then the page holds no row, or nothing at the damaged place
            assert damage == "flipped" or number >= pages - 3
    assert detected > pages // 7 - 4


def test_a_store_is_opened_by_one_process_and_other_files_are_refused(tmp_path):
    path = tmp_path / "s.db"
    log = filled(path, 1)
    with pytest.raises(UnusableStore, match="another process holds it"):
        PurgeLog(path)
    log.close()
    (tmp_path / "text").write_text("not a store, but a text of some length")
    with pytest.raises(UnusableStore, match="not a database"):
        PurgeLog(tmp_path / "text")
    other = sqlite3.connect(tmp_path / "other")
    other.execute("CREATE TABLE t (x)")
    other.close()
    with pytest.raises(UnusableStore, match="no store of purges"):
        PurgeLog(tmp_path / "other")
    with pytest.raises(UnusableStore, match="unable to open"):
        PurgeLog(tmp_path / "none", must_exist=True)


# ---- the operator's file


def secret_file(folder, mode=0o600, text="0123456789abcdef\n"):
    path = folder / "secret"
    path.write_text(text)
    os.chmod(path, mode)


GOOD = "[purges]\ndesk = 127.0.0.1:9100\nsecret = secret\n"


def faults(folder, text):
    with pytest.raises(InvalidSiteFile) as refused:
        read_text(str(folder / "site.ini"), text)
    return [line.split("site.ini:")[1] for line in refused.value.lines]


@pytest.mark.parametrize(
    "text, message",
    [
        (GOOD + "lease = 2", "4: [purges] lease: '2' has no number and unit"),
        (GOOD + "lease = 2 parsec", "4: [purges] lease: '2 parsec' has no number and unit"),
        (GOOD + "lease = 100 ms", "4: [purges] lease: 100 ms is out of range; wanted is 500 ms to 1 min"),
        (GOOD + "hold = 10 s", "4: [purges] hold: 10 s is out of range; wanted is 1 min to 30 d"),
        (GOOD + "fenced = maybe", "4: [purges] fenced: 'maybe'; one of young, nack is wanted"),
        (GOOD + "names = many", "4: [purges] names: 'many'; a whole number from 100"),
        (GOOD + "\nfollow = here", "5: [purges] follow: 'here'; an address and a port are wanted"),
        (GOOD + "grace = 10 ms", "4: [purges] grace: shorter than twice the skew"),
        (GOOD + "lease = 60 s\nhold = 2 min", "5: [purges] hold: ten leases at least"),
        (GOOD + "tags = file", "1: [purges] tag file: wanted where tags = file"),
        (GOOD + "tag file = none", "4: [purges] tag file: "),
        (GOOD + "colour = red", "4: [purges] colour: no key of that name"),
        (GOOD + "[pugres]\n", "4: [pugres]: no section of that name"),
        (
            "[purges]\ndesk = 127.0.0.1:99999\nsecret = none\n",
            "2: [purges] desk: '127.0.0.1:99999'; an address",
        ),
        ("[purges]\ndesk = 127.0.0.1:9\n", "1: [purges] secret: is missing"),
        ("[desk]\nlisten = 127.0.0.1:9\nstore = x\n", "1: [desk]: [purges] is missing"),
        ("lease = 2 s\n", "1: File contains no section headers."),
        (GOOD + "lease = 2 s\nlease = 3 s\n", "5: While reading from the file [line  5]: option 'lease'"),
    ],
)
def test_an_invalid_site_file_is_refused_with_line_key_and_expected_value(tmp_path, text, message):
    secret_file(tmp_path)
    assert any(line.startswith(message) for line in faults(tmp_path, text)), faults(tmp_path, text)


def test_all_faults_of_a_site_file_are_reported_at_once_by_line(tmp_path):
    secret_file(tmp_path, 0o644)
    found = faults(tmp_path, GOOD + "lease = x\nskew = 1 h\n[log]\nformat = xml\n[nothing]\n")
    assert [line.split(":")[0] for line in found] == ["3", "4", "5", "7", "8"]
    assert "others may read it" in found[0]


def test_a_valid_site_file_is_read_and_its_secret_is_never_printed(tmp_path):
    secret_file(tmp_path)
    (tmp_path / "site.ini").write_text(GOOD + "lease = 1.5 s\n# a remark\nhold = 1 h\n")
    sections = read(str(tmp_path / "site.ini"))
    purges = sections["purges"]
    assert (purges["lease"], purges["hold"], purges["desk"]) == (15_000, 36_000_000, (("127.0.0.1", 9100),))
    assert purges["secret"] == Secret(b"0123456789abcdef") != Secret(b"0123456789abcdeg")
    assert "0123456789" not in repr(sections) and list(sections) == ["purges"]
    secret_file(tmp_path, text="short")
    with pytest.raises(InvalidSiteFile, match="16 characters"):
        read(str(tmp_path / "site.ini"))
    with pytest.raises(InvalidSiteFile, match="No such file"):
        read(str(tmp_path / "none.ini"))

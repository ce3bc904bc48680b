"""The desk's store: purges in order, each with a chained hash; the epoch; the names of followers.

SQLite in WAL mode with synchronous FULL: a committed transaction is on disk, an interrupted one leaves
nothing (sqlite.org/wal.html). SQLite does not checksum its pages, so each row carries a hash over itself and
the hash of the row before (column seal): a flipped, torn, missing or swapped row is detected and reported by
number. One process at a time opens a store. Calls block; the desk makes them from a separate thread.
"""

import sqlite3
import struct
from typing import NamedTuple

from ..errors.stores import DamagedStore, ForeignStore
from ..purges.types import MOST_SEALED, Purge
from ..tables.hash_chain import INITIAL_HASH
from . import purge_slices
from .purge_rows import purge_hash
from .purge_steps import INSERT, CopySteps
from .sqlite import LOCK_TIMEOUT, create_schema, open_error, prepare, read_fact, transaction

APPLICATION_ID = 0x686B7072  # SQLite application id: "hkpr"
VERSION = 2
PREVIOUS_VERSION = 1  # has no sealed part, which is added when the file is opened
ROWS_PER_FETCH = 10_000  # rows read at a time
DEFAULT_HOLD = 864_000_000  # 24 h in tenths of a millisecond; for readers without a configured hold

SCHEMA = """
CREATE TABLE facts (name TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE purges (n INTEGER PRIMARY KEY, epoch INTEGER NOT NULL, made INTEGER NOT NULL, sort TEXT NOT NULL,
                     what TEXT NOT NULL, key TEXT NOT NULL, seal BLOB NOT NULL);
CREATE TABLE members (name TEXT PRIMARY KEY, generation INTEGER NOT NULL) WITHOUT ROWID;
"""


class LoadedPurges(NamedTuple):
    """What a store holds when it is opened."""

    epoch: int  # of the previous incarnation
    floor: int  # number of the last purge removed from the start
    rows: list  # (Purge, key) in order, after the sealed part
    followers: list  # (name, generation)
    sealed: purge_slices.SealedPart  # the purges before the first row


class PurgeLog(CopySteps):
    """An open store of purges. Writes are one transaction each, which is on disk on return."""

    def __init__(self, path, must_exist=False):
        """Opens and locks the file, or creates it. Raises UnusableStore."""
        self.path = path
        try:
            self.connection = sqlite3.connect(
                f"file:{path}?mode={'rw' if must_exist else 'rwc'}",
                uri=True,
                isolation_level=None,
                check_same_thread=False,
                timeout=LOCK_TIMEOUT,
            )
            self.sealed_tables = purge_slices.SealedTables(self.connection, path)
            self._open()
        except sqlite3.DatabaseError as error:
            raise open_error(path, error, "a desk") from None
        self.last_hash = None  # hash of the newest row; set by load()

    def _open(self):
        execute = self.connection.execute
        if prepare(self.connection, self.path, APPLICATION_ID, "this is no store of purges"):
            execute("BEGIN EXCLUSIVE")
            create_schema(self.connection, SCHEMA + purge_slices.SCHEMA, APPLICATION_ID)
            for name, value in (
                ("version", VERSION),
                ("epoch", 0),
                ("floor", 0),
                ("floor seal", INITIAL_HASH),
            ):
                execute("INSERT INTO facts VALUES (?, ?)", (name, value))
            self.sealed_tables.create()
            execute("COMMIT")
        else:
            execute("BEGIN IMMEDIATE")  # locks the file for this process
            execute("COMMIT")
        if self._fact("version") == PREVIOUS_VERSION:
            self._add_sealed_part()
        if self._fact("version") != VERSION:
            raise ForeignStore(
                f"{self.path}: of version {self._fact('version')}, this program reads {VERSION}"
            )

    def _add_sealed_part(self):
        with transaction(self.connection) as execute:
            for statement in purge_slices.SCHEMA.split(";")[:-1]:
                execute(statement)
            self.sealed_tables.create()
            execute("UPDATE facts SET value = ? WHERE name = 'version'", (VERSION,))

    def close(self):
        """Closes the file, which releases its lock."""
        self.connection.close()

    def _fact(self, name):
        return read_fact(self.connection, self.path, name)

    # ---- read

    def load(self, hold=DEFAULT_HOLD, most_sealed=MOST_SEALED):
        """Reads the sealed part and the rows after it, and verifies the hashes. Raises DamagedStore with the
        first corrupted row. hold, most_sealed: as in PurgeTerms.
        """
        try:
            sealed = self.sealed_tables.read(hold, most_sealed)
        except sqlite3.DatabaseError as error:
            raise DamagedStore(f"{self.path}: its sealed purges cannot be read: {error}") from None
        rows = list(self._rows(*self._sealed_end()))
        return LoadedPurges(
            self._fact("epoch"),
            self._fact("floor"),
            rows,
            self.connection.execute("SELECT name, generation FROM members ORDER BY name").fetchall(),
            sealed,
        )

    def _sealed_end(self):
        """Returns (number of the last purge that is sealed or removed, its hash)."""
        floor = self._fact("floor"), self._fact("floor seal")
        return max(floor, self.sealed_tables.sealed_through(), key=lambda end: end[0])

    def _rows(self, number, previous_hash):
        """Yields the verified rows after that number. previous_hash: of the row of that number."""
        try:
            cursor = self.connection.execute(
                "SELECT epoch, n, made, sort, what, key, seal FROM purges WHERE n > ? ORDER BY n", (number,)
            )
            while batch := cursor.fetchmany(ROWS_PER_FETCH):
                for epoch, row_number, timestamp, kind, what, key, stored_hash in batch:
                    number += 1
                    purge = Purge(epoch, row_number, timestamp, kind, what)
                    previous_hash = self._checked(previous_hash, purge, key, stored_hash, number)
                    yield purge, key
        except sqlite3.DatabaseError as error:
            raise DamagedStore(
                f"{self.path}: purge {number + 1} cannot be read: {error}", number + 1
            ) from None
        self.last_hash = previous_hash

    def _checked(self, previous_hash, purge, key, stored_hash, number):
        if purge.n != number:
            raise DamagedStore(f"{self.path}: purge {number} is missing, {purge.n} follows", number)
        try:
            is_intact = purge_hash(previous_hash, purge, key) == stored_hash
        except (struct.error, AttributeError, TypeError):
            is_intact = False
        if not is_intact:
            raise DamagedStore(f"{self.path}: purge {number} is not as it was written", number)
        return stored_hash

    def verify(self):
        """Verifies the whole file; returns (count of intact purges, list of problems)."""
        sound, problems = 0, []
        try:
            problems += [
                f"{self.path}: {row[0]}"
                for row in self.connection.execute("PRAGMA integrity_check(20)")
                if row[0] != "ok"
            ]
        except sqlite3.DatabaseError as error:
            problems.append(f"{self.path}: {error}")
        try:
            for _ in self._rows(self._fact("floor"), self._fact("floor seal")):
                sound += 1
        except DamagedStore as error:
            problems.append(str(error))
        try:
            self.sealed_tables.read(DEFAULT_HOLD, MOST_SEALED)
        except (DamagedStore, sqlite3.DatabaseError) as error:
            problems.append(str(error))
        return sound, problems

    # ---- writes: each call is one transaction, on disk on return

    def begin_epoch(self, min_epoch):
        """Begins and returns a new epoch, above the last and at least min_epoch."""
        epoch = max(min_epoch, self._fact("epoch") + 1)
        with transaction(self.connection) as execute:
            execute("UPDATE facts SET value = ? WHERE name = 'epoch'", (epoch,))
        return epoch

    def append(self, batch):
        """Appends (Purge, key) in order. After sqlite3.Error, the store has to be loaded again."""
        previous_hash, rows = self.last_hash, []
        for purge, key in batch:
            previous_hash = purge_hash(previous_hash, purge, key)
            rows.append((*purge, key, previous_hash))
        with transaction(self.connection):
            self.connection.executemany(INSERT, rows)
        self.last_hash = previous_hash

    def truncate(self, up_to):
        """Removes the purges up to and including this number; keeps the last hash, on which the chain
        continues.
        """
        with transaction(self.connection):
            self._step_sweep(up_to)

    def seal_batch(self, terms, limit):
        """Adds up to limit of the oldest rows to the sealed part; returns the count. terms: SealingTerms."""
        start, previous_hash = self._sealed_end()
        newest = self.position()[0]
        up_to = min(start + limit, newest - terms.min_unsealed)
        if up_to <= start:
            return 0
        with transaction(self.connection) as execute:
            (clock,) = execute("SELECT made FROM purges WHERE n = ?", (newest,)).fetchone()
            stored_rows = execute(
                "SELECT epoch, n, made, sort, what, key, seal FROM purges WHERE n > ? AND n <= ? ORDER BY n",
                (start, up_to),
            ).fetchall()
            rows = []
            for number, (*fields, key, stored_hash) in enumerate(stored_rows, start + 1):
                previous_hash = self._checked(previous_hash, Purge(*fields), key, stored_hash, number)
                rows.append((Purge(*fields), stored_hash))
            self.sealed_tables.extend(rows, clock, terms)
        return len(rows)

    def update_followers(self, joined, left):
        """joined: (name, generation) of followers to be added; left: names of followers to be removed."""
        with transaction(self.connection):
            self._step_names(joined, left)

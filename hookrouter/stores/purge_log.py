"""The desk's store: purges in order, each sealed over all before it; epochs; the names of followers.

SQLite in WAL mode with synchronous FULL: a transaction that has returned is on disk, one that was cut off is
not there at all (sqlite.org/wal.html). SQLite does not check its pages, so each row carries a seal over
itself and the seal before it: a flipped, torn, missing or swapped row is found, and named. One process at a
time holds a store. Calls block; the desk makes them from a thread of their own.
"""

import sqlite3
import struct
from typing import NamedTuple

from ..errors.stores import DamagedStore, ForeignStore
from ..purges.types import MOST_SEALED, Purge
from ..tables.hash_chain import INITIAL_HASH
from . import purge_slices
from .purge_rows import seal
from .purge_steps import INSERT, CopySteps
from .sqlite import LOCK_TIMEOUT, create_schema, open_error, prepare, read_fact, transaction

APPLICATION_ID = 0x686B7072  # the file's application id: "hkpr"
VERSION = 2
FORMER_VERSION = 1  # without a sealed part: it is added when the file is opened
ROWS_PER_FETCH = 10_000  # read at once
DEFAULT_HOLD = 864_000_000  # 24 h in tenths of a millisecond, where whoever reads does not say

SCHEMA = """
CREATE TABLE facts (name TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE purges (n INTEGER PRIMARY KEY, epoch INTEGER NOT NULL, made INTEGER NOT NULL, sort TEXT NOT NULL,
                     what TEXT NOT NULL, key TEXT NOT NULL, seal BLOB NOT NULL);
CREATE TABLE members (name TEXT PRIMARY KEY, generation INTEGER NOT NULL) WITHOUT ROWID;
"""


class LoadedPurges(NamedTuple):
    """What a desk starts from."""

    epoch: int  # the last life's
    floor: int  # all up to this number is folded away
    rows: list  # of (Purge, key), in order, behind what is sealed
    followers: list  # of (name, generation)
    sealed: purge_slices.SealedPart  # of the purges up to the first row


class PurgeLog(CopySteps):
    def __init__(self, path, must_exist=False):
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
        self.last_seal = None  # seal of the newest row

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
            execute("BEGIN IMMEDIATE")  # held by this process from here on
            execute("COMMIT")
        if self._fact("version") == FORMER_VERSION:
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
        self.connection.close()

    def _fact(self, name):
        return read_fact(self.connection, self.path, name)

    # ---- read

    def load(self, hold=DEFAULT_HOLD, most_sealed=MOST_SEALED):
        """The sealed part and the rows behind it, seals checked. DamagedStore names the first row that is not
        as it was written. hold, most_sealed: as in PurgeTerms.
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
        """(number behind which rows are not sealed, the seal of that row)."""
        floor = self._fact("floor"), self._fact("floor seal")
        return max(floor, self.sealed_tables.sealed_through(), key=lambda place: place[0])

    def _rows(self, number, previous_seal):
        """The rows behind that number, each checked. before: the seal of that number's."""
        try:
            cursor = self.connection.execute(
                "SELECT epoch, n, made, sort, what, key, seal FROM purges WHERE n > ? ORDER BY n", (number,)
            )
            while batch := cursor.fetchmany(ROWS_PER_FETCH):
                for epoch, row_number, timestamp, kind, what, key, stored_seal in batch:
                    number += 1
                    purge = Purge(epoch, row_number, timestamp, kind, what)
                    previous_seal = self._checked(previous_seal, purge, key, stored_seal, number)
                    yield purge, key
        except sqlite3.DatabaseError as error:
            raise DamagedStore(
                f"{self.path}: purge {number + 1} cannot be read: {error}", number + 1
            ) from None
        self.last_seal = previous_seal

    def _checked(self, previous_seal, purge, key, stored_seal, number):
        if purge.n != number:
            raise DamagedStore(f"{self.path}: purge {number} is missing, {purge.n} follows", number)
        try:
            is_intact = seal(previous_seal, purge, key) == stored_seal
        except (struct.error, AttributeError, TypeError):
            is_intact = False
        if not is_intact:
            raise DamagedStore(f"{self.path}: purge {number} is not as it was written", number)
        return stored_seal

    def verify(self):
        """(purges that are sound, what is wrong, a line each)."""
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

    # ---- written; each call is one transaction, on disk when it returns

    def begin_epoch(self, min_epoch):
        """A new life: an epoch above the last one's and not below least."""
        epoch = max(min_epoch, self._fact("epoch") + 1)
        with transaction(self.connection) as execute:
            execute("UPDATE facts SET value = ? WHERE name = 'epoch'", (epoch,))
        return epoch

    def append(self, batch):
        """batch: (Purge, key) in order. sqlite3.Error: what is on disk has to be loaded again."""
        previous_seal, rows = self.last_seal, []
        for purge, key in batch:
            previous_seal = seal(previous_seal, purge, key)
            rows.append((*purge, key, previous_seal))
        with transaction(self.connection):
            self.connection.executemany(INSERT, rows)
        self.last_seal = previous_seal

    def truncate(self, up_to):
        """Folds away all up to this number: its seal goes on standing for them."""
        with transaction(self.connection):
            self._step_sweep(up_to)

    def seal_batch(self, terms, limit):
        """Adds up to so many of the oldest rows to the sealed part; how many. terms: a purge_slices.Terms."""
        start, previous_seal = self._sealed_end()
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
            for number, (*fields, key, stored_seal) in enumerate(stored_rows, start + 1):
                previous_seal = self._checked(previous_seal, Purge(*fields), key, stored_seal, number)
                rows.append((Purge(*fields), stored_seal))
            self.sealed_tables.extend(rows, clock, terms)
        return len(rows)

    def update_followers(self, joined, left):
        """joined: (name, generation); left: names."""
        with transaction(self.connection):
            self._step_names(joined, left)

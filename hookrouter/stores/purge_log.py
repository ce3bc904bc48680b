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
from .sqlite import BUSY, create, empty, fact, not_opened, transaction

MARK = 0x686B7072  # the file's application id: "hkpr"
VERSION = 2
FORMER_VERSION = 1  # without a sealed part: it is added when the file is opened
ROWS = 10_000  # read at once
DEFAULT_HOLD = 864_000_000  # 24 h in tenths of a millisecond, where whoever reads does not say

SCHEMA = """
CREATE TABLE facts (name TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE purges (n INTEGER PRIMARY KEY, epoch INTEGER NOT NULL, made INTEGER NOT NULL, sort TEXT NOT NULL,
                     what TEXT NOT NULL, key TEXT NOT NULL, seal BLOB NOT NULL);
CREATE TABLE members (name TEXT PRIMARY KEY, generation INTEGER NOT NULL) WITHOUT ROWID;
"""


class Loaded(NamedTuple):
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
            self.file = sqlite3.connect(
                f"file:{path}?mode={'rw' if must_exist else 'rwc'}",
                uri=True,
                isolation_level=None,
                check_same_thread=False,
                timeout=BUSY,
            )
            self.sealing = purge_slices.Sealing(self.file, path)
            self._open()
        except sqlite3.DatabaseError as wrong:
            raise not_opened(path, wrong, "a desk") from None
        self.last = None  # seal of the newest row

    def _open(self):
        run = self.file.execute
        if empty(self.file, self.path, MARK, "this is no store of purges"):
            run("BEGIN EXCLUSIVE")
            create(self.file, SCHEMA + purge_slices.SCHEMA, MARK)
            for name, value in (
                ("version", VERSION),
                ("epoch", 0),
                ("floor", 0),
                ("floor seal", INITIAL_HASH),
            ):
                run("INSERT INTO facts VALUES (?, ?)", (name, value))
            self.sealing.create()
            run("COMMIT")
        else:
            run("BEGIN IMMEDIATE")  # held by this process from here on
            run("COMMIT")
        if self._fact("version") == FORMER_VERSION:
            self._add_sealed_part()
        if self._fact("version") != VERSION:
            raise ForeignStore(
                f"{self.path}: of version {self._fact('version')}, this program reads {VERSION}"
            )

    def _add_sealed_part(self):
        with transaction(self.file) as run:
            for statement in purge_slices.SCHEMA.split(";")[:-1]:
                run(statement)
            self.sealing.create()
            run("UPDATE facts SET value = ? WHERE name = 'version'", (VERSION,))

    def close(self):
        self.file.close()

    def _fact(self, name):
        return fact(self.file, self.path, name)

    # ---- read

    def load(self, hold=DEFAULT_HOLD, most_sealed=MOST_SEALED):
        """The sealed part and the rows behind it, seals checked. DamagedStore names the first row that is not
        as it was written. hold, most_sealed: as in PurgeTerms.
        """
        try:
            part = self.sealing.read(hold, most_sealed)
        except sqlite3.DatabaseError as wrong:
            raise DamagedStore(f"{self.path}: its sealed purges cannot be read: {wrong}") from None
        rows = list(self._rows(*self._start()))
        return Loaded(
            self._fact("epoch"),
            self._fact("floor"),
            rows,
            self.file.execute("SELECT name, generation FROM members ORDER BY name").fetchall(),
            part,
        )

    def _start(self):
        """(number behind which rows are not sealed, the seal of that row)."""
        floor = self._fact("floor"), self._fact("floor seal")
        return max(floor, self.sealing.reached(), key=lambda place: place[0])

    def _rows(self, n, before):
        """The rows behind that number, each checked. before: the seal of that number's."""
        try:
            found = self.file.execute(
                "SELECT epoch, n, made, sort, what, key, seal FROM purges WHERE n > ? ORDER BY n", (n,)
            )
            while batch := found.fetchmany(ROWS):
                for epoch, number, timestamp, kind, what, key, told in batch:
                    n += 1
                    purge = Purge(epoch, number, timestamp, kind, what)
                    before = self._checked(before, purge, key, told, n)
                    yield purge, key
        except sqlite3.DatabaseError as wrong:
            raise DamagedStore(f"{self.path}: purge {n + 1} cannot be read: {wrong}", n + 1) from None
        self.last = before

    def _checked(self, before, purge, key, told, n):
        if purge.n != n:
            raise DamagedStore(f"{self.path}: purge {n} is missing, {purge.n} follows", n)
        try:
            whole = seal(before, purge, key) == told
        except (struct.error, AttributeError, TypeError):
            whole = False
        if not whole:
            raise DamagedStore(f"{self.path}: purge {n} is not as it was written", n)
        return told

    def verify(self):
        """(purges that are sound, what is wrong, a line each)."""
        sound, wrong = 0, []
        try:
            wrong += [
                f"{self.path}: {row[0]}"
                for row in self.file.execute("PRAGMA integrity_check(20)")
                if row[0] != "ok"
            ]
        except sqlite3.DatabaseError as error:
            wrong.append(f"{self.path}: {error}")
        try:
            for _ in self._rows(self._fact("floor"), self._fact("floor seal")):
                sound += 1
        except DamagedStore as error:
            wrong.append(str(error))
        try:
            self.sealing.read(DEFAULT_HOLD, MOST_SEALED)
        except (DamagedStore, sqlite3.DatabaseError) as error:
            wrong.append(str(error))
        return sound, wrong

    # ---- written; each call is one transaction, on disk when it returns

    def begin(self, least):
        """A new life: an epoch above the last one's and not below least."""
        epoch = max(least, self._fact("epoch") + 1)
        with transaction(self.file) as run:
            run("UPDATE facts SET value = ? WHERE name = 'epoch'", (epoch,))
        return epoch

    def append(self, batch):
        """batch: (Purge, key) in order. sqlite3.Error: what is on disk has to be loaded again."""
        before, rows = self.last, []
        for purge, key in batch:
            before = seal(before, purge, key)
            rows.append((*purge, key, before))
        with transaction(self.file):
            self.file.executemany(INSERT, rows)
        self.last = before

    def fold(self, upto):
        """Folds away all up to this number: its seal goes on standing for them."""
        with transaction(self.file):
            self._step_sweep(upto)

    def seal_some(self, terms, most):
        """Adds up to so many of the oldest rows to the sealed part; how many. terms: a purge_slices.Terms."""
        start, before = self._start()
        newest = self.position()[0]
        upto = min(start + most, newest - terms.keep)
        if upto <= start:
            return 0
        with transaction(self.file) as run:
            (clock,) = run("SELECT made FROM purges WHERE n = ?", (newest,)).fetchone()
            found = run(
                "SELECT epoch, n, made, sort, what, key, seal FROM purges WHERE n > ? AND n <= ? ORDER BY n",
                (start, upto),
            ).fetchall()
            rows = []
            for n, (*fields, key, told) in enumerate(found, start + 1):
                before = self._checked(before, Purge(*fields), key, told, n)
                rows.append((Purge(*fields), told))
            self.sealing.extend(rows, clock, terms)
        return len(rows)

    def update_followers(self, joined, left):
        """joined: (name, generation); left: names."""
        with transaction(self.file):
            self._step_names(joined, left)

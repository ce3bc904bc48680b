"""A keeper's store: its vote, its log, a snapshot, and how often it was written. One transaction a batch.

SQLite in WAL mode with synchronous FULL, as the desk's store. Each entry carries a seal over itself and the
one before; the rest is sealed together. What is not as it was written is not read: the entries before it are,
with a doubt, and a keeper in doubt neither votes nor counts. A file that was put back from an older copy
cannot tell so of itself: the other keepers know how often it had been written.
"""

import sqlite3

import msgspec

from ..decisions.owners.protocol import Entry, Stored
from ..errors.stores import ForeignStore
from ..tables.hash_chain import chained_hash as seal
from .sqlite import BUSY, create, empty, not_opened, transaction

MARK = 0x686B6B70  # the file's application id: "hkkp"
VERSION = 1

SCHEMA = """
CREATE TABLE facts (name TEXT PRIMARY KEY, value BLOB NOT NULL, seal BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE entries (n INTEGER PRIMARY KEY, body BLOB NOT NULL, seal BLOB NOT NULL);
"""


class Meta(msgspec.Struct, array_like=True):
    term: int = 0
    voted: str | None = None
    written: int = 0
    abstain: int = 0
    base: int = 0
    base_term: int = 0
    marks: dict[str, int] = {}
    doubt: str | None = None


class Snapshot(msgspec.Struct, array_like=True):
    index: int
    term: int
    voters: list[str]
    learners: list[str]
    state: bytes | None


class KeeperLog:
    """Calls block; sqlite3.Error: nothing of that batch can be believed, load() says what is there."""

    def __init__(self, path, name):
        """name: of the keeper; a store is one keeper's for good."""
        self.path = path
        try:
            self.file = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=BUSY)
            self._open(name)
        except sqlite3.DatabaseError as wrong:
            raise not_opened(path, wrong, "a keeper") from None

    def _open(self, name):
        run = self.file.execute
        new = empty(self.file, self.path, MARK, "this is no keeper's store")
        run("BEGIN EXCLUSIVE")  # held by this process from here on
        if new:
            create(self.file, SCHEMA, MARK)
            self._put("keeper", f"{VERSION} {name}".encode())
            self._put("meta", msgspec.msgpack.encode(Meta()))
        run("COMMIT")
        whose = self._fact("keeper")
        if whose != f"{VERSION} {name}".encode():
            raise ForeignStore(
                f"{self.path}: it is the store of {(whose or b'nobody').decode()}, not of {VERSION} {name}"
            )

    def close(self):
        self.file.close()

    def _put(self, name, value):
        self.file.execute(
            "INSERT OR REPLACE INTO facts VALUES (?, ?, ?)", (name, value, seal(name.encode(), value))
        )

    def _fact(self, name):
        """None where it is missing or not as it was written."""
        row = self.file.execute("SELECT value, seal FROM facts WHERE name = ?", (name,)).fetchone()
        return row[0] if row is not None and seal(name.encode(), row[0]) == row[1] else None

    def load(self):
        """What is there, as protocol.Stored; integrity_error where something is not as it was written."""
        try:
            meta = msgspec.msgpack.decode(self._fact("meta"), type=Meta)
        except (msgspec.MsgspecError, TypeError, sqlite3.DatabaseError):
            return Stored(integrity_error="its vote and term are not as they were written")
        doubt, snapshot = meta.doubt, None
        if meta.base:
            try:
                found = msgspec.msgpack.decode(self._fact("snapshot"), type=Snapshot)
                snapshot = (found.index, found.term, tuple(found.voters), tuple(found.learners), found.state)
            except (msgspec.MsgspecError, TypeError, sqlite3.DatabaseError):
                return Stored(
                    meta.term,
                    meta.voted,
                    meta.written,
                    max(meta.abstain, meta.term),
                    write_counts=tuple(meta.marks.items()),
                    integrity_error="its snapshot is not as it was written",
                )
        entries, wrong = self._entries(meta.base)
        if snapshot is not None and snapshot[0] > meta.base + len(entries):
            wrong = wrong or f"entries up to {snapshot[0]} are missing"
        return Stored(
            meta.term,
            meta.voted,
            meta.written,
            meta.abstain,
            snapshot,
            meta.base,
            meta.base_term,
            tuple(entries),
            tuple(meta.marks.items()),
            doubt or wrong,
        )

    def _entries(self, base):
        """(entries, what is wrong with the first that cannot be read)."""
        entries, before = [], b""
        try:
            before = self._fact("base seal") or b""
            for n, body, told in self.file.execute("SELECT n, body, seal FROM entries ORDER BY n"):
                before = seal(before, str(n).encode(), body)
                if n != base + len(entries) + 1 or before != told:
                    return entries, f"entry {base + len(entries) + 1} is not as it was written"
                entries.append(msgspec.msgpack.decode(body, type=Entry))
        except (msgspec.MsgspecError, sqlite3.DatabaseError, TypeError) as wrong:
            return entries, f"entry {base + len(entries) + 1} cannot be read: {wrong}"
        return entries, None

    def write(self, p):
        """p: protocol.Persist. On disk when it returns."""
        with transaction(self.file) as run:
            run("DELETE FROM entries WHERE n > ?", (p.truncate_after,))
            row = run("SELECT seal FROM entries WHERE n = ?", (p.truncate_after,)).fetchone()
            before = row[0] if row is not None else self._fact("base seal") or b""
            rows = []
            for n, entry in enumerate(p.entries, p.truncate_after + 1):
                body = msgspec.msgpack.encode(entry)
                before = seal(before, str(n).encode(), body)
                rows.append((n, body, before))
            self.file.executemany("INSERT INTO entries VALUES (?, ?, ?)", rows)
            row = run("SELECT seal FROM entries WHERE n = ?", (p.base,)).fetchone()
            if row is not None:
                self._put("base seal", row[0])
            run("DELETE FROM entries WHERE n <= ?", (p.base,))
            if p.snapshot is not None:
                self._put("snapshot", msgspec.msgpack.encode(Snapshot(*p.snapshot)))
            meta = Meta(
                p.term,
                p.voted_for,
                p.write_count,
                p.no_vote_through,
                p.base,
                p.base_term,
                dict(p.write_counts),
                p.integrity_error,
            )
            self._put("meta", msgspec.msgpack.encode(meta))

    def probe(self):
        """Writes what is there once more: sqlite3.Error where there is still no room."""
        with transaction(self.file) as run:
            run("UPDATE facts SET value = value WHERE name = 'meta'")

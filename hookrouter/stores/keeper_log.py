"""A keeper's store: term and vote, log, snapshot, and a count of its writes. One transaction per batch.

SQLite in WAL mode with synchronous FULL, as the desk's store. Each log entry carries a hash over itself and
the hash before it (column seal); each fact carries a hash of its own. The entries before a corrupted one are
read, together with an integrity error; a keeper with an integrity error neither votes nor counts towards a
quorum. A file restored from an older copy cannot be detected locally: the other keepers know its write count.
"""

import sqlite3

import msgspec

from ..decisions.owners.protocol import Entry, Stored
from ..errors.stores import ForeignStore
from ..tables.hash_chain import chained_hash
from .sqlite import LOCK_TIMEOUT, create_schema, open_error, prepare, transaction

APPLICATION_ID = 0x686B6B70  # SQLite application id: "hkkp"
VERSION = 1

SCHEMA = """
CREATE TABLE facts (name TEXT PRIMARY KEY, value BLOB NOT NULL, seal BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE entries (n INTEGER PRIMARY KEY, body BLOB NOT NULL, seal BLOB NOT NULL);
"""


class Meta(msgspec.Struct, array_like=True):
    """The fields of protocol.Stored but snapshot and entries, as they are stored."""

    term: int = 0
    voted_for: str | None = None
    write_count: int = 0
    no_vote_through: int = 0
    base: int = 0
    base_term: int = 0
    write_counts: dict[str, int] = {}
    integrity_error: str | None = None


class Snapshot(msgspec.Struct, array_like=True):
    """The state of the log up to an index, as it is stored."""

    index: int
    term: int
    voters: list[str]
    learners: list[str]
    state: bytes | None


class KeeperLog:
    """A keeper's open store. Calls block; after sqlite3.Error, only load() tells what is on disk."""

    def __init__(self, path, name):
        """name: of the keeper; a store belongs to one keeper. Raises UnusableStore."""
        self.path = path
        try:
            self.connection = sqlite3.connect(
                path, isolation_level=None, check_same_thread=False, timeout=LOCK_TIMEOUT
            )
            self._open(name)
        except sqlite3.DatabaseError as error:
            raise open_error(path, error, "a keeper") from None

    def _open(self, name):
        execute = self.connection.execute
        is_new = prepare(self.connection, self.path, APPLICATION_ID, "this is no keeper's store")
        execute("BEGIN EXCLUSIVE")  # locks the file for this process
        if is_new:
            create_schema(self.connection, SCHEMA, APPLICATION_ID)
            self._put("keeper", f"{VERSION} {name}".encode())
            self._put("meta", msgspec.msgpack.encode(Meta()))
        execute("COMMIT")
        owner = self._fact("keeper")
        if owner != f"{VERSION} {name}".encode():
            raise ForeignStore(
                f"{self.path}: it is the store of {(owner or b'nobody').decode()}, not of {VERSION} {name}"
            )

    def close(self):
        """Closes the file, which releases its lock."""
        self.connection.close()

    def _put(self, name, value):
        self.connection.execute(
            "INSERT OR REPLACE INTO facts VALUES (?, ?, ?)", (name, value, chained_hash(name.encode(), value))
        )

    def _fact(self, name):
        """Returns the value, or None if it is missing or corrupted."""
        row = self.connection.execute("SELECT value, seal FROM facts WHERE name = ?", (name,)).fetchone()
        return row[0] if row is not None and chained_hash(name.encode(), row[0]) == row[1] else None

    def load(self):
        """Returns the contents as protocol.Stored; integrity_error says what is corrupted, if anything."""
        try:
            meta = msgspec.msgpack.decode(self._fact("meta"), type=Meta)
        except (msgspec.MsgspecError, TypeError, sqlite3.DatabaseError):
            return Stored(integrity_error="its vote and term are not as they were written")
        integrity_error, snapshot = meta.integrity_error, None
        if meta.base:
            try:
                snapshot_row = msgspec.msgpack.decode(self._fact("snapshot"), type=Snapshot)
                snapshot = (
                    snapshot_row.index,
                    snapshot_row.term,
                    tuple(snapshot_row.voters),
                    tuple(snapshot_row.learners),
                    snapshot_row.state,
                )
            except (msgspec.MsgspecError, TypeError, sqlite3.DatabaseError):
                return Stored(
                    meta.term,
                    meta.voted_for,
                    meta.write_count,
                    max(meta.no_vote_through, meta.term),
                    write_counts=tuple(meta.write_counts.items()),
                    integrity_error="its snapshot is not as it was written",
                )
        entries, error = self._entries(meta.base)
        if snapshot is not None and snapshot[0] > meta.base + len(entries):
            error = error or f"entries up to {snapshot[0]} are missing"
        return Stored(
            meta.term,
            meta.voted_for,
            meta.write_count,
            meta.no_vote_through,
            snapshot,
            meta.base,
            meta.base_term,
            tuple(entries),
            tuple(meta.write_counts.items()),
            integrity_error or error,
        )

    def _entries(self, base):
        """Returns (entries, what is wrong with the first that cannot be read, or None)."""
        entries, previous_hash = [], b""
        try:
            previous_hash = self._fact("base seal") or b""
            for index, body, stored_hash in self.connection.execute(
                "SELECT n, body, seal FROM entries ORDER BY n"
            ):
                previous_hash = chained_hash(previous_hash, str(index).encode(), body)
                if index != base + len(entries) + 1 or previous_hash != stored_hash:
                    return entries, f"entry {base + len(entries) + 1} is not as it was written"
                entries.append(msgspec.msgpack.decode(body, type=Entry))
        except (msgspec.MsgspecError, sqlite3.DatabaseError, TypeError) as error:
            return entries, f"entry {base + len(entries) + 1} cannot be read: {error}"
        return entries, None

    def write(self, record):
        """Writes a protocol.Persist as one transaction, which is on disk on return."""
        with transaction(self.connection) as execute:
            execute("DELETE FROM entries WHERE n > ?", (record.truncate_after,))
            row = execute("SELECT seal FROM entries WHERE n = ?", (record.truncate_after,)).fetchone()
            previous_hash = row[0] if row is not None else self._fact("base seal") or b""
            rows = []
            for index, entry in enumerate(record.entries, record.truncate_after + 1):
                body = msgspec.msgpack.encode(entry)
                previous_hash = chained_hash(previous_hash, str(index).encode(), body)
                rows.append((index, body, previous_hash))
            self.connection.executemany("INSERT INTO entries VALUES (?, ?, ?)", rows)
            row = execute("SELECT seal FROM entries WHERE n = ?", (record.base,)).fetchone()
            if row is not None:
                self._put("base seal", row[0])
            execute("DELETE FROM entries WHERE n <= ?", (record.base,))
            if record.snapshot is not None:
                self._put("snapshot", msgspec.msgpack.encode(Snapshot(*record.snapshot)))
            meta = Meta(
                record.term,
                record.voted_for,
                record.write_count,
                record.no_vote_through,
                record.base,
                record.base_term,
                dict(record.write_counts),
                record.integrity_error,
            )
            self._put("meta", msgspec.msgpack.encode(meta))

    def probe(self):
        """Rewrites existing data to test the disk: raises sqlite3.Error while there is no room."""
        with transaction(self.connection) as execute:
            execute("UPDATE facts SET value = value WHERE name = 'meta'")

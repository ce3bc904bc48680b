"""The sealed part of a store of purges: with it a desk starts without reading all rows within the hold.

Old rows are added to slices by time (purges/retention/archive.py). Of kinds that cannot be sealed, the newest
row of each name is copied to the table exact. The rows themselves stay until the hold is over, for keepers
that lack some and for `purges verify`. A step is one transaction, so a kill leaves the sealed part as before
or after it. One digest over the whole part is verified whenever it is read.
"""

import json
import sqlite3
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from ..errors.stores import DamagedStore
from ..errors.wire import MalformedSlice
from ..purges import slice_codec
from ..purges.retention.archive import Archive, SliceKey, SliceState
from ..purges.tail import MOST_FIRSTS
from ..purges.types import SEALABLE_KINDS, Purge
from ..tables.hash_chain import INITIAL_HASH
from .sqlite import read_fact

DIGEST_BYTES = 16

SCHEMA = """
CREATE TABLE slices (kind TEXT NOT NULL, span INTEGER NOT NULL, bound INTEGER NOT NULL, digest TEXT NOT NULL,
                     body BLOB NOT NULL, PRIMARY KEY (kind, span));
CREATE TABLE exact (kind TEXT NOT NULL, what TEXT NOT NULL, epoch INTEGER NOT NULL, n INTEGER NOT NULL,
                    made INTEGER NOT NULL, PRIMARY KEY (kind, what)) WITHOUT ROWID;
"""
# Names of facts.
SEALED, SEALED_HASH, FIRSTS, SEALED_DIGEST = "sealed", "sealed seal", "firsts", "sealed digest"


class SealingTerms(NamedTuple):
    """Parameters of sealing. hold, most_sealed: as in PurgeTerms; min_unsealed: newest rows left unsealed."""

    hold: int
    most_sealed: int
    min_unsealed: int


class SealedPart(NamedTuple):
    """The contents of the sealed part: all rows up to and including number `through`."""

    through: int
    archive: Archive
    exact: list[Purge]
    firsts: list[tuple[int, int]]  # (number of its first row, epoch) of each epoch with rows in this part


class SealedTables:
    """Reads and extends the sealed part of an open file."""

    def __init__(self, connection: sqlite3.Connection, path: str) -> None:
        """connection: of a store with the tables of SCHEMA."""
        self._connection, self._path = connection, path

    def create(self) -> None:
        """Writes the facts of an empty part; within a transaction."""
        for name, value in ((SEALED, 0), (SEALED_HASH, INITIAL_HASH), (FIRSTS, "[]")):
            self._write_fact(name, value)
        self._write_fact(SEALED_DIGEST, self._digest())

    def sealed_through(self) -> tuple[int, bytes]:
        """Returns (number of the last sealed row, its hash)."""
        return self._fact(SEALED), self._fact(SEALED_HASH)

    def read(self, hold: int, most_sealed: int) -> SealedPart:
        """Reads the sealed part; raises DamagedStore if corrupted. hold, most_sealed: as in PurgeTerms."""
        through, _ = self.sealed_through()
        if self._digest() != self._fact(SEALED_DIGEST):
            raise DamagedStore(
                f"{self._path}: its sealed purges, up to {through}, are not as they were written"
            )
        archive = Archive(hold, most_sealed)
        for digest, body in self._connection.execute("SELECT digest, body FROM slices ORDER BY span, kind"):
            archive.merge(self._decode(digest, body))
        exact = [
            Purge(epoch, n, made, kind, what)
            for kind, what, epoch, n, made in self._connection.execute(
                "SELECT kind, what, epoch, n, made FROM exact ORDER BY made, n"
            )
        ]
        firsts = [tuple(row) for row in json.loads(self._fact(FIRSTS))]
        return SealedPart(through, archive, exact, firsts)

    def extend(self, rows: list[tuple[Purge, bytes]], newest_timestamp: int, terms: SealingTerms) -> None:
        """Adds the next rows, each with its hash, and deletes what is older than the hold; within a
        transaction. newest_timestamp: of the newest row of the store, from which the hold is counted back.
        """
        archive = Archive(terms.hold, terms.most_sealed)
        firsts = json.loads(self._fact(FIRSTS))
        for purge, _ in rows:
            if not firsts or firsts[-1][1] != purge.epoch:
                firsts.append((purge.n, purge.epoch))
            if purge.kind in SEALABLE_KINDS:
                self._load_slice(archive, archive.key_of(purge))
                archive.add(purge)
            else:
                self._store_exact(purge)
        for live_slice in archive.live():
            self._write(slice_codec.encode(live_slice.state()))
        self._delete_older(newest_timestamp - terms.hold)
        if rows:
            self._write_fact(SEALED, rows[-1][0].n)
            self._write_fact(SEALED_HASH, rows[-1][1])
        self._write_fact(FIRSTS, json.dumps(firsts[-MOST_FIRSTS:]))
        self._write_fact(SEALED_DIGEST, self._digest())

    # ---- the tables

    def _load_slice(self, archive: Archive, key: SliceKey) -> None:
        """Loads a stored slice into the archive unless it is there already."""
        if key in archive.slices:
            return
        row = self._connection.execute(
            "SELECT digest, body FROM slices WHERE kind = ? AND span = ?", key
        ).fetchone()
        if row is not None:
            archive.merge(self._decode(*row))

    def _decode(self, digest: str, body: bytes) -> SliceState:
        try:
            return slice_codec.decode(body, digest)
        except MalformedSlice as error:
            raise DamagedStore(f"{self._path}: a slice of sealed purges is damaged: {error}") from None

    def _write(self, encoded: slice_codec.Encoded) -> None:
        row = encoded.row
        self._connection.execute(
            "INSERT OR REPLACE INTO slices VALUES (?, ?, ?, ?, ?)",
            (row.kind, row.span, row.bound, row.digest, encoded.body),
        )

    def _store_exact(self, purge: Purge) -> None:
        self._connection.execute(
            "INSERT OR REPLACE INTO exact VALUES (?, ?, ?, ?, ?)",
            (purge.kind, purge.what, purge.epoch, purge.n, purge.timestamp),
        )

    def _delete_older(self, timestamp: int) -> None:
        self._connection.execute("DELETE FROM slices WHERE bound < ?", (timestamp,))
        self._connection.execute("DELETE FROM exact WHERE made < ?", (timestamp,))

    def _digest(self) -> bytes:
        """Returns the digest of the whole part; slices enter by the digests of their bodies."""
        digest = blake2b(digest_size=DIGEST_BYTES)
        digest.update(repr([self._fact(name) for name in (SEALED, SEALED_HASH, FIRSTS)]).encode())
        for rows in self._tables():
            digest.update(repr(list(rows)).encode())
        return digest.digest()

    def _tables(self) -> Iterable[Iterable[tuple]]:
        yield self._connection.execute("SELECT kind, span, bound, digest FROM slices ORDER BY kind, span")
        yield self._connection.execute("SELECT kind, what, epoch, n, made FROM exact ORDER BY kind, what")

    def _fact(self, name: str) -> object:
        return read_fact(self._connection, self._path, name)

    def _write_fact(self, name: str, value: object) -> None:
        self._connection.execute("INSERT OR REPLACE INTO facts VALUES (?, ?)", (name, value))

"""The sealed part of a store of purges: what a desk starts from without reading a whole hold of rows.

Rows that are old enough are added to slices by time (purges/retention/archive.py); those of kinds that cannot
be sealed are copied to a table of their own, the newest of each name. The rows stay until the hold is over,
for keepers that lack some and for `purges verify`. A step is one transaction: after a kill the sealed part is
as before it or as after it. One digest over all of it is checked whenever it is read.
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
from .sqlite import fact

DIGEST_BYTES = 16

SCHEMA = """
CREATE TABLE slices (kind TEXT NOT NULL, span INTEGER NOT NULL, bound INTEGER NOT NULL, digest TEXT NOT NULL,
                     body BLOB NOT NULL, PRIMARY KEY (kind, span));
CREATE TABLE exact (kind TEXT NOT NULL, what TEXT NOT NULL, epoch INTEGER NOT NULL, n INTEGER NOT NULL,
                    made INTEGER NOT NULL, PRIMARY KEY (kind, what)) WITHOUT ROWID;
"""
SEALED, SEALED_SEAL, FIRSTS, SEALED_DIGEST = "sealed", "sealed seal", "firsts", "sealed digest"  # facts


class Terms(NamedTuple):
    """How rows are sealed. hold, most_sealed: as in PurgeTerms; keep: newest rows that are left out."""

    hold: int
    most_sealed: int
    keep: int


class SealedPart(NamedTuple):
    """What the sealed part holds: all rows up to number n."""

    n: int
    archive: Archive
    exact: list[Purge]
    firsts: list[tuple[int, int]]  # (n of its first row, epoch), of epochs that have rows up to n


class Sealing:
    """Reads and extends the sealed part of one open file."""

    def __init__(self, file: sqlite3.Connection, path: str) -> None:
        """file: of a store that has the tables."""
        self._file, self._path = file, path

    def create(self) -> None:
        """Facts of an empty part; within a transaction."""
        for name, value in ((SEALED, 0), (SEALED_SEAL, INITIAL_HASH), (FIRSTS, "[]")):
            self._set(name, value)
        self._set(SEALED_DIGEST, self._digest())

    def reached(self) -> tuple[int, bytes]:
        """(number up to which rows are sealed, the seal of that row)."""
        return self._fact(SEALED), self._fact(SEALED_SEAL)

    def read(self, hold: int, most_sealed: int) -> SealedPart:
        """All of it; DamagedStore names what was corrupted. hold, most_sealed: as in PurgeTerms."""
        n, _ = self.reached()
        if self._digest() != self._fact(SEALED_DIGEST):
            raise DamagedStore(f"{self._path}: its sealed purges, up to {n}, are not as they were written")
        archive = Archive(hold, most_sealed)
        for digest, body in self._file.execute("SELECT digest, body FROM slices ORDER BY span, kind"):
            archive.merge(self._decoded(digest, body))
        exact = [
            Purge(epoch, n, made, kind, what)
            for kind, what, epoch, n, made in self._file.execute(
                "SELECT kind, what, epoch, n, made FROM exact ORDER BY made, n"
            )
        ]
        firsts = [tuple(row) for row in json.loads(self._fact(FIRSTS))]
        return SealedPart(n, archive, exact, firsts)

    def extend(self, rows: list[tuple[Purge, bytes]], newest_timestamp: int, terms: Terms) -> None:
        """Takes in the next rows, each with its seal, and drops what is older than the hold; within a
        transaction. newest_timestamp: of the newest row of the store, the clock that the hold is counted by.
        """
        archive = Archive(terms.hold, terms.most_sealed)
        firsts = json.loads(self._fact(FIRSTS))
        for purge, _ in rows:
            if not firsts or firsts[-1][1] != purge.epoch:
                firsts.append((purge.n, purge.epoch))
            if purge.kind in SEALABLE_KINDS:
                self._open(archive, archive.key_of(purge))
                archive.add(purge)
            else:
                self._keep(purge)
        for one in archive.live():
            self._write(slice_codec.encode(one.state()))
        self._drop(newest_timestamp - terms.hold)
        if rows:
            self._set(SEALED, rows[-1][0].n)
            self._set(SEALED_SEAL, rows[-1][1])
        self._set(FIRSTS, json.dumps(firsts[-MOST_FIRSTS:]))
        self._set(SEALED_DIGEST, self._digest())

    # ---- the tables

    def _open(self, archive: Archive, key: SliceKey) -> None:
        """The slice as it is stored, where it is not in the archive yet."""
        if key in archive.slices:
            return
        row = self._file.execute(
            "SELECT digest, body FROM slices WHERE kind = ? AND span = ?", key
        ).fetchone()
        if row is not None:
            archive.merge(self._decoded(*row))

    def _decoded(self, digest: str, body: bytes) -> SliceState:
        try:
            return slice_codec.decode(body, digest)
        except MalformedSlice as wrong:
            raise DamagedStore(f"{self._path}: a slice of sealed purges is damaged: {wrong}") from None

    def _write(self, encoded: slice_codec.Encoded) -> None:
        row = encoded.row
        self._file.execute(
            "INSERT OR REPLACE INTO slices VALUES (?, ?, ?, ?, ?)",
            (row.kind, row.span, row.bound, row.digest, encoded.body),
        )

    def _keep(self, purge: Purge) -> None:
        self._file.execute(
            "INSERT OR REPLACE INTO exact VALUES (?, ?, ?, ?, ?)",
            (purge.kind, purge.what, purge.epoch, purge.n, purge.timestamp),
        )

    def _drop(self, before: int) -> None:
        self._file.execute("DELETE FROM slices WHERE bound < ?", (before,))
        self._file.execute("DELETE FROM exact WHERE made < ?", (before,))

    def _digest(self) -> bytes:
        """Over all of the part; slices count by the digests of their bodies, which are checked by these."""
        part = blake2b(digest_size=DIGEST_BYTES)
        part.update(repr([self._fact(name) for name in (SEALED, SEALED_SEAL, FIRSTS)]).encode())
        for rows in self._tables():
            part.update(repr(list(rows)).encode())
        return part.digest()

    def _tables(self) -> Iterable[Iterable[tuple]]:
        yield self._file.execute("SELECT kind, span, bound, digest FROM slices ORDER BY kind, span")
        yield self._file.execute("SELECT kind, what, epoch, n, made FROM exact ORDER BY kind, what")

    def _fact(self, name: str) -> object:
        return fact(self._file, self._path, name)

    def _set(self, name: str, value: object) -> None:
        self._file.execute("INSERT OR REPLACE INTO facts VALUES (?, ?)", (name, value))

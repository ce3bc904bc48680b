"""A store of purges as a replica: applies the steps of replicas/record_copy.py, reads records for peers."""

import sqlite3

from ..errors.stores import CopyDiffers
from ..purges.types import Purge
from ..tables.hash_chain import chained_hash
from .purge_rows import pack, unpack
from .sqlite import transaction

INSERT = "INSERT INTO purges (epoch, n, made, sort, what, key, seal) VALUES (?, ?, ?, ?, ?, ?, ?)"


class CopySteps:
    """Replication methods of PurgeLog, which sets connection and reads facts."""

    connection: sqlite3.Connection

    def position(self):
        """Returns (number of the newest purge, its hash, floor, log index up to which all records are
        stored).
        """
        floor, index = (
            self._fact("floor"),
            self.connection.execute("SELECT value FROM facts WHERE name = 'index'"),
        )
        row = self.connection.execute("SELECT n, seal FROM purges ORDER BY n DESC LIMIT 1").fetchone()
        return (*(row or (floor, self._fact("floor seal"))), floor, (index.fetchone() or (0,))[0])

    def apply_steps(self, steps, index):
        """Applies steps of replicas.record_copy as one transaction; CopyDiffers rolls it back."""
        with transaction(self.connection) as execute:
            for command, *fields in steps:
                STEPS[command](self, *fields)
            if index is not None:
                execute("INSERT OR REPLACE INTO facts VALUES ('index', ?)", (index,))

    def _step_keep(self, first, bodies):
        newest, previous_hash, _, _ = self.position()
        if first != newest + 1:
            raise CopyDiffers(f"records from {first} on do not follow {newest}")
        rows = []
        for number, body in enumerate(bodies, first):
            purge, key = unpack(body)
            if purge.n != number:
                raise CopyDiffers(f"purge {purge.n} where {number} was expected")
            previous_hash = chained_hash(previous_hash, body)
            rows.append((*purge, key, previous_hash))
        self.connection.executemany(INSERT, rows)

    def _step_open(self, epoch):
        self.connection.execute("UPDATE facts SET value = max(value, ?) WHERE name = 'epoch'", (epoch,))

    def _step_names(self, added, removed):
        self.connection.executemany("INSERT OR REPLACE INTO members VALUES (?, ?)", added)
        self.connection.executemany("DELETE FROM members WHERE name = ?", [(name,) for name in removed])

    def _step_sweep(self, up_to):
        row = self.connection.execute("SELECT seal FROM purges WHERE n = ?", (up_to,)).fetchone()
        if row is not None:
            self._set_floor(up_to, row[0])

    def _set_floor(self, number, chain_hash):
        execute = self.connection.execute
        execute("UPDATE facts SET value = ? WHERE name = 'floor'", (number,))
        execute("UPDATE facts SET value = ? WHERE name = 'floor seal'", (chain_hash,))
        execute("DELETE FROM purges WHERE n <= ?", (number,))

    def _step_verify(self, number, chain_hash):
        if self._hash_at(number) not in (None, chain_hash):
            raise CopyDiffers(f"chain hash at {number} differs")

    def _hash_at(self, number):
        """Returns the hash of that purge, or None if it is removed or not stored."""
        if number == self._fact("floor"):
            return self._fact("floor seal")
        row = self.connection.execute("SELECT seal FROM purges WHERE n = ?", (number,)).fetchone()
        return row and row[0]

    def _step_compare(self, first, bodies):
        for number, body in enumerate(bodies, first):
            row = self.connection.execute(
                "SELECT epoch, n, made, sort, what, key FROM purges WHERE n = ?", (number,)
            ).fetchone()
            if row is not None and pack(Purge(*row[:5]), row[5]) != body:
                raise CopyDiffers(f"purge {number} differs")

    def read_part(self, after, chain_hash, max_bytes):
        """Returns (start, its hash, bodies after it, whether the given hash matches): about max_bytes of
        bodies.
        """
        newest, _, floor, _ = self.position()
        own_hash = self._hash_at(after)
        if after > newest:  # the requester has more than this store
            return after, chain_hash, [], True
        if after < floor:
            start, start_hash, agrees = floor, self._fact("floor seal"), True
        else:
            start, start_hash, agrees = after, own_hash, own_hash == chain_hash
        bodies, size = [], 0
        rows = self.connection.execute(
            "SELECT epoch, n, made, sort, what, key FROM purges WHERE n > ? ORDER BY n", (start,)
        )
        for row in rows:
            bodies.append(pack(Purge(*row[:5]), row[5]))
            size += len(bodies[-1])
            if size > max_bytes:
                break
        rows.close()
        return start, start_hash, bodies, agrees

    def follower_names(self):
        """Returns (name, generation) of all followers, by name."""
        return self.connection.execute("SELECT name, generation FROM members ORDER BY name").fetchall()

    def last_older_than(self, timestamp, limit):
        """Returns the number of the last of up to limit oldest purges before that time; 0 if none."""
        row = self.connection.execute(
            "SELECT max(n) FROM (SELECT n, made FROM purges ORDER BY n LIMIT ?) " "WHERE made < ?",
            (limit, timestamp),
        ).fetchone()
        return row[0] or 0


# Commands of hookrouter/decisions/replicas/record_copy.py; applied within one transaction.
STEPS = {
    "keep": CopySteps._step_keep,
    "open": CopySteps._step_open,
    "names": CopySteps._step_names,
    "sweep": CopySteps._step_sweep,
    "reset": CopySteps._set_floor,
    "verify": CopySteps._step_verify,
    "compare": CopySteps._step_compare,
}

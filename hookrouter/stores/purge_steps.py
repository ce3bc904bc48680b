"""A store of purges as one of several copies: the steps that replicas/record_copy.py decides, parts for
others."""

import sqlite3

from ..errors.stores import CopyDiffers
from ..purges.types import Purge
from ..tables.hash_chain import chained_hash
from .purge_rows import pack, unpack
from .sqlite import transaction

INSERT = "INSERT INTO purges (epoch, n, made, sort, what, key, seal) VALUES (?, ?, ?, ?, ?, ?, ?)"


class CopySteps:
    """Of PurgeLog, which sets file and reads facts."""

    connection: sqlite3.Connection

    def position(self):
        """(number of the newest purge, its seal, the floor, the entry of the log up to which all is here)."""
        floor, index = (
            self._fact("floor"),
            self.connection.execute("SELECT value FROM facts WHERE name = 'index'"),
        )
        row = self.connection.execute("SELECT n, seal FROM purges ORDER BY n DESC LIMIT 1").fetchone()
        return (*(row or (floor, self._fact("floor seal"))), floor, (index.fetchone() or (0,))[0])

    def apply_steps(self, steps, index):
        """Steps of replicas.record_copy in one transaction. CopyDiffers: nothing of it was done."""
        with transaction(self.connection) as execute:
            for command, *fields in steps:
                STEPS[command](self, *fields)
            if index is not None:
                execute("INSERT OR REPLACE INTO facts VALUES ('index', ?)", (index,))

    def _step_keep(self, first, bodies):
        newest, previous_seal, _, _ = self.position()
        if first != newest + 1:
            raise CopyDiffers(f"{first} came after {newest}")
        rows = []
        for number, body in enumerate(bodies, first):
            purge, key = unpack(body)
            if purge.n != number:
                raise CopyDiffers(f"{purge.n} came as {number}")
            previous_seal = chained_hash(previous_seal, body)
            rows.append((*purge, key, previous_seal))
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

    def _set_floor(self, number, seal):
        execute = self.connection.execute
        execute("UPDATE facts SET value = ? WHERE name = 'floor'", (number,))
        execute("UPDATE facts SET value = ? WHERE name = 'floor seal'", (seal,))
        execute("DELETE FROM purges WHERE n <= ?", (number,))

    def _step_verify(self, number, seal):
        if self._seal_at(number) not in (None, seal):
            raise CopyDiffers(f"its seal at {number} is another")

    def _seal_at(self, number):
        """None where it is folded away, or not there."""
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
                raise CopyDiffers(f"purge {number} is another")

    def read_part(self, after, seal, max_bytes):
        """(start, its seal, bodies behind it, whether that seal is this store's, too): most bytes of them."""
        newest, _, floor, _ = self.position()
        own_seal = self._seal_at(after)
        if after > newest:  # it has less than who asks
            return after, seal, [], True
        if after < floor:
            start, start_seal, agrees = floor, self._fact("floor seal"), True
        else:
            start, start_seal, agrees = after, own_seal, own_seal == seal
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
        return start, start_seal, bodies, agrees

    def follower_names(self):
        return self.connection.execute("SELECT name, generation FROM members ORDER BY name").fetchall()

    def last_older_than(self, timestamp, limit):
        """The number of the last of the oldest purges from before that time, so many at most; 0: none."""
        row = self.connection.execute(
            "SELECT max(n) FROM (SELECT n, made FROM purges ORDER BY n LIMIT ?) " "WHERE made < ?",
            (limit, timestamp),
        ).fetchone()
        return row[0] or 0


# of hookrouter/decisions/replicas/record_copy.py -> what is done; within one transaction
STEPS = {
    "keep": CopySteps._step_keep,
    "open": CopySteps._step_open,
    "names": CopySteps._step_names,
    "sweep": CopySteps._step_sweep,
    "reset": CopySteps._set_floor,
    "verify": CopySteps._step_verify,
    "compare": CopySteps._step_compare,
}

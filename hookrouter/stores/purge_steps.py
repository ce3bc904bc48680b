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

    file: sqlite3.Connection

    def position(self):
        """(number of the newest purge, its seal, the floor, the entry of the log up to which all is here)."""
        floor, index = self._fact("floor"), self.file.execute("SELECT value FROM facts WHERE name = 'index'")
        row = self.file.execute("SELECT n, seal FROM purges ORDER BY n DESC LIMIT 1").fetchone()
        return (*(row or (floor, self._fact("floor seal"))), floor, (index.fetchone() or (0,))[0])

    def file_steps(self, steps, index):
        """Steps of replicas.record_copy in one transaction. CopyDiffers: nothing of it was done."""
        with transaction(self.file) as run:
            for command, *fields in steps:
                STEPS[command](self, *fields)
            if index is not None:
                run("INSERT OR REPLACE INTO facts VALUES ('index', ?)", (index,))

    def _step_keep(self, first, bodies):
        newest, before, _, _ = self.position()
        if first != newest + 1:
            raise CopyDiffers(f"{first} came after {newest}")
        rows = []
        for n, body in enumerate(bodies, first):
            purge, key = unpack(body)
            if purge.n != n:
                raise CopyDiffers(f"{purge.n} came as {n}")
            before = chained_hash(before, body)
            rows.append((*purge, key, before))
        self.file.executemany(INSERT, rows)

    def _step_open(self, epoch):
        self.file.execute("UPDATE facts SET value = max(value, ?) WHERE name = 'epoch'", (epoch,))

    def _step_names(self, joined, left):
        self.file.executemany("INSERT OR REPLACE INTO members VALUES (?, ?)", joined)
        self.file.executemany("DELETE FROM members WHERE name = ?", [(name,) for name in left])

    def _step_sweep(self, upto):
        row = self.file.execute("SELECT seal FROM purges WHERE n = ?", (upto,)).fetchone()
        if row is not None:
            self._floor(upto, row[0])

    def _floor(self, n, told):
        run = self.file.execute
        run("UPDATE facts SET value = ? WHERE name = 'floor'", (n,))
        run("UPDATE facts SET value = ? WHERE name = 'floor seal'", (told,))
        run("DELETE FROM purges WHERE n <= ?", (n,))

    def _step_verify(self, n, told):
        if self._seal_at(n) not in (None, told):
            raise CopyDiffers(f"its seal at {n} is another")

    def _seal_at(self, n):
        """None where it is folded away, or not there."""
        if n == self._fact("floor"):
            return self._fact("floor seal")
        row = self.file.execute("SELECT seal FROM purges WHERE n = ?", (n,)).fetchone()
        return row and row[0]

    def _step_compare(self, first, bodies):
        for n, body in enumerate(bodies, first):
            row = self.file.execute(
                "SELECT epoch, n, made, sort, what, key FROM purges WHERE n = ?", (n,)
            ).fetchone()
            if row is not None and pack(Purge(*row[:5]), row[5]) != body:
                raise CopyDiffers(f"purge {n} is another")

    def part(self, after, told, most):
        """(start, its seal, bodies behind it, whether that seal is this store's, too): most bytes of them."""
        newest, _, floor, _ = self.position()
        own = self._seal_at(after)
        if after > newest:  # it has less than who asks
            return after, told, [], True
        if after < floor:
            start, start_seal, agrees = floor, self._fact("floor seal"), True
        else:
            start, start_seal, agrees = after, own, own == told
        bodies, size = [], 0
        rows = self.file.execute(
            "SELECT epoch, n, made, sort, what, key FROM purges WHERE n > ? ORDER BY n", (start,)
        )
        for row in rows:
            bodies.append(pack(Purge(*row[:5]), row[5]))
            size += len(bodies[-1])
            if size > most:
                break
        rows.close()
        return start, start_seal, bodies, agrees

    def names(self):
        return self.file.execute("SELECT name, generation FROM members ORDER BY name").fetchall()

    def older(self, timestamp, most):
        """The number of the last of the oldest purges from before that time, so many at most; 0: none."""
        row = self.file.execute(
            "SELECT max(n) FROM (SELECT n, made FROM purges ORDER BY n LIMIT ?) " "WHERE made < ?",
            (most, timestamp),
        ).fetchone()
        return row[0] or 0


# of hookrouter/decisions/replicas/record_copy.py -> what is done; within one transaction
STEPS = {
    "keep": CopySteps._step_keep,
    "open": CopySteps._step_open,
    "names": CopySteps._step_names,
    "sweep": CopySteps._step_sweep,
    "reset": CopySteps._floor,
    "verify": CopySteps._step_verify,
    "compare": CopySteps._step_compare,
}

"""What a keeper's copy of a duty's records has on disk, as a plain list."""

from hookrouter.decisions.owners import protocol
from hookrouter.decisions.owners.duties import INITIAL_HASH, chained_hash
from hookrouter.decisions.replicas import record_copy

DUTY = "purges"
PART = 200  # bytes sent to one that fetches: a few records, so catching up takes many parts


class Differs(Exception):
    pass


class PlainStore:
    """What PurgeLog keeps, as a list: rows behind the floor, the seals of all, names."""

    def __init__(self):
        self.floor, self.rows, self.seals, self.names, self.index, self.epoch = (
            0,
            [],
            [INITIAL_HASH],
            {},
            0,
            0,
        )

    def copied(self):
        made = PlainStore()
        made.__dict__.update(self.__dict__)
        made.rows, made.seals, made.names = list(self.rows), list(self.seals), dict(self.names)
        return made

    def position(self):
        return record_copy.StorePosition(self.floor + len(self.rows), self.seals[-1], self.floor, self.index)

    def take(self, steps, index):
        """A new store with all of it done, or CopyDiffers."""
        new = self.copied()
        for command, *fields in steps:
            getattr(new, f"_{command}")(*fields)
        if index is not None:
            new.index = index
        return new

    def _keep(self, first, bodies):
        if first != self.floor + len(self.rows) + 1:
            raise Differs
        for body in bodies:
            self.rows.append(body)
            self.seals.append(chained_hash(self.seals[-1], body))

    def _open(self, epoch):
        self.epoch = max(self.epoch, epoch)

    def _names(self, joined, left):
        self.names.update(dict(joined))
        for name in left:
            self.names.pop(name, None)

    def _sweep(self, upto):
        if self.floor < upto <= self.floor + len(self.rows):
            self._cut(upto)

    def _cut(self, upto):
        gone = upto - self.floor
        del self.rows[:gone], self.seals[:gone]
        self.floor = upto

    def _reset(self, floor, seal):
        self.floor, self.rows, self.seals = floor, [], [seal]

    def _seal_at(self, n):
        at = n - self.floor
        return self.seals[at] if 0 <= at < len(self.seals) else None

    def _verify(self, n, seal):
        if self._seal_at(n) not in (None, seal):
            raise Differs

    def _compare(self, first, bodies):
        for n, body in enumerate(bodies, first):
            if self.floor < n <= self.floor + len(self.rows) and self.rows[n - self.floor - 1] != body:
                raise Differs

    def part(self, asked):
        own, newest = self._seal_at(asked.after), self.floor + len(self.rows)
        if asked.after > newest:
            start, seal, agrees, bodies = asked.after, asked.chain_hash, True, []
        else:
            start = max(asked.after, self.floor)
            seal, agrees = self._seal_at(start), asked.after < self.floor or own == asked.chain_hash
            bodies, size = [], 0
            for body in self.rows[start - self.floor :]:
                bodies.append(body)
                size += len(body)
                if size > PART:
                    break
        if asked.names:
            names = sorted(self.names.items())
            return protocol.Fetched(DUTY, asked.request_id, start, seal, [], agrees, self.index, names)
        return protocol.Fetched(DUTY, asked.request_id, start, seal, bodies, agrees, self.index)

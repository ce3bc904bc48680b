"""The duties as the log makes them: who owns what under which number, and how far its work is known to be
done.

Each keeper applies the same commands in the same order, so all agree. The number of a grant is the index of
its entry: it only rises, over all duties.
"""

import msgspec

from ...tables.hash_chain import HASH_BYTES, INITIAL_HASH, chained_hash

DECLARE, GRANT, DROP, DONE = "declare", "grant", "drop", "done"
# Of a duty that keeps an order of records: an owner begins, appends, notes names, and folds what is too old.
OPEN, KEEP, NAMES, SWEEP = "open", "keep", "names", "sweep"
ADOPT = "adopt"  # an order that was begun elsewhere is gone on with, where none was begun here
MOST_DUTIES = 10_000
MOST_MEMBERS = 10_000  # of whom the last key is known
MOST_TEXT = 64
MOST_EPOCH = 1 << 53


class Duty(msgspec.Struct, array_like=True):
    owner: str | None = None
    number: int = 0
    step: int = 0  # the last that is known to be done
    since: int = 0  # index of its declaration


class Order(msgspec.Struct, array_like=True):
    """What the log agrees on of a duty's records; these themselves are in each keeper's copy."""

    epoch: int = 0  # of the owner that began last; each has its own, later ones higher ones
    newest: int = 0  # number of the last record
    seal: bytes = INITIAL_HASH  # over all up to there
    where: str = ""  # the owner's address for those whom its work serves


class Kept(msgspec.Struct, array_like=True):
    duties: dict[str, Duty]
    keys: dict[str, tuple[str, list]]
    orders: dict[str, Order] = {}


class Record(msgspec.Struct, array_like=True, frozen=True):
    """What a copy of that duty's records has to take in, agreed: fields by the command."""

    duty: str
    command: str
    fields: tuple


class Duties:
    def __init__(self, state=None):
        kept = Kept({}, {}) if state is None else msgspec.msgpack.decode(state, type=Kept)
        self.rows, self.keys = kept.duties, kept.keys  # keys: who asks -> (key, result) of its last command
        self.orders = kept.orders
        self.records = []  # of the last command
        self.owned = {}  # owner -> its duties, as keys
        for name, duty in self.rows.items():
            self._own(duty.owner, name)

    def state(self):
        return msgspec.msgpack.encode(Kept(self.rows, self.keys, self.orders))

    def apply(self, index, key, command, fields):
        """The result, a list: what came of it and more; the same again for a repeated key."""
        who, self.records = key.partition("/")[0], []
        known = self.keys.get(who)
        if known is not None and known[0] == key:
            return known[1]
        try:
            result = COMMANDS[command](self, index, *fields)
        except (KeyError, TypeError, ValueError):
            result, self.records = ["malformed"], []
        if who:  # a leader's own grants need no memory: they name the number that they follow
            self.keys.pop(who, None)
            self.keys[who] = key, result
            if len(self.keys) > MOST_MEMBERS:
                del self.keys[next(iter(self.keys))]
        return result

    def _declare(self, index, name):
        if not isinstance(name, str) or not 0 < len(name) <= MOST_TEXT:
            return ["malformed"]
        if name not in self.rows:
            if len(self.rows) >= MOST_DUTIES:
                return ["full"]
            self.rows[name] = Duty(since=index)
        return ["declared", self.rows[name].since]

    def _own(self, owner, name):
        if owner is not None:
            self.owned.setdefault(owner, {})[name] = None

    def _disown(self, owner, name):
        if owner is not None:
            self.owned[owner].pop(name)
            if not self.owned[owner]:
                del self.owned[owner]

    def _drop(self, index, name):
        duty = self.rows.pop(name)
        self._disown(duty.owner, name)
        self.orders.pop(name, None)
        return ["dropped", duty.number]

    def _grant(self, index, name, member, after):
        """after: the number that it follows; else another grant came before it."""
        duty = self.rows[name]
        if duty.number != after:
            return ["passed", duty.number]
        self._disown(duty.owner, name)
        self._own(member, name)
        duty.owner, duty.number = member, index
        return ["granted", index]

    def _done(self, index, name, number, step):
        """Only by the owner of that number, and one step after the other: a step is done once."""
        duty = self.rows[name]
        if duty.number != number:
            return ["old", duty.number, duty.step]
        if step != duty.step + 1:
            return ["out of order", duty.number, duty.step]
        duty.step = step
        return ["done", number, step]

    # ---- records: each command names the number of its owner's grant; that of an old owner changes nothing

    def _open(self, index, name, number, least, where):
        """An owner begins, under an epoch of its own. least: it has heard of those below."""
        duty = self.rows[name]
        if duty.number != number:
            return ["old", duty.number]
        if not (
            isinstance(least, int)
            and 0 <= least < MOST_EPOCH
            and isinstance(where, str)
            and len(where) <= MOST_TEXT
        ):
            return ["malformed"]
        order = self.orders.setdefault(name, Order())
        order.epoch, order.where = max(order.epoch + 1, least), where
        self.records.append(Record(name, OPEN, (order.epoch,)))
        return ["open", order.epoch, order.newest]

    def _keep(self, index, name, number, first, bodies):
        """Records in order, all of them or none."""
        duty, order = self.rows[name], self.orders[name]
        if duty.number != number:
            return ["old", duty.number]
        if first != order.newest + 1:
            return ["out of order", order.newest]
        seal = order.seal
        for body in bodies:
            seal = chained_hash(seal, body)
        order.newest, order.seal = order.newest + len(bodies), seal
        self.records.append(Record(name, KEEP, (first, tuple(bodies))))
        return ["kept", order.newest]

    def _names(self, index, name, number, joined, left):
        duty = self.rows[name]
        if duty.number != number:
            return ["old", duty.number]
        joined = tuple((str(who), int(generation)) for who, generation in joined)
        self.records.append(Record(name, NAMES, (joined, tuple(map(str, left)))))
        return ["noted", len(joined), len(left)]

    def _adopt(self, index, name, epoch, newest, seal):
        """People's: some keeper's copy holds that order already, the others fetch it."""
        duty = self.rows[name]
        order = self.orders.setdefault(name, Order())
        if order.newest:
            return ["begun", order.newest]
        if not (
            0 < newest and 0 <= epoch < MOST_EPOCH and isinstance(seal, bytes) and len(seal) == HASH_BYTES
        ):
            return ["malformed"]
        order.epoch, order.newest, order.seal = max(order.epoch, epoch), newest, seal
        self.records.append(Record(name, ADOPT, (order.epoch, newest, seal)))
        return ["adopted", newest, duty.number]

    def _sweep(self, index, name, number, step, of, upto):
        """A step of the duty that folds away records of another, up to that number."""
        if not 0 <= upto <= self.orders[of].newest:
            return ["malformed"]
        result = self._done(index, name, number, step)
        if result[0] == "done":
            self.records.append(Record(of, SWEEP, (upto,)))
        return result


COMMANDS = {
    DECLARE: Duties._declare,
    DROP: Duties._drop,
    GRANT: Duties._grant,
    DONE: Duties._done,
    OPEN: Duties._open,
    KEEP: Duties._keep,
    NAMES: Duties._names,
    SWEEP: Duties._sweep,
    ADOPT: Duties._adopt,
}

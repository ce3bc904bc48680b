"""The duties as the log makes them: who owns what under which number, and how far its work is known to be
done.

Each keeper applies the same commands in the same order, so all agree. The number of a grant is the index of
its entry: it only rises, over all duties.
"""

import msgspec

DECLARE, GRANT, DROP, DONE = "declare", "grant", "drop", "done"
MOST_DUTIES = 10_000
MOST_MEMBERS = 10_000  # of whom the last key is known
MOST_TEXT = 64


class Duty(msgspec.Struct, array_like=True):
    owner: str | None = None
    number: int = 0
    step: int = 0  # the last that is known to be done
    since: int = 0  # index of its declaration


class Kept(msgspec.Struct, array_like=True):
    duties: dict[str, Duty]
    keys: dict[str, tuple[str, list]]


class Duties:
    def __init__(self, state=None):
        kept = Kept({}, {}) if state is None else msgspec.msgpack.decode(state, type=Kept)
        self.rows, self.keys = kept.duties, kept.keys  # keys: who asks -> (key, result) of its last command
        self.owned = {}  # owner -> its duties, as keys
        for name, duty in self.rows.items():
            self._own(duty.owner, name)

    def state(self):
        return msgspec.msgpack.encode(Kept(self.rows, self.keys))

    def apply(self, index, key, command, fields):
        """The result, a list: what came of it and more; the same again for a repeated key."""
        who = key.partition("/")[0]
        known = self.keys.get(who)
        if known is not None and known[0] == key:
            return known[1]
        try:
            result = COMMANDS[command](self, index, *fields)
        except (KeyError, TypeError, ValueError):
            result = ["malformed"]
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


COMMANDS = {DECLARE: Duties._declare, DROP: Duties._drop, GRANT: Duties._grant, DONE: Duties._done}

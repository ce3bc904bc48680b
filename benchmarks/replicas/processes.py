"""A keeper with a copy, and an owner that appends, on the clocks and disks of owners' processes."""

from msgspec.structs import replace

from hookrouter.decisions.owners import protocol
from hookrouter.decisions.owners.duties import APPEND, FOLLOWERS, INITIAL_HASH, OPEN
from hookrouter.decisions.replicas import record_copy

from ..owners.processes import KeeperProcess, MemberProcess
from .store import DUTY, Differs, PlainStore


class CopyKeeper(KeeperProcess):
    """A keeper with a copy; its disk is its own, and fails with the keeper's or alone."""

    def __init__(self, world, name, terms):
        super().__init__(world, name, terms)
        self.plain, self.copies, self.bad = PlainStore(), [], False

    def begin(self):
        others = [name for name in self.world.names if name != self.name]
        self.copy, self.copy_alarm = self.world.make_copy(DUTY, others, self.plain.position()), 0
        super().begin()

    def carry(self, effects):
        rest = []
        for effect in effects:
            if isinstance(effect, protocol.StoreRecords):
                self.later(1, self.file, effect)
            elif isinstance(effect, protocol.SyncCopies):
                self.later(1, self.caught, effect)
            else:
                rest.append(effect)
        super().carry(rest)

    def file(self, effect):
        self.done(self.copy.on_committed(self.clock(), effect.index, effect.records))
        if not self.copy.queue and self.copy.writing is None and self.copy.state == record_copy.COMPLETE:
            self.event(protocol.RecordsStored(effect.index))

    def caught(self, effect):
        newest, seal = {duty: rest for duty, *rest in effect.sequences}.get(DUTY, (0, INITIAL_HASH))
        self.done(self.copy.on_snapshot(self.clock(), effect.index, newest, seal))

    def done(self, effects):
        for effect in effects:
            if isinstance(effect, record_copy.Write):
                self.later(self.flush * self.world.dice.uniform(0.5, 2), self.filed, effect)
            elif isinstance(effect, record_copy.SendFetch):
                self.world.send(self.name, effect.receiver, effect.message)
            elif isinstance(effect, record_copy.RecordsStored):
                self.later(1, self.event, protocol.RecordsStored(effect.index))
            elif effect is record_copy.REPLACE_STORE:
                self.world.put_away += 1
                self.later(500, self.again, PlainStore())
            elif effect is record_copy.REOPEN_STORE:
                self.later(500, self.again, None)
        self.copy_alarm += 1
        at = self.copy.alarm()
        if at is not None:
            self.later(max(1, at - self.clock()), self.copy_tick, self.copy_alarm)

    def copy_tick(self, alarm):
        if alarm == self.copy_alarm:
            self.done(self.copy.tick(self.clock()))

    def filed(self, write):
        try:
            if self.full or self.bad:
                raise OSError
            self.plain = self.plain.take(write.steps, write.index)
        except (OSError, Differs) as wrong:
            self.done(self.copy.on_written(self.clock(), write.write_id, False, isinstance(wrong, Differs)))
        else:
            self.done(self.copy.on_written(self.clock(), write.write_id, True))

    def again(self, new):
        if self.full or self.bad:
            self.later(500, self.again, new)
            return
        self.plain = new or self.plain
        self.done(self.copy.on_opened(self.clock(), self.plain.position()))
        self.event(protocol.CopiesReopened())

    def heard(self, sender, message):
        if isinstance(message, protocol.Fetch):
            told = self.plain.part(message)
            if self.world.lies and told.bodies and self.world.dice.random() < 0.3:
                told = replace(told, bodies=[b"lie", *told.bodies[1:]])
            self.world.send(self.name, sender, told)
        elif isinstance(message, protocol.Fetched):
            self.done(self.copy.on_fetched(self.clock(), sender, message))
        else:
            super().heard(sender, message)

    def ready(self, index):
        """As fleet/service.py asks before an owner begins on this copy."""
        core = self.core
        return (
            self.up
            and core.applied >= index
            and (not core.unstored_entries or core.unstored_entries[0] > index)
            and self.copy.is_complete()
        )


class OwnerMember(MemberProcess):
    """Holds the duty, begins, appends numbered records, notes names, sweeps now and then."""

    def work(self, duty, number):
        if duty != DUTY:
            super().work(duty, number)
            return
        self.at = None
        self.order(number, OPEN, [0, self.name])

    def order(self, number, command, fields):
        warrant = self.holder.leases.get(DUTY)
        if warrant is None or warrant.fencing_token != number:
            return
        if self.asked is not None:
            self.later(300, self.order, number, command, fields)
            return
        act = warrant.authorize(self.clock(), fields)
        if act is not None:
            self.ask(command, [act.duty, act.fencing_token, *act.action])

    def more(self, number, result):
        dice = self.world.dice
        if result[0] == "old":
            self.world.refused += 1
            return
        warrant = self.holder.leases.get(DUTY)
        if warrant is None or warrant.fencing_token != number:
            return  # of a grant that is over
        if result[0] == "open":
            self.world.opened(number, result)
            self.at = result[2]
        elif result[0] == "kept":
            self.at = result[1]
        elif result[0] == "out of order":
            self.world.wrong(f"{self.name} was out of order at {self.at}: {result}")
        if dice.random() < 0.15:
            what = FOLLOWERS, [[[f"n{dice.randrange(50)}", 1]], []]
        else:
            self.world.made += 1
            what = (
                APPEND,
                [
                    self.at + 1,
                    [b"%d:%d.%d" % (number, self.world.made, k) for k in range(dice.choice((1, 1, 3, 9)))],
                ],
            )
        self.later(dice.choice((20, 200, 600)), self.order, number, *what)

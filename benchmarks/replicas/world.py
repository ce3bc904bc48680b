"""Copies of a duty's records in made-up time: keepers, their logs and copies, owners that append, faults.

On top of the owners' world: the same links, clocks and disks. Beside it a plain model: what was acknowledged,
and one list of what was agreed.
"""

from hookrouter.decisions.owners import Keeper, protocol
from hookrouter.decisions.owners.duties import APPEND, DECLARE, FOLLOWERS, OPEN, SWEEP
from hookrouter.decisions.replicas import record_copy

from ..owners.processes import SECOND
from ..owners.world import World
from .processes import CopyKeeper, OwnerMember
from .store import DUTY, PlainStore


class CopyWorld(World):
    """lies: whether what a keeper sends to one that fetches may be damaged on its way out of its disk."""

    def __init__(self, seed, make=Keeper, make_copy=record_copy.RecordCopy, lies=False):
        self.make_copy, self.lies, self.put_away = make_copy, lies, 0
        self.records, self.names_noted, self.made, self.epochs = {}, {}, 0, []
        self.swept = 0
        super().__init__(seed, 3, 0, 0, make=make)
        for name in self.names:
            self.keepers[name].kill()
            self.keepers[name] = self.processes[name] = CopyKeeper(self, name, self.terms)
            self.keepers[name].start()
        self.members = {f"m{n}": OwnerMember(self, f"m{n}", self.terms) for n in range(2)}
        self.processes.update(self.members)
        for member in self.members.values():
            member.start()
        self.wanted = [DUTY]

    def answered(self, process, asked, result):
        super().answered(process, asked, result)
        if asked.command in (OPEN, APPEND, FOLLOWERS):
            number = asked.fields[1]
            if result[0] == "kept":
                for n, body in enumerate(asked.fields[3], asked.fields[2]):
                    if self.records.setdefault(n, body) != body:
                        self.wrong(f"{n} was acknowledged as {body} and as {self.records[n]}")
            elif result[0] == "noted":
                self.names_noted.update(dict(asked.fields[2]))
            process.later(1, process.more, number, result)

    def opened(self, number, result):
        """An owner begins: epochs rise, and whoever's copy is ready for it has all that was acknowledged."""
        if self.epochs and result[1] <= self.epochs[-1]:
            self.wrong(f"epoch {result[1]} after {self.epochs[-1]}")
        self.epochs.append(result[1])
        newest = max(self.records, default=0)
        for keeper in self.keepers.values():
            if keeper.up and keeper.ready(number):
                held = keeper.plain.floor + len(keeper.plain.rows)
                if held < newest:
                    self.wrong(f"{keeper.name} is ready for {number} and has {held} of {newest}")
                self.compared(keeper)

    def compared(self, keeper):
        store = keeper.plain
        for n, body in enumerate(store.rows, store.floor + 1):
            if self.records.get(n, body) != body:
                self.wrong(f"{keeper.name} has {body} at {n}, acknowledged was {self.records[n]}")
                return
        numbers = [int(body.partition(b":")[0]) for body in store.rows if b":" in body]
        if numbers != sorted(numbers):
            self.wrong(f"in {keeper.name} an older owner's record stands behind a newer one's")

    def sweep(self):
        """What a sweeping owner does, straight at the leader: fold some of what is agreed."""
        for process in self.keepers.values():
            core = process.core
            if (
                process.up
                and not process.paused
                and core.state == "leading"
                and DUTY in core.duties.sequences
            ):
                newest = core.duties.sequences[DUTY].newest
                row = core.duties.by_name.get("s")
                if row is None:
                    process.event(protocol.Received("s", protocol.CommandRequest("s#1/1", DECLARE, ["s"])))
                elif newest > 20 and row.fencing_token:
                    process.event(
                        protocol.Received(
                            "s",
                            protocol.CommandRequest(
                                f"s#1/{self.made}",
                                SWEEP,
                                ["s", row.fencing_token, row.step + 1, DUTY, newest - 15],
                            ),
                        )
                    )
                    self.swept += 1

    def fault(self):
        dice, after = self.dice, self.engine.after
        if dice.random() < 0.3:
            self.sweep()
        if dice.random() < 0.5:
            super().fault()
            return
        keeper = dice.choice(list(self.keepers.values()))
        what, span = dice.randrange(5), dice.randrange(500, 3 * SECOND)
        if what == 0:
            keeper.bad = True
            after(span, setattr, keeper, "bad", False)
        elif what == 1:
            keeper.copies.append(keeper.plain)
        elif (
            what in (2, 3)
            and keeper.up
            and all(
                k.up and not k.paused and k.copy.state == record_copy.COMPLETE for k in self.keepers.values()
            )
        ):
            keeper.kill()  # one copy at a time is lost, or put back: of more, what only they held is gone
            keeper.plain = keeper.copies.pop(0) if what == 3 and keeper.copies else PlainStore()
            self.restart(keeper)
        elif what == 4:
            keeper.kill()
            after(span * 3, self.restart, keeper)  # away for long: the others fold their logs meanwhile

    def quiet(self):
        self.lies = False
        for keeper in self.keepers.values():
            keeper.bad = False
        super().quiet()

    def play(self, faults=30):
        self.engine.run(4 * SECOND)
        for _ in range(faults):
            self.fault()
            self.engine.run(self.engine.now + self.dice.randrange(6_000))
        self.quiet()
        self.engine.run(self.engine.now + 20 * SECOND)
        return self.ended()

    def ended(self):
        super().ended()
        for member in self.members.values():
            member.kill()
        self.engine.run(self.engine.now + 3 * SECOND)
        newest, states = max(self.records, default=0), set()
        for keeper in self.keepers.values():
            if not keeper.copy.is_complete() or keeper.core.unstored_entries:
                self.wrong(f"after the faults the copy of {keeper.name} is not whole: {keeper.copy.state}")
            self.compared(keeper)
            store = keeper.plain
            if store.floor + len(store.rows) < newest:
                self.wrong(f"{keeper.name} ends at {store.floor + len(store.rows)} of {newest}")
            if not set(self.names_noted) <= set(store.names):
                self.wrong(f"{keeper.name} lacks {sorted(set(self.names_noted) - set(store.names))}")
            states.add((store.floor + len(store.rows), store.seals[-1], store.epoch))
        if len({row[:2] for row in states}) != 1:
            self.wrong(f"copies differ at the end: {sorted(row[:1] for row in states)}")
        return self.breaks


def standing(make=Keeper, make_copy=record_copy.RecordCopy):
    """What is broken where no copy can be written for long and the log goes on: it has to hold all of it."""
    world = CopyWorld(1, make, make_copy)
    world.engine.run(5 * SECOND)
    for keeper in world.keepers.values():
        keeper.bad = True
    world.engine.run(25 * SECOND)
    world.quiet()
    world.engine.run(45 * SECOND)
    return world.ended()


def broken_by(make, make_copy, seed):
    """What a schedule breaks with these decisions; seed None: the one written by hand."""
    if seed is None:
        return standing(make, make_copy)
    return CopyWorld(seed, make, make_copy, lies=seed % 3 == 0).play()

"""Keepers and members in made-up time: clocks of their own, disks that take their time.

Each process has a clock that runs up to one in a hundred fast or slow; disks fail, fill up, and are put back
from an older copy.
"""

from hookrouter.decisions.owners import Holder, protocol
from hookrouter.decisions.owners.duties import DONE

SECOND = 10_000
FLUSH = 20  # 2 ms
ASK_AGAIN = 3_000


class Disk:
    """What was flushed, as protocol.Stored; copies of earlier."""

    def __init__(self):
        self.stored = protocol.Stored()
        self.copies = []

    def write(self, p):
        old = self.stored
        kept = {n: e for n, e in enumerate(old.entries, old.base + 1) if p.base < n <= p.truncate_after}
        kept.update(enumerate(p.entries, p.truncate_after + 1))
        assert sorted(kept) == list(range(p.base + 1, p.base + 1 + len(kept))), "a gap in the log"
        entries = [kept[n] for n in sorted(kept)]
        self.stored = protocol.Stored(
            p.term,
            p.voted_for,
            p.write_count,
            p.no_vote_through,
            p.snapshot or old.snapshot,
            p.base,
            p.base_term,
            tuple(entries),
            p.write_counts,
            p.integrity_error,
        )


class Process:
    def __init__(self, world, name):
        self.world, self.name = world, name
        dice = world.dice
        self.rate, self.offset = 1 + dice.uniform(-0.009, 0.009) / 2, dice.randrange(1 << 40)
        self.up = self.paused = False
        self.inbox, self.life, self.generation = [], 0, 0

    def clock(self):
        return self.offset + int(self.world.engine.now * self.rate)

    def start(self):
        self.up, self.paused, self.inbox = True, False, []
        self.generation += 1
        self.life += 1
        self.begin()

    def kill(self):
        self.up = False
        self.generation += 1

    def pause(self, span):
        if self.up and not self.paused:
            self.paused = True
            self.world.engine.after(span, self.resume, self.generation)

    def resume(self, generation):
        if generation != self.generation:
            return
        self.paused = False
        inbox, self.inbox = self.inbox, []
        for what, args in inbox:
            what(*args)

    def later(self, span, what, *args):
        """By this process's clock, unless it ends first; at once after a pause."""
        self.world.engine.after(max(0, int(span / self.rate) + 1), self._due, self.generation, what, args)

    def _due(self, generation, what, args):
        if generation != self.generation or not self.up:
            return
        if self.paused:
            self.inbox.append((what, args))
        else:
            what(*args)


class KeeperProcess(Process):
    def __init__(self, world, name, terms):
        super().__init__(world, name)
        self.terms, self.disk, self.core = terms, Disk(), None
        self.flush, self.full, self.alarm = FLUSH, False, 0

    def begin(self):
        terms = self.terms._replace(name=self.name, generation=self.life)
        self.core = self.world.make(terms, self.disk.stored, self.clock(), self.world.dice.randrange(1 << 30))
        self.carry(self.core.take(self.clock(), protocol.Started()))
        self.tick(self.alarm)

    def event(self, event):
        self.carry(self.core.take(self.clock(), event))

    def carry(self, effects):
        for effect in effects:
            if isinstance(effect, protocol.Send):
                self.world.send(self.name, effect.receiver, effect.message)
            elif isinstance(effect, protocol.Persist):
                self.later(self.flush * self.world.dice.uniform(0.5, 2), self.flushed, effect)
            elif isinstance(effect, protocol.LogEvent):
                self.world.told(self, effect)
        self.world.checked(self)
        self.alarm += 1
        self.later(self.core.alarm() - self.clock(), self.tick, self.alarm)

    def tick(self, alarm):
        if alarm == self.alarm:
            self.event(protocol.Tick())

    def flushed(self, persist):
        if self.full:
            self.event(protocol.WriteFinished(persist.write_id, False))
            self.later(SECOND, self.reopen)
            return
        self.disk.write(persist)
        self.event(protocol.WriteFinished(persist.write_id, True))

    def reopen(self):
        if self.full:
            self.later(SECOND, self.reopen)
        else:
            self.event(protocol.StoreReopened(self.disk.stored))

    def heard(self, sender, message):
        self.event(protocol.Received(sender, message))


class MemberProcess(Process):
    """Holds duties and works: reads the step, acts at the resource, has the step noted."""

    def __init__(self, world, name, terms):
        super().__init__(world, name)
        self.terms = terms

    def begin(self):
        self.holder, self.to, self.asked = Holder(self.name, self.life, self.terms), None, None
        self.count, self.alarm, self.steps = 0, 0, {}
        self.tick(0)

    def tick(self, alarm):
        if alarm != self.alarm:
            return
        renew, lost = self.holder.tick(self.clock())
        self._lost(lost)
        if renew is not None:
            self.send(renew)
        self._set()

    def _set(self):
        self.alarm += 1
        self.later(max(1, self.holder.alarm() - self.clock()), self.tick, self.alarm)

    def send(self, message):
        to = None if self.holder.leader_silent(self.clock()) else self.to
        self.world.send(self.name, to or self.world.dice.choice(self.world.names), message)

    def _lost(self, lost):
        for duty, number, _ in lost:
            self.world.lost(self, duty, number)

    def heard(self, sender, message):
        if isinstance(message, protocol.Answer):
            if message.leader is not None or message.result is None:
                self.to = message.leader
            if self.asked is not None and message.key == self.asked[0].key and message.result is not None:
                asked, self.asked = self.asked[0], None
                self.world.answered(self, asked, message.result)
                if asked.command == DONE and message.result[0] == "done":
                    self.steps[asked.fields[0]] = message.result[2]
            return
        gained, lost, renew = self.holder.on_renewed(self.clock(), message)
        self._lost(lost)
        for duty, number, _ in gained:
            self.world.gained(self, duty, number)
            self.later(1, self.work, duty, number)
        if renew is not None:
            self.send(renew)
        self._set()

    def work(self, duty, number):
        """One step: what the resource says is next, done there under the number, then noted in the log."""
        warrant = self.holder.leases.get(duty)
        if warrant is None or warrant.fencing_token != number:
            return
        act = warrant.authorize(self.clock(), "step")
        if act is not None:
            # Between its look at the clock and the resource lies a way on which it may be late.
            self.world.engine.after(
                self.world.dice.choice((1, 5, 5, 20, 20 * SECOND // 10)), self.world.resource, self, act
            )
        self.later(self.world.dice.randrange(500, 3_000), self.work, duty, number)

    def ask(self, command, fields):
        if self.asked is None:
            self.count += 1
            message = protocol.CommandRequest(f"{self.name}#{self.life}/{self.count}", command, fields)
            self.asked = (message,)
            self._again(message)

    def _again(self, message):
        if self.asked is not None and self.asked[0] is message:
            self.send(message)
            self.later(ASK_AGAIN, self._again, message)

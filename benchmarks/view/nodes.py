"""A member of a made-up fleet: its clock, its pauses, what it sends."""

from hookrouter.decisions.view import Member, protocol

SECOND = 10_000
HEAD = 90  # bytes of a datagram beside its rows: seal, names, numbers


def size(message):
    return (
        HEAD
        + sum(row.size() for row in getattr(message, "updates", ()))
        + (5 * protocol.BUCKETS if isinstance(message, protocol.Compare) else 0)
    )


class Node:
    def __init__(self, world, name, zone, port):
        self.world, self.name, self.zone, self.port = world, name, zone, port
        self.offset, self.life, self.up, self.paused, self.generation = 0, 0, False, False, 0
        self.core, self.alarm, self.inbox = None, 0, []

    def clock(self):
        return self.offset + int(self.world.engine.now)

    def start(self, life=None):
        self.life = self.life + 1 if life is None else life
        self.up, self.paused, self.inbox = True, False, []
        self.generation += 1
        self.offset = self.world.dice.randrange(1 << 40)
        me = Member(self.name, self.life, "h", self.port, self.zone, "router", "0.3", 0)
        self.core = self.world.make(self.world.terms, me, self.clock(), self.world.dice.randrange(1 << 30))
        self.carry(self.core.take(self.clock(), protocol.Tick()))

    def kill(self):
        self.up = False
        self.generation += 1

    def pause(self, span):
        if self.up and not self.paused:
            self.paused = True
            self.world.engine.after(span, self.resume, self.generation)

    def resume(self, generation):
        if generation == self.generation and self.paused:
            self.paused = False
            inbox, self.inbox = self.inbox, []
            # What came first is read first, or the alarm is: either may be.
            if self.world.dice.random() < 0.5:
                self.event(protocol.Tick())
            for heard in inbox[:200]:
                self.event(heard)
            self.event(protocol.Tick())

    def event(self, event):
        self.carry(self.core.take(self.clock(), event))

    def carry(self, effects):
        for effect in effects:
            if isinstance(effect, protocol.Send):
                self.world.send(self, effect)
            elif isinstance(effect, protocol.StateChanged):
                self.world.changed(self, effect)
        self.alarm += 1
        self.world.engine.after(
            max(1, self.core.alarm() - self.clock()), self.tick, self.generation, self.alarm
        )

    def tick(self, generation, alarm):
        if generation == self.generation and alarm == self.alarm and self.up and not self.paused:
            self.event(protocol.Tick())

"""Caches of the made-up world: a link that its transfers share, copies, fills that take a while."""

from hookrouter import interface
from hookrouter.lab.stations import Link, LruCache

FILL = 1_500  # 150 ms from the parent, before the copy's own sending
NEAR = 5  # 0.5 ms on the way


class Station:
    """One cache. flow: KB in a tenth of a millisecond of one transfer at most; weight: such transfers at
    full pace; room: KB of copies.
    """

    def __init__(self, engine, name, flow, weight, room):
        self.engine, self.name, self.weight = engine, name, weight
        self.link, self.copies = Link(engine, flow * weight, flow), LruCache(room)
        self.out = 0  # sends of all routers, from their leaving to their end
        self.arrived = []  # (when, router)
        self.hits = self.misses = 0
        self.well, self.fault, self.fills = True, interface.UNREACHED, {}

    def take(self, router, name, size, done):
        """done(end, note) once it is over; one that is not well ends each by its fault."""
        now = self.engine.now
        self.out += 1
        self.arrived.append((now, router))
        if not self.well:
            self.engine.after(NEAR, self.end, done, self.fault, 0)
        elif self.copies.find(name) is not None:
            self.hits += 1
            self.link.carry(size, self.end, done, interface.SATISFIED, interface.FOUND)
        elif name in self.fills:  # joins the fill that is under way
            self.fills[name].append((size, done))
        else:
            self.misses += 1
            self.fills[name] = [(size, done)]
            self.engine.after(FILL, self.filled, name, size)

    def filled(self, name, size):
        self.copies.keep(name, size, self.engine.now)
        for n, (size, done) in enumerate(self.fills.pop(name)):
            self.link.carry(
                size, self.end, done, interface.SATISFIED, interface.JOINED if n else interface.FILLED
            )

    def end(self, done, end, note):
        self.out -= 1
        done(end, note)

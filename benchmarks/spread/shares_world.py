"""Shares of a cold cache under faults, in made-up time: which router spent which turn of which unit."""

from random import Random

from hookrouter.decisions.spread.messages import ColdTerms, SpreadTerms
from hookrouter.decisions.spread.shares import Shares
from hookrouter.lab.engine import Engine

SECOND = 10_000
MEMBERS, LUMP = 8, 5_000.0  # work is in the units of sending time
# A turn of each unit in 1 s at first, in 0.2 s at last.
COLD = ColdTerms(share=0.2, span=30 * SECOND, pace=4e-3, burst=7.0)
BORN = 100 * SECOND
OVERDRAFT = 1.6  # lumps: the dearest send


class Node:
    """A router: its clock that drifts, its wall clock that is off a little, its process that may end."""

    def __init__(self, world, number):
        dice = world.dice
        self.world, self.number, self.name = world, number, f"r{number}"
        self.offset, self.drift = dice.randrange(1 << 30), dice.uniform(-0.01, 0.01)
        self.skew, self.keen = dice.randrange(-200, 200), dice.choice((0.0, 0.0, 0.2, 1.0, 3.0))
        self.life, self.up, self.paused, self.inbox = 0, False, False, []
        self.start()

    def clock(self):
        return self.offset + int(self.world.engine.now * (1 + self.drift))

    def wall(self):
        return self.world.engine.now + self.skew

    def start(self):
        self.life, self.up, self.inbox = self.life + 1, True, []
        terms = SpreadTerms(number=self.number, routers=MEMBERS, turn_work=LUMP, cold=COLD)
        self.core = self.world.make(terms, self.life, self.clock())
        self.core.start("c", self.world.born, 1.0, COLD, self.clock(), self.wall())

    def post(self, posts):
        for post in posts:
            self.world.carry(self, post)

    def heard(self, life, sender, message):
        if self.paused:
            self.inbox.append((life, sender, message))
        elif self.up and life == self.life:
            self.post(self.core.receive(self.clock(), self.wall(), sender, message))

    def tick(self):
        """What its executor does each 200 ms, and lookups meanwhile."""
        dice = self.world.dice
        if not self.up or self.paused:
            return
        while dice.random() < self.keen / (1 + self.keen):
            cost = LUMP * dice.choice((0.1, 0.3, 0.6, 1.0, OVERDRAFT))
            if self.core.allows("c", self.clock(), self.wall(), cost):
                self.world.spent(self, self.core.rows["c"].chosen, cost)
                self.core.sent("c", cost)
        if "c" in self.core.rows:
            self.post(self.core.request_units("c", self.clock(), self.wall(), self.some))

    def some(self, count):
        others = [node.name for node in self.world.nodes if node is not self]
        return self.world.dice.sample(others, count)


class World:
    def __init__(self, seed, make=Shares):
        self.dice, self.engine, self.make, self.born = Random(seed), Engine(), make, BORN
        self.engine.now = BORN + self.dice.randrange(SECOND)
        self.by, self.paid, self.wrong, self.lent, self.sum, self.restarts = {}, {}, [], 0, 0.0, 0
        self.nodes = []
        for number in range(MEMBERS):
            self.nodes.append(Node(self, number))
        self.named = {node.name: node for node in self.nodes}
        self.loss = self.double = 0.0
        self.cuts, self.lag = set(), 500

    def carry(self, node, post):
        for _ in range(1 + (self.dice.random() < self.double)):
            if self.dice.random() < self.loss or (node.name, post.recipient) in self.cuts:
                continue
            span, to = self.dice.randrange(5, self.lag), self.named[post.recipient]
            self.engine.after(span, to.heard, to.life, node.name, post.message)

    def spent(self, node, unit, cost):
        """A turn is one router's process's; of its lump no more is spent than there is, and one overdraft."""
        born = node.core.rows["c"].born  # one that has not heard of the cache's start goes by the former
        key = (born, unit.number, unit.turn)
        self.lent += unit.ownership == "lent"
        if self.by.setdefault(key, (node.name, node.life)) != (node.name, node.life):
            self.wrong.append(f"turn {key} spent by {self.by[key]} and {node.name}")
        self.paid[key] = self.paid.get(key, 0.0) + cost
        if self.paid[key] > (2 + OVERDRAFT) * LUMP:
            self.wrong.append(f"turn {key} spent {self.paid[key]:.0f}")
        self.sum += cost * (born == self.born)

    def bound(self):
        """What all turns up to now bear, in all."""
        age = self.engine.now - self.born + 200
        able = COLD.share + (1 - COLD.share) * min(1.0, age / COLD.span)
        return (COLD.pace * age * (able + COLD.share) / 2 + 2 * MEMBERS) * LUMP + MEMBERS * OVERDRAFT * LUMP

    def fault(self):
        dice = self.dice
        node, other = dice.sample(self.nodes, 2)
        kind = dice.choice(("kill", "pause", "cut", "one way", "loss", "double", "lag", "heal", "reborn"))
        if kind == "kill" and node.up:
            node.up = False
            self.engine.after(dice.choice((1, 300, SECOND)), node.start)
        elif kind == "pause" and not node.paused:
            node.paused = True
            self.engine.after(dice.choice((1_000, SECOND, 3 * SECOND)), self.wake, node)
        elif kind == "cut":
            side = {n.name for n in dice.sample(self.nodes, MEMBERS // 2)}
            names = [n.name for n in self.nodes]
            self.cuts = {(a, b) for a in names for b in names if (a in side) != (b in side)}
        elif kind == "one way":
            self.cuts.add((node.name, other.name))
        elif kind in ("loss", "double"):
            setattr(self, kind, dice.choice((0.1, 0.4)))
        elif kind == "lag":
            self.lag = dice.choice((100, 3_000, 5 * SECOND))
        elif kind == "reborn" and self.restarts < 1:
            self.restarts += 1
            self.born, self.sum = self.engine.now, 0.0
            for node in self.nodes:
                self.engine.after(dice.randrange(3_000), self.reborn, node, self.born)
        else:
            self.cuts, self.loss, self.double, self.lag = set(), 0.0, 0.0, 500

    def reborn(self, node, born):
        if node.up and not node.paused:
            node.core.start("c", born, 1.0, COLD, node.clock(), node.wall())

    def wake(self, node):
        node.paused, inbox, node.inbox = False, node.inbox, []
        for row in inbox:
            node.heard(*row)

    def run(self, seconds, faults=12):
        for _ in range(faults):
            self.engine.after(self.dice.randrange(int(seconds * SECOND)), self.fault)
        for _ in range(int(seconds * 5)):
            for node in self.nodes:
                node.tick()
            self.engine.run(self.engine.now + 2_000)
            if self.sum > self.bound():
                self.wrong.append(f"{self.sum:.0f} spent, {self.bound():.0f} borne")
        return self


def broken(seed, make=Shares, seconds=24):
    """(what is wrong, sends by a lent unit)."""
    world = World(seed, make).run(seconds)
    return world.wrong, world.lent

"""Members of a fleet in made-up time: their views over datagrams lost, late, doubled, cut one way."""

from collections import Counter
from random import Random

from hookrouter.decisions.view import Terms, View, protocol
from hookrouter.lab.engine import Engine

from .nodes import SECOND, Node, size

STORM = 150  # datagrams a member and second: a calm one sends eight


class Storm(Exception):
    pass


class World:
    """false: members buried that ran and could be reached; false_settled: views that went on saying that they
    had settled, for longer than the span they speak of, while at most half of the members that they reach had
    the same.
    """

    def __init__(self, seed, count, zones=2, make=View, terms=None, seeds=3, together=True, lag=5):
        self.dice, self.engine, self.make = Random(seed), Engine(), make
        self.nodes = [Node(self, f"n{n}", f"z{n % zones}", 1_000 + n) for n in range(count)]
        self.by_port = {node.port: node for node in self.nodes}
        self.terms = (terms or Terms())._replace(seeds=tuple(("h", node.port) for node in self.nodes[:seeds]))
        self.loss, self.double, self.lag, self.jitter, self.cuts = 0.0, 0.0, lag, 0, None
        self.packets, self.bytes, self.sent = 0, 0, {}
        self.false, self.false_settled, self.buried, self.astray = [], 0, {}, {}
        if together:
            for node in self.nodes:
                self.engine.after(self.dice.randrange(SECOND), node.start)

    def cut(self, a, b):
        """Whether what a sends does not reach b."""
        return self.cuts is not None and self.cuts(a, b)

    def send(self, node, effect):
        to = self.by_port.get(effect.address[1])
        self.packets += 1
        second = int(self.engine.now // SECOND)
        self.sent[second] = self.sent.get(second, 0) + 1
        if self.sent[second] > STORM * len(self.nodes):
            raise Storm
        self.bytes += size(effect.message)
        if to is None or self.dice.random() < self.loss or self.cut(node, to):
            return
        for _ in range(1 + (self.dice.random() < self.double)):
            span = self.lag + (self.dice.randrange(self.jitter) if self.jitter else 0)
            self.engine.after(span, self.arrive, node, to, effect, ("h", node.port), node.life)

    def arrive(self, node, to, effect, address, life):
        if not to.up or (effect.name and effect.name != to.name):
            return
        heard = protocol.Received(node.name, life, address, effect.message)
        if to.paused:
            to.inbox.append(heard)
        else:
            to.event(heard)

    def changed(self, node, changed):
        row = changed.member
        target = self.by_port[row.port]
        if row.state == protocol.DEAD and row.life == target.life and target.up and row.name == target.name:
            if not self.cut(node, target) and not self.cut(target, node) and not target.paused:
                self.false.append((self.engine.now, node.name, row.name, changed.reason, changed.sources))
        if row.state == protocol.DEAD:
            self.buried.setdefault(row.key, []).append(self.engine.now)

    # ---- truth

    def up(self):
        return [node for node in self.nodes if node.up and not node.paused]

    def agreed(self, nodes=None):
        """Whether each of them has just them as alive."""
        nodes = nodes or self.up()
        want = {(node.name, node.life) for node in nodes}
        return all({row.key for row in node.core.alive()} == want for node in nodes)

    def until(self, what, within):
        """Seconds until it holds, or None."""
        began = self.engine.now
        while self.engine.now - began < within * SECOND:
            self.engine.run(self.engine.now + SECOND // 20)
            self.claims()
            if what():
                return (self.engine.now - began) / SECOND
        return None

    def claims(self):
        """Those who say that it has settled, against the truth: half of all that run name the same view."""
        nodes = self.up()
        # By the rows themselves: the sums that the views go by are what is tested here.
        seen = (
            {
                node: frozenset((*row.key, row.incarnation, row.state) for row in node.core.alive())
                for node in nodes
            }
            if len(nodes) <= 100
            else {node: node.core.digest for node in nodes}
        )
        count = Counter(seen.values())
        for node in nodes:
            node.core.now = node.clock()
            if node.core.settled_since() is not None:
                reach, same = len(nodes), count[seen[node]]
                if self.cuts:
                    near = [other for other in nodes if not self.cut(node, other)]
                    reach, same = len(near), sum(seen[other] == seen[node] for other in near)
                if 2 * same <= reach:
                    since = self.astray.setdefault(node, self.engine.now)
                    self.false_settled += self.engine.now - since > self.terms.settle_duration
                    continue
            self.astray.pop(node, None)

    def settled(self):
        return all(node.core.settled_since() is not None for node in self.up())

    def run(self, seconds):
        end = self.engine.now + int(seconds * SECOND)
        while self.engine.now < end:
            self.engine.run(min(end, self.engine.now + SECOND // 4))
            self.claims()


def halves(world, share=0.5):
    """A cut between the first so many members and the others."""
    first = {node for node in world.nodes[: int(share * len(world.nodes))]}
    return lambda a, b: (a in first) != (b in first)


def joined(seed, count, **more):
    """A world whose members have found each other."""
    world = World(seed, count, **more)
    world.run(1)
    took = world.until(world.agreed, 60)
    return world, took

"""Keepers and members in made-up time, on made-up links and disks, beside a plain model of what must hold.

Links lose, double, delay and reorder, and can be cut one way.
"""

from random import Random

from hookrouter.decisions.owners import Keeper, protocol
from hookrouter.decisions.owners.duties import DECLARE
from hookrouter.lab.engine import Engine

from .checks import Checks
from .faults import Faults
from .processes import SECOND, KeeperProcess, MemberProcess


class World(Checks, Faults):
    """breaks: what was broken, in words, with the moment."""

    def __init__(self, seed, keepers=3, members=3, duties=4, make=Keeper, spare=0, terms=None, fenced=True):
        self.dice, self.engine, self.make, self.fenced = Random(seed), Engine(), make, fenced
        self.names = tuple(f"k{n}" for n in range(keepers))
        self.terms = terms or protocol.Settings("", 0, self.names, max_log_entries=60, log_tail=10)
        self.breaks, self.trace = [], []
        self.keepers = {
            name: KeeperProcess(self, name, self.terms)
            for name in (*self.names, *(f"s{n}" for n in range(spare)))
        }
        self.members = {f"m{n}": MemberProcess(self, f"m{n}", self.terms) for n in range(members)}
        self.processes = {**self.keepers, **self.members}
        self.cuts, self.loss, self.double, self.lag = set(), 0.0, 0.0, 5
        self.leaders, self.agreed, self.stood = {}, {}, {}  # term -> leader; index -> entry; keeper -> seen
        self.holding = {}  # duty -> {(member, life): (number, process)}
        self.fence, self.accepted, self.refused, self.overlaps = {}, {}, 0, 0
        self.takeovers, self.free_since, self.acknowledged, self.grants = [], {}, [], 0
        self.calm_until = 0
        self.wanted = [f"d{n}" for n in range(duties)]
        for name in self.names:
            self.keepers[name].start()
        for member in self.members.values():
            member.start()
        self.engine.after(SECOND, self.declare, 0)

    def send(self, sender, to, message):
        if to not in self.processes or (sender, to) in self.cuts or self.dice.random() < self.loss:
            return
        for _ in range(1 + (self.dice.random() < self.double)):
            span = self.lag + int(self.dice.expovariate(1 / self.lag))
            self.engine.after(span, self.arrive, sender, to, message, self.processes[to].generation)

    def arrive(self, sender, to, message, generation):
        process = self.processes[to]
        if not process.up or (sender, to) in self.cuts or generation != process.generation:
            return  # streams end with their process
        if process.paused:
            process.inbox.append((process.heard, (sender, message)))
        else:
            process.heard(sender, message)

    def declare(self, turn):
        if self.wanted:
            members = [m for m in self.members.values() if m.up and not m.paused]
            if members:
                members[turn % len(members)].ask(DECLARE, [self.wanted[0]])
            self.engine.after(500, self.declare, turn + 1)

    def play(self, faults, every=6_000):
        self.engine.run(3 * SECOND)
        for _ in range(faults):
            self.fault()
            self.engine.run(self.engine.now + self.dice.randrange(every))
        self.quiet()
        self.engine.run(self.engine.now + 12 * SECOND)
        return self.ended()

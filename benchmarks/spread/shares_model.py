"""Every interleaving of three routers' shares of a cold cache within bounds, over the program's own table.

Time goes in ticks, two of which clocks may lose. A turn opens at each tick; held is that no turn could ever
be spent by two. All that is sent may arrive in any order, late, twice or never.
"""

from collections import deque
from typing import NamedTuple

from hookrouter.decisions.spread.messages import ColdTerms, SpreadTerms
from hookrouter.decisions.spread.shares import Shares

NAMES = ("a", "b", "c")
LEASE = 3  # ticks
COLD = ColdTerms(share=1.0, span=1 << 20, pace=3.0, burst=2.9)  # a turn of each unit at each tick
TERMS = SpreadTerms(number=0, routers=3, turn_work=1.0, cold=COLD, lease=LEASE, drift=0.0, slack=2)
LONG = 1_000  # ticks before the first: nobody is new


def twin(thing):
    """Another that changes alone: of an object with slots, or with a dictionary of plain values."""
    made = object.__new__(type(thing))
    for name in getattr(thing, "__slots__", None) or vars(thing):
        setattr(made, name, getattr(thing, name))
    return made


def twin_core(core):
    made, row = twin(core), twin(core.rows["x"])
    row.own_unit, row.borrowed_units = (
        twin(row.own_unit),
        {number: twin(unit) for number, unit in row.borrowed_units.items()},
    )
    made.rows = {"x": row}
    return made


class Bounds(NamedTuple):
    ticks: int = 7
    asks: int = 1
    crashes: int = 1
    lost: int = 1
    doubled: int = 1
    pauses: int = 1
    drifts: int = 2


class State:
    def __init__(self, make, bounds):
        self.now, self.left, self.net = LONG, bounds, []
        self.clocks, self.lives = dict.fromkeys(NAMES, LONG), dict.fromkeys(NAMES, 1)
        self.paused, self.may = None, {}  # may: (unit, turn) -> who could have spent it
        self.cores = {}
        for n, name in enumerate(NAMES):
            self.cores[name] = make(TERMS._replace(number=n), 1, 0)
            self.cores[name].start("x", 0, 1.0, COLD, LONG, LONG)

    def twin(self):
        made = twin(self)
        made.net, made.may = list(self.net), dict(self.may)
        made.clocks, made.lives = dict(self.clocks), dict(self.lives)
        made.cores = {name: twin_core(core) for name, core in self.cores.items()}
        return made

    def key(self):
        rows = []
        for name in NAMES:
            core, row = self.cores[name], self.cores[name].rows["x"]
            units = [
                (u.state, u.expires_at, u.number, u.last_turn, u.granted)
                for u in (row.own_unit, *row.borrowed_units.values())
            ]
            rows.append((self.clocks[name], core.requests_made, core.incarnation, units))
        return hash(
            repr(
                (
                    self.now,
                    rows,
                    sorted(map(repr, self.net)),
                    self.left,
                    self.paused,
                    sorted(self.may.items()),
                )
            )
        )

    def spendable(self):
        """Marks all turns that could be spent now; what is wrong, or None. Works on a copy: looking ages."""
        cores = {name: twin_core(core) for name, core in self.cores.items()}
        for name, core in cores.items():
            if name == self.paused:
                continue
            row = core.rows["x"]
            core.expire(row, self.clocks[name], self.now)
            for unit in (row.own_unit, *row.borrowed_units.values()):
                if unit.state == "held" and core.can_pay(row, unit, self.now, 1.0):
                    who = (name, core.incarnation)
                    if self.may.setdefault((unit.number, unit.turn), who) != who:
                        first = self.may[unit.number, unit.turn]
                        return f"turn {unit.turn} of unit {unit.number} is spent by {first} and {who}"
        oldest = self.now - 1  # no clock of turns is off here
        self.may = {key: who for key, who in self.may.items() if key[1] >= oldest}
        return None

    def steps(self):
        left = self.left
        if left.ticks:
            yield "tick", None
            if left.drifts:
                for name in NAMES:
                    yield "tick", name
        for n in range(len(self.net)):
            if self.net.index(self.net[n]) == n and self.net[n][1] != self.paused:
                yield "deliver", n
                if left.doubled:
                    yield "double", n
                if left.lost:
                    yield "lose", n
        for name in NAMES:
            if name == self.paused:
                yield "wake", name
                continue
            if left.asks and name != "a":
                yield "ask", name
            own = self.cores[name].rows["x"].own_unit
            if own.state != "held" and self.clocks[name] >= own.expires_at:
                yield "look", name
            if left.crashes:
                yield "crash", name
            if left.pauses and self.paused is None:
                yield "pause", name

    def spend(self, what):
        self.left = self.left._replace(**{what: getattr(self.left, what) - 1})

    def tick(self, slow):
        self.spend("ticks")
        self.now += 1
        for name in NAMES:
            self.clocks[name] += name != slow
        if slow is not None:
            self.spend("drifts")

    def ask(self, name):
        self.spend("asks")
        core = self.cores[name]
        core.rows["x"].refusals = 1
        posts = core.request_units("x", self.clocks[name], self.now, lambda count: ["a"])
        self.net += [(name, post.recipient, post.message, self.lives[post.recipient]) for post in posts]

    def deliver(self, n):
        sender, to, message, life = self.net.pop(n)
        if life == self.lives[to]:
            posts = self.cores[to].receive(self.clocks[to], self.now, sender, message)
            self.net += [(to, post.recipient, post.message, self.lives[post.recipient]) for post in posts]

    def double(self, n):
        self.spend("doubled")
        self.net.append(self.net[n])
        self.deliver(n)

    def lose(self, n):
        self.spend("lost")
        self.net.pop(n)

    def look(self, name):
        core = self.cores[name]
        core.expire(core.rows["x"], self.clocks[name], self.now)

    def pause(self, name):
        self.spend("pauses")
        self.paused = name

    def wake(self, name):
        self.paused = None

    def crash(self, name):
        """Started again at once, with nothing of what it knew."""
        self.spend("crashes")
        self.lives[name] += 1
        old = self.cores[name]
        core = self.cores[name] = type(old)(old.terms, self.lives[name], self.clocks[name])
        core.start("x", 0, 1.0, COLD, self.clocks[name], self.now)


def explore(bounds, make=Shares, most=1 << 60):
    """(states, what was wrong or None, whether the search came to its end)."""
    first = State(make, bounds)
    first.spendable()
    seen, queue = {first.key()}, deque([first])
    while queue:
        before = queue.popleft()
        for step, which in list(before.steps()):
            state = before.twin()
            getattr(state, step)(which)
            wrong = state.spendable()
            if wrong is not None:
                return len(seen), wrong, False
            key = state.key()
            if key not in seen:
                seen.add(key)
                if len(seen) >= most:
                    return len(seen), None, False
                queue.append(state)
    return len(seen), None, True

"""Every interleaving of three subscribers and two lives of a gateway within bounds, over the program's own
gate: a breadth-first search. Bounds: messages lost and doubled, restarts, knocks of each, steps of time. What
is on its way may arrive in any order.
"""

import hashlib
import pickle
from collections import deque
from typing import NamedTuple

from hookrouter.decisions.admission import Arrival, Gate, Terms, messages, tickets

from .gateway import KEY

STEP = 2_000  # 0.2 s: time passes in such steps
KNOCKS = 2  # of each subscriber in a life


class Even:
    """Dice without chance: pickled with the gate."""

    def random(self):
        return 0.0


def narrow(base):
    """The gate with one slot's room before it, so that three make a storm."""
    more = {"near": 1, "__reduce__": lambda gate: (_whole, (base, gate.__dict__))}
    return type(base.__name__, (base,), more)


def _whole(base, values):
    gate = object.__new__(narrow(base))
    gate.__dict__.update(values)
    return gate


class Bounds(NamedTuple):
    subscribers: int = 3
    restarts: int = 1
    lost: int = 1
    doubled: int = 1
    steps: int = 3


class Sub(NamedTuple):
    at: str = "away"  # away, asking, in
    ticket: str = ""
    knocks: int = 0
    conn: int = 0


class State:
    def __init__(self, make, bounds):
        self.left, self.now, self.life, self.conns = bounds, 0, 1, 0
        self.subs = [Sub() for _ in range(bounds.subscribers)]
        self.net = []  # ("come", Come) to the gateway of that life; ("tell", conn, ticket) back
        self.gate, self.busy, self.slots = make(Terms("g", 1, KEY), 0, bounds.subscribers, Even()), None, {}
        self.gate.gather_time = 0
        self.former = {}  # name -> turn: places given by the life before, not used yet
        self.shown = set()  # names that showed it to this life

    def key(self):
        gate = self.gate
        rows = tuple(
            (r.name, r.key, r.base_key, r.transfer, r.lease_end, r.due, r.conn, r.late, r.early)
            for _, r in sorted(gate.queue.rows.items())
        )
        flows = tuple((n, f.tokens, f.refilled_at, f.admitted) for n, f in sorted(gate.flows.items()))
        return (
            self.now,
            self.life,
            self.left,
            tuple(self.subs),
            tuple(sorted(map(repr, self.net))),
            self.busy,
            gate.state,
            rows,
            flows,
            gate.current,
            gate.free_at,
            tuple(sorted(gate.used_tickets)),
            gate.last_number,
            tuple(gate.costs.means.values()),
            tuple(sorted(gate.returned)),
            tuple(sorted(self.former.items())),
            tuple(sorted(self.shown)),
        )

    def carry(self, effects, came=None):
        broken = []
        for effect in effects:
            if isinstance(effect, messages.Admit):
                broken += self._admit(effect)
            elif isinstance(effect, messages.Defer):
                name = self._name(effect.conn)
                if effect.ticket and name is not None:
                    try:
                        ticket = tickets.read(KEY, effect.ticket, name)
                        if self.slots.setdefault((self.life, ticket.number), name) != name:
                            broken.append("two tickets for one slot")
                    except ValueError:
                        broken.append("a ticket that its bearer cannot use")
                self.net.append(("tell", effect.conn, effect.ticket))
            elif came is not None and effect.conn == came.conn and effect.reason != "too often":
                broken.append(f"{came.name} refused: {effect.reason}")
            else:
                self.net.append(("tell", effect.conn, ""))
        if len(self.gate.queue) > len(self.subs):
            broken.append("more places than subscribers")
        return broken

    def _name(self, conn):
        return next((f"s{n}" for n, sub in enumerate(self.subs) if sub.conn == conn), None)

    def _admit(self, effect):
        broken = ["two admissions at a time"] if self.busy is not None else []
        self.busy = effect.conn, effect.name
        turn = self.former.pop(effect.name, None)
        if turn is None or effect.name not in self.shown:
            turn = 1 << 60
        there = {row.name for row in self.gate.queue.rows.values() if row.conn is not None}
        for name in sorted(self.shown & there):
            if name in self.former and self.former[name] < turn:
                broken.append(f"{effect.name} admitted before {name}, which has an older place")
        return broken

    # ---- steps: each gives what broke

    def knock(self, n):
        sub = self.subs[n]
        self.conns += 1
        self.subs[n] = sub._replace(at="asking", knocks=sub.knocks + 1, conn=self.conns)
        self.net.append(
            (
                "come",
                Arrival(self.conns, f"s{n}", messages.SNAPSHOT, messages.NO_LEASE, sub.ticket),
                self.life,
            )
        )
        return []

    def arrive(self, k, twice):
        message = self.net[k] if twice else self.net.pop(k)
        if twice:
            self.left = self.left._replace(doubled=self.left.doubled - 1)
        if message[0] == "come":
            come = message[1]
            if message[2] != self.life:
                return []
            if come.ticket:
                ticket = tickets.read(KEY, come.ticket, come.name)
                if ticket.incarnation != self.life and come.name in self.former:
                    self.shown.add(come.name)
            return self.carry(self.gate.arrived(self.now, come), come)
        for n, sub in enumerate(self.subs):
            if sub.conn == message[1] and sub.at == "asking":
                self.subs[n] = sub._replace(at="away", ticket=message[2] or sub.ticket)
        return []

    def lose(self, k):
        self.left = self.left._replace(lost=self.left.lost - 1)
        message = self.net.pop(k)
        conn = message[1].conn if message[0] == "come" else message[1]
        for n, sub in enumerate(self.subs):  # it notices by silence
            if sub.conn == conn and sub.at == "asking":
                self.subs[n] = sub._replace(at="away")
        if self.busy is not None and self.busy[0] == conn:  # the other of two had been admitted
            self.busy = None
        return self.carry(self.gate.disconnected(self.now, conn))

    def end(self):
        (conn, name), self.busy = self.busy, None
        n = int(name[1:].partition("/")[0])
        if self.subs[n].conn == conn:
            self.subs[n] = self.subs[n]._replace(at="in", ticket="")
        return self.carry(self.gate.completed(self.now, conn))

    def wait(self):
        self.left = self.left._replace(steps=self.left.steps - 1)
        self.now += STEP
        return self.carry(self.gate.tick(self.now))

    def restart(self, make):
        self.left = self.left._replace(restarts=self.left.restarts - 1)
        self.life += 1
        self.gate = make(Terms("g", self.life, KEY), self.now, len(self.subs), Even())
        self.gate.gather_time = 0
        self.busy, self.net, self.slots, self.shown = None, [], {}, set()
        self.former = {}
        for n, sub in enumerate(self.subs):
            self.subs[n] = sub = sub._replace(at="away", knocks=0)
            if sub.ticket:
                self.former[f"s{n}"] = tickets.read(KEY, sub.ticket, f"s{n}").turn
        return []

    def steps(self, make):
        left = self.left
        for n, sub in enumerate(self.subs):
            if sub.at == "away" and sub.knocks < KNOCKS:
                yield "knock", n
        for k in range(len(self.net)):
            yield "arrive", k, False
            if left.doubled:
                yield "arrive", k, True
            if left.lost:
                yield "lose", k
        if self.busy is not None:
            yield ("end",)
        if left.steps:
            yield ("wait",)
        if left.restarts:
            yield "restart", make


def search(base=Gate, bounds=None, most=10**7):
    """(states, what broke first or None, whether all was seen)."""
    make = narrow(base)
    first = State(make, bounds or Bounds())
    seen, todo = {hash_of(first)}, deque([pickle.dumps(first)])
    while todo:
        kept = todo.popleft()
        for step in list(pickle.loads(kept).steps(make)):
            state = pickle.loads(kept)
            broken = getattr(state, step[0])(*step[1:])
            if broken:
                return len(seen), broken[0], False
            mark = hash_of(state)
            if mark not in seen:
                if len(seen) >= most:
                    return len(seen), None, False
                seen.add(mark)
                todo.append(pickle.dumps(state))
    return len(seen), None, True


def hash_of(state):
    return hashlib.blake2b(repr(state.key()).encode(), digest_size=12).digest()

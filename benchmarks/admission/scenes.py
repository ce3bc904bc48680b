"""Scenes that each ask one thing of the gate, the comer or the overflow; a scene gives what broke in it."""

from random import Random

import msgspec

from hookrouter.decisions.admission import Arrival, Gate, Reconnector, Terms, messages, reconnect, tickets
from hookrouter.decisions.admission.overflow import NeighbourQueue, Overflow

from .gateway import KEY
from .schedule import fall
from .world import Faults, World

COST = 200  # 20 ms an admission
SECOND = 10_000


class Desk:
    """A gate, and comers that stay where they are or come when told; an admission takes its cost."""

    def __init__(self, make=Gate, known=0, life=2, cost=COST):
        self.gate = make(Terms("g", life, KEY), 0, known, Random(3))
        self.now, self.cost, self.conns, self.order, self.ends = 0, cost, {}, [], []
        self.shut, self.due, self.tells, self.most = [], {}, 0, 0
        self.slots, self.shared = {}, []  # number of a ticket -> whose

    def come(self, name, left=messages.NO_LEASE, ticket=""):
        conn = len(self.conns) + 1
        self.conns[conn] = name, self.now + left
        self._carry(self.gate.arrived(self.now, Arrival(conn, name, messages.SNAPSHOT, left, ticket)))

    def _carry(self, effects):
        for effect in effects:
            name, until = self.conns[effect.conn]
            if isinstance(effect, messages.Admit):
                self.order.append((self.now, name))
                self.ends.append((self.now + self.cost, effect.conn))
                self.most = max(self.most, len(self.ends))
            elif isinstance(effect, messages.Close):
                self.shut.append(effect.conn)
            elif name != "rude":
                self.tells += 1
                number = tickets._decode(bytes.fromhex(effect.ticket)[tickets.SEAL_BYTES :]).number
                if self.slots.setdefault(number, name) != name:
                    self.shared.append(number)
                self.due[name] = self.now + effect.wait, until, effect.ticket

    def run(self, span):
        for _ in range(span // 10):
            self.now += 10
            over = [end for end in self.ends if end[0] <= self.now]
            self.ends = [end for end in self.ends if end[0] > self.now]
            for _, conn in over:
                self._carry(self.gate.completed(self.now, conn))
            self._carry(self.gate.tick(self.now))
            for name, (at, until, shown) in sorted(self.due.items()):
                if at <= self.now:
                    del self.due[name]
                    self.come(name, max(until - self.now, messages.NO_LEASE), shown)

    def names(self):
        return [name for _, name in self.order]


def ticket(name, turn, life=1):
    return tickets.write(KEY, tickets.Ticket("g", life, turn + 1, turn, name))


def urgent_first(make=Gate):
    desk = Desk(make, known=40)
    for n in range(35):
        desk.come(f"n{n}", ticket=ticket(f"n{n}", n))
    for n in range(5):
        desk.come(f"u{n}", left=5_000 - n * 100)
    desk.run(2 * SECOND)
    late = [name for at, name in desk.order if name[0] == "u" and at + COST > 5_000]
    wrong = [name for name in desk.names() if name[0] == "u"] != ["u4", "u3", "u2", "u1", "u0"]
    return [f"urgent ones late: {late}, order {desk.names()[:8]}"] if late or wrong else []


def kept(make=Gate):
    """Three times what can be kept comes, its leases evenly spread: most of what can be kept is."""
    desk = Desk(make, known=0)
    ends = {f"u{n}": 400 + n * 67 for n in range(120)}  # one each 6.7 ms, an admission takes 20
    for name, left in ends.items():
        desk.come(name, left)
    desk.run(3 * SECOND)
    kept = sum(at + COST <= ends[name] for at, name in desk.order)
    return [f"{kept} leases kept of 40 that can be"] if kept < 28 else []


def kept_as_it_slows(make=Gate):
    """An admission takes five times as long all at once: those that are late by it are not begun in vain."""
    desk = Desk(make)
    ends = {f"u{n}": 1_700 + n * 300 for n in range(60)}
    for name, left in ends.items():
        desk.come(name, left)
    desk.run(1_000)
    desk.cost = 1_000
    desk.run(4 * SECOND)
    kept = sum(at + (COST if at < 1_000 else 1_000) <= ends[name] for at, name in desk.order if name in ends)
    return [f"{kept} leases kept of 22 that can be"] if kept < 16 else []


def former_keep_order(make=Gate):
    desk = Desk(make, known=12)
    for n in range(6):
        desk.come(f"n{n}")
    for n in (4, 2, 5, 0, 3, 1):
        desk.come(f"f{n}", ticket=ticket(f"f{n}", n))
    desk.run(2 * SECOND)
    wanted = ["n0", *(f"f{n}" for n in range(6)), *(f"n{n}" for n in range(1, 6))]
    return [] if desk.names() == wanted else [f"{desk.names()}"]


def sealed_only(make=Gate):
    desk = Desk(make, known=5)
    for n in range(3):
        desk.come(f"f{n}", ticket=ticket(f"f{n}", n + 5))
    forged = b"\0" * 16 + msgspec.msgpack.encode(["g", 1, 1, 0, "x"])
    desk.come("x", ticket=forged.hex())
    desk.come("y", ticket=ticket("f9", 0))  # another's
    desk.run(SECOND)
    return [] if desk.names()[:3] == ["f0", "f1", "f2"] else [f"{desk.names()}"]


def used_once(make=Gate):
    desk = Desk(make, known=5)
    shown = ticket("f", 0)
    desk.come("f", ticket=shown)
    desk.run(300)
    for n in range(3):
        desk.come(f"n{n}")
    desk.come("f", ticket=shown)
    desk.run(SECOND)
    return [] if desk.names() == ["f", "n0", "n1", "n2", "f"] else [f"{desk.names()}"]


def one_at_a_time(make=Gate):
    desk = Desk(make, known=30)
    for n in range(30):
        desk.come(f"n{n}")
    desk.run(2 * SECOND)
    twice = len(desk.names()) != len(set(desk.names()))
    return [f"{desk.most} at a time"] if desk.most > 1 or twice else []


def waits_by_measured_cost(make=Gate):
    """All that were told come when told: few are told thrice, and the gate is never without one."""
    found = []
    for cost in (100, 1_000):
        desk = Desk(make, known=60, cost=cost)
        for n in range(60):
            desk.come(f"n{n}")
        while len(desk.order) < 60 and desk.now < 12 * SECOND:
            desk.run(10)
        if desk.shared:
            found.append(f"slots of two: {desk.shared[:3]}")
        if desk.now > 1.25 * 60 * cost or desk.tells > 200:
            found.append(f"cost {cost}: all back after {desk.now}, told {desk.tells} times")
    return found


def rude_costs_little(make=Gate):
    desk = Desk(make, known=20)
    for n in range(19):
        desk.come(f"n{n}")
    for _ in range(200):  # twenty seconds of knocks in one
        desk.come("rude")
        desk.run(50)
    answered = 200 - len(desk.shut)
    found = [f"{answered} of 200 knocks taken in"] if answered > 10 else []
    if desk.names().count("rude") > 4 or len(desk.gate.queue) > 20:
        found.append(f"admitted {desk.names().count('rude')} times, {len(desk.gate.queue)} places")
    return found


def not_on_one_beat(make=Reconnector):
    """A split heals: 400 that lost their gateway at one moment come back spread."""
    dice, knocks = Random(5), []
    for _ in range(400):
        one, at = make(dice, 400), 0
        one.state = reconnect.UP
        wait = one.step(reconnect.ENDED)
        while at < 2 * SECOND:
            at += wait
            knocks.append(at)
            one.step(reconnect.CONNECT)
            wait = one.step(reconnect.NO_ANSWER)
    most = max(sum(a <= at < a + 200 for at in knocks) for a in range(0, SECOND, 100))
    return [f"{most} of 400 within 20 ms"] if most > 120 else []


def overflow_within_room(make=Overflow):
    there = make("g")
    there.update(0, [NeighbourQueue("h", 0, 10, 100.0, 0), NeighbourQueue("old", 0, 1_000, 100.0, 60_000)])
    sent = [there.pick(10, 500, 50.0) for _ in range(200)]
    return [] if sent.count("h") == 10 and sent.count("old") == 0 else [f"{sent.count('h')} sent for 10"]


def given_what_is_needed(make=Gate):
    """The order moves on by more than a tail holds while a short tail is waited for."""
    found = []
    for seed in range(3):
        world = World(
            seed,
            60,
            snapshots=0.0,
            purges=9.0,
            cost=(200, 300),
            faults=Faults(bursts=9.0),
            make_gate=make,
            trusts_arrival=getattr(make, "trusts_arrival", False),
        )
        world.begin()
        world.engine.run(SECOND // 2)
        found += world.judge.breaks[:1]
    return found


def slots_and_leases_told(make=Gate):
    """A plain storm, and one more start in it: no slot is two's, who will be fenced is told so."""
    world = World(4, 60, make_gate=make)
    world.begin()
    world.engine.after(4_000, fall, world, world.gateways[0], 2_000)
    world.all_back(20 * SECOND)
    return world.judge.breaks[:2]


GATE = (
    urgent_first,
    kept,
    kept_as_it_slows,
    given_what_is_needed,
    slots_and_leases_told,
    former_keep_order,
    sealed_only,
    used_once,
    one_at_a_time,
    waits_by_measured_cost,
    rude_costs_little,
)


def scenes_of(mistake=None):
    """(name, what broke) of each scene that concerns what that mistake is made in; none: of all."""
    base = mistake or Gate
    if issubclass(base, Gate):
        yield from ((scene.__name__, scene(base)) for scene in GATE)
    if mistake is None or issubclass(base, Reconnector):
        yield not_on_one_beat.__name__, not_on_one_beat(mistake or Reconnector)
    if mistake is None or issubclass(base, Overflow):
        yield overflow_within_room.__name__, overflow_within_room(mistake or Overflow)

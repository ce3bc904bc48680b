"""A made-up fleet whose gateway restarts: the program's gate, comers, leases and order of purges, on the
lab's engine; reactor, network and clocks are played here. Times are tenths of a millisecond of true time.
"""

from random import Random
from typing import NamedTuple

from hookrouter.decisions.admission import Gate, Reconnector, messages
from hookrouter.lab.engine import Engine

from .gateway import Gateway
from .judge import Judge
from .order import RECENT, Order
from .reactor import Reactor
from .subscriber import FullJitter, Naive, Subscriber

SECOND = 10_000
OLD = 400  # purges before the day begins: the tail reaches back some of them


class Faults(NamedTuple):
    """Shares and rates a second; all nothing in a plain storm."""

    loss: float = 0.0  # of renewals, their answers and what a gateway tells
    doubled: float = 0.0
    cuts: float = 0.0  # of each connection
    one_way: float = 0.0  # share of cuts that only the gateway does not see
    pauses: float = 0.0  # of each subscriber
    drift: float = 0.0
    liars: float = 0.0  # share that show wrong tickets and leases
    bursts: float = 0.0  # a second: of more purges than a tail holds


class World:
    def __init__(
        self,
        seed,
        subscribers=100,
        way="gate",
        snapshots=0.5,
        rude=0.0,
        gateways=1,
        purges=2.0,
        cost=(20, 200),
        faults=None,
        make_gate=Gate,
        make_comer=Reconnector,
        trusts_arrival=False,
    ):
        """way: gate, naive or jitter. snapshots: share that needs one. cost: of tail and snapshot."""
        self.engine, self.dice = Engine(), Random(seed)
        self.faults, self.make_gate, self.trusts_arrival = faults or Faults(), make_gate, trusts_arrival
        self.gated, self.cost, self.purges, self.knocks = way == "gate", cost, purges, 0
        self.judge = Judge(self)
        self.order = Order(self, OLD)
        self.gateways = [Gateway(self, f"g{n}", Reactor(self.engine), gateways == 1) for n in range(gateways)]
        self.subs, self.is_back = [], {}  # is_back: subscriber -> when it was
        for number in range(subscribers):
            kind = {"naive": Naive, "jitter": FullJitter}.get(way, make_comer)
            if self.dice.random() < rude:
                kind = Naive
            n = OLD - 200 if self.dice.random() < snapshots else OLD - self.dice.randint(0, 40)
            sub = Subscriber(self, number, kind(self.dice, subscribers), n)
            sub.liar = self.dice.random() < self.faults.liars
            sub.drift = 1 + self.dice.uniform(-1, 1) * self.faults.drift
            self.subs.append(sub)
            self.order.names[sub.name] = 1
        self.order.begin()
        self.taken = []  # tickets that were told: what liars show

    # ---- dice

    def delay(self):
        return self.dice.randint(3, 15)

    def work_of(self, how):
        return int(self.cost[how == messages.SNAPSHOT] * self.dice.uniform(0.7, 1.3))

    def lost_message(self):
        return self.dice.random() < self.faults.loss

    def copies(self):
        return 2 if self.dice.random() < self.faults.doubled else 1

    def queues_told(self):
        return not self.lost_message()

    def lied(self, sub, ticket):
        if not sub.liar or not self.dice.random() < 0.7:
            return ticket
        if ticket and self.dice.random() < 0.3:
            return ticket[:-2] + "00"
        return self.dice.choice(self.taken[-50:]) if self.taken else "ab" * 40

    def lied_left(self, sub, left):
        return self.dice.choice((0, 1, 500, 20_000)) if sub.liar else left

    # ---- the network

    def down(self, conn, word, *args):
        if word in ("told", "purge", "beat") and self.lost_message():
            if word != "told":  # a stream that lost a byte is over
                self.engine.after(self.delay(), conn.sub.came, conn, "reset")
                gateway = conn.sub.gateway
                self.engine.after(self.delay(), gateway.gone, conn)
            return
        conn.last = max(conn.last, self.engine.now + self.delay())  # a connection keeps its order
        self.engine.after(conn.last - self.engine.now, conn.sub.came, conn, word, *args)

    # ---- what is seen

    def saw_admit(self, gateway, effect):
        self.judge.admit(gateway, effect)

    def saw_tell(self, gateway, effect, conn):
        if effect.ticket:
            self.taken.append(effect.ticket)
        self.judge.tell(gateway, effect, conn)

    def back(self, sub):
        self.is_back[sub] = self.engine.now

    # ---- a day

    def begin(self, up_at=0):
        """All are away; the gateways start then."""
        for gateway in self.gateways:
            self.engine.after(up_at, gateway.start)
        for sub in self.subs:
            self.engine.after(self.dice.randint(0, 300), sub.lost, "ended")
            self.engine.after(self.dice.randint(0, 5_000), sub.renewing)
        if self.purges:
            self.engine.after(self.dice.randint(0, int(SECOND / self.purges)), self._purge)
        self.engine.after(100, self._look)
        if self.faults.cuts or self.faults.pauses:
            self.engine.after(0, self._trouble)

    def _purge(self):
        if any(gateway.up for gateway in self.gateways):
            for _ in range(RECENT + 5 if self.dice.random() * self.purges < self.faults.bursts else 1):
                purge = self.order.submit()
                for gateway in self.gateways:
                    if gateway.up:
                        gateway.tell(purge)
        self.engine.after(int(self.dice.expovariate(self.purges) * SECOND), self._purge)

    def _look(self):
        if any(gateway.up for gateway in self.gateways):
            self.order.look()
        self.judge.look()
        self.engine.after(100, self._look)

    def _trouble(self):
        step, faults = 1_000, self.faults
        for sub in self.subs:
            if sub.conn is not None and self.dice.random() < faults.cuts * step / SECOND:
                conn, gateway = sub.conn, sub.gateway
                self.engine.after(self.delay(), sub.came, conn, "reset")
                if self.dice.random() >= faults.one_way:
                    self.engine.after(self.delay(), gateway.gone, conn)
            if self.dice.random() < faults.pauses * step / SECOND:
                sub.paused_until = max(sub.paused_until, self.engine.now + self.dice.randint(100, 3 * SECOND))
        self.engine.after(step, self._trouble)

    def all_back(self, limit, who=None):
        """Runs until all are back, by steps of 10 ms; the moment, or the limit."""
        who = self.subs if who is None else who
        while self.engine.now < limit:
            if all(sub in self.is_back for sub in who):
                return max(self.is_back[sub] for sub in who)
            self.engine.run(self.engine.now + 100)
        return limit

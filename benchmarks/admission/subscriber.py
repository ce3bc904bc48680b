"""A subscriber of the made-up fleet: a place in the order, a lease, and its way back."""

from hookrouter.decisions.admission import reconnect
from hookrouter.purges.fence import CURRENT, Fence

from .gateway import RENEW, Conn
from .order import LEASE

SILENCE = 18_000  # 1.8 s without a byte, as the program's follower
FIRST, LONGEST = 500, 4_000  # 50 ms doubled to 0.4 s: the program without admission
JITTER_BASE, JITTER_CAP = 1_000, 100_000  # full jitter: 0.1 s doubled to 10 s


class Naive:
    """The program's pauses without admission: told nothing, obeys nothing."""

    ticket, late = "", False

    def __init__(self, dice, fleet=1):
        self.pause = FIRST

    def step(self, word, *told):
        if word == reconnect.ADMITTED:
            self.pause = FIRST
        elif word in (reconnect.NO_ANSWER, reconnect.DEFERRED, reconnect.ENDED):
            pause, self.pause = self.pause, min(LONGEST, 2 * self.pause)
            return pause
        return None


class FullJitter(Naive):
    """AWS's full jitter: uniform from nothing to a doubling cap."""

    def __init__(self, dice, fleet=1):
        self.dice, self.pause = dice, JITTER_BASE

    def step(self, word, *told):
        if word == reconnect.ADMITTED:
            self.pause = JITTER_BASE
        elif word in (reconnect.NO_ANSWER, reconnect.DEFERRED, reconnect.ENDED):
            cap, self.pause = self.pause, min(JITTER_CAP, 2 * self.pause)
            return int(self.dice.uniform(0, cap))
        return None


class Subscriber:
    def __init__(self, world, number, comer, n):
        self.world, self.name, self.number = world, f"s{number:04d}", number
        self.comer, self.n, self.fence = comer, n, Fence(LEASE)
        self.gateway = world.gateways[number % len(world.gateways)]
        self.conn, self.tries, self.nothing = None, 0, 0
        self.paused_until, self.heard, self.epoch = 0, 0, 0
        self.drift = 1.0
        self.polite = not isinstance(comer, Naive)
        self.fenced_at, self.was = None, False

    def clock(self):
        return int(self.world.engine.now * self.drift)

    # ---- the way back

    def lost(self, word=reconnect.ENDED):
        if self.conn is not None:
            self.conn = None
        wait = self.comer.step(word)
        self.tries += 1
        self.world.engine.after(0 if wait is None else wait, self._go, self.tries)

    def _go(self, tries):
        if tries != self.tries or self.conn is not None:
            return
        world = self.world
        if self.paused():
            world.engine.after(self.paused_until - world.engine.now, self._go, tries)
            return
        self.comer.step(reconnect.CONNECT)
        world.knocks += 1
        self.conn = conn = Conn(world.knocks, self)
        self.fence.at(self.clock())
        ticket = world.lied(self, self.comer.ticket)
        left = world.lied_left(self, self.fence.left())
        self.heard = world.engine.now
        for _ in range(world.copies()):
            world.engine.after(world.delay(), self.gateway.comes, conn, self.n, left, ticket)
        world.engine.after(SILENCE, self._silent, conn)

    def _silent(self, conn):
        if conn is self.conn:
            due = self.heard + SILENCE - self.world.engine.now
            if due > 0 or self.paused():
                self.world.engine.after(max(due, 1), self._silent, conn)
                return
            self.world.engine.after(self.world.delay(), self.gateway.gone, conn)
            self._nothing(conn)

    def _nothing(self, conn):
        self.nothing += 1
        if self.nothing % 3 == 0:  # elsewhere, with the same ticket
            at = self.world.gateways.index(self.gateway) + 1
            self.gateway = self.world.gateways[at % len(self.world.gateways)]
        self.lost(reconnect.ENDED if conn.streaming else reconnect.NO_ANSWER)

    def paused(self):
        return self.world.engine.now < self.paused_until

    # ---- what comes

    def came(self, conn, word, *args):
        if conn is not self.conn:
            return
        if self.paused():
            self.world.engine.after(self.paused_until - self.world.engine.now, self.came, conn, word, *args)
            return
        self.heard = self.world.engine.now
        if word in ("refused", "reset"):
            self._nothing(conn)
        elif word == "told":
            self._told(*args)
        elif word == "whole":
            self.n, self.epoch = args
            self.nothing = 0
            self.comer.step(reconnect.ADMITTED)
            self.renew_soon()
        elif word == "purge":
            if args[0] == self.n + 1:
                self.n = args[0]
                self.renew_soon()
            elif args[0] > self.n + 1:
                self._cut(conn)
        elif args[0] > self.n:  # a beat that knows more than was told: something was lost
            self._cut(conn)

    def _cut(self, conn):
        self.world.engine.after(self.world.delay(), self.gateway.gone, conn)
        self.lost(reconnect.ENDED)

    def _told(self, wait, ticket, late, fleet, elsewhere):
        self.conn, self.nothing = None, 0
        self.tries += 1
        wait = self.comer.step(reconnect.DEFERRED, wait, ticket, late, fleet)
        if elsewhere and self.polite:
            self.gateway = next(g for g in self.world.gateways if g.name == elsewhere)
            wait = min(wait or 0, 500)
        self.world.engine.after(wait or 0, self._go, self.tries)

    # ---- the lease

    def renewing(self):
        self.renew_soon()
        self.world.engine.after(LEASE // 4, self.renewing)

    def renew_soon(self):
        world = self.world
        if self.paused() or world.lost_message():
            return
        world.engine.after(world.delay(), self._renew, self.clock(), self.n, self.gateway, self.gateway.life)

    def _renew(self, asked, n, gateway, life):
        if not gateway.up or gateway.life != life:
            return

        def ended():
            span = self.world.order.renew(self.name, 1, n)
            if span is not None and not self.world.lost_message():
                self.world.engine.after(self.world.delay(), self._granted, asked, span)

        gateway.reactor.add(RENEW, ended)

    def _granted(self, asked, span):
        if self.paused():
            self.world.engine.after(self.paused_until - self.world.engine.now, self._granted, asked, span)
            return
        self.fence.at(self.clock())
        self.fence.granted(asked, span)

    def unfenced(self):
        """As it would answer a lookup now: the clock first."""
        if self.paused():
            return False
        self.fence.at(self.clock())
        return self.fence.state == CURRENT

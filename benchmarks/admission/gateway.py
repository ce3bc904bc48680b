"""A gateway of the made-up fleet: connections, the gate (or none), what its reactor has to do for each."""

from hookrouter.decisions.admission import Arrival, Terms, messages, tickets
from hookrouter.decisions.admission.overflow import NeighbourQueue, Overflow

KNOCK, SHUT, RENEW = 3, 1, 1  # 0.3 ms for a call that is answered, 0.1 ms to close one, 0.1 ms for a renewal
TICK = 100  # 10 ms
BEAT = 5_000  # 0.5 s
KEY = tickets.derive_key(b"made-up secret of the world")


class Conn:
    """A subscriber's connection. open: as this side sees it; a cut is seen later by the other."""

    __slots__ = ("id", "sub", "how", "admitted", "streaming", "open", "begun", "last")

    def __init__(self, number, sub):
        self.id, self.sub, self.how = number, sub, None
        self.admitted = self.streaming = False
        self.open, self.begun, self.last = True, None, 0


class Gateway:
    def __init__(self, world, name, reactor, own_order):
        self.world, self.name, self.reactor = world, name, reactor
        self.own_order = own_order  # whether the order's life is this one's
        self.life, self.up, self.gate, self.conns, self.beats = 0, False, None, {}, 0
        self.admissions = []  # (when begun, work, subscriber, how)
        self.woken = None

    # ---- lives

    def start(self):
        world = self.world
        self.life, self.up, self.conns, self.woken = self.life + 1, True, {}, None
        if self.own_order:
            world.order.begin()
        if world.gated:
            terms = Terms(self.name, self.life, KEY)
            known = len(world.order.names) // len(world.gateways)
            self.overflow = Overflow(self.name)
            self.gate = world.make_gate(terms, world.engine.now, known, world.dice, self.overflow.pick)
            world.engine.after(TICK, self._tick, self.life)
        world.engine.after(BEAT, self._beat, self.life)

    def kill(self):
        self.up, self.gate = False, None
        self.reactor.clear()
        self.world.judge.killed(self)
        for conn in list(self.conns.values()):
            conn.open = False
            self.world.down(conn, "reset")
        self.conns = {}

    def _tick(self, life):
        if life == self.life and self.up:
            now = self.world.engine.now
            self.overflow.update(
                now,
                [
                    NeighbourQueue(other.name, *other.gate.load(), 0)
                    for other in self.world.gateways
                    if other.up and other is not self and self.world.queues_told()
                ],
            )
            self._carry(self.gate.tick(now))
            self.world.engine.after(TICK, self._tick, life)

    def _wake(self, life):
        if life == self.life and self.up:
            self.woken = None
            self._carry(self.gate.admit_next(self.world.engine.now))

    def _beat(self, life):
        if life == self.life and self.up:
            for conn in self.conns.values():
                if conn.streaming:
                    self.world.down(conn, "beat", self.world.order.tail.newest.n)
            self.world.engine.after(BEAT, self._beat, life)

    # ---- what comes

    def comes(self, conn, n, left, ticket):
        """A request for the feed has come, or the second of two that are one."""
        if not self.up:
            self.world.down(conn, "refused")
            return
        self.conns[conn.id] = conn
        self.reactor.add(KNOCK, lambda: self._asked(conn, n, left, ticket), lambda: conn.open)

    def _asked(self, conn, n, left, ticket):
        if conn.admitted or not self.up:
            return
        self.world.judge.asked(self, conn, left, ticket)
        conn.how = messages.TAIL if self.world.order.resumes(n) else messages.SNAPSHOT
        conn.begun = n
        if self.gate is None:
            self._admit(conn)
            return
        self._carry(
            self.gate.arrived(self.world.engine.now, Arrival(conn.id, conn.sub.name, conn.how, left, ticket))
        )

    def _carry(self, effects):
        for effect in effects:
            conn = self.conns.get(effect.conn)
            if isinstance(effect, messages.Admit):
                self.world.saw_admit(self, effect)
                if conn is None or not conn.open:
                    self._carry(self.gate.disconnected(self.world.engine.now, effect.conn))
                else:
                    self._admit(conn, effect.transfer)
            elif conn is not None and isinstance(effect, messages.Defer):
                self.world.saw_tell(self, effect, conn)
                self.world.down(
                    conn, "told", effect.wait, effect.ticket, effect.late, effect.fleet_size, effect.elsewhere
                )
                self._forget(conn)
            elif conn is not None:
                self.reactor.add(SHUT, lambda: None)
                self.world.down(conn, "reset")
                self._forget(conn)
        wake = None if self.gate is None else self.gate.next_wake(self.world.engine.now)
        if wake is not None and wake != self.woken:
            self.woken = wake
            self.world.engine.after(wake - self.world.engine.now, self._wake, self.life)

    def _forget(self, conn):
        conn.open = False
        self.conns.pop(conn.id, None)
        self.world.judge.over(self, conn)

    def _admit(self, conn, how=None):
        truly = messages.TAIL if self.world.order.resumes(conn.begun) else messages.SNAPSHOT
        given = truly if how is None or not self.world.trusts_arrival else how
        if self.gate is not None:
            self.gate.set_transfer(self.world.engine.now, given)
        conn.admitted, conn.how = True, given
        work = self.world.work_of(given)
        self.admissions.append((self.world.engine.now, work, conn.sub, given))
        if given == messages.TAIL and truly == messages.SNAPSHOT:
            self.world.judge.broke(f"{conn.sub.name} given a tail where a snapshot was needed")
        self.reactor.add(work, lambda: self._given(conn), lambda: conn.open)

    def _given(self, conn):
        if conn.open:
            conn.streaming = True
            self.world.judge.over(self, conn)
            self.world.down(conn, "whole", self.world.order.tail.newest.n, self.world.order.epoch)
            self.world.back(conn.sub)
        if self.gate is not None:
            self._carry(self.gate.completed(self.world.engine.now, conn.id))

    def gone(self, conn):
        """This side sees that the connection is over."""
        if conn.open:
            self._forget(conn)
            if self.gate is not None:
                self._carry(self.gate.disconnected(self.world.engine.now, conn.id))

    def tell(self, purge):
        for conn in self.conns.values():
            if conn.streaming:
                self.world.down(conn, "purge", purge.n)

"""A made-up location: caches that keep copies, warm up and fall, parents, an origin; lookups by Zipf's law.

A router picks as the design says: the top of a name's two candidates that the cold allowance lets it reach.
Simulated time and servers; sizes in KB, times in tenths of a millisecond.
"""

from random import Random

from hookrouter.decisions.warming import Allowance, Sketch
from hookrouter.decisions.warming.pace import ColdCapacity
from hookrouter.decisions.warming.rank import hash_key, rank
from hookrouter.lab.engine import Engine
from hookrouter.lab.stations import Link, LruCache
from hookrouter.lab.theory import zipf

FLOW = 0.5  # KB in a tenth of a millisecond: one transfer at full pace
FLOWS = 12  # transfers at full pace that an edge's link carries
PARENT_FLOWS, ORIGIN_FLOWS = 40, 12
HOP, FAR = 20, 600  # to a neighbour or parent 2 ms, to the origin 60 ms
SHARE, SPAN, MULTIPLE, FALL = 0.3, 150_000, 2.5, 10_000  # of the cold rule: 0.3 at first, full in 15 s
BORNE = 0.5  # of the multiple, as control's COLD_PACE: what all routers' sends together bring
BURST = 1_000
SIZE = 100.0  # KB, the mean
BUDGET = 3_000  # 300 ms


class Server:
    """A cache, a parent or the origin (which holds all)."""

    def __init__(self, engine, name, room, flows, born=None):
        self.name, self.copies, self.flows, self.born = name, LruCache(room), flows, born
        self.link = Link(engine, flows * FLOW, FLOW)
        self.window, self.fell, self.ready, self.pending = [], 0, True, {}

    def able(self, now):
        if self.born is None:
            return 1.0
        return min(1.0, SHARE + (1 - SHARE) * (now - self.born) / SPAN)

    def cold(self, now):
        return self.able(now) < 1.0

    def worked(self, now, work):
        """Pushed over where a second's work is beyond the multiple of what it is able to."""
        if not self.cold(now):
            return
        self.window = [row for row in self.window if row[0] > now - FALL] + [(now, work)]
        if sum(row[1] for row in self.window) > MULTIPLE * self.able(now) * self.flows * FALL:
            self.fell += 1


class Location:
    """routers: how many count what is asked; names, exponent: of Zipf's law; room: KB of an edge cache."""

    def __init__(
        self,
        seed,
        caches=10,
        routers=8,
        names=12_000,
        exponent=0.9,
        room=50_000.0,
        rate=0.15,
        parent_room=250_000.0,
        equal=False,
        wanted=None,
    ):
        self.engine, self.dice = Engine(), Random(seed)
        self.rate, self.names = rate, names
        self.weights = zipf(names, exponent)
        self.sizes = [
            SIZE if equal else min(20 * SIZE, SIZE * self.dice.lognormvariate(-0.5, 1.0))
            for _ in range(names)
        ]
        self.caches = {f"c{n}": Server(self.engine, f"c{n}", room, FLOWS) for n in range(caches)}
        self.parents = {name: Server(self.engine, name, parent_room, PARENT_FLOWS) for name in ("p0", "p1")}
        self.origin = Link(self.engine, ORIGIN_FLOWS * FLOW, FLOW)
        self.room, self.sketches = room, [Sketch() for _ in range(routers)]
        self.ranks, self.allowances, self.turns = {}, {}, []
        self.rows = []  # (came, name, top, hit, took)
        self.origin_fills, self.purged_served, self.purges = [], 0, {}
        self.fills = {}  # of warmings: source -> how many
        self.on_answer = lambda server, late: None
        self._draw_ahead()

    def _draw_ahead(self):
        self.ahead = self.dice.choices(range(self.names), weights=self.weights, k=4_096)

    # ---- placing

    def candidates(self, n):
        """The caches that keep that name, by the shared hash."""
        found = self.ranks.get(n)
        if found is None:
            found = self.ranks[n] = tuple(rank(hash_key(f"o{n}", 0), self.caches)[:2])
        return found

    def changed(self):
        self.ranks.clear()

    def replace(self, old, new):
        """The old is gone at once, the new is there, empty and cold."""
        del self.caches[old]
        now = self.engine.now
        self.caches[new] = Server(self.engine, new, self.room, FLOWS, now)
        self.allowances[new] = Allowance(
            ColdCapacity(SHARE, SPAN, MULTIPLE * BORNE * FLOWS, BURST), now, 1, now
        )
        self.changed()

    # ---- lookups

    def start(self, until):
        self.until = until
        self._next()

    def _next(self):
        if self.engine.now >= self.until:
            return
        self.engine.after(max(1, round(self.dice.expovariate(self.rate))), self._come)

    def _come(self):
        self._next()
        if not self.ahead:
            self._draw_ahead()
        n = self.ahead.pop()
        self.dice.choice(self.sketches).record(("page", f"o{n}", 0), self.sizes[n] * 1_000)
        top, second = self.candidates(n)
        self.look(n, top if self._affords(top, n) else second, top)

    def _affords(self, name, n):
        """Lookups first: all that the cold rule bears is theirs."""
        allowance, cost = self.allowances.get(name), self.sizes[n] / FLOW
        if allowance is None or not self.caches[name].cold(self.engine.now):
            return True
        allowance._refill(self.engine.now)
        if allowance.balance < cost:
            return False
        allowance.spend_lookup(self.engine.now, cost)
        return True

    def look(self, n, target, top):
        came, server = self.engine.now, self.caches[target]
        hit = server.copies.find(n, self.purges.get(n, 0)) is not None
        self.engine.after(HOP, self._at, server, n, hit, came, top)

    def _at(self, server, n, hit, came, top):
        server.worked(self.engine.now, self.sizes[n] / FLOW)
        if hit:
            server.link.carry(self.sizes[n], self._answer, server, n, True, came, top)
        else:
            self.fill(server, n, self.parent(n), self._filled, server, n, came, top)

    def _filled(self, made, server, n, came, top):
        server.copies.keep(n, self.sizes[n], made)
        server.link.carry(self.sizes[n], self._answer, server, n, False, came, top)

    def _answer(self, server, n, hit, came, top):
        took = self.engine.now - came
        self.rows.append((came, n, top, hit, took))
        self.on_answer(server, took > BUDGET + 2 * self.sizes[n] / FLOW)

    # ---- fills

    def parent(self, n):
        return self.parents[rank(hash_key(f"o{n}", 0), self.parents)[0]]

    def fill(self, server, n, source, done, *args):
        """One at a time for each name and cache; those that come meanwhile join it."""
        waiting = server.pending.get(n)
        if waiting is not None:
            waiting.append((done, args))
            return
        server.pending[n] = [(done, args)]
        if source is not None and source.name in self.caches and source.copies.find(n) is None:
            source = self.parent(n)  # a neighbour that has it no more says so, a hop later
        self.engine.after(HOP, self._from, server, n, source)

    def _from(self, server, n, source):
        made = source.copies.find(n, self.purges.get(n, 0)) if source is not None else None
        if made is not None:
            source.link.carry(self.sizes[n], self._come_in, server, n, made)
        else:
            self.origin_fills.append(self.engine.now)
            self.engine.after(FAR, self.origin.carry, self.sizes[n], self._of_origin, server, n, source)

    def _of_origin(self, server, n, source):
        if source is not None:
            source.copies.keep(n, self.sizes[n], self.engine.now)
        self._come_in(server, n, self.engine.now)

    def _come_in(self, server, n, made):
        for done, args in server.pending.pop(n, ()):
            done(made, *args)

    # ---- what is told afterwards

    def hit_share(self, tops, began, ended):
        """Of lookups whose name's top candidate is one of these, hits at edges."""
        rows = [
            hit
            for came, _, top, hit, _ in self.rows
            if began <= came < ended and (tops is None or top in tops)
        ]
        return sum(rows) / max(1, len(rows))

    def p99(self, began, ended):
        took = sorted(row[4] for row in self.rows if began <= row[0] < ended)
        return took[int(0.99 * (len(took) - 1))] / 10 if took else 0.0

    def served(self, began, ended):
        rows = [row for row in self.rows if began <= row[0] < ended]
        return sum(row[4] <= BUDGET + 2 * self.sizes[row[1]] / FLOW for row in rows) / max(1, len(rows))

    def origin_between(self, began, ended):
        return sum(began <= at < ended for at in self.origin_fills)

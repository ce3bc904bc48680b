"""The owner of a warming in the made-up location: the program's table, its fills by the location's links."""

from collections import Counter

from hookrouter.decisions.warming import (
    BorrowedLists,
    FillGate,
    Lender,
    LocationState,
    OverloadDetector,
    RecentPurges,
    Warming,
    messages,
    steps,
)
from hookrouter.decisions.warming.planning import Kind
from hookrouter.decisions.warming.rank import rank

from .location import FLOW

ASKED, LODGED, REPORTED, TICK = 300, 100, 150, 50  # a list 30 ms, a course 10, the keepers' word 15, a tick 5
SLOTS, HEIRS = 16, 4  # fills out at one source: of caches that start, of heirs
KINDS = {"page": Kind(True, 2, 0, 1.0)}


class Pool:
    """What all routers of the location have: their lists, and the warmings that are under way."""

    def __init__(self, location):
        self.location, self.owners = location, {}
        self.lenders = {f"r{k}": Lender(sketch, Position()) for k, sketch in enumerate(location.sketches)}
        self.purged, self.strain, self.number = RecentPurges(), OverloadDetector(), 0
        self.tried, self.filled = Counter(), Counter()  # of each name: asked of the cache, from a source
        self.past = tuple(location.caches)  # as they were for long
        self.ended, self.fills, self.repeated, self.by_source = [], 0, 0, {}
        location.on_answer = self.answered

    def answered(self, server, late):
        changed = self.strain.answered(self.location.engine.now, late)
        if changed is not None:
            for owner in list(self.owners.values()):
                owner.take(messages.OverloadChanged(changed))

    def warm(self, target, before, after, done=0):
        self.number += 1
        self.owners[target] = Owner(self, target, tuple(before), tuple(after), self.number, done)
        self.owners[target].begin()

    def warm_caches(self, now):
        """Sources: ready and not cold. An heir may be one, for what it had before."""
        return frozenset(name for name, one in self.location.caches.items() if not one.cold(now))


class Position:
    def __call__(self):
        return (0, 0)


class Owner:
    def __init__(self, pool, target, before, after, number, done):
        self.pool, self.location, self.target, self.number = pool, pool.location, target, number
        self.before, self.after, self.done, self.alive = before, after, done, True
        self.heir = target in before
        slots = HEIRS if self.heir else SLOTS
        self.doors = FillGate(target, self.location.allowances.get(target), slots)
        self.doors.work_per_byte = 1 / 1_000 / FLOW
        terms = steps.Terms(target, self.scene, pool.purged, self.doors.source_for)
        self.warming = Warming(terms, BorrowedLists())

    def begin(self):
        self.take(messages.Owned(self.number, self.done, tuple(rank(self.target, self.pool.lenders))))
        self.tick()

    def scene(self):
        return LocationState(
            self.target,
            self.before,
            self.after,
            self.pool.warm_caches(self.location.engine.now),
            tuple(self.location.parents),
            KINDS,
            past=self.pool.past,
            room=int(self.location.room * 1_000),
        )

    def look(self):
        now = self.location.engine.now
        owners = sorted(name for name, one in self.pool.owners.items() if one.heir == self.heir)
        self.doors.update(
            now,
            self.target in self.location.caches,
            self.pool.warm_caches(now),
            tuple(self.location.parents),
            len(owners),
            owners.index(self.target),
        )

    def tick(self):
        if self.alive and self.warming.state not in (steps.DONE, steps.GIVEN_UP):
            self.take(messages.Tick())
            self.location.engine.after(TICK, self.tick)

    def take(self, event):
        if not self.alive or self.pool.owners.get(self.target) is not self:
            return  # what comes after its end
        self.look()
        for effect in self.warming.handle(self.location.engine.now, event):
            getattr(self, "_" + type(effect).__name__.lower())(effect)

    def kill(self):
        self.alive = False
        self.pool.owners.pop(self.target, None)

    def _borrow(self, effect):
        lent, course = self.pool.lenders[effect.lender].lend(self.location.engine.now, self.target)
        self.location.engine.after(ASKED, self.take, messages.ListReceived(effect.lender, lent, course))

    def _store(self, effect):
        for lender in effect.lenders:
            self.pool.lenders[lender].store_plan(effect.plan)
            self.location.engine.after(LODGED, self.take, messages.PlanStored(lender))

    def _report(self, effect):
        self.done = effect.step
        self.location.engine.after(REPORTED, self.take, messages.Reported(effect.step))

    def _closed(self, effect):
        self.pool.owners.pop(self.target, None)
        self.pool.ended.append((self.target, effect.state, effect.cause, self.location.engine.now))

    def _fill(self, effect):
        location, n = self.location, int(effect.name[1][1:])
        self.pool.tried[n] += 1
        server = location.caches.get(self.target)
        if server is None:
            self.take(messages.Aborted(messages.CACHE_LEFT))
            return
        if server.copies.find(n, location.purges.get(n, 0)) is not None:
            self.pool.repeated += 1
            location.engine.after(TICK, self.take, messages.FillEnded(effect.name, messages.HELD_ALREADY))
            return
        self.pool.fills += 1
        self.pool.filled[n] += 1
        source = location.caches.get(effect.source) or location.parents.get(effect.source)
        self.pool.by_source[effect.source[0] if effect.source else "-"] = 1 + self.pool.by_source.get(
            effect.source[0] if effect.source else "-", 0
        )
        server.worked(location.engine.now, location.sizes[n] / FLOW)
        location.fill(server, n, source, self._filled, server, n, effect.name)

    def _filled(self, made, server, n, name):
        server.copies.keep(n, self.location.sizes[n], made)
        self.take(messages.FillEnded(name, messages.FILLED))

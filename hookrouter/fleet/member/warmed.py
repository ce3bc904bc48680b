"""One warming under way in this member: the table's effects carried out, each fill under a live warrant."""

from ... import interface
from ...caches.requests import CacheRequest
from ...decisions.warming import (
    Allowance,
    BorrowedLists,
    FillGate,
    LocationState,
    OverloadDetector,
    Warming,
    messages,
    steps,
)
from ...decisions.warming.pace import ColdCapacity
from ...decisions.warming.planning import Kind

TICK = 0.02  # seconds
FILL_WITHIN = 40_000  # 4 s: what takes longer helps nobody
PACE = 0.5  # of the fall multiple, as control's own
BURST = 1_000  # 100 ms of it at once
USUAL = 0.05  # late lookups in calm
PARTS, WHOLE = 2, 1  # candidates, as control's placing has them


class Warmed:
    def __init__(self, warmer, cache, warrant):
        self.warmer, self.cache, self.warrant, self.number = warmer, cache, warrant, warrant.number
        self.warming_observer, self.router, self.stopped, self.sent = (
            warmer.warming_observer,
            warmer.router,
            False,
            0,
        )
        terms, now = self.router.terms, warmer.now()
        row = self.warming_observer.caches[cache]
        self.zone = row.zone
        self.flow = terms.topology.answer_rate / 10  # bytes in a tenth of a millisecond, one transfer
        allowance = None
        if row.born:
            cold = ColdCapacity(
                terms.cold_share, terms.cold_duration, terms.overload_multiple * PACE * row.weight, BURST
            )
            allowance = Allowance(cold, row.born, self._crew(), now)
        self.allowance, self.strain = allowance, OverloadDetector(USUAL)
        self.doors = FillGate(cache, allowance, warmer.section["slots"])
        self.doors.work_per_byte = 1 / self.flow
        self.kinds = {
            kind.name: Kind(
                kind.idempotency == interface.IDEMPOTENT and not kind.write,
                PARTS if kind.in_parts else WHOLE,
                kind.fresh_duration,
                kind.utility,
            )
            for kind in terms.kinds
        }
        self.table = Warming(
            steps.Terms(
                cache,
                self._scene,
                self.warming_observer.fleet_purges,
                self.doors.source_for,
                lenders=warmer.section["lenders"],
            ),
            BorrowedLists(),
        )

    def _crew(self):
        return max(1, len(self.warmer.sharing.neighbours()) + 1)

    def begin(self, done):
        self.take(messages.Owned(self.number, done, self.warmer.lenders(self.cache)))
        self._tick()

    # ---- the location

    def _scene(self):
        observer, now = self.warming_observer, self.warmer.now()
        after, past = (
            observer.ready_caches(self.zone, now),
            observer.ready_caches(self.zone, now, settled=True),
        )
        before = tuple(name for name in after if name != self.cache)
        return LocationState(
            self.cache,
            before,
            after,
            self._warm(now),
            observer.warm_parents(now),
            self.kinds,
            self.router.terms.topology.siblings != interface.NO_SIBLINGS,
            past or before,
            self.warmer.section["room"] or 0,
        )

    def _warm(self, now):
        observer = self.warming_observer
        return frozenset(
            name
            for name in observer.ready_caches(self.zone, now)
            if not observer.is_cold(observer.caches[name], now) and name != self.cache
        )

    def looked(self):
        """The list of caches has changed."""
        row, now = self.warming_observer.caches.get(self.cache), self.warmer.now()
        if row is None:
            self.take(messages.Aborted(messages.CACHE_LEFT))
        elif row.phase != interface.READY:
            self.take(messages.Aborted(messages.DRAINED))
        elif self.allowance is not None and row.born > self.allowance.born:
            self.take(messages.Aborted(messages.CACHE_FAILED))  # it started anew: that is another warming
        else:
            self.doors.update(
                now,
                True,
                self._warm(now),
                self.warming_observer.warm_parents(now),
                *self.warmer.place(self.cache),
            )

    def others(self, summary):
        if self.allowance is not None and summary is not None:
            work = self.warming_observer.mean_size / self.flow
            self.allowance.set_others(self.warmer.now(), summary.age, summary.others_rate * work / 10_000)

    def looked_up(self, size):
        if self.allowance is not None:
            self.allowance.spend_lookup(self.warmer.now(), size / self.flow)

    def answered(self, late):
        changed = self.strain.answered(self.warmer.now(), late)
        if changed is not None:
            self.take(messages.OverloadChanged(changed))

    # ---- the table

    def take(self, event):
        if self.stopped:
            return
        now = self.warmer.now()
        self.doors.set_time(now)
        for effect in self.table.handle(now, event):
            EFFECTS[type(effect)](self, effect)

    def _tick(self):
        if not self.stopped:
            self.looked()
            self.take(messages.Tick())
            self.warmer.reactor.callLater(TICK, self._tick)

    def _borrow(self, effect):
        # In a turn of its own: one event at a time goes into the table.
        self.warmer.reactor.callLater(0, self.warmer.borrow, effect.lender, self.cache, self._came)

    def _came(self, lender, lent, course):
        self.take(messages.ListReceived(lender, lent, course))

    def _lodge(self, effect):
        self.warmer.lodge(effect.plan, effect.lenders)

    def _report(self, effect):
        self.warmer.report(self, effect.step)

    def _closed(self, effect):
        self.stopped = True
        self.warmer.closed(self, effect.state, effect.cause)

    def stop(self):
        self.stopped = True

    # ---- fills

    def _fill(self, effect):
        """After any wait the first act is to look at the clock: no fill but by a live warrant."""
        act = self.warrant.act(self.warmer.clock(), effect)
        if act is None:
            self.warmer.reactor.callLater(0, self.take, messages.Aborted(messages.LEASE_OVER))
            return
        kind_name, object, part = effect.name
        kind, now = self.router.kinds[kind_name], self.warmer.now()
        self.sent += 1
        # 16 hex digits as clients' ids have: this router's number, the duty's, the fill's.
        router = self.router.terms.topology.number
        trace = f"{router % 65_536:04x}{act.number % (1 << 32):08x}{self.sent % 65_536:04x}"
        request = CacheRequest(
            kind_name,
            trace,
            object,
            part,
            None,
            None,
            b"",
            FILL_WITHIN,
            effect.source or self._origin(),
            0,
            self.warming_observer.max_copy_age(kind, object, effect.group, now),
            True,
            fencing_token=f"{act.duty} {act.number}",
        )
        self.warmer.count("warming_fills")
        send = self.router.caches.send(
            self.cache, request, FILL_WITHIN / 10_000, self.router.control.rules.soon / 10_000
        )
        send.deferred.addCallback(self._ended, effect)

    def _origin(self):
        sort = self.router.terms.topology.origin_machine_type
        return next(
            (name for name, one in sorted(self.warming_observer.caches.items()) if one.machine_type == sort),
            None,
        )

    def _ended(self, ended, effect):
        if ended.fence_rejected:
            end = messages.OLD_NUMBER
        elif ended.outcome != interface.SATISFIED:
            end = messages.FAILED
        else:
            end = messages.HELD_ALREADY if ended.copy_status == interface.FOUND else messages.FILLED
        self.warmer.count("warming_" + end.replace(" ", "_"))
        self.take(messages.FillEnded(effect.name, end))

    def counts(self):
        return {word.replace(" ", "_"): count for word, count in sorted(self.table.counts.items())}


EFFECTS = {
    messages.Borrow: Warmed._borrow,
    messages.Store: Warmed._lodge,
    messages.Report: Warmed._report,
    messages.Closed: Warmed._closed,
    messages.Fill: Warmed._fill,
}

"""One warming in progress: carries out the effects of decisions/warming, each fill under a live lease."""

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

TICK_INTERVAL = 0.02  # seconds
FILL_TIMEOUT = 40_000  # 4 s; a slower fill is of no use
OVERLOAD_SHARE = 0.5  # of the overload multiple, as in control
BURST = 1_000  # 100 ms of the allowance
CALM_LATE_SHARE = 0.05  # usual share of late lookups
PART_CANDIDATES, WHOLE_CANDIDATES = 2, 1  # candidate caches per object, as in control's placement


class WarmingRun:
    """Fills a restarted cache while the lease of its warming lasts."""

    def __init__(self, warmer, cache, lease):
        self.warmer, self.cache, self.lease, self.fencing_token = warmer, cache, lease, lease.fencing_token
        self.warming_observer, self.router, self.stopped, self.sent = (
            warmer.warming_observer,
            warmer.router,
            False,
            0,
        )
        terms, now = self.router.terms, warmer.now()
        row = self.warming_observer.caches[cache]
        self.zone = row.zone
        # bytes per tenth of a millisecond of one transfer
        self.transfer_rate = terms.topology.answer_rate / 10
        allowance = None
        if row.born:
            cold = ColdCapacity(
                terms.cold_share,
                terms.cold_duration,
                terms.overload_multiple * OVERLOAD_SHARE * row.weight,
                BURST,
            )
            allowance = Allowance(cold, row.born, self._router_count(), now)
        self.allowance, self.overload = allowance, OverloadDetector(CALM_LATE_SHARE)
        self.fill_gate = FillGate(cache, allowance, warmer.section["slots"])
        self.fill_gate.work_per_byte = 1 / self.transfer_rate
        self.kinds = {
            kind.name: Kind(
                kind.idempotency == interface.IDEMPOTENT and not kind.write,
                PART_CANDIDATES if kind.in_parts else WHOLE_CANDIDATES,
                kind.fresh_duration,
                kind.utility,
            )
            for kind in terms.kinds
        }
        self.table = Warming(
            steps.Terms(
                cache,
                self._location_state,
                self.warming_observer.fleet_purges,
                self.fill_gate.source_for,
                lenders=warmer.section["lenders"],
            ),
            BorrowedLists(),
        )

    def _router_count(self):
        return max(1, len(self.warmer.sharing.neighbours()) + 1)

    def start(self, last_step):
        """Starts after the last completed step."""
        self.handle_event(messages.Owned(self.fencing_token, last_step, self.warmer.lenders(self.cache)))
        self._tick()

    # ---- state of the location

    def _location_state(self):
        observer, now = self.warming_observer, self.warmer.now()
        after, settled = (
            observer.ready_caches(self.zone, now),
            observer.ready_caches(self.zone, now, settled=True),
        )
        before = tuple(name for name in after if name != self.cache)
        return LocationState(
            self.cache,
            before,
            after,
            self._warm_caches(now),
            observer.warm_parents(now),
            self.kinds,
            self.router.terms.topology.siblings != interface.NO_SIBLINGS,
            settled or before,
            self.warmer.section["room"] or 0,
        )

    def _warm_caches(self, now):
        observer = self.warming_observer
        return frozenset(
            name
            for name in observer.ready_caches(self.zone, now)
            if not observer.is_cold(observer.caches[name], now) and name != self.cache
        )

    def on_list_changed(self):
        """Aborts if the cache left, drains or restarted, else updates the fill gate."""
        row, now = self.warming_observer.caches.get(self.cache), self.warmer.now()
        if row is None:
            self.handle_event(messages.Aborted(messages.CACHE_LEFT))
        elif row.phase != interface.READY:
            self.handle_event(messages.Aborted(messages.DRAINED))
        elif self.allowance is not None and row.born > self.allowance.born:
            self.handle_event(messages.Aborted(messages.CACHE_FAILED))  # a restart is another warming
        else:
            self.fill_gate.update(
                now,
                True,
                self._warm_caches(now),
                self.warming_observer.warm_parents(now),
                *self.warmer.cold_position(self.cache),
            )

    def set_others_load(self, summary):
        """Updates the allowance by the load of the other routers."""
        if self.allowance is not None and summary is not None:
            work = self.warming_observer.mean_size / self.transfer_rate
            self.allowance.set_others(self.warmer.now(), summary.age, summary.others_rate * work / 10_000)

    def on_lookup_sent(self, size):
        """Charges a lookup's send of so many bytes to the allowance."""
        if self.allowance is not None:
            self.allowance.spend_lookup(self.warmer.now(), size / self.transfer_rate)

    def on_answer(self, late):
        """Feeds the overload detector with whether a lookup was late."""
        changed = self.overload.answered(self.warmer.now(), late)
        if changed is not None:
            self.handle_event(messages.OverloadChanged(changed))

    # ---- events and effects

    def handle_event(self, event):
        """Passes an event to the table and carries out its effects."""
        if self.stopped:
            return
        now = self.warmer.now()
        self.fill_gate.set_time(now)
        for effect in self.table.handle(now, event):
            EFFECTS[type(effect)](self, effect)

    def _tick(self):
        if not self.stopped:
            self.on_list_changed()
            self.handle_event(messages.Tick())
            self.warmer.reactor.callLater(TICK_INTERVAL, self._tick)

    def _borrow(self, effect):
        # In its own reactor turn: the table handles one event at a time.
        self.warmer.reactor.callLater(0, self.warmer.borrow, effect.lender, self.cache, self._on_list)

    def _on_list(self, lender, popularity, plan):
        self.handle_event(messages.ListReceived(lender, popularity, plan))

    def _offer_plan(self, effect):
        self.warmer.offer_plan(effect.plan, effect.lenders)

    def _report(self, effect):
        self.warmer.report_step(self, effect.step)

    def _on_closed(self, effect):
        self.stopped = True
        self.warmer.on_closed(self, effect.state, effect.cause)

    def stop(self):
        """Stops without reporting."""
        self.stopped = True

    # ---- fills

    def _fill(self, effect):
        """Sends a fill; the lease is checked first, since time may have passed."""
        fenced = self.lease.authorize(self.warmer.clock(), effect)
        if fenced is None:
            self.warmer.reactor.callLater(0, self.handle_event, messages.Aborted(messages.LEASE_OVER))
            return
        kind_name, object, part = effect.name
        kind, now = self.router.kinds[kind_name], self.warmer.now()
        self.sent += 1
        # 16 hex digits like a client's id: router number, fencing token, fill number.
        router = self.router.terms.topology.number
        trace = f"{router % 65_536:04x}{fenced.fencing_token % (1 << 32):08x}{self.sent % 65_536:04x}"
        request = CacheRequest(
            kind_name,
            trace,
            object,
            part,
            None,
            None,
            b"",
            FILL_TIMEOUT,
            effect.source or self._origin(),
            0,
            self.warming_observer.max_copy_age(kind, object, effect.group, now),
            True,
            fencing_token=f"{fenced.duty} {fenced.fencing_token}",
        )
        self.warmer.count("warming_fills")
        send = self.router.caches.send(
            self.cache, request, FILL_TIMEOUT / 10_000, self.router.control.rules.max_start_delay / 10_000
        )
        send.deferred.addCallback(self._on_fill_ended, effect)

    def _origin(self):
        origin_type = self.router.terms.topology.origin_machine_type
        return next(
            (
                name
                for name, candidate in sorted(self.warming_observer.caches.items())
                if candidate.machine_type == origin_type
            ),
            None,
        )

    def _on_fill_ended(self, ended, effect):
        if ended.fence_rejected:
            end = messages.OLD_NUMBER
        elif ended.outcome != interface.SATISFIED:
            end = messages.FAILED
        else:
            end = messages.HELD_ALREADY if ended.copy_status == interface.FOUND else messages.FILLED
        self.warmer.count("warming_" + end.replace(" ", "_"))
        self.handle_event(messages.FillEnded(effect.name, end))

    def counts(self):
        """Counts by outcome, as log fields."""
        return {word.replace(" ", "_"): count for word, count in sorted(self.table.counts.items())}


EFFECTS = {
    messages.Borrow: WarmingRun._borrow,
    messages.Store: WarmingRun._offer_plan,
    messages.Report: WarmingRun._report,
    messages.Closed: WarmingRun._on_closed,
    messages.Fill: WarmingRun._fill,
}

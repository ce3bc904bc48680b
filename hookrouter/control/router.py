"""Control: the state of one router and the dispatch of each input to the parts of the decisions."""

from random import Random

from .. import interface
from ..tables.router_state import PendingLookup, RouterState
from . import cold, copies, health, learning, placing, purges, rules, times, windows
from .lookups import ARRIVED, DUE, FAILED, NEW, OVERRUN, SETTLED, Lookups

# At most 2 s, at least half of it: the service that gives the list is shared, and stale lists cost lookups.
RESUBSCRIBE_DELAY = 20_000
MIN_WEIGHT = 0.01  # of a link: a cache listed with weight 0 must not cause a division by zero
RESUBSCRIBE = "unheard"  # purpose of the alarm that repeats a failed subscription


class Control(RouterState):
    """Decides for one router. Deterministic: the same seed and inputs give the same effects."""

    def __init__(self, seed, terms, guard=None, fleet_view=None):
        """guard: fleet-wide purges, None where they are off; fleet_view: reports of the fleet's other
        routers, None: this router decides alone.
        """
        super().__init__()
        self.terms, self.rng, self.fleet_view = terms, Random(seed), fleet_view
        self.kind_indexes = {kind.name: index for index, kind in enumerate(terms.kinds)}
        self.times, self.health = times.Times(terms.kinds), health.Health(self)
        self.windows = windows.Windows(self, terms, self.rng, self.times, self.health)
        self.cold = cold.Cold(self, terms, self.health)
        self.placing, self.learning = placing.Placing(self, terms), learning.Learning(self, terms)
        self.purges = purges.Purges(self, terms, guard)
        self.copies = copies.Copies(self, terms, self.purges)
        self.rules, self.lookups = rules.Rules(self, terms), Lookups(self, terms)

    def decide(self, now, inputs):
        """Applies the inputs in order and returns the effects; now: Unix time in tenths of a millisecond."""
        self.now, self.effects = now, []
        self.learning.check_budgets()
        for event in inputs:
            HANDLERS[type(event)](self, event)
        return self.effects

    def _on_list(self, cache_list):
        topology = self.terms.topology
        if cache_list.mode == interface.UNANSWERED:  # repeat after a random delay, not all routers at once
            return self.set_alarm(
                self.rng.randint(RESUBSCRIBE_DELAY // 2, RESUBSCRIBE_DELAY), (None, RESUBSCRIBE)
            )
        if cache_list.mode == interface.REMEMBERED and self.terms.must_subscribe:
            self.emit(interface.Subscribe(True))
        if cache_list.mode != interface.CHANGES:
            self.keep_only(cache_list.caches)
        for cache in cache_list.caches:
            row = self.row_for(cache)
            self.weight[row], self.phase[row] = max(cache.weight, MIN_WEIGHT), cache.phase
            if cache.born > self.cold.born[row]:
                self.cold.start(row, cache.born, cache_list.mode == interface.REMEMBERED)
        ready = [row for row in range(len(self.cache_ids)) if self.phase[row] == interface.READY]
        self.origins = [row for row in ready if self.machine_type[row] == topology.origin_machine_type]
        self.parents = [
            row
            for row in ready
            if self.machine_type[row] == topology.parent_machine_type and row not in self.origins
        ]
        upstream_types = topology.origin_machine_type, topology.parent_machine_type
        self.edges = [
            row
            for row in ready
            if self.zone[row] == topology.zone and self.machine_type[row] not in upstream_types
        ]
        self.edge_capacity = sum(self.weight[row] for row in self.edges)
        self.windows.on_cache_list()

    def _on_lookup(self, request):
        kind = self.kind_indexes.get(request.kind)
        if kind is None:
            return self.emit(interface.Fail(request.id, "kind"))
        lookup = self.pending_lookups[request.id] = PendingLookup(
            request, kind, self.terms.topology.answer_rate, NEW
        )
        self.set_alarm(max(0, request.due - self.now), (request.id, DUE))
        self.lookups.step(lookup, ARRIVED)

    def _on_alarm(self, alarm):
        lookup_id, purpose = self.take_alarm(alarm.token)
        if purpose == RESUBSCRIBE:
            self.emit(interface.Subscribe(True))
        lookup = self.pending_lookups.get(lookup_id)
        if lookup is not None and (purpose == DUE or (lookup_id, purpose) in self.pending_sends):
            self.lookups.step(lookup, DUE if purpose == DUE else OVERRUN)

    def _on_end(self, end):
        send, lookup = self.end_send((end.id, end.send)), self.pending_lookups.get(end.id)
        if send is not None:
            self.learning.on_send_end(send, end)
        if lookup is None:
            return
        if end.outcome in interface.NEVER_RAN:
            lookup.possible_runs.pop(end.send, None)
        if end.outcome == interface.LATE and send is not None and send.early_timeout:
            lookup.overruns += 1
        self.copies.hold(lookup, end)
        lookup.fill_refused |= (
            end.outcome == interface.FULL and send is not None and send.upstream is not None
        )
        self.lookups.step(lookup, SETTLED if end.settled else FAILED)

    def _on_copy_verified(self, event):
        self.copies.on_verified(event)

    def _on_copy_revoked(self, event):
        self.copies.on_revoked(event)

    def _on_gone(self, event):
        if event.id in self.pending_lookups:
            self.lookups.step(self.pending_lookups[event.id], SETTLED)

    def _on_purge(self, purge):
        target = purge.object if purge.object is not None else purge.group
        purged_at = self.now - max(0, purge.age)
        self.purges.record(target, purged_at)
        self.copies.purge(target, purged_at)

    def _on_feed_heard(self, event):
        self.purges.on_feed_heard(event.age)

    def _on_events_missed(self, event):
        self.purges.on_events_missed()
        self.copies.purge_all()


HANDLERS = {
    interface.CacheList: Control._on_list,
    interface.Lookup: Control._on_lookup,
    interface.Alarm: Control._on_alarm,
}
HANDLERS |= {
    interface.SendEnd: Control._on_end,
    interface.ClientGone: Control._on_gone,
    interface.Purged: Control._on_purge,
    interface.FeedHeard: Control._on_feed_heard,
    interface.EventsMissed: Control._on_events_missed,
    interface.CopyVerified: Control._on_copy_verified,
    interface.CopyRevoked: Control._on_copy_revoked,
}
HANDLERS |= dict.fromkeys(
    (interface.Begun, interface.ProbeEnd, interface.Whisper), lambda control, event: None
)  # never requested, so ignored

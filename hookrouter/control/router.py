"""Inputs as they come: each is handed to the parts that it concerns."""

from random import Random

from .. import interface
from ..tables.router_state import PendingLookup, RouterState
from . import cold, copies, health, learning, placing, purges, rules, times, windows
from .lookups import ARRIVED, DUE, FAILED, NEW, OVERRUN, SETTLED, Lookups

ASK_AGAIN = 20_000  # 2 s at most, half at least: the list's service is shared, and stale lists cost lookups
WEIGHT_LEAST = 0.01  # of a link: a cache listed without weight divides nothing by zero
UNHEARD = "unheard"  # the alarm of a subscription to ask for again


class Control(RouterState):
    """What one router takes for true, and the inputs that change it; told: what others of its fleet say."""

    def __init__(self, seed, terms, guard=None, told=None):
        super().__init__()
        self.terms, self.dice, self.fleet_view = terms, Random(seed), told
        self.kinds = {kind.name: n for n, kind in enumerate(terms.kinds)}
        self.times, self.health = times.Times(terms.kinds), health.Health(self)
        self.windows = windows.Windows(self, terms, self.dice, self.times, self.health)
        self.cold = cold.Cold(self, terms, self.health)
        self.placing, self.learning = placing.Placing(self, terms), learning.Learning(self, terms)
        self.purges = purges.Purges(self, terms, guard)
        self.copies = copies.Copies(self, terms, self.purges)
        self.rules, self.lookups = rules.Rules(self, terms), Lookups(self, terms)

    def decide(self, now, inputs):
        self.now, self.effects = now, []
        self.learning.look()
        for event in inputs:
            HANDLERS[type(event)](self, event)
        return self.effects

    def _on_list(self, news):
        top = self.terms.topology
        if news.mode == interface.UNANSWERED:  # the subscription failed: again, not all routers at once
            return self.set_alarm(self.dice.randint(ASK_AGAIN // 2, ASK_AGAIN), (None, UNHEARD))
        if news.mode == interface.REMEMBERED and self.terms.must_subscribe:
            self.emit(interface.Subscribe(True))
        if news.mode != interface.CHANGES:
            self.keep_only(news.caches)
        for cache in news.caches:
            n = self.row_for(cache)
            self.weight[n], self.phase[n] = max(cache.weight, WEIGHT_LEAST), cache.phase
            if cache.born > self.cold.born[n]:
                self.cold.start(n, cache.born, news.mode == interface.REMEMBERED)
        ready = [n for n in range(len(self.cache_ids)) if self.phase[n] == interface.READY]
        self.origins = [n for n in ready if self.machine_type[n] == top.origin_machine_type]
        self.parents = [
            n for n in ready if self.machine_type[n] == top.parent_machine_type and n not in self.origins
        ]
        upper = top.origin_machine_type, top.parent_machine_type
        self.edges = [n for n in ready if self.zone[n] == top.zone and self.machine_type[n] not in upper]
        self.edge_capacity = sum(self.weight[n] for n in self.edges)
        self.windows.listed()

    def _on_lookup(self, lk):
        kind = self.kinds.get(lk.kind)
        if kind is None:
            return self.emit(interface.Fail(lk.id, "kind"))
        held = self.pending_lookups[lk.id] = PendingLookup(lk, kind, self.terms.topology.answer_rate, NEW)
        self.set_alarm(max(0, lk.due - self.now), (lk.id, DUE))
        self.lookups.step(held, ARRIVED)

    def _on_alarm(self, alarm):
        lk_id, word = self.take_alarm(alarm.token)
        if word == UNHEARD:
            self.emit(interface.Subscribe(True))
        lk = self.pending_lookups.get(lk_id)
        if lk is not None and (word == DUE or (lk_id, word) in self.pending_sends):
            self.lookups.step(lk, DUE if word == DUE else OVERRUN)

    def _on_end(self, end):
        sent, lk = self.end_send((end.id, end.send)), self.pending_lookups.get(end.id)
        if sent is not None:
            self.learning.ended(sent, end)
        if lk is None:
            return
        if end.outcome in interface.NEVER_RAN:
            lk.possible_runs.pop(end.send, None)
        if end.outcome == interface.LATE and sent is not None and sent.early_timeout:
            lk.overruns += 1
        self.copies.keep(lk, end)
        lk.fill_refused |= end.outcome == interface.FULL and sent is not None and sent.upstream is not None
        self.lookups.step(lk, SETTLED if end.settled else FAILED)

    def _on_gone(self, gone):
        if gone.id in self.pending_lookups:
            self.lookups.step(self.pending_lookups[gone.id], SETTLED)

    def _on_purge(self, purge):
        name = purge.object if purge.object is not None else purge.group
        made = self.now - max(0, purge.age)
        self.purges.told(name, made)
        self.copies.purge(name, made)


HANDLERS = {
    interface.CacheList: Control._on_list,
    interface.Lookup: Control._on_lookup,
    interface.Alarm: Control._on_alarm,
}
HANDLERS |= {
    interface.SendEnd: Control._on_end,
    interface.ClientGone: Control._on_gone,
    interface.Purged: Control._on_purge,
}
HANDLERS |= dict.fromkeys(
    (interface.Begun, interface.ProbeEnd, interface.Whisper), lambda control, event: None
)  # not asked for yet

"""The life of a lookup: a table of states and inputs, the loop that reads it, and its effects."""

from .. import interface
from ..tables.router_state import PendingSend
from .times import LEAST_WAIT

STAY_AWAY = 3_000  # 300 ms at most, half at least: a stall is over by then, a client's budget hardly
OWN_SHARE = 0.25  # of the budget, for an own copy's way: the queue's rest is for what finds no cache

NEW, PLACING, OUT, PAIRING, PAIR, ENDED = "new", "placing", "out", "pairing", "pair", "ended"
ARRIVED, SENT, STUCK, FAILED = "arrived", "sent", "stuck", "failed"
OVERRUN, SETTLED, DUE, AT_HAND = "overrun", "settled", "due", "at hand"


class Lookups:
    def __init__(self, control, terms):
        self.c, self.terms, self.kinds = control, terms, terms.kinds
        self.stay_away = min(STAY_AWAY, terms.max_retry_after) if terms.sends_retry_after else 0

    def step(self, lk, word):
        while word is not None:
            lk.state, effect = LOOKUP_TABLE[lk.state, word]
            word = effect(self, lk)

    def _nothing(self, lk):
        """The next state says all."""

    def _place(self, lk):
        """One more send where rules, limits and time allow it."""
        c, kind, left = self.c, self.kinds[lk.kind_index], lk.due - self.c.now
        if c.purges.fenced(kind):
            return self._stuck(lk, "fenced")
        if c.copies.given(lk, OWN_SHARE):
            return AT_HAND
        if lk.hits_only:
            return self._stuck(lk, "fills")
        if lk.send_count and not lk.fill_refused and not kind.write and c.windows.crowd():
            return self._stuck(lk, "sends")
        if (
            left < LEAST_WAIT
            or lk.send_count >= self.terms.max_sends
            or (lk.send_count and c.learning.spare < 1)
        ):
            return self._stuck(lk, "time" if left < LEAST_WAIT else "sends")
        if (
            kind.write and self.terms.may_bypass_caches
        ):  # passes untouched: it runs at the origin and nothing is kept
            target, source = (c.origins or [None])[0], None
        else:
            target, source = c.placing.pick(lk)
        if target is None or not c.rules.admissible(lk, target):
            return self._stuck(lk, "caches" if target is None else "effect")
        via = source if target in c.edges else target
        if source is not None and not kind.write and (lk.fill_refused or not c.windows.open(via, lk)):
            if target not in c.edges:
                return self._stuck(lk, "fills")
            lk.hits_only = True  # one more fill would be late like those out; a hit would not
            if not lk.fill_refused or not c.windows.open(via, lk):
                source = target  # else what refused may hold it: its own source may be the one that is full
        return self._send(lk, target, source, left)

    def _stuck(self, lk, why):
        lk.reason = why
        return STUCK

    def _send(self, lk, target, source, left):
        c, kind, pairs = self.c, self.kinds[lk.kind_index], self.terms.may_duplicate
        limit, cost, leave = c.times.deadline(lk), c.times.mean_work[lk.kind_index], c.rules.leaves_within(lk)
        c.learning.spare -= lk.send_count > 0
        first = lk.overruns == 0 and not kind.write and target not in c.origins
        limited = first and limit < left and c.learning.spare >= 1
        wait = limit if limited and not pairs else left
        if limited and pairs:
            c.set_alarm(limit, (lk.id, lk.send_count))
        for n in {target, source} - {None}:
            c.cold.spend(n, cost)
            if c.fleet_view is not None:
                c.fleet_view.sent(c.cache_ids[n], c.now, cost)
        edge = target in c.edges
        via = None if source is None or source == target else source if edge else target
        sent = PendingSend(
            target, source, via, lk.kind_index, lk.sending_time, c.now, limited, c.placing.calm(target)
        )
        # Where sizes are not told its budget is not known before its end.
        c.begin_send(lk, sent, c.now + int(c.times.budget(sent)) if lk.sending_time else None)
        if source is None or target in c.origins:
            c.emit(interface.Ask(lk.id, c.cache_ids[target], wait, leave))
        else:
            ids, oldest, held = (
                (lk.id, c.cache_ids[target], c.cache_ids[source]),
                c.purges.oldest(lk),
                lk.hits_only,
            )
            rank, joins = int(edge and not kind.write), self.terms.may_join_fills and not held
            renews = edge and via is not None and kind.fresh_duration > 0
            c.emit(interface.Obtain(*ids, wait, oldest, rank, joins, held, False, renews, leave))
        return SENT

    def _give_up(self, lk):
        """The final answer, at once: a nack with a time to come back where that is harmless."""
        if self.c.copies.given(lk, 1):  # rather at the end of its budget than not at all
            return self._settle(lk)
        if self.c.rules.nackable(lk):
            # Not all at once: clients nacked together would come back together.
            stay_away = self.c.dice.randint(self.stay_away // 2, self.stay_away)
            self.c.emit(interface.Nack(lk.id, stay_away, lk.reason))
        else:
            self.c.emit(interface.Fail(lk.id, lk.reason))
        return self._settle(lk)

    def _settle(self, lk):
        del self.c.pending_lookups[lk.id]
        for number in range(lk.send_count if self.terms.may_cancel else 0):
            if (lk.id, number) in self.c.pending_sends:
                self.c.emit(interface.Cancel(lk.id, number))


# state, input -> next state, effect; an effect may hand back a further input.
LOOKUP_TABLE = {
    (NEW, ARRIVED): (PLACING, Lookups._place),
    (PLACING, SENT): (OUT, Lookups._nothing),
    (PLACING, AT_HAND): (ENDED, Lookups._settle),
    (PLACING, STUCK): (ENDED, Lookups._give_up),
    (OUT, FAILED): (PLACING, Lookups._place),
    (OUT, OVERRUN): (PAIRING, Lookups._place),
    (OUT, SETTLED): (ENDED, Lookups._settle),
    (OUT, DUE): (ENDED, Lookups._give_up),
    (PAIRING, SENT): (PAIR, Lookups._nothing),
    (PAIRING, STUCK): (OUT, Lookups._nothing),
    (PAIRING, AT_HAND): (ENDED, Lookups._settle),
    (PAIR, FAILED): (OUT, Lookups._nothing),
    (PAIR, OVERRUN): (PAIR, Lookups._nothing),
    (PAIR, SETTLED): (ENDED, Lookups._settle),
    (PAIR, DUE): (ENDED, Lookups._give_up),
}

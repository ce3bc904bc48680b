"""State machine of a lookup: a transition table, the loop that applies it, and its actions."""

from .. import interface
from ..tables.router_state import PendingSend
from .times import MIN_TIMEOUT

# At most 300 ms, at least half of it: a stall is over by then, the client's latency budget usually not.
MAX_RETRY_AFTER = 3_000
# An own copy may use this share of the latency budget on the router's link; the rest of the link's queue is
# left to lookups that find no cache.
OWN_COPY_BUDGET_SHARE = 0.25

# States.
NEW, PLACING, IN_FLIGHT, DUPLICATING, DUPLICATED, ENDED = "new", "placing", "out", "pairing", "pair", "ended"
# Inputs.
ARRIVED, SENT, NO_SEND, FAILED = "arrived", "sent", "stuck", "failed"
OVERRUN, SETTLED, DUE, ANSWERED = "overrun", "settled", "due", "at hand"


class Lookups:
    """Moves pending lookups through their states; emits sends, cancels and final answers."""

    def __init__(self, control, terms):
        self.control, self.terms, self.kinds = control, terms, terms.kinds
        self.max_retry_after = min(MAX_RETRY_AFTER, terms.max_retry_after) if terms.sends_retry_after else 0

    def step(self, lookup, event):
        """Applies an input to a lookup, and each further input that the action of a transition returns."""
        while event is not None:
            lookup.state, action = LOOKUP_TABLE[lookup.state, event]
            event = action(self, lookup)

    def _no_action(self, lookup):
        """The transition has no action."""

    def _try_send(self, lookup):
        """Starts another send if rules, limits and the remaining time allow it."""
        control, kind, time_left = self.control, self.kinds[lookup.kind_index], lookup.due - self.control.now
        if control.purges.fenced(kind):
            return self._cannot_send(lookup, "fenced")
        if control.copies.try_answer(lookup, OWN_COPY_BUDGET_SHARE):
            return ANSWERED
        if lookup.hits_only:
            return self._cannot_send(lookup, "fills")
        if lookup.send_count and not lookup.fill_refused and not kind.write and control.windows.overloaded():
            return self._cannot_send(lookup, "sends")
        if (
            time_left < MIN_TIMEOUT
            or lookup.send_count >= self.terms.max_sends
            or (lookup.send_count and control.learning.retry_budget < 1)
        ):
            return self._cannot_send(lookup, "time" if time_left < MIN_TIMEOUT else "sends")
        if kind.write and self.terms.may_bypass_caches:  # it runs at the origin and leaves no copy
            target, source = (control.origins or [None])[0], None
        else:
            target, source = control.placing.pick(lookup)
        if target is None or not control.rules.admissible(lookup, target):
            return self._cannot_send(lookup, "caches" if target is None else "effect")
        upstream = source if target in control.edges else target
        if (
            source is not None
            and not kind.write
            and (lookup.fill_refused or not control.windows.admits(upstream, lookup))
        ):
            if target not in control.edges:
                return self._cannot_send(lookup, "fills")
            lookup.hits_only = True  # another fill would be late like those in flight; a hit would not
            if not lookup.fill_refused or not control.windows.admits(upstream, lookup):
                # Otherwise the source that refused is tried for a hit: what is full may be its own upstream.
                source = target
        return self._send(lookup, target, source, time_left)

    def _cannot_send(self, lookup, reason):
        lookup.reason = reason
        return NO_SEND

    def _send(self, lookup, target, source, time_left):
        """Emits the send and records it; charges it to the retry budget and to cold caches."""
        control, kind, may_duplicate = self.control, self.kinds[lookup.kind_index], self.terms.may_duplicate
        attempt_timeout, cost, start_within = (
            control.times.timeout(lookup),
            control.times.mean_work[lookup.kind_index],
            control.rules.start_within(lookup),
        )
        control.learning.retry_budget -= lookup.send_count > 0
        may_retry_early = lookup.overruns == 0 and not kind.write and target not in control.origins
        early_timeout = may_retry_early and attempt_timeout < time_left and control.learning.retry_budget >= 1
        timeout = attempt_timeout if early_timeout and not may_duplicate else time_left
        if early_timeout and may_duplicate:
            control.set_alarm(attempt_timeout, (lookup.id, lookup.send_count))
        for row in {target, source} - {None}:
            control.cold.spend(row, cost)
            if control.fleet_view is not None:
                control.fleet_view.sent(control.cache_ids[row], control.now, cost)
        edge = target in control.edges
        upstream = None if source is None or source == target else source if edge else target
        send = PendingSend(
            target,
            source,
            upstream,
            lookup.kind_index,
            lookup.sending_time,
            control.now,
            early_timeout,
            control.placing.is_idle(target),
        )
        # Without a known size the budget is known only when the send ends.
        control.begin_send(
            lookup, send, control.now + int(control.times.budget(send)) if lookup.sending_time else None
        )
        if source is None or target in control.origins:
            control.emit(interface.Ask(lookup.id, control.cache_ids[target], timeout, start_within))
        else:
            ids, max_age, hits_only = (
                (lookup.id, control.cache_ids[target], control.cache_ids[source]),
                control.purges.max_age(lookup),
                lookup.hits_only,
            )
            priority, join_fill = int(edge and not kind.write), self.terms.may_join_fills and not hits_only
            revalidate = edge and upstream is not None and kind.fresh_duration > 0
            control.emit(
                interface.Obtain(
                    *ids, timeout, max_age, priority, join_fill, hits_only, False, revalidate, start_within
                )
            )
        return SENT

    def _give_up(self, lookup):
        """Ends the lookup: from an own copy, else a nack if the client may safely retry, else a failure."""
        if self.control.copies.try_answer(lookup, 1):  # better at the end of the budget than not at all
            return self._settle(lookup)
        if self.control.rules.nackable(lookup):
            # Randomized: clients nacked together would otherwise retry together.
            retry_after = self.control.rng.randint(self.max_retry_after // 2, self.max_retry_after)
            self.control.emit(interface.Nack(lookup.id, retry_after, lookup.reason))
        else:
            self.control.emit(interface.Fail(lookup.id, lookup.reason))
        return self._settle(lookup)

    def _settle(self, lookup):
        """Forgets the lookup and cancels its sends in flight where that is allowed."""
        del self.control.pending_lookups[lookup.id]
        for number in range(lookup.send_count if self.terms.may_cancel else 0):
            if (lookup.id, number) in self.control.pending_sends:
                self.control.emit(interface.Cancel(lookup.id, number))


# (state, input) -> (next state, action); an action may return a further input.
LOOKUP_TABLE = {
    (NEW, ARRIVED): (PLACING, Lookups._try_send),
    (PLACING, SENT): (IN_FLIGHT, Lookups._no_action),
    (PLACING, ANSWERED): (ENDED, Lookups._settle),
    (PLACING, NO_SEND): (ENDED, Lookups._give_up),
    (IN_FLIGHT, FAILED): (PLACING, Lookups._try_send),
    (IN_FLIGHT, OVERRUN): (DUPLICATING, Lookups._try_send),
    (IN_FLIGHT, SETTLED): (ENDED, Lookups._settle),
    (IN_FLIGHT, DUE): (ENDED, Lookups._give_up),
    (DUPLICATING, SENT): (DUPLICATED, Lookups._no_action),
    (DUPLICATING, NO_SEND): (IN_FLIGHT, Lookups._no_action),
    (DUPLICATING, ANSWERED): (ENDED, Lookups._settle),
    (DUPLICATED, FAILED): (IN_FLIGHT, Lookups._no_action),
    (DUPLICATED, OVERRUN): (DUPLICATED, Lookups._no_action),
    (DUPLICATED, SETTLED): (ENDED, Lookups._settle),
    (DUPLICATED, DUE): (ENDED, Lookups._give_up),
}

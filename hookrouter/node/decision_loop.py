"""Passes inputs to Control one at a time and carries out the effects.

A fault in either costs the lookup concerned, and no other.
"""

import traceback
from collections import deque

from .. import interface
from .effects import EFFECTS


class DecisionLoop:
    """The inputs of one router that wait to be decided.

    decided_at: Unix time of the current decision, in tenths of a millisecond.
    """

    def __init__(self, router):
        self.router = router
        self.inputs, self.deciding = deque(), False
        self.decided_at = 0

    def handle_event(self, event):
        """Passes an input to Control after those already queued, and carries out the effects at once."""
        self.inputs.append(event)
        if self.deciding:
            return
        self.deciding = True
        try:
            while self.inputs:
                self._decide(self.inputs.popleft())
        finally:
            self.deciding = False

    def _decide(self, event):
        router = self.router
        self.decided_at = router.now()
        try:
            effects = router.control.decide(self.decided_at, [event])
        except Exception:
            router.count("decisions_failed")
            router.log("decision code failed", traceback.format_exc())
            # Effects produced before the failure are carried out; the affected lookups fail.
            affected = self._affected_lookups(event)
            effects = [*router.control.effects, *map(interface.Fail, affected)]
            self.inputs.extend(map(interface.ClientGone, affected))
        if router.trace is not None:
            router.trace.record(self.decided_at, event, effects, router.control, self._trace_id(event))
        for effect in effects:
            self._execute(effect)
        if isinstance(event, interface.SendEnd):
            router.storable_results.pop((event.id, event.send), None)
        elif isinstance(event, interface.CopyVerified):
            held = router.held_copies.pop((event.id, event.send), None)
            if held is not None:
                held.copy = None  # its connection may live longer than the stored copy

    def _execute(self, effect):
        try:
            EFFECTS[type(effect)](self.router, effect)
        except Exception:
            self.router.count("effects_failed")
            self.router.log("effect failed", traceback.format_exc())
            lookup = self.router.lookups.get(effect.id) if hasattr(effect, "id") else None
            if lookup is not None:
                self._fail(lookup, effect)

    def _fail(self, lookup, effect):
        """Fails the lookup of an effect that raised; a send that did not start counts as never made."""
        for send_number in [number for number, send in lookup.active_sends.items() if send is None]:
            del lookup.active_sends[send_number]
            self.inputs.append(
                interface.SendEnd(
                    lookup.number, send_number, interface.VOID, 0, True, 0, effect.cache, None, None
                )
            )
        if lookup.answered:
            self.router.release(lookup)
            return
        self.inputs.append(interface.ClientGone(lookup.number))
        self.router.answer(lookup, "failed", self.router.front.failed)

    def _trace_id(self, event):
        """The client's id of a new lookup; None for other events, and if the client has withdrawn it."""
        lookup = self.router.lookups.get(event.id) if isinstance(event, interface.Lookup) else None
        return None if lookup is None else lookup.request.trace

    def _affected_lookups(self, event):
        """Lookups that nothing else will answer: that of the event, and, as an alarm may be lost, all that
        are overdue.
        """
        own_number = event.id if isinstance(event, (interface.Lookup, interface.SendEnd)) else None
        return [
            lookup.number
            for lookup in self.router.lookups.occupied()
            if not lookup.answered
            and (lookup.number == own_number or lookup.deadline <= self.router.latest_time)
        ]

"""The state machine of a warming, the duty warm/CACHE, as its owner carries it out.

Progress is recorded by steps. A successor that gets the former owner's plan, which the lenders store, leaves
out the steps that are done, so at most one step is filled twice. The plan is only used to leave out names: a
false one warms less, and fills nothing that is not wanted.
"""

from collections import Counter
from typing import NamedTuple

from . import messages, planning

NOTED, BORROWING, PLANNED, WARMING, HELD_BACK, DONE, GIVEN_UP = (
    "noted",
    "borrowing",
    "planned",
    "warming",
    "held back",
    "done",
    "given up",
)
OWNED, LIST_ARRIVED, ENOUGH, PLAN_STORED, EMPTY, PROCEED, ENDED, OVERLOADED, RECOVERED, FINISHED, ABORTED = (
    "owned",
    "came",
    "enough",
    "kept",
    "empty",
    "room",
    "ended",
    "strained",
    "calm",
    "over",
    "void",
)

BORROW_TIMEOUT = 5_000  # 0.5 s: a lender that has not answered by then is not waited for
MAX_CONSECUTIVE_FAILURES = 8  # fills: the cache is down, or its sources are
# 30 s: an overload that lasts longer does not end by waiting, and lookups have warmed the cache meanwhile
MAX_HOLD = 300_000
MAX_LENDERS = 5  # asked at once, since lending costs them time


class Terms(NamedTuple):
    """location(): returns the LocationState; purged: RecentPurges; source_for(entry, in_flight): the source
    of a fill that may be sent now (None: the origin), or False. in_flight: {name: PlanEntry} of the fills in
    flight.
    """

    cache: str
    location: object
    purged: object
    source_for: object
    step_size: int = planning.STEP_SIZE
    lenders: int = MAX_LENDERS
    borrow_timeout: int = BORROW_TIMEOUT
    max_names: int = planning.MAX_NAMES


class Warming:
    """One warming. handle(now, event) returns effects, only for the current owner's number and none after the
    end.
    """

    def __init__(self, terms, borrowed):
        self.terms, self.borrowed, self.state = terms, borrowed, NOTED
        self.number = self.done = 0
        self.awaited_peers, self.former_plans, self.deadline, self.peers = set(), [], 0, ()
        # the current step and the next name in it
        self.steps, self.step_index, self.name_index = [], 0, 0
        self.in_flight, self.purged_names, self.counts = {}, set(), Counter()
        self.now, self.effects, self.cause = 0, [], ""
        self.checked, self.failures_in_a_row, self.held_since = (0, 0), 0, 0
        self.recorded = 0  # steps recorded as done

    def handle(self, now, event):
        """Handles an event and returns the effects."""
        self.now, self.effects = now, []
        self.events[type(event)](self, event)
        return self.effects

    # ---- events, as triggers of the table

    def _owned(self, event):
        self.number, self.done = event.number, event.done
        self.peers = event.lenders[: self.terms.lenders]
        self._step(OWNED)

    def _list_received(self, event):
        if event.lender not in self.awaited_peers:
            return
        self.awaited_peers.discard(event.lender)
        if event.popularity is not None:
            self.borrowed.add(event.lender, event.popularity)
        if event.plan is not None and event.plan.cache == self.terms.cache:
            self.former_plans.append(event.plan)
        self._step(LIST_ARRIVED)

    def _reported(self, event):
        self.recorded = max(self.recorded, event.step)
        self._step(PROCEED)

    def _plan_stored(self, event):
        if event.lender in self.peers:
            self._step(PLAN_STORED)

    def _ticked(self, event):
        if self.state == BORROWING and self.now >= self.deadline:
            self.awaited_peers.clear()
        if self.state == HELD_BACK and self.now >= self.held_since + MAX_HOLD:
            self.cause = messages.HELD_TOO_LONG
            self._step(ABORTED)
        self._step(PROCEED)

    def _overload_changed(self, event):
        self._step(OVERLOADED if event.overloaded else RECOVERED)

    def _aborted(self, event):
        self.cause = event.cause
        self._step(ABORTED)

    def _fill_ended(self, event):
        if self.in_flight.pop(event.name, None) is None:
            return  # duplicate, or of an earlier warming
        self.counts[event.end] += 1
        self.failures_in_a_row = self.failures_in_a_row + 1 if event.end == messages.FAILED else 0
        if event.end == messages.OLD_NUMBER or self.failures_in_a_row >= MAX_CONSECUTIVE_FAILURES:
            self.cause = messages.OLD_NUMBER if event.end == messages.OLD_NUMBER else messages.CACHE_FAILED
            self._step(ABORTED)
        else:
            self._step(ENDED)

    # ---- the loop over the table, and the effects, which may return a further trigger

    def _step(self, trigger):
        while trigger is not None:
            row = self.table.get((self.state, trigger))
            if row is None:
                return
            self.state, effect = row
            trigger = effect(self)

    def _borrow(self):
        self.awaited_peers, self.deadline = set(self.peers), self.now + self.terms.borrow_timeout
        self.effects += [messages.Borrow(lender) for lender in self.peers]
        return self._check_lists()

    def _check_lists(self):
        return None if self.awaited_peers else ENOUGH

    def _plan(self):
        """Makes the plan, behind the steps that are done by the stored plan of the former owner."""
        former = self._former_steps()
        self.done = min(self.done, messages.MAX_STEPS)
        head = [list(step) for step in former[: self.done]]
        head += [[] for _ in range(self.done - len(head))]
        already = frozenset(name for step in head for name in step)
        purged = self.terms.purged
        entries = planning.make_plan(
            self.terms.location(), self.borrowed, purged, already, self.terms.max_names
        )
        self.steps = planning.in_steps(entries, self.terms.step_size)[: messages.MAX_STEPS - self.done]
        self.step_index, self.name_index, self.checked, self.recorded = 0, 0, purged.newest, self.done
        if not self.steps:
            return EMPTY
        plan = messages.WarmupPlan(
            self.terms.cache, self.number, head + [[entry.name for entry in step] for step in self.steps]
        )
        self.effects.append(messages.Store(plan, self.peers))
        self.deadline = self.now + self.terms.borrow_timeout
        return None if self.peers else PLAN_STORED

    def _await_plan_stored(self):
        """Delays the first fill until a lender has stored the plan. Where none answers in time, only the
        cache's own refusal of a name it holds already prevents repeated fills.
        """
        return PLAN_STORED if self.now >= self.deadline else None

    def _former_steps(self):
        """Returns the steps of the newest former owner's plan; where copies differ, those that most lenders
        store.
        """
        plans = [plan for plan in self.former_plans if plan.number < self.number]
        if not plans:
            return []
        votes = Counter((plan.number, repr(plan.steps)) for plan in plans)
        number, chosen = max(votes, key=lambda key: (key[0], votes[key], key[1]))
        return next(
            former.steps for former in plans if former.number == number and repr(former.steps) == chosen
        )

    def _fill(self):
        """Sends the fills of the current step that are possible now. The next step starts when all fills of
        this one have ended and its end is recorded, since a successor would otherwise repeat more than one
        step.
        """
        if self.recorded < self.done:
            return None
        if not self._drop_purged():
            self.cause = messages.PURGED_ALL
            return ABORTED
        step = self.steps[self.step_index]
        while self.name_index < len(step):
            entry = step[self.name_index]
            if entry.name in self.purged_names:
                self.counts["purged"] += 1
            else:
                source = self.terms.source_for(entry, self.in_flight)
                if source is False:
                    break  # no capacity now, at the target or at the source
                self.in_flight[entry.name] = entry
                self.effects.append(messages.Fill(entry.name, entry.group, entry.size, source, self.number))
            self.name_index += 1
        return self._finish_step()

    def _drop_purged(self):
        """Drops the names purged since the last check; returns False where these purges are not known any
        more.
        """
        purged, since = self.terms.purged, self.checked
        if purged.newest == since:
            return True
        self.checked = purged.newest
        remaining = [entry for step in self.steps[self.step_index :] for entry in step]
        self.purged_names |= purged.purged_among(remaining, since)
        return purged.since(since) is not None

    def _finish_step(self):
        if self.in_flight or self.name_index < len(self.steps[self.step_index]):
            return None
        self.done += 1
        self.effects.append(messages.Report(self.number, self.done))
        self.step_index, self.name_index = self.step_index + 1, 0
        return FINISHED if self.step_index == len(self.steps) else None

    def _hold(self):
        self.held_since = self.now

    def _finish(self):
        self.effects.append(messages.Closed(DONE, ""))

    def _give_up(self):
        self.in_flight.clear()
        self.effects.append(messages.Closed(GIVEN_UP, self.cause))

    def _proceed(self):
        return PROCEED

    def _no_effect(self):
        return None


# (state, trigger) -> (next state, effect); other pairs change nothing
TABLE = {
    (NOTED, OWNED): (BORROWING, Warming._borrow),
    (BORROWING, LIST_ARRIVED): (BORROWING, Warming._check_lists),
    (BORROWING, PROCEED): (BORROWING, Warming._check_lists),
    (BORROWING, ENOUGH): (PLANNED, Warming._plan),
    (PLANNED, EMPTY): (DONE, Warming._finish),
    (PLANNED, PLAN_STORED): (WARMING, Warming._fill),
    (PLANNED, PROCEED): (PLANNED, Warming._await_plan_stored),
    (WARMING, PROCEED): (WARMING, Warming._fill),
    (WARMING, ENDED): (WARMING, Warming._proceed),
    (WARMING, OVERLOADED): (HELD_BACK, Warming._hold),
    (WARMING, ABORTED): (GIVEN_UP, Warming._give_up),
    (WARMING, FINISHED): (DONE, Warming._finish),
    (HELD_BACK, ENDED): (HELD_BACK, Warming._no_effect),
    (HELD_BACK, RECOVERED): (WARMING, Warming._fill),
    (NOTED, ABORTED): (GIVEN_UP, Warming._give_up),
    (BORROWING, ABORTED): (GIVEN_UP, Warming._give_up),
    (PLANNED, ABORTED): (GIVEN_UP, Warming._give_up),
    (HELD_BACK, ABORTED): (GIVEN_UP, Warming._give_up),
}

EVENTS = {
    messages.Owned: Warming._owned,
    messages.ListReceived: Warming._list_received,
    messages.PlanStored: Warming._plan_stored,
    messages.Tick: Warming._ticked,
    messages.FillEnded: Warming._fill_ended,
    messages.Reported: Warming._reported,
    messages.OverloadChanged: Warming._overload_changed,
    messages.Aborted: Warming._aborted,
}
Warming.table, Warming.events = TABLE, EVENTS

"""Mistakes seeded on purpose in warming, each in the place of one part: what a check of safety must find."""

from hookrouter.decisions import warming
from hookrouter.decisions.owners.fence import Fence
from hookrouter.decisions.warming import messages, steps


class FillWithoutNumber(warming.Warming):
    def handle(self, now, event):
        return [
            e._replace(number=0) if isinstance(e, messages.Fill) else e for e in super().handle(now, event)
        ]


class NoFence(Fence):
    def admit(self, duty, number):
        return True


class PurgeBetweenListAndFillLost(warming.RecentPurges):
    def purged_among(self, wanted, since=(0, 0)):
        return super().purged_among(wanted) if since == (0, 0) else set()


class PurgeOfBeforeTheListsForgotten(warming.RecentPurges):
    """A purge that came between two lists counts by the newest list's number."""

    def purged_among(self, wanted, since=(0, 0)):
        return set() if since == (0, 0) else super().purged_among(wanted, since)


class DrainingSource(warming.FillGate):
    def _source(self, entry):
        return entry.source


class DrainingTarget(warming.FillGate):
    def update(self, now, open, *more):
        super().update(now, True, *more)


class TriedAgain(warming.Warming):
    """What failed goes to the end of its step."""

    def _fill_ended(self, event):
        entry = self.in_flight.get(event.name)
        if event.end == messages.FAILED and entry is not None and self.state == steps.WARMING:
            self.steps[self.step_index].append(entry)
        super()._fill_ended(event)

    events = {**steps.EVENTS, messages.FillEnded: _fill_ended}


class ProgressForgotten(warming.Warming):
    def _former_steps(self):
        return []


class NextStepUntold(warming.Warming):
    """It goes on before the keepers know of the step before."""

    def _fill(self):
        self.recorded = self.done
        return super()._fill()

    table = {**steps.TABLE, (steps.WARMING, steps.PROCEED): (steps.WARMING, _fill)}


class FillsBeforeCourseIsKept(warming.Warming):
    def _plan(self):
        return super()._plan() or steps.PLAN_STORED

    table = {**steps.TABLE, (steps.BORROWING, steps.ENOUGH): (steps.PLANNED, _plan)}


def dated_anew(order):
    """A warmed copy bears the time of its fill and not its source's."""
    return max([n for n, _ in order], default=0)


class LookupsNotFirst(warming.Allowance):
    def spend_lookup(self, now, cost):
        pass


class ColdAllowanceExceeded(warming.Allowance):
    def try_fill(self, now, cost):
        return super().fill(now, 0)


class OthersUnheeded(warming.Allowance):
    def set_others(self, now, age, rate):
        super().set_others(now, age, 0.0)


class LiarUnbounded(warming.BorrowedLists):
    def total_cap(self):
        return max(popularity.total for popularity in self.lists.values())


class AddedTwice(warming.BorrowedLists):
    def add(self, lender, popularity):
        return super().add(f"{lender}.{len(self.lists)}", popularity)


def merged_twice(one, other):
    return warming.merge(warming.merge(one, other), other)


# What it takes the place of, and the mistake.
MISTAKES = (
    ("warming", FillWithoutNumber),
    ("fence", NoFence),
    ("purged", PurgeBetweenListAndFillLost),
    ("purged", PurgeOfBeforeTheListsForgotten),
    ("doors", DrainingSource),
    ("doors", DrainingTarget),
    ("warming", TriedAgain),
    ("warming", ProgressForgotten),
    ("warming", NextStepUntold),
    ("warming", FillsBeforeCourseIsKept),
    ("dated", dated_anew),
    ("allowance", LookupsNotFirst),
    ("allowance", ColdAllowanceExceeded),
    ("allowance", OthersUnheeded),
    ("borrowed", LiarUnbounded),
    ("borrowed", AddedTwice),
    ("merge", merged_twice),
)

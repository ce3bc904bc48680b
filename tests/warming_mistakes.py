"""Seeded mistakes in warming, each in one component: the checks must find each of them."""

from hookrouter.decisions import warming
from hookrouter.decisions.owners.fence import Fence
from hookrouter.decisions.warming import messages, steps


class FillWithoutNumber(warming.Warming):
    """Sends fills without a fencing token."""

    def handle(self, now, event):
        return [
            e._replace(number=0) if isinstance(e, messages.Fill) else e for e in super().handle(now, event)
        ]


class NoFence(Fence):
    """Admits every fencing token."""

    def admit(self, duty, number):
        return True


class PurgeBetweenListAndFillLost(warming.RecentPurges):
    """Ignores purges between the list and the fill."""

    def purged_among(self, wanted, since=(0, 0)):
        return super().purged_among(wanted) if since == (0, 0) else set()


class PurgeOfBeforeTheListsForgotten(warming.RecentPurges):
    """Counts purges between two lists by the newest list's number."""

    def purged_among(self, wanted, since=(0, 0)):
        return set() if since == (0, 0) else super().purged_among(wanted, since)


class DrainingSource(warming.FillGate):
    """Fills from the planned source although it is draining."""

    def _source(self, entry):
        return entry.source


class DrainingTarget(warming.FillGate):
    """Fills a target that is draining."""

    def update(self, now, open, *more):
        super().update(now, True, *more)


class TriedAgain(warming.Warming):
    """Retries a failed fill at the end of its step."""

    def _fill_ended(self, event):
        entry = self.in_flight.get(event.name)
        if event.end == messages.FAILED and entry is not None and self.state == steps.WARMING:
            self.steps[self.step_index].append(entry)
        super()._fill_ended(event)

    events = {**steps.EVENTS, messages.FillEnded: _fill_ended}


class ProgressForgotten(warming.Warming):
    """Ignores the steps of the former owner's plan."""

    def _former_steps(self):
        return []


class NextStepUntold(warming.Warming):
    """Starts a step before the one before it is recorded."""

    def _fill(self):
        self.recorded = self.done
        return super()._fill()

    table = {**steps.TABLE, (steps.WARMING, steps.PROCEED): (steps.WARMING, _fill)}


class FillsBeforeCourseIsKept(warming.Warming):
    """Starts to fill before the plan is stored."""

    def _plan(self):
        return super()._plan() or steps.PLAN_STORED

    table = {**steps.TABLE, (steps.BORROWING, steps.ENOUGH): (steps.PLANNED, _plan)}


def dated_anew(order):
    """Dates a warmed copy by its fill instead of its source."""
    return max([n for n, _ in order], default=0)


class LookupsNotFirst(warming.Allowance):
    """Does not charge lookups to the allowance."""

    def spend_lookup(self, now, cost):
        pass


class ColdAllowanceExceeded(warming.Allowance):
    """Does not charge fills to the allowance."""

    def try_fill(self, now, cost):
        return super().try_fill(now, 0)


class OthersUnheeded(warming.Allowance):
    """Takes the others' load for zero."""

    def set_others(self, now, age, rate):
        super().set_others(now, age, 0.0)


class LiarUnbounded(warming.BorrowedLists):
    """Does not cap the total of a lender at the median."""

    def total_cap(self):
        return max(popularity.total for popularity in self.lists.values())


class AddedTwice(warming.BorrowedLists):
    """Counts each further list of a lender as that of another one."""

    def add(self, lender, popularity):
        return super().add(f"{lender}.{len(self.lists)}", popularity)


def merged_twice(one, other):
    return warming.merge(warming.merge(one, other), other)


# (name of the component, its replacement)
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

"""Mistakes seeded on purpose in warming, each in the place of one part: what a check of safety must find."""

from hookrouter.decisions import warming as d
from hookrouter.decisions.owners.fence import Fence
from hookrouter.decisions.warming import steps as s
from hookrouter.decisions.warming import words as w


class FillWithoutNumber(d.Warming):
    def take(self, now, event):
        return [e._replace(number=0) if isinstance(e, w.Fill) else e for e in super().take(now, event)]


class NoFence(Fence):
    def admit(self, duty, number):
        return True


class PurgeBetweenListAndFillLost(d.Purged):
    def struck(self, wanted, since=(0, 0)):
        return super().struck(wanted) if since == (0, 0) else set()


class PurgeOfBeforeTheListsForgotten(d.Purged):
    """A purge that came between two lists counts by the newest list's number."""

    def struck(self, wanted, since=(0, 0)):
        return set() if since == (0, 0) else super().struck(wanted, since)


class DrainingSource(d.Doors):
    def _source(self, entry):
        return entry.source


class DrainingTarget(d.Doors):
    def told(self, now, open, *more):
        super().told(now, True, *more)


class TriedAgain(d.Warming):
    """What failed goes to the end of its step."""

    def _ended(self, event):
        entry = self.out.get(event.name)
        if event.end == w.FAILED and entry is not None and self.state == s.WARMING:
            self.steps[self.at].append(entry)
        super()._ended(event)

    events = {**s.EVENTS, w.Ended: _ended}


class ProgressForgotten(d.Warming):
    def _former(self):
        return []


class NextStepUntold(d.Warming):
    """It goes on before the keepers know of the step before."""

    def _fill(self):
        self.told = self.done
        return super()._fill()

    table = {**s.TABLE, (s.WARMING, s.ROOM): (s.WARMING, _fill)}


class FillsBeforeCourseIsKept(d.Warming):
    def _plan(self):
        return super()._plan() or s.KEPT

    table = {**s.TABLE, (s.BORROWING, s.ENOUGH): (s.PLANNED, _plan)}


def dated_anew(order):
    """A warmed copy bears the time of its fill and not its source's."""
    return max([n for n, _ in order], default=0)


class LookupsNotFirst(d.Allowance):
    def looked(self, now, cost):
        pass


class ColdAllowanceExceeded(d.Allowance):
    def fill(self, now, cost):
        return super().fill(now, 0)


class OthersUnheeded(d.Allowance):
    def told(self, now, age, rate):
        super().told(now, age, 0.0)


class LiarUnbounded(d.Borrowed):
    def cap(self):
        return max(lent.total for lent in self.lists.values())


class AddedTwice(d.Borrowed):
    def take(self, lender, lent):
        return super().take(f"{lender}.{len(self.lists)}", lent)


def merged_twice(one, other):
    return d.merge(d.merge(one, other), other)


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

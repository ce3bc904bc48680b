"""Mistakes seeded on purpose into spread: a check that finds none of them is no check."""

from hookrouter.decisions.spread import Spread, reported_load, shares, trickle
from hookrouter.decisions.spread.load_estimates import LoadEstimates
from hookrouter.decisions.spread.shares import BORROWED, HELD, Shares, Unit


class LapsedStillSpent(Shares):
    """What was lent is spent beyond its lease."""

    def expire(self, row, now, wall):
        lent, row.borrowed_units = row.borrowed_units, {}
        super().expire(row, now, wall)
        row.borrowed_units = {
            number: unit for number, unit in lent.items() if unit.state == HELD or now < unit.expires_at
        }


class CountedTwice(Shares):
    """A ceded unit is taken back before its lease is over: after a split both sides spend it."""

    def _cede_unit(self, row, own, now, wall, request_id):
        super()._cede_unit(row, own, now, wall, request_id)
        own.expires_at = now + (own.expires_at - now) // 2


class TellsBeforeItReduces(Shares):
    """The word goes out, the own spending stops with the next one."""

    def _handle_request(self, row, now, wall, sender, request):
        own, before = row.own_unit, row.own_unit.last_turn
        posts = super()._handle_request(row, now, wall, sender, request)
        if posts and own.state == shares.CEDED and own.last_turn != before:
            own.granted = (*own.granted[:3], before)
        return posts


class LeaseWithoutDrift(Shares):
    def __init__(self, terms, incarnation, now):
        super().__init__(terms, incarnation, now)
        self.cede_duration = terms.lease


class LeaseFromHearing(Shares):
    """The asker counts its lease from when the answer came."""

    def receive(self, now, wall, sender, message):
        row = self.rows.get(message.cache)
        unit = row and isinstance(message, shares.UnitGrant) and row.borrowed_units.get(message.number)
        if unit and unit.state == shares.ASKED:
            unit.expires_at = now + self.terms.lease
        return super().receive(now, wall, sender, message)


class DoubledCedeAddsTwice(Shares):
    """A cede that is heard again is one more."""

    def _handle_grant(self, row, grant):
        super()._handle_grant(row, grant)
        unit = row.borrowed_units.get(grant.number)
        if grant.incarnation == self.incarnation and unit is not None and unit.number == grant.unit:
            self.requests_made += 1
            more = row.borrowed_units[self.requests_made] = Unit(
                BORROWED, HELD, unit.expires_at + self.terms.lease, grant.unit, grant.last_turn
            )
            more.budget = self.terms.turn_work
        return []


class FormerLifeForgotten(Shares):
    """One that starts spends its unit, which it may have ceded before."""

    def start(self, cache, born, weight, cold, now, wall):
        super().start(cache, born, weight, cold, now, wall)
        self.rows[cache].own.state = HELD


class OpenTurnSpentByBoth(Shares):
    """The turn that is open when a unit changes hands is the receiver's too."""

    def _handle_grant(self, row, grant):
        return super()._handle_grant(
            row, shares.UnitGrant(grant.cache, grant.born, grant.incarnation, grant.number, grant.unit, -1)
        )


class OldCedeTaken(Shares):
    """An answer to whatever it asked once, in any life."""

    def _handle_grant(self, row, grant):
        if grant.number not in row.borrowed_units or row.borrowed_units[grant.number].state != shares.ASKED:
            self.requests_made += 1
            row.borrowed_units[grant.number] = Unit(
                BORROWED, shares.ASKED, self.requests_made and row.own_unit.expires_at + (1 << 40)
            )
        return super()._handle_grant(
            row,
            shares.UnitGrant(
                grant.cache, grant.born, self.incarnation, grant.number, grant.unit, grant.last_turn
            ),
        )


class NewsNeverAge(LoadEstimates):
    def others(self, cache, now):
        row = self.rows.get(cache)
        return None if row is None or row.updated_at is None else row.level


class LiarUnbounded(LoadEstimates):
    """Whatever is told is so."""

    def follow(self, row, target, now):
        return row.report.in_flight


class FollowsAtOnce(LoadEstimates):
    """As old as they are, the news are what a level is."""

    def follow(self, row, target, now):
        return target


class OldNewsHold(LoadEstimates):
    """What is heard last counts, not what was seen last."""

    def record(self, now, summary):
        row = self.rows.get(summary.cache)
        if row is not None:
            row.report.measured_at = None
        super().record(now, summary)


class OwnCountedTwice(Spread):
    """Its own sends are among the others' too."""

    def sent(self, cache, now, cost):
        super().sent(cache, now, cost)
        self.loads.rows[cache].level += 1


class IdleNeverTried(trickle.Trickle):
    """Only the first in the order ever tries."""

    def tries(self, cache, now):
        row = self.rows.get(cache)
        return row is None or row.state != trickle.SOUGHT or self.rank(cache) == 0


class FoundByAllAtOnce(trickle.Trickle):
    def tries(self, cache, now):
        return True


class HeldOffByALiar(trickle.Trickle):
    """While one says that it is sick nobody else tries."""

    def tries(self, cache, now):
        row = self.rows.get(cache)
        return row is None or row.state != trickle.SOUGHT or now - row.last_result_at >= trickle.MAX_WAIT


class DoubtedIsFresh(LoadEstimates):
    """News under doubt weigh as much as others."""

    def discounted(self, row, now):
        if row.report.state == reported_load.DOUBTED:
            row.report.state = reported_load.FRESH
        return super().discounted(row, now)


MISTAKES = (
    LapsedStillSpent,
    CountedTwice,
    TellsBeforeItReduces,
    LeaseWithoutDrift,
    LeaseFromHearing,
    DoubledCedeAddsTwice,
    FormerLifeForgotten,
    OpenTurnSpentByBoth,
    OldCedeTaken,
    NewsNeverAge,
    LiarUnbounded,
    FollowsAtOnce,
    OldNewsHold,
    OwnCountedTwice,
    IdleNeverTried,
    FoundByAllAtOnce,
    HeldOffByALiar,
    DoubtedIsFresh,
)

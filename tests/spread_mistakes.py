"""Seeded mistakes in the decisions of spread: the checks must find each of them."""

from hookrouter.decisions.spread import Spread, reported_load, shares, trickle
from hookrouter.decisions.spread.load_estimates import LoadEstimates
from hookrouter.decisions.spread.shares import BORROWED, HELD, Shares, Unit


class LapsedStillSpent(Shares):
    """Spends a borrowed unit beyond its lease."""

    def expire(self, row, now, wall):
        lent, row.borrowed_units = row.borrowed_units, {}
        super().expire(row, now, wall)
        row.borrowed_units = {
            number: unit for number, unit in lent.items() if unit.state == HELD or now < unit.expires_at
        }


class CountedTwice(Shares):
    """Takes a ceded unit back before its lease is over: after a partition both sides spend it."""

    def _cede_unit(self, row, own, now, wall, request_id):
        super()._cede_unit(row, own, now, wall, request_id)
        own.expires_at = now + (own.expires_at - now) // 2


class TellsBeforeItReduces(Shares):
    """Sends the grant first and stops its own spending one turn too late."""

    def _handle_request(self, row, now, wall, sender, request):
        own, before = row.own_unit, row.own_unit.last_turn
        posts = super()._handle_request(row, now, wall, sender, request)
        if posts and own.state == shares.CEDED and own.last_turn != before:
            own.granted = (*own.granted[:3], before)
        return posts


class LeaseWithoutDrift(Shares):
    """Cedes a unit for the requester's lease without the drift of the clocks."""

    def __init__(self, terms, incarnation, now):
        super().__init__(terms, incarnation, now)
        self.cede_duration = terms.lease


class LeaseFromHearing(Shares):
    """Counts the requester's lease from the arrival of the grant."""

    def receive(self, now, wall, sender, message):
        row = self.rows.get(message.cache)
        unit = row and isinstance(message, shares.UnitGrant) and row.borrowed_units.get(message.number)
        if unit and unit.state == shares.ASKED:
            unit.expires_at = now + self.terms.lease
        return super().receive(now, wall, sender, message)


class DoubledCedeAddsTwice(Shares):
    """Counts a duplicate grant as another unit."""

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
    """Spends its unit after a restart, though a former incarnation may have ceded it."""

    def start(self, cache, born, weight, cold, now, wall):
        super().start(cache, born, weight, cold, now, wall)
        self.rows[cache].own_unit.state = HELD


class OpenTurnSpentByBoth(Shares):
    """Lets the receiver of a unit spend the turn that is open at the change of hands, too."""

    def _handle_grant(self, row, grant):
        return super()._handle_grant(
            row, shares.UnitGrant(grant.cache, grant.born, grant.incarnation, grant.number, grant.unit, -1)
        )


class OldCedeTaken(Shares):
    """Accepts a grant for any request it ever made, in any incarnation."""

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
    """Does not let reports expire."""

    def others(self, cache, now):
        row = self.rows.get(cache)
        return None if row is None or row.updated_at is None else row.level


class LiarUnbounded(LoadEstimates):
    """Trusts each report without a bound."""

    def follow(self, row, target, now):
        return row.report.in_flight


class FollowsAtOnce(LoadEstimates):
    """Sets the level to the report at once, whatever its age."""

    def follow(self, row, target, now):
        return target


class OldNewsHold(LoadEstimates):
    """Takes the report that arrived last for the newest."""

    def record(self, now, summary):
        row = self.rows.get(summary.cache)
        if row is not None:
            row.report.measured_at = None
        super().record(now, summary)


class OwnCountedTwice(Spread):
    """Counts its own sends among the others'."""

    def sent(self, cache, now, cost):
        super().sent(cache, now, cost)
        self.loads.rows[cache].level += 1


class IdleNeverTried(trickle.Trickle):
    """Lets only the first member in the order ever probe."""

    def tries(self, cache, now):
        row = self.rows.get(cache)
        return row is None or row.state != trickle.SOUGHT or self.rank(cache) == 0


class FoundByAllAtOnce(trickle.Trickle):
    """Lets all members probe at once."""

    def tries(self, cache, now):
        return True


class HeldOffByALiar(trickle.Trickle):
    """Stops probing while a member reports failures."""

    def tries(self, cache, now):
        row = self.rows.get(cache)
        return row is None or row.state != trickle.SOUGHT or now - row.last_result_at >= trickle.MAX_WAIT


class DoubtedIsFresh(LoadEstimates):
    """Gives doubted reports the weight of others."""

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

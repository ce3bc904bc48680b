"""Mistakes seeded on purpose into spread: a check that finds none of them is no check."""

from hookrouter.decisions.spread import Spread, shares, sources, trickle
from hookrouter.decisions.spread.busy import Busy
from hookrouter.decisions.spread.shares import HELD, LENT, Shares, Unit


class LapsedStillSpent(Shares):
    """What was lent is spent beyond its lease."""

    def look(self, row, now, wall):
        lent, row.lent = row.lent, {}
        super().look(row, now, wall)
        row.lent = {number: unit for number, unit in lent.items() if unit.state == HELD or now < unit.until}


class CountedTwice(Shares):
    """A ceded unit is taken back before its lease is over: after a split both sides spend it."""

    def _reduce(self, row, own, now, wall, asking):
        super()._reduce(row, own, now, wall, asking)
        own.until = now + (own.until - now) // 2


class TellsBeforeItReduces(Shares):
    """The word goes out, the own spending stops with the next one."""

    def _ask(self, row, now, wall, sender, ask):
        own, before = row.own, row.own.after
        posts = super()._ask(row, now, wall, sender, ask)
        if posts and own.state == shares.CEDED and own.after != before:
            own.given = (*own.given[:3], before)
        return posts


class LeaseWithoutDrift(Shares):
    def __init__(self, terms, life, now):
        super().__init__(terms, life, now)
        self.away_for = terms.lease


class LeaseFromHearing(Shares):
    """The asker counts its lease from when the answer came."""

    def heard(self, now, wall, sender, message):
        row = self.rows.get(message.cache)
        unit = row and isinstance(message, shares.Cede) and row.lent.get(message.number)
        if unit and unit.state == shares.ASKED:
            unit.until = now + self.terms.lease
        return super().heard(now, wall, sender, message)


class DoubledCedeAddsTwice(Shares):
    """A cede that is heard again is one more."""

    def _cede(self, row, cede):
        super()._cede(row, cede)
        unit = row.lent.get(cede.number)
        if cede.life == self.life and unit is not None and unit.unit == cede.unit:
            self.asked += 1
            more = row.lent[self.asked] = Unit(
                LENT, HELD, unit.until + self.terms.lease, cede.unit, cede.after
            )
            more.purse = self.terms.lump
        return []


class FormerLifeForgotten(Shares):
    """One that starts spends its unit, which it may have ceded before."""

    def start(self, cache, born, weight, cold, now, wall):
        super().start(cache, born, weight, cold, now, wall)
        self.rows[cache].own.state = HELD


class OpenTurnSpentByBoth(Shares):
    """The turn that is open when a unit changes hands is the receiver's too."""

    def _cede(self, row, cede):
        return super()._cede(row, shares.Cede(cede.cache, cede.born, cede.life, cede.number, cede.unit, -1))


class OldCedeTaken(Shares):
    """An answer to whatever it asked once, in any life."""

    def _cede(self, row, cede):
        if cede.number not in row.lent or row.lent[cede.number].state != shares.ASKED:
            self.asked += 1
            row.lent[cede.number] = Unit(LENT, shares.ASKED, self.asked and row.own.until + (1 << 40))
        return super()._cede(
            row, shares.Cede(cede.cache, cede.born, self.life, cede.number, cede.unit, cede.after)
        )


class NewsNeverAge(Busy):
    def others(self, cache, now):
        row = self.rows.get(cache)
        return None if row is None or row.at is None else row.level


class LiarUnbounded(Busy):
    """Whatever is told is so."""

    def follow(self, row, told, now):
        return row.source.out


class FollowsAtOnce(Busy):
    """As old as they are, the news are what a level is."""

    def follow(self, row, told, now):
        return told


class OldNewsHold(Busy):
    """What is heard last counts, not what was seen last."""

    def news(self, now, summary):
        row = self.rows.get(summary.cache)
        if row is not None:
            row.source.made = None
        super().news(now, summary)


class OwnCountedTwice(Spread):
    """Its own sends are among the others' too."""

    def sent(self, cache, now, cost):
        super().sent(cache, now, cost)
        self.busy.rows[cache].level += 1


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
        return row is None or row.state != trickle.SOUGHT or now - row.quiet >= trickle.MOST_WAIT


class DoubtedIsFresh(Busy):
    """News under doubt weigh as much as others."""

    def told(self, row, now):
        if row.source.state == sources.DOUBTED:
            row.source.state = sources.FRESH
        return super().told(row, now)


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

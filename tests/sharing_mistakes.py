"""Mistakes seeded on purpose into what members share: a check that finds none of them is no check."""

from hookrouter.decisions.sharing import words as w
from hookrouter.decisions.sharing.board import Board
from hookrouter.decisions.sharing.exchange import Exchange
from hookrouter.decisions.sharing.soft import Adopted


class AddsTwiceBoard(Board):
    def _put(self, teller, block, born):
        before = dict(teller.rows)
        changed = super()._put(teller, block, born)
        for key, row in list(teller.rows.items()):
            if key in before and before[key][0] == row[0]:  # the same saying once more
                teller.rows[key] = (row[0], row[1] + before[key][1], row[2])
        return changed


class AddsTwice(Exchange):
    """A saying that comes again counts again."""

    boards = AddsTwiceBoard


class NeverAgesBoard(Board):
    def blocks(self, now, name, after=-1):
        return [
            w.Block(b.teller, b.life, b.number, 0, b.count, b.whole, b.loads)
            for b in super().blocks(now, name, after)
        ]

    def forget(self, now, living=None):
        return {}


class NewsNeverAges(Exchange):
    boards = NeverAgesBoard


class FormerLifeBoard(Board):
    def _holds(self, block, teller):
        return block.number >= teller.number

    def forget(self, now, living=None):
        return super().forget(now)


class FormerLifeWins(Exchange):
    """The higher number holds, whichever life said it, and whether that one lives."""

    boards = FormerLifeBoard

    def _believed(self, block):
        return block.teller != self.name


class LastHeardBoard(Board):
    def _put(self, teller, block, born):
        teller.number, teller.floor, teller.rows, teller.borns = -1, -1, {}, {}
        return super()._put(teller, block, born)

    def _holds(self, block, teller):
        return block.life >= teller.life


class LastHeardWins(Exchange):
    """What comes last holds, though it was said before."""

    boards = LastHeardBoard

    def _charged(self, heard):
        self.charges.rows.pop(heard.message.block.teller, None)
        super()._charged(heard)


class NoBoundBoard(Board):
    cut = staticmethod(lambda claims, shares, floor: (sum(claims), False))


class NoBound(Exchange):
    """A claim counts as it is told."""

    boards = NoBoundBoard


class StepBoard(Board):
    fade = staticmethod(lambda age, silent_after: 1.0 if age < silent_after else 0.0)


class StepAtTheEnd(Exchange):
    """News counts in full until it is too old."""

    boards = StepBoard


class CountsItself(Exchange):
    """Its own load is among the others'."""

    def summary(self, cache, source=""):
        return self.board.summary(self.now, cache, len(self.names), self.counts_of, source)


class ToldSetsAside:
    """What neighbours tell counts as seen."""

    @staticmethod
    def adopted(told):
        return Adopted({row.cache: row.strikes for learnt in told for row in learnt.caches}, {}, {}, {})


MISTAKES = (
    AddsTwice,
    NewsNeverAges,
    FormerLifeWins,
    LastHeardWins,
    NoBound,
    StepAtTheEnd,
    CountsItself,
    ToldSetsAside,
)

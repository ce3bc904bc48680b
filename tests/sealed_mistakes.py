"""Mistakes of orders with sealed parts, seeded on purpose, one each: what their checks must find."""

from hookrouter.purges.catalogue import Catalogue
from hookrouter.purges.catch_up import CatchUp
from hookrouter.purges.place import Place
from hookrouter.purges.retention.archive import Archive
from hookrouter.purges.tail import Snapshot, Tail


class LostAtTheSeal(Tail):
    """One purge in four leaves the exact part and gets into no slice."""

    count = 0

    def _keep(self, purge):
        before = len(self.sealable)
        super()._keep(purge)
        if len(self.sealable) == before == self.most_names:
            self.count += 1
            if self.count % 4 == 0 and self.archive.slices:
                self.archive.slices.popitem()


class SealedSinceListedLost(Tail):
    """What was sealed since the slices were listed is in no snapshot."""

    def snapshot(self, *whole):
        purges, rows = super().snapshot(*whole)
        unlisted = set(self.catalogue.listed()[1])
        return Snapshot([purge for purge in purges if purge not in unlisted], rows)


class EveryBranchIsThis(Tail):
    """A position of another epoch counts as one of this order."""

    def _on_branch(self, position):
        return position.n <= self.newest.n


class OldBytesListed(Catalogue):
    """A slice that has grown is listed as it was."""

    def _list(self):
        for key, row in self._known.items():
            if key in self._archive.slices:
                self._known[key] = row._replace(version=self._archive.slices[key].version)
        super()._list()


class OldSlices(Tail):
    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.catalogue = OldBytesListed(self.archive, 2)


class DroppedEarly(Archive):
    """Dropped once the slice's first purges are older than the hold, not its last."""

    def fold(self, before):
        gone = [key for key in self.slices if key.span * self.length < before]
        for key in gone:
            del self.slices[key]
        return gone


class BoundOfTheStart(Archive):
    """The bound is rounded to the slice's start."""

    def add(self, purge):
        super().add(purge)
        key = self.key_of(purge)
        self.slices[key].bound = key.span * self.length


class MergedBoundForgotten(Archive):
    """The bound of what is merged does not count."""

    def merge(self, other):
        super().merge(other._replace(bound=0))


def tail_with(archive):
    """A Tail whose archive is of that type."""

    def make(hold, epoch=0, **more):
        given = more.pop("archive")
        return Tail(hold, epoch, archive=archive(hold, given.most_sealed), **more)

    return make


class LeaseBeforeSlices(CatchUp):
    """Nothing counts as missing once the purges of a snapshot have come."""

    def listed(self, rows, before):
        super().listed(rows, before)
        self.pending = False


class HalfASnapshot(CatchUp):
    """The second half of the slices is never asked for."""

    def listed(self, rows, before):
        rows = list(rows)
        super().listed(rows[: len(rows) // 2], before)


class WholeAtOnce(CatchUp):
    """All that is sealed counts as held as soon as it is listed."""

    def whole(self, position):
        return position


def place_with(catch_up):
    """A Place that catches up so."""

    def make():
        place = Place()
        place.catch_up = catch_up()
        return place

    return make


# Name -> what World and the plays of test_sealed_order.py are made with.
MISTAKES = {
    "lost at the seal": {"make_tail": LostAtTheSeal},
    "sealed since listed lost": {"make_tail": SealedSinceListedLost},
    "every branch is this": {"make_tail": EveryBranchIsThis},
    "old slices": {"make_tail": OldSlices},
    "dropped early": {"make_tail": tail_with(DroppedEarly)},
    "bound of the start": {"make_tail": tail_with(BoundOfTheStart)},
    "merged bound forgotten": {"make_tail": tail_with(MergedBoundForgotten)},
    "lease before slices": {"make_place": place_with(LeaseBeforeSlices)},
    "half a snapshot": {"make_place": place_with(HalfASnapshot)},
    "whole at once": {"make_place": place_with(WholeAtOnce)},
}

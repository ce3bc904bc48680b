"""Bounds by name: the recent ones one by one, older ones sealed, what fits into neither shared."""

from enum import Enum
from itertools import islice
from zlib import crc32

from .bounds import Bound, BoundTable
from .retention.sealed import SealedNames

SHARED = 1 << 14  # bounds for names beyond the most: one purge more costs one object in so many a fill
LONGEST_NAME = 256  # characters of a tag or object that is kept as it is
SEALED_AT_ONCE = 32  # bounds that one purge moves to the slices: well under a millisecond


class Kept(Enum):
    """How a purge is kept, by what it costs names that it does not concern."""

    EXACT = "exact"  # by name or pattern: nothing
    COVERED = "covered"  # a slice binds its name as strictly already: nothing more
    SHARED = "shared"  # with the names of the same shared bound: they are filled anew once
    EVERY_NAME = "every name"  # against all: every copy has to be filled anew


class Names:
    """Bounds by name, so many at most. Beyond it the oldest are sealed; one that must not be sealed yet
    shares a bound with others by a stable hash, never laxer.
    """

    def __init__(self, most: int, sealed: SealedNames | None = None) -> None:
        """sealed: takes what is past the most; None: all that is past it shares bounds."""
        self.most, self.sealed = most, sealed
        self.own, self.shared = BoundTable(), BoundTable()

    def __len__(self) -> int:
        """Bounds that stand one by one or shared."""
        return len(self.own) + len(self.shared)

    def raise_to(self, name: str, made: int, told: int, grace: int, binding: int) -> Kept:
        """One more purge of that name. binding: what was told by then binds every answer."""
        if name not in self.own:
            if self.sealed is not None and self.sealed.covers(name, made):
                return Kept.COVERED
            if not self._has_room(name, binding):
                self.shared.raise_to(slot_of(name), made, told, grace)
                return Kept.SHARED
        self.own.raise_to(name, made, told, grace)
        return Kept.EXACT

    def forget(self, before: int, now: int) -> bool:
        """Drops what is older than the hold; true where something went."""
        gone = bool(self.own.forget(before))
        gone |= bool(self.shared.forget(before))
        return gone | (self.sealed is not None and self.sealed.work(now))

    def find(self, name: str) -> tuple[Bound | None, Bound | None, Bound | None]:
        """Up to three bounds that count for this name."""
        shared = self.shared.get(slot_of(name)) if self.shared else None
        sealed = self.sealed.find(name) if self.sealed is not None and self.sealed.slices else None
        return self.own.get(name), shared, sealed

    def _has_room(self, name: str, binding: int) -> bool:
        if len(name) > LONGEST_NAME:
            return False
        if len(self.own) >= self.most and self.sealed is not None:
            seal_oldest(self.own, self.most, self.sealed, binding)
        return len(self.own) < self.most


def seal_oldest(own: BoundTable, most: int, sealed: SealedNames, binding: int) -> None:
    """Moves some of the bounds told first to the slices: only such as bind every answer by now."""
    count = min(SEALED_AT_ONCE, max(1, most // 4))
    for name, bound in list(islice(own.items(), count)):
        if bound.told <= binding:
            sealed.seal(name, bound)
            del own[name]


def slot_of(name: str) -> int:
    """The number of the shared bound of a name."""
    return crc32(name.encode()) % SHARED

"""Bounds by prefix: looked up by each length in use, the recent ones one by one, older ones sealed."""

from collections import Counter
from collections.abc import Iterable, Iterator

from .bounds import Bound, BoundTable
from .names import Kept, seal_oldest
from .retention.archive import SliceState
from .retention.geometry import sealed_length
from .retention.sealed import SealedNames
from .retention.slices import Slice

MOST_PREFIXES = 4_096  # that stand one by one


class SealedPrefixes(SealedNames):
    """Sealed prefixes: a name is asked under each length that is in use in a live slice."""

    def __init__(self, kind: str, hold: int, most: int) -> None:
        """As SealedNames."""
        super().__init__(kind, hold, most)
        self._lengths: tuple[int, ...] = ()
        self._lengths_of: dict[Slice, set[int]] = {}

    def covers(self, name: str, made: int) -> bool:
        """As SealedNames, under the sealed length."""
        return super().covers(name[: sealed_length(name)], made)

    def seal(self, name: str, bound: Bound) -> None:
        """As SealedNames, under the sealed length."""
        length = sealed_length(name)
        self._have_lengths(self._sealed_into(name[:length], bound), (length,))

    def work(self, now: int) -> bool:
        """As SealedNames; lengths go with the last slice that has them."""
        dropped = super().work(now)
        if dropped:
            live = set(self.slices.live())
            self._lengths_of = {one: found for one, found in self._lengths_of.items() if one in live}
            self._lengths = tuple(sorted(set().union(*self._lengths_of.values())))
        return dropped

    def _adopting(self, other: SliceState, bound: int) -> Slice:
        into = super()._adopting(other, bound)
        self._have_lengths(into, other.lengths)
        return into

    def _have_lengths(self, one: Slice, lengths: Iterable[int]) -> None:
        """Prefixes of these lengths are in that slice from now on."""
        self._lengths_of.setdefault(one, set()).update(lengths)
        if not set(self._lengths).issuperset(lengths):
            self._lengths = tuple(sorted({*self._lengths, *lengths}))

    def _bound_of(self, name: str) -> int:
        found = (self._bound_at(name[:length]) for length in self._lengths if length <= len(name))
        return max(found, default=0)


class Prefixes:
    """All live prefixes, and the bounds of those that a name begins with."""

    def __init__(self, sealed: SealedPrefixes, most: int = MOST_PREFIXES) -> None:
        """most: that stand one by one; beyond it the oldest are sealed."""
        self.most, self.sealed = most, sealed
        self.own = BoundTable()
        self._lengths: Counter[int] = Counter()  # of those that stand one by one

    def __len__(self) -> int:
        """Prefixes that stand one by one."""
        return len(self.own)

    def __bool__(self) -> bool:
        """Whether a lookup has to ask here."""
        return bool(self.own or self.sealed.slices)

    def raise_to(self, prefix: str, made: int, told: int, grace: int, binding: int) -> Kept:
        """One more purge of that prefix. binding: what was told by then binds every answer."""
        if prefix not in self.own:
            if self.sealed.covers(prefix, made):
                return Kept.COVERED
            if len(self.own) >= self.most:
                seal_oldest(self.own, self.most, self.sealed, binding)
                self._lengths = Counter(map(len, self.own))
            if len(self.own) >= self.most:
                return Kept.EVERY_NAME
            self._lengths[len(prefix)] += 1
        self.own.raise_to(prefix, made, told, grace)
        return Kept.EXACT

    def forget(self, before: int, now: int) -> bool:
        """Drops what is older than the hold; true where something went."""
        gone = self.own.forget(before)
        if gone:
            self._lengths -= Counter(map(len, gone))
        return bool(gone) | self.sealed.work(now)

    def find(self, name: str) -> Iterator[Bound]:
        """The bounds of all prefixes of the name."""
        for length in self._lengths:
            bound = self.own.get(name[:length]) if length <= len(name) else None
            if bound is not None:
                yield bound
        sealed = self.sealed.find(name)
        if sealed is not None:
            yield sealed

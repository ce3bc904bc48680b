"""The live purges of one router: for an object, the time before which no copy of it may answer.

Cost a lookup: a look in each of five tables, and for a name not seen lately one match in each set of
patterns, one probe of the slices for each of the object's names and for each length of prefix in use.
"""

from collections.abc import Iterator, Sequence

from . import types
from .bounds import Bound, raised
from .names import Kept, Names
from .patterns import Patterns
from .prefixes import Prefixes, SealedPrefixes
from .retention.archive import SliceState
from .retention.geometry import SHARES
from .retention.sealed import SealedNames

MOST_PATTERNS = 4_096  # distinct live globs and regexes in a router; the desk refuses before that
MOST_GROUPS = 256  # groups there are: they stand one by one, all of them
REMEMBERED = 4_096  # names whose bounds are remembered: a lookup asks three times, and few are asked for most


class Named:
    """What counts for a copy of an object, and what it was asked with.

    newest, bounds: but for those of tags; newest_tagged: with those of tags, the last that were asked about.
    """

    __slots__ = ("version", "kind", "group", "newest", "bounds", "tags", "newest_tagged")

    def __init__(self, version: int, kind: str, group: str, bounds: tuple[Bound, ...]) -> None:
        """Not asked about tags yet."""
        self.version, self.kind, self.group, self.bounds = version, kind, group, bounds
        self.newest = self.newest_tagged = max((bound.newest for bound in bounds), default=0)
        self.tags: Sequence[str] = ()


class Index:
    """grace, hold: as in PurgeTerms."""

    def __init__(self, terms: types.PurgeTerms) -> None:
        """Empty."""
        self.grace, self.hold = terms.grace, terms.hold
        most, sealed = terms.most_names, terms.most_sealed
        self.objects = Names(most, SealedNames(types.OBJECT, terms.hold, sealed))
        self.tags = Names(most, SealedNames(types.TAG, terms.hold, sealed // SHARES[types.TAG]))
        self.groups = Names(MOST_GROUPS)
        self.prefixes = Prefixes(SealedPrefixes(types.PREFIX, terms.hold, sealed // SHARES[types.PREFIX]))
        self.patterns = Patterns(MOST_PATTERNS, terms.pattern_memory)
        self.any_tag: Bound | None = None  # the newest purge of any tag, for objects whose tags are not known
        self.all: Bound | None = None  # the newest that counts against every name
        # Name -> its bounds but for those of tags; void after each change. A lookup asks three times, and by
        # other tags once an answer has named them.
        self.version = 0
        self.named: dict[str, Named] = {}
        self.tables = {
            types.OBJECT: self.objects,
            types.GROUP: self.groups,
            types.TAG: self.tags,
            types.PREFIX: self.prefixes,
            types.GLOB: self.patterns.of(types.GLOB),
            types.REGEX: self.patterns.of(types.REGEX),
        }

    def __len__(self) -> int:
        """Bounds that stand one by one or shared; what is sealed is not counted."""
        return len(self.objects) + len(self.groups) + len(self.tags) + len(self.prefixes) + len(self.patterns)

    def sealed_keys(self) -> int:
        """Purges in the slices, repeats counted."""
        return sum(one.sealed.slices.keys for one in (self.objects, self.tags, self.prefixes))

    def sealed_bytes(self) -> int:
        """Memory of the slices' filters."""
        return sum(one.sealed.slices.bytes() for one in (self.objects, self.tags, self.prefixes))

    def add(self, kind: str, what: str, made: int, told: int, binding: int | None = None) -> Kept:
        """made: the bound, skew included; told: when this router was told, by the clock of its lookups.

        binding: what was told by then binds every answer; without it, what was told a grace ago does.
        """
        self.forget(told)
        self.version += 1
        binding = told - self.grace if binding is None else binding
        kept = Kept.EVERY_NAME
        if kind in self.tables:
            kept = self.tables[kind].raise_to(what, made, told, self.grace, binding)
        if kept is Kept.EVERY_NAME:  # it may be about anything
            self.raise_all(made, told)
        if kind == types.TAG:
            self.any_tag = raised(self.any_tag, made, told, self.grace)
        return kept

    def raise_all(self, made: int, told: int) -> None:
        """A purge that counts against every name. made, told: as in add."""
        self.version += 1
        self.all = raised(self.all, made, told, self.grace)

    def adopt(self, other: SliceState, made: int, told: int) -> Iterator[None]:
        """Merges a slice of the order, a bounded step at a time; whole at the end. made: the bound of its
        newest purge, skew included; told: as in add.
        """
        self.version += 1
        if other.key.kind == types.TAG:
            self.any_tag = raised(self.any_tag, made, told, self.grace)
        for _ in self.tables[other.key.kind].sealed.adopt(other, made):
            self.version += 1
            yield

    def forget(self, now: int) -> None:
        """What is older than the hold says nothing any more: no copy is as old as that."""
        before = now - self.hold
        for table in (self.objects, self.groups, self.tags, self.prefixes, self.patterns):
            if table.forget(before, now):
                self.version += 1

    def newest(self, kind: str, name: str, group: str, tags: Sequence[str] | None) -> int:
        """No copy of the object from before that may be asked for; 0 where any will do.

        tags: of the copy or object, None where they are not known.
        """
        named = self._named(kind, name, group)
        if self.any_tag is None or (tags is not None and not tags):
            return named.newest
        if tags is None:
            return max(named.newest, self.any_tag.newest)
        if tags != named.tags:
            found = max((bound.newest for bound in self._of_tags(tags)), default=0)
            named.tags, named.newest_tagged = tags, max(named.newest, found)
        return named.newest_tagged

    def due(self, since: int, kind: str, name: str, group: str, tags: Sequence[str] | None) -> int:
        """No copy from before that may answer: the newest of the purges that were told by then."""
        bounds = (*self._named(kind, name, group).bounds, *self._of_tags(tags))
        return max((bound.newest if bound.told <= since else bound.settled for bound in bounds), default=0)

    def _named(self, kind: str, name: str, group: str) -> Named:
        known = self.named.get(name)
        if (
            known is not None
            and known.version == self.version
            and known.group == group
            and known.kind == kind
        ):
            return known
        found = [*self.objects.find(name), *self.groups.find(group), self.all]
        if self.prefixes or self.patterns.known:
            found.append(self._matching(f"{kind}/{name}"))
        bounds = tuple(bound for bound in found if bound is not None)
        if known is None and len(self.named) >= REMEMBERED:
            del self.named[next(iter(self.named))]
        named = self.named[name] = Named(self.version, kind, group, bounds)
        return named

    def _of_tags(self, tags: Sequence[str] | None) -> list[Bound]:
        """Bounds of these tags; of any where they are not known."""
        if tags is None:
            return [] if self.any_tag is None else [self.any_tag]
        return [bound for tag in tags for bound in self.tags.find(tag) if bound is not None]

    def _matching(self, name: str) -> Bound | None:
        """One bound of all prefixes and patterns that match."""
        merged = self.patterns.bound(name) if self.patterns.known else None
        own = False  # the patterns' bound is theirs: what joins it has to join a copy
        for bound in self.prefixes.find(name):
            if own:
                merged.join(bound)
            else:
                merged, own = bound.copy() if merged is None else merged.copy().join(bound), True
        return merged

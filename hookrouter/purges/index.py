"""The live purges of one router: for an object, the time before which no copy of it may answer.

Cost a lookup: a look in each of five tables, and for a name not seen lately one match in each set of
patterns, one probe of the slices for each of the object's names and for each length of prefix in use.
"""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from . import types as w
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


class Row(NamedTuple):
    """What counts for a copy of an object."""

    newest: int  # the newest purge
    told: int  # when the last of the purges was told
    bounds: tuple[Bound, ...]


class Asked(NamedTuple):
    """A row, and what it was asked with."""

    version: int
    kind: str
    group: str
    tags: Sequence[str] | None
    row: Row


class Index:
    """grace, hold: as in PurgeTerms."""

    def __init__(self, terms: w.PurgeTerms) -> None:
        """Empty."""
        self.grace, self.hold = terms.grace, terms.hold
        most, sealed = terms.most_names, terms.most_sealed
        self.objects = Names(most, SealedNames(w.OBJECT, terms.hold, sealed))
        self.tags = Names(most, SealedNames(w.TAG, terms.hold, sealed // SHARES[w.TAG]))
        self.groups = Names(MOST_GROUPS)
        self.prefixes = Prefixes(SealedPrefixes(w.PREFIX, terms.hold, sealed // SHARES[w.PREFIX]))
        self.patterns = Patterns(MOST_PATTERNS)
        self.any_tag: Bound | None = None  # the newest purge of any tag, for objects whose tags are not known
        self.all: Bound | None = None  # the newest that counts against every name
        # Name -> what it was asked with and its bounds; void after each change.
        self.version, self.asked = 0, {}
        self.tables = {
            w.OBJECT: self.objects,
            w.GROUP: self.groups,
            w.TAG: self.tags,
            w.PREFIX: self.prefixes,
            w.GLOB: self.patterns.of(w.GLOB),
            w.REGEX: self.patterns.of(w.REGEX),
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
            self.all = raised(self.all, made, told, self.grace)
        if kind == w.TAG:
            self.any_tag = raised(self.any_tag, made, told, self.grace)
        return kept

    def adopt(self, other: SliceState, made: int, told: int) -> Iterator[None]:
        """Merges a slice of the order, a bounded step at a time; whole at the end. made: the bound of its
        newest purge, skew included; told: as in add.
        """
        self.version += 1
        if other.key.kind == w.TAG:
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

    def row(self, kind: str, name: str, group: str, tags: Sequence[str] | None) -> Row:
        """What counts for a copy of an object; remembered, for a lookup asks three times.

        tags: of the copy or object, None where they are not known.
        """
        asked = self.asked.get(name)
        if (
            asked is not None
            and asked.version == self.version
            and asked.tags == tags
            and asked.kind == kind
            and asked.group == group
        ):
            return asked.row
        bounds = tuple(bound for bound in self._bounds(kind, name, group, tags) if bound is not None)
        row = Row(
            max((bound.newest for bound in bounds), default=0),
            max((bound.told for bound in bounds), default=0),
            bounds,
        )
        if asked is None and len(self.asked) >= REMEMBERED:
            del self.asked[next(iter(self.asked))]
        self.asked[name] = Asked(self.version, kind, group, tags, row)
        return row

    def newest(self, kind: str, name: str, group: str, tags: Sequence[str] | None) -> int:
        """No copy from before that may be asked for; 0 where any will do."""
        return self.row(kind, name, group, tags).newest

    def due(self, since: int, kind: str, name: str, group: str, tags: Sequence[str] | None) -> int:
        """No copy from before that may answer: the newest of the purges that were told by then."""
        newest, told, bounds = self.row(kind, name, group, tags)
        if told <= since:
            return newest
        return max((bound.newest if bound.told <= since else bound.settled for bound in bounds), default=0)

    def _bounds(self, kind: str, name: str, group: str, tags: Sequence[str] | None) -> list[Bound | None]:
        found = [*self.objects.find(name), *self.groups.find(group), self.all]
        if tags is None:
            found.append(self.any_tag)
        else:
            for tag in tags:
                found += self.tags.find(tag)
        if self.prefixes or self.patterns.known:
            found.append(self._matching(f"{kind}/{name}"))
        return found

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

"""The live purges of one router: for an object, the time before which no copy of it may answer.

Cost a lookup: a look in each of five tables, and for a name not seen lately one match in each set of
patterns.
"""

from zlib import crc32

from . import types as w
from .bounds import Bound
from .patterns import Patterns

SHARED = 1 << 14  # bounds for names beyond the most: one purge more costs one object in so many a fill
MOST_PATTERNS = 4_096  # distinct live ones in a router; the desk refuses before that
LONGEST_NAME = 256  # characters of a tag or object that is kept as it is
REMEMBERED = 4_096  # names whose bounds are remembered: a lookup asks three times, and few are asked for most


class Names:
    """Bounds by name, so many at most; the names beyond share bounds by a stable hash, never laxer."""

    def __init__(self, most):
        self.most, self.own, self.shared = most, {}, {}

    def raise_to(self, name, made, told, grace):
        """The key under which it counts: the name, or the number of a shared bound."""
        table, key = self.own, name
        if name not in self.own and (len(self.own) >= self.most or len(name) > LONGEST_NAME):
            table, key = self.shared, self._slot(name)
        if key in table:
            table[key].raise_to(made, told, grace)
        else:
            table[key] = Bound(made, told)
        return key

    def _slot(self, name):
        return crc32(name.encode()) % SHARED

    def forget(self, key):
        (self.shared if isinstance(key, int) else self.own).pop(key, None)

    def find(self, name):
        """Up to two bounds that count for this name."""
        found = self.own.get(name)
        if not self.shared:
            return found, None
        return found, self.shared.get(self._slot(name))


class Index:
    """grace, hold: as in PurgeTerms."""

    def __init__(self, terms):
        self.grace, self.hold = terms.grace, terms.hold
        self.objects, self.tags = Names(terms.most_names), Names(terms.most_names)
        self.groups = Names(terms.most_names)
        self.patterns = Patterns(MOST_PATTERNS)
        self.any_tag = None  # the newest purge of any tag, for objects whose tags are not known
        self.all = None  # the newest that counts against every name
        self.live = {}  # (kind, key) -> the newest bound, the last told last
        # Name -> (what it was asked with, its bounds); void after each change.
        self.version, self.asked = 0, {}
        self.tables = {w.OBJECT: self.objects, w.GROUP: self.groups, w.TAG: self.tags}

    def __len__(self):
        return len(self.live)

    def add(self, kind, what, made, told):
        """made: the bound, skew included; told: when this router was told, by the clock of its lookups."""
        self.forget(told)
        self.version += 1
        key = what
        if kind in self.tables:
            key = self.tables[kind].raise_to(what, made, told, self.grace)
        elif not (kind in w.PATTERN_KINDS and self.patterns.raise_to(kind, what, made, told, self.grace)):
            self.all = raised(self.all, made, told, self.grace)  # it may be about anything
            return
        if kind == w.TAG:
            self.any_tag = raised(self.any_tag, made, told, self.grace)
        self.live[kind, key] = max(made, self.live.pop((kind, key), 0))

    def forget(self, now):
        """What is older than the hold says nothing any more: no copy is as old as that."""
        before = now - self.hold
        while self.live:
            (kind, key), newest = next(iter(self.live.items()))
            if newest >= before:
                break
            del self.live[kind, key]
            self.version += 1
            if kind in self.tables:
                self.tables[kind].forget(key)
            else:
                self.patterns.forget(kind, key)

    def row(self, kind, name, group, tags):
        """(its newest bound, when the last of its purges was told, all bounds) for a copy of an object.

        tags: of the copy or object, None where they are not known. Remembered, for a lookup asks three times.
        """
        row = self.asked.get(name)
        if (
            row is not None
            and row[0] == self.version
            and row[3] == tags
            and row[1] == kind
            and row[2] == group
        ):
            return row[4]
        found = [*self.objects.find(name), *self.groups.find(group), self.all]
        if tags is None:
            found.append(self.any_tag)
        else:
            for tag in tags:
                found.extend(self.tags.find(tag))
        if self.patterns.known:
            found.append(self.patterns.bound(f"{kind}/{name}"))
        if row is None and len(self.asked) >= REMEMBERED:
            del self.asked[next(iter(self.asked))]
        found = tuple(bound for bound in found if bound is not None)
        made = (
            max((bound.newest for bound in found), default=0),
            max((bound.told for bound in found), default=0),
            found,
        )
        self.asked[name] = self.version, kind, group, tags, made
        return made

    def newest(self, kind, name, group, tags):
        """No copy from before that may be asked for; 0 where any will do."""
        return self.row(kind, name, group, tags)[0]

    def due(self, since, kind, name, group, tags):
        """No copy from before that may answer: the newest of the purges that were told by then."""
        newest, told, bounds = self.row(kind, name, group, tags)
        if told <= since:
            return newest
        return max((bound.newest if bound.told <= since else bound.settled for bound in bounds), default=0)


def raised(bound, made, told, grace):
    if bound is None:
        return Bound(made, told)
    bound.raise_to(made, told, grace)
    return bound

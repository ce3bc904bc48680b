"""The live patterns of one router, and the bounds of those that match a name.

They stand in sets: one more compiles the newest set again, never all. Full sets of one size are joined, so
that their number grows with the logarithm of the patterns'. The memory of all sets has a bound: a pattern
beyond it counts against every name.
"""

import re2

from .bounds import Bound, BoundTable
from .expressions import expression, program_size
from .names import Kept
from .pattern_sets import JOIN_COUNT, Additions, PatternSet, can_join, join

MAX_REMEMBERED = 4_096  # names whose matches are remembered: some seconds of a router's lookups
MAX_REMEMBERED_BOUNDS = 1 << 16  # matches of all of them: a name may match all patterns


class RememberedMatches:
    """Which patterns match one name, as far as was asked.

    seen: patterns with lower numbers were matched. version: of the patterns when merged was worked out.
    """

    __slots__ = ("seen", "bounds", "version", "merged")

    def __init__(self) -> None:
        """Nothing was matched yet."""
        self.seen, self.version = 0, -1
        self.bounds: list[Bound] = []
        self.merged: Bound | None = None

    def merge(self) -> None:
        """Works merged out anew."""
        merged = None
        for bound in self.bounds:
            merged = bound.copy() if merged is None else merged.join(bound)
        self.merged = merged


class Patterns:
    """All live patterns; the bounds of those that match a name."""

    def __init__(self, most: int, memory: int) -> None:
        """most: distinct live ones; memory: bytes that all sets may take."""
        self.most, self.memory = most, memory
        self.sets: list[PatternSet] = []
        self.count = 0  # patterns so far; the number of the next one
        self.version = 0  # rises with each purge
        self.known = BoundTable()  # by (kind, what)
        self._set_of: dict[tuple[str, str], PatternSet] = {}  # by (kind, what); see PatternSet.successor
        self._remembered: dict[str, RememberedMatches] = {}  # by name, the last used last
        self._remembered_bounds = 0  # of all of them

    def __len__(self) -> int:
        """Live patterns."""
        return len(self.known)

    def raise_to(self, kind: str, what: str, made: int, told: int, grace: int) -> bool:
        """True where this pattern is counted; False where it has to be counted against every name."""
        key = kind, what
        self.version += 1
        if key in self.known:
            self.known.raise_to(key, made, told, grace)
            return True
        if len(self.known) >= self.most:
            return False
        try:
            text = expression(kind, what)
            instructions = program_size(text)
        except (ValueError, re2.error):
            return False  # a desk of another build took it: safe, if dear
        self.known.raise_to(key, made, told, grace)
        holder = self._set_with(Additions([text], [self.known[key]], instructions, 1))
        if holder is None:
            del self.known[key]
            return False
        self._set_of[key] = holder
        self.count += 1
        return True

    def of(self, kind: str) -> "PatternsOfKind":
        """The table of patterns of one kind, as the other tables are."""
        return PatternsOfKind(self, kind)

    def forget(self, before: int, now: int) -> bool:
        """Drops what is older than the hold, a set with the last of its patterns; true: some went."""
        gone = self.known.forget(before)
        for key in gone:
            holder = self._set_of.pop(key)
            while holder.successor is not None:
                holder = holder.successor
            holder.live -= 1
            if not holder.live:
                self.sets.remove(holder)
        return bool(gone)

    def bound(self, name: str) -> Bound | None:
        """The one bound of all patterns that match, or None."""
        matches = self._remembered.get(name)
        if matches is not None and matches.version == self.version:
            return matches.merged
        matches = self._remember(name)
        bounds_before = len(matches.bounds)
        for patterns in reversed(self.sets):  # the newest first: most of them have been seen
            if patterns.end() <= matches.seen:
                break
            matches.bounds.extend(patterns.matching(name, matches.seen))
        matches.seen, matches.version = self.count, self.version
        matches.merge()
        self._remembered_bounds += len(matches.bounds) - bounds_before
        while self._remembered_bounds > MAX_REMEMBERED_BOUNDS and len(self._remembered) > 1:
            self._forget_oldest()
        return matches.merged

    def memory_used(self) -> int:
        """Bytes that the sets take at most."""
        return sum(one.memory() for one in self.sets)

    def _set_with(self, added: Additions) -> PatternSet | None:
        """The set that holds this pattern from now on; None where none can."""
        newest, room = self.sets[-1] if self.sets else None, self.memory - self.memory_used()
        if newest is not None and newest.has_room(self.count) and newest.add(added, newest.memory() + room):
            return newest
        fresh = PatternSet(self.count)
        if not fresh.add(added, room):
            return None
        self._join_newest()
        self.sets.append(fresh)
        return fresh

    def _join_newest(self) -> None:
        """Joins the newest sets as long as they are of one size."""
        while can_join(newest := self.sets[-JOIN_COUNT:]):
            room = self.memory - self.memory_used() + sum(one.memory() for one in newest)
            whole = join(newest, room)
            if whole is None:
                return
            self.sets[-JOIN_COUNT:] = [whole]

    def _remember(self, name: str) -> RememberedMatches:
        """What is remembered of a name, now the last used; the longest unused name makes room."""
        matches = self._remembered.pop(name, None)
        if matches is None:
            matches = RememberedMatches()
            if len(self._remembered) >= MAX_REMEMBERED:
                self._forget_oldest()
        self._remembered[name] = matches
        return matches

    def _forget_oldest(self) -> None:
        """Forgets the matches of the name that was not used for longest."""
        oldest = self._remembered.pop(next(iter(self._remembered)))
        self._remembered_bounds -= len(oldest.bounds)


class PatternsOfKind:
    """The table of one kind of pattern."""

    def __init__(self, patterns: Patterns, kind: str) -> None:
        """kind: of pattern."""
        self.patterns, self.kind = patterns, kind

    def raise_to(self, what: str, made: int, told: int, grace: int, binding: int) -> Kept:
        """One more purge of that pattern; none is ever sealed."""
        counted = self.patterns.raise_to(self.kind, what, made, told, grace)
        return Kept.EXACT if counted else Kept.EVERY_NAME

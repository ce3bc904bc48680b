"""Patterns compiled together, with the bound of each.

RE2 may have no room for a set of patterns each of which compiles alone.
"""

from collections.abc import Iterator, Sequence

import re2

from .bounds import Bound
from .expressions import PATTERN_MEMORY, compile_options

MAX_GROWING = 64  # patterns in a set that grows: compiling one of globs takes under a millisecond
JOIN_COUNT = 4  # neighbours of one size that are made one: a match costs by the set, hardly by its patterns
MAX_JOINED = 1_024  # patterns in one set: compiling one of globs takes some milliseconds


def compile_set(expressions: Sequence[str]) -> re2.Set | None:
    """A set of all these expressions; None where RE2 has no room for it."""
    memory = PATTERN_MEMORY * max(MAX_GROWING, len(expressions))
    compiled = re2.Set.FullMatchSet(compile_options(memory))
    try:
        for expression in expressions:
            compiled.Add(expression)
        compiled.Compile()
    except re2.error:
        return None
    return compiled


class PatternSet:
    """Patterns with successive numbers, compiled into one set whenever one is added."""

    __slots__ = ("first", "expressions", "bounds", "live", "successor", "joinable", "_compiled")

    def __init__(self, first: int) -> None:
        """Empty. first: number of its first pattern."""
        self.first = first
        self.expressions: list[str] = []
        self.bounds: list[Bound] = []
        self.live = 0  # patterns that are not older than the hold
        self.successor: PatternSet | None = None  # the set that it was joined into
        self.joinable = True  # False: a set with more patterns did not compile
        self._compiled: re2.Set | None = None

    def end(self) -> int:
        """The number after its last pattern."""
        return self.first + len(self.bounds)

    def has_room(self, number: int) -> bool:
        """Whether a pattern of that number can follow its last."""
        return len(self.bounds) < MAX_GROWING and number == self.end()

    def add(self, expressions: Sequence[str], bounds: Sequence[Bound], live: int) -> bool:
        """Adds patterns; live: how many of them are. False where no set holds them too: none is added."""
        compiled = compile_set([*self.expressions, *expressions])
        if compiled is None:
            self.joinable = False
            return False
        self._compiled = compiled
        self.expressions += expressions
        self.bounds += bounds
        self.live += live
        return True

    def matching(self, name: str, since: int) -> Iterator[Bound]:
        """Bounds of the patterns, numbered from since on, that match the name."""
        for index in self._compiled.Match(name) or ():
            if self.first + index >= since:
                yield self.bounds[index]


def can_join(sets: Sequence[PatternSet]) -> bool:
    """Whether these are JOIN_COUNT neighbours of one size, without a gap, whose common set may compile."""
    if len(sets) != JOIN_COUNT:
        return False
    first, size = sets[0].first, len(sets[0].bounds)
    return size * JOIN_COUNT <= MAX_JOINED and all(
        one.joinable and len(one.bounds) == size and one.first == first + place * size
        for place, one in enumerate(sets)
    )


def join(sets: Sequence[PatternSet]) -> PatternSet | None:
    """One set in place of these; None where it does not compile, and they are not joined again."""
    whole = PatternSet(sets[0].first)
    expressions = [expression for one in sets for expression in one.expressions]
    bounds = [bound for one in sets for bound in one.bounds]
    is_joined = whole.add(expressions, bounds, sum(one.live for one in sets))
    for one in sets:
        one.joinable = is_joined
        one.successor = whole if is_joined else None
    return whole if is_joined else None

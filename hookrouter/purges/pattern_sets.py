"""Patterns compiled together, with the bound of each.

RE2 keeps the states of a set that names have led it to, in memory that is stated when the set is compiled,
and drops them all when it is full. Less memory costs a name little: one that was not seen before leads to new
states anyway. RE2 may have no room for a set of patterns each of which compiles alone.
"""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

import re2

from .bounds import Bound
from .expressions import compile_options

MAX_GROWING = 64  # patterns in a set that grows: compiling one of globs takes under a millisecond
JOIN_COUNT = 4  # neighbours of one size that are made one: a match costs by the set, hardly by its patterns
MAX_JOINED = 1_024  # patterns in one set: compiling one of globs takes some milliseconds
# Bytes for an instruction of a set: 8 in its program, 16 in the two lists of a step, and up to 4 in each of
# the 20 states that RE2 wants to have room for. Most sets compile with the first.
INSTRUCTION_BYTES = (64, 128)
SET_BYTES = 1 << 16  # of a set beside its instructions: transitions of these states


def set_memory(instructions: int, instruction_bytes: int) -> int:
    """Bytes that a set of patterns with so many instructions is compiled with, and fills at most."""
    return SET_BYTES + instruction_bytes * instructions


def compile_set(expressions: Sequence[str], memory: int) -> re2.Set | None:
    """A set of all these expressions in so many bytes; None where RE2 has no room for it."""
    compiled = re2.Set.FullMatchSet(compile_options(memory))
    try:
        for expression in expressions:
            compiled.Add(expression)
        compiled.Compile()
    except re2.error:
        return None
    return compiled


class Additions(NamedTuple):
    """Patterns that are added to a set together."""

    expressions: Sequence[str]
    bounds: Sequence[Bound]
    instructions: int  # of all of them
    live: int  # how many are not older than the hold


class PatternSet:
    """Patterns with successive numbers, compiled into one set whenever one is added."""

    __slots__ = (
        "first",
        "expressions",
        "bounds",
        "instructions",
        "instruction_bytes",
        "live",
        "successor",
        "joinable",
        "_compiled",
    )

    def __init__(self, first: int) -> None:
        """Empty. first: number of its first pattern."""
        self.first = first
        self.expressions: list[str] = []
        self.bounds: list[Bound] = []
        self.instructions = 0  # of all its patterns
        self.instruction_bytes = INSTRUCTION_BYTES[0]  # for each, as it was compiled last
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

    def memory(self) -> int:
        """Bytes that it takes at most; 0 for an empty set."""
        return set_memory(self.instructions, self.instruction_bytes) if self.bounds else 0

    def add(self, added: Additions, room: int) -> bool:
        """Adds patterns. room: bytes that the set may take. False where it cannot: none is added."""
        return any(
            self.add_with(added, room, instruction_bytes)
            for instruction_bytes in INSTRUCTION_BYTES
            if instruction_bytes >= self.instruction_bytes
        )

    def add_with(self, added: Additions, room: int, instruction_bytes: int) -> bool:
        """As add, with so many bytes for each instruction."""
        memory = set_memory(self.instructions + added.instructions, instruction_bytes)
        if memory > room:
            return False
        compiled = compile_set([*self.expressions, *added.expressions], memory)
        if compiled is None:
            self.joinable = False
            return False
        self._compiled = compiled
        self.instruction_bytes, self.joinable = instruction_bytes, True
        self.expressions += added.expressions
        self.bounds += added.bounds
        self.instructions += added.instructions
        self.live += added.live
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


def join(sets: Sequence[PatternSet], room: int) -> PatternSet | None:
    """One set in place of these; None where it does not compile, and they are not joined again.

    room: bytes that it may take.
    """
    whole = PatternSet(sets[0].first)
    added = Additions(
        [expression for one in sets for expression in one.expressions],
        [bound for one in sets for bound in one.bounds],
        sum(one.instructions for one in sets),
        sum(one.live for one in sets),
    )
    is_joined = whole.add_with(added, room, max(one.instruction_bytes for one in sets))
    for one in sets:
        one.joinable = is_joined
        one.successor = whole if is_joined else None
    return whole if is_joined else None

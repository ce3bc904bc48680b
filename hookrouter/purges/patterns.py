"""Patterns over names, compiled once into sets: matched in time linear in the name, whatever the pattern.

RE2 (Cox, "Regular Expression Matching in the Wild") needs no backtracking, so no pattern of a user's making
can hold a lookup up. Patterns stand in segments of one set each: one more compiles its segment again, never
all. RE2 may have no room for a set of patterns each of which compiles alone: those stand in several sets.
"""

from collections.abc import Sequence

import re2

from . import types as w
from .bounds import Bound, BoundTable
from .names import Kept

LONGEST = 256  # characters of a pattern: names have 80 at most
# Bytes of RE2's program and caches for one pattern; a set of a segment has SEGMENT times that.
MEMORY = 1 << 18
SEGMENT = 64  # patterns in a set that grows: compiling one takes under a millisecond
JOINED = 4  # neighbours of one size that are made one set: a match costs by the set, hardly by its patterns
LARGEST = 1_024  # patterns in one set: compiling it takes some ten milliseconds, once in so many purges
REMEMBERED = 4_096  # names whose matches are remembered: some seconds of a router's lookups
# Names of every shape: what matches them all matches everything.
PROBES = ("a/0", "segment/0123456789abcdef", "Z9-_/ffffffffffffffff", "~/~", "clip/7", "x/" + "5a" * 40)
SPECIAL = frozenset("\\.+*?()|[]{}^$")


def options(memory: int) -> re2.Options:
    """How a pattern is compiled, in so many bytes at most."""
    made = re2.Options()
    made.max_mem, made.log_errors, made.never_capture = memory, False, True
    return made


def expression(kind: str, what: str) -> str:
    """The pattern as a regular expression over whole names. ValueError says why there is none."""
    if kind == w.REGEX:
        return what
    if kind == w.PREFIX:
        return escaped(what) + ".*"
    return glob(what)


def escaped(text: str) -> str:
    """The text as an expression that matches just it."""
    return "".join("\\" + c if c in SPECIAL else c for c in text)


def glob(what: str) -> str:
    """`*` any run of characters, `?` any one, `[ab]`, `[a-z]`, `[!a]` one of a set; all else is itself."""
    pieces, at = [], 0
    while at < len(what):
        c = what[at]
        at += 1
        if c in "*?":
            pieces.append(".*" if c == "*" else ".")
            continue
        if c != "[":
            pieces.append(escaped(c))
            continue
        end = what.find("]", at + 1)
        if end < 0:
            raise ValueError("a [ without its ]")
        inner = what[at:end]
        at = end + 1
        negated = inner[0] in "!^"
        inner = inner[negated:]
        if not inner:
            raise ValueError("an empty [] in a glob")
        pieces.append("[" + "^" * negated + "".join(c if c == "-" else escaped(c) for c in inner) + "]")
    return "".join(pieces)


def refusal(kind: str, what: str, everything: bool = False) -> str | None:
    """Why the desk cannot take this pattern, or None. everything: it may match every name."""
    if not what:
        return "a pattern must not be empty"
    if len(what) > LONGEST:
        return f"{len(what)} characters in a pattern, {LONGEST} at most"
    if not what.isascii() or not what.isprintable():
        return "a pattern must be of printable ASCII"
    try:
        compiled = re2.compile(expression(kind, what), options(MEMORY))
    except (ValueError, re2.error) as wrong:
        return f"the pattern cannot be compiled: {said(wrong)}"
    if not everything and all(compiled.fullmatch(name) for name in PROBES):
        return "the pattern matches every name; say so (everything) where that is meant"
    return None


def said(wrong: Exception) -> str:
    """What an error of the compiler says."""
    text = wrong.args[0] if wrong.args else str(wrong)
    return text.decode("latin-1") if isinstance(text, bytes) else str(text)


def compile_set(expressions: Sequence[str]) -> re2.Set | None:
    """A set of all these expressions; None where RE2 has no room for it."""
    compiled = re2.Set.FullMatchSet(options(MEMORY * max(SEGMENT, len(expressions))))
    try:
        for expression in expressions:
            compiled.Add(expression)
        compiled.Compile()
    except re2.error:
        return None
    return compiled


class Segment:
    """Up to SEGMENT patterns in one set, with the bound of each. It is never without its set."""

    __slots__ = ("first", "expressions", "bounds", "set", "live", "joined", "joinable")

    def __init__(self, first: int) -> None:
        """Empty. first: number of its first pattern."""
        self.first, self.expressions, self.bounds, self.set, self.live = first, [], [], None, 0
        self.joined = None  # the one that holds its patterns now
        self.joinable = True  # False: a set with more patterns did not compile

    def has_room(self, number: int) -> bool:
        """Whether a pattern of that number can follow the segment's last."""
        return len(self.bounds) < SEGMENT and number == self.first + len(self.bounds)

    def take(self, expressions: Sequence[str], bounds: Sequence[Bound], live: int) -> bool:
        """Adds patterns; live: how many of them are. False where no set holds them too: none is added."""
        compiled = compile_set([*self.expressions, *expressions])
        if compiled is None:
            self.joinable = False
            return False
        self.set = compiled
        self.expressions += expressions
        self.bounds += bounds
        self.live += live
        return True


class Patterns:
    """All live patterns; the bounds of those that match a name."""

    def __init__(self, most: int) -> None:
        """most: distinct live ones."""
        self.most = most
        self.segments, self.count, self.version = [], 0, 0
        self.known = BoundTable()  # by (kind, what)
        self.segment_of = {}  # (kind, what) -> its segment
        self.matched = {}  # name -> [patterns seen, bounds, version, merged bound], the last used last

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
            re2.compile(text, options(MEMORY))
        except (ValueError, re2.error):
            return False  # a desk of another build took it: safe, if dear
        self.known.raise_to(key, made, told, grace)
        segment = self._segment_with(text, self.known[key])
        if segment is None:
            del self.known[key]
            return False
        self.segment_of[key] = segment
        self.count += 1
        return True

    def _segment_with(self, expression: str, bound: Bound) -> Segment | None:
        """The segment that holds this pattern from now on; None where no set holds it."""
        last = self.segments[-1] if self.segments else None
        if last is not None and last.has_room(self.count) and last.take([expression], [bound], 1):
            return last
        segment = Segment(self.count)
        if not segment.take([expression], [bound], 1):
            return None
        self._join()
        self.segments.append(segment)
        return segment

    def of(self, kind: str) -> "PatternsOfKind":
        """Taking in patterns of one kind, as the other tables do."""
        return PatternsOfKind(self, kind)

    def forget(self, before: int, now: int) -> bool:
        """Drops what is older than the hold, a segment with the last of its patterns; true: some went."""
        gone = self.known.forget(before)
        for key in gone:
            segment = self.segment_of.pop(key)
            while segment.joined is not None:
                segment = segment.joined
            segment.live -= 1
            if not segment.live:
                self.segments.remove(segment)
        return bool(gone)

    def _join(self) -> None:
        """Full neighbours of one size become one, so that their number grows with the logarithm."""
        while self._can_join(parts := self.segments[-JOINED:]):
            whole = Segment(parts[0].first)
            expressions = [expression for part in parts for expression in part.expressions]
            bounds = [bound for part in parts for bound in part.bounds]
            if not whole.take(expressions, bounds, sum(part.live for part in parts)):
                for part in parts:
                    part.joinable = False
                return
            for part in parts:
                part.joined = whole
            self.segments[-JOINED:] = [whole]

    def _can_join(self, parts: Sequence[Segment]) -> bool:
        """Whether these are enough neighbours of one size, without a gap, whose common set may compile."""
        size = len(parts[0].bounds) if parts else 0
        return (
            len(parts) == JOINED
            and size * JOINED <= LARGEST
            and all(
                part.joinable and len(part.bounds) == size and part.first == parts[0].first + place * size
                for place, part in enumerate(parts)
            )
        )

    def bound(self, name: str) -> Bound | None:
        """The one bound of all patterns that match, or None."""
        row = self.matched.get(name)
        if row is not None and row[2] == self.version:
            return row[3]
        if row is None:
            row = [0, [], -1, None]
            if len(self.matched) >= REMEMBERED:
                del self.matched[next(iter(self.matched))]
        else:
            del self.matched[name]
        self.matched[name] = row
        seen, bounds = row[0], row[1]
        for segment in reversed(self.segments):  # the newest first: most of them have been seen
            if segment.first + len(segment.bounds) <= seen:
                break
            bounds.extend(
                segment.bounds[n] for n in segment.set.Match(name) or () if segment.first + n >= seen
            )
        merged = None
        for bound in bounds:
            merged = bound.copy() if merged is None else merged.join(bound)
        row[0], row[2], row[3] = self.count, self.version, merged
        return merged


class PatternsOfKind:
    """The table of one kind of pattern."""

    def __init__(self, patterns: Patterns, kind: str) -> None:
        """kind: of pattern."""
        self.patterns, self.kind = patterns, kind

    def raise_to(self, what: str, made: int, told: int, grace: int, binding: int) -> Kept:
        """One more purge of that pattern; none is ever sealed."""
        counted = self.patterns.raise_to(self.kind, what, made, told, grace)
        return Kept.EXACT if counted else Kept.EVERY_NAME

"""Patterns over names, compiled once into sets: matched in time linear in the name, whatever the pattern.

RE2 (Cox, "Regular Expression Matching in the Wild") needs no backtracking, so no pattern of a user's making
can hold a lookup up. Patterns stand in segments of one set each: one more compiles its segment again, never
all.
"""

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


class Segment:
    """Up to SEGMENT patterns in one set, with the bound of each."""

    __slots__ = ("first", "expressions", "bounds", "set", "live", "joined")

    def __init__(self, first: int) -> None:
        """Empty. first: number of its first pattern."""
        self.first, self.expressions, self.bounds, self.set, self.live = first, [], [], None, 0
        self.joined = None  # the one that holds its patterns now

    def compile(self) -> None:
        """The set anew, of all its patterns."""
        made = re2.Set.FullMatchSet(options(MEMORY * max(SEGMENT, len(self.expressions))))
        for text in self.expressions:
            made.Add(text)
        made.Compile()
        self.set = made


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
        if not self.segments or len(self.segments[-1].bounds) >= SEGMENT:
            self._join()
            self.segments.append(Segment(self.count))
        self.known.raise_to(key, made, told, grace)
        segment = self.segment_of[key] = self.segments[-1]
        segment.expressions.append(text)
        segment.bounds.append(self.known[key])
        segment.compile()
        segment.live += 1
        self.count += 1
        return True

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
        while len(self.segments) >= JOINED:
            last = self.segments[-JOINED:]
            size = len(last[0].bounds)
            if size * JOINED > LARGEST or any(
                len(one.bounds) != size or one.first != last[0].first + n * size for n, one in enumerate(last)
            ):
                return
            whole = Segment(last[0].first)
            for one in last:
                whole.expressions += one.expressions
                whole.bounds += one.bounds
                whole.live += one.live
                one.joined = whole
            whole.compile()
            self.segments[-JOINED:] = [whole]

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

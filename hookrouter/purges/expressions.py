"""Patterns over names as regular expressions, and why the desk refuses one.

RE2 (Cox, "Regular Expression Matching in the Wild") needs no backtracking: a match takes time linear in the
name, so no pattern of a user's making can hold a lookup up.
"""

import re2

from . import types

MAX_PATTERN_LENGTH = 256  # characters of a pattern: names have 80 at most
PATTERN_MEMORY = 1 << 18  # bytes of RE2's program and caches for one pattern
# What matches all of these matches everything.
NAMES_OF_EVERY_SHAPE = (
    "a/0",
    "segment/0123456789abcdef",
    "Z9-_/ffffffffffffffff",
    "~/~",
    "clip/7",
    "x/" + "5a" * 40,
)
SPECIAL_CHARACTERS = frozenset("\\.+*?()|[]{}^$")


def compile_options(memory: int) -> re2.Options:
    """How a pattern is compiled, in so many bytes at most."""
    options = re2.Options()
    options.max_mem, options.log_errors, options.never_capture = memory, False, True
    return options


def program_size(text: str) -> int:
    """Instructions of RE2's program for this expression; re2.error where it is refused."""
    size = re2.compile(text, compile_options(PATTERN_MEMORY)).programsize
    re2.purge()  # its cache would keep the program, and only sets are matched with
    return size


def expression(kind: str, what: str) -> str:
    """The pattern as a regular expression over whole names. ValueError says why there is none."""
    if kind == types.REGEX:
        return what
    if kind == types.PREFIX:
        return escape(what) + ".*"
    return translate_glob(what)


def escape(text: str) -> str:
    """The text as an expression that matches just it."""
    return "".join("\\" + c if c in SPECIAL_CHARACTERS else c for c in text)


def translate_glob(what: str) -> str:
    """`*` any run of characters, `?` any one, `[ab]`, `[a-z]`, `[!a]` one of a set; all else is itself."""
    pieces, at = [], 0
    while at < len(what):
        c = what[at]
        at += 1
        if c in "*?":
            pieces.append(".*" if c == "*" else ".")
            continue
        if c != "[":
            pieces.append(escape(c))
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
        pieces.append("[" + "^" * negated + "".join(c if c == "-" else escape(c) for c in inner) + "]")
    return "".join(pieces)


def refusal(kind: str, what: str, everything: bool = False) -> str | None:
    """Why the desk cannot take this pattern, or None. everything: it may match every name."""
    if not what:
        return "a pattern must not be empty"
    if len(what) > MAX_PATTERN_LENGTH:
        return f"{len(what)} characters in a pattern, {MAX_PATTERN_LENGTH} at most"
    if not what.isascii() or not what.isprintable():
        return "a pattern must be of printable ASCII"
    try:
        compiled = re2.compile(expression(kind, what), compile_options(PATTERN_MEMORY))
    except (ValueError, re2.error) as error:
        return f"the pattern cannot be compiled: {error_text(error)}"
    if not everything and all(compiled.fullmatch(name) for name in NAMES_OF_EVERY_SHAPE):
        return "the pattern matches every name; say so (everything) where that is meant"
    return None


def error_text(error: Exception) -> str:
    """What an error of the compiler says."""
    text = error.args[0] if error.args else str(error)
    return text.decode("latin-1") if isinstance(text, bytes) else str(text)

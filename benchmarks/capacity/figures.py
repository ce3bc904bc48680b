"""Figures that carry how they came about: given, measured, extrapolated or assumed, or missing."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum


class Standing(IntEnum):
    """How far a figure can be relied on; what is computed of several has the worst of theirs."""

    GIVEN = 0  # by the operators
    BOUND = 1  # set in the code
    MEASURED = 2
    EXTRAPOLATED = 3  # beyond the range that was measured
    ASSUMED = 4
    NOT_MEASURED = 5

    @property
    def word(self) -> str:
        """As it stands on the page."""
        return WORDS[self]


WORDS = {
    Standing.GIVEN: "given",
    Standing.BOUND: "set in code",
    Standing.MEASURED: "measured",
    Standing.EXTRAPOLATED: "extrapolated",
    Standing.ASSUMED: "assumed",
    Standing.NOT_MEASURED: "not measured",
}


@dataclass(frozen=True)
class Figure:
    """A value with its standing. missing: names of slopes that it lacks; without a value all of it is."""

    value: float | None
    standing: Standing
    missing: tuple[str, ...] = ()

    def __add__(self, other: "Figure | float") -> "Figure":
        """What is known of both: a sum that lacks a part names it, and is a lower bound."""
        return total((self, as_figure(other)))

    def __mul__(self, other: "Figure | float") -> "Figure":
        """None where either is not known."""
        return _combined(self, as_figure(other), lambda a, b: a * b)

    def __truediv__(self, other: "Figure | float") -> "Figure":
        """None where either is not known."""
        return _combined(self, as_figure(other), lambda a, b: a / b)

    def __sub__(self, other: "Figure | float") -> "Figure":
        """None where either is not known."""
        return _combined(self, as_figure(other), lambda a, b: a - b)

    @property
    def known(self) -> bool:
        """Whether there is a value at all."""
        return self.value is not None


def as_figure(value: "Figure | float") -> Figure:
    """A plain number counts as given."""
    return value if isinstance(value, Figure) else Figure(float(value), Standing.GIVEN)


def given(value: float) -> Figure:
    """One of the operators' figures."""
    return Figure(float(value), Standing.GIVEN)


def bound(value: float) -> Figure:
    """A limit that the code or its default site file sets."""
    return Figure(float(value), Standing.BOUND)


def not_measured(name: str) -> Figure:
    """A figure whose slope is missing."""
    return Figure(None, Standing.NOT_MEASURED, (name,))


def total(figures: Iterable[Figure]) -> Figure:
    """The sum of what is known; what is not is named, and the sum is then a lower bound."""
    parts = list(figures)
    missing = tuple(dict.fromkeys(name for part in parts for name in part.missing))
    known = [part for part in parts if part.known]
    if not known:
        return Figure(None, Standing.NOT_MEASURED, missing)
    return Figure(math.fsum(part.value for part in known), max(part.standing for part in known), missing)


def least(figures: Iterable[Figure]) -> Figure:
    """The smallest of those that are known; its standing is its own."""
    known = [figure for figure in figures if figure.known]
    return min(known, key=lambda figure: figure.value)


def _combined(one: Figure, other: Figure, operation) -> Figure:  # noqa: ANN001
    missing = tuple(dict.fromkeys((*one.missing, *other.missing)))
    if not (one.known and other.known):
        return Figure(None, Standing.NOT_MEASURED, missing)
    return Figure(operation(one.value, other.value), max(one.standing, other.standing), missing)


# ---- as text

LARGE, SMALL = 1e15, 1e-4  # beyond them a figure is written with an exponent


def plain(value: float) -> str:
    """Three significant digits, with a comma between thousands; whole numbers whole."""
    if value == 0 or (float(value).is_integer() and abs(value) < LARGE):
        return f"{int(value):,}"
    if abs(value) < SMALL:
        return f"{value:.3g}"
    rounded = float(f"{value:.3g}")
    digits = max(0, 2 - math.floor(math.log10(abs(rounded))))
    return f"{rounded:,.{digits}f}"


def shown(figure: Figure, unit: str = "", scale: float = 1.0) -> str:
    """The value with its unit and its standing; "at least" where a part is missing."""
    if not figure.known:
        return f"not measured ({', '.join(figure.missing)})"
    text = plain(figure.value * scale) + (f" {unit}" if unit else "")
    if figure.missing:
        return f"at least {text} ({figure.standing.word}; not measured: {', '.join(figure.missing)})"
    return f"{text} ({figure.standing.word})"


def value_only(figure: Figure, scale: float = 1.0) -> str:
    """The value alone, where its standing has a column of its own."""
    if not figure.known:
        return "not measured"
    return ("at least " if figure.missing else "") + plain(figure.value * scale)


def standing_only(figure: Figure) -> str:
    """The standing alone, with what is missing."""
    if figure.missing:
        return f"{figure.standing.word}; not measured: {', '.join(figure.missing)}"
    return figure.standing.word

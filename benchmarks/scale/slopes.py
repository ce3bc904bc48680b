"""How a quantity grows with the number of routers: least squares fits, and what they predict.

Three formulas are candidates: constant, a + b*n, and a + b*ln n. The one with the least leave-one-out error
is chosen: each size in turn is predicted by a fit to the others. The constant wins unless another one's error
is smaller by more than PREFERENCE, since two coefficients follow noise more easily.
"""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .errors import TooFewSizes

LEAST_SIZES = 3  # a line through two points has no residual, so it says nothing of a bend
PREFERENCE = 0.1  # share of the simpler formula's leave-one-out error that the other one must win


class Point(NamedTuple):
    """One measured value at one number of routers; several of one size are repeats."""

    routers: int
    value: float


class Fit(NamedTuple):
    """A formula with its coefficients, and how well it holds within the range that was measured."""

    formula: str
    coefficients: tuple[float, ...]
    sizes: tuple[int, ...]
    residual: float  # root of the mean square of what the formula misses, in units of the quantity
    spread: float  # widest range of repeats at one size, as a share of their mean
    leave_one_out: float  # root of the mean square of what fits without a size miss at that size

    def at(self, routers: float) -> float:
        """The value that the formula gives for so many routers."""
        return value_of(self.formula, self.coefficients, routers)

    def extrapolates(self, routers: float) -> bool:
        """Whether so many routers lie outside of the range that was measured."""
        return not self.sizes[0] <= routers <= self.sizes[-1]


class Prediction(NamedTuple):
    """The largest size as a fit to the smaller ones predicts it, beside what was measured."""

    routers: int
    predicted: float
    measured: float

    @property
    def error(self) -> float:
        """The share of the measured value by which the prediction is off."""
        if self.measured == 0:
            return 0.0 if self.predicted == 0 else math.inf
        return abs(self.predicted - self.measured) / abs(self.measured)


FORMULAS = {
    "constant": None,
    "linear": lambda routers: routers,
    "logarithmic": math.log,
}


def fit(points: Iterable[Point]) -> Fit:
    """The best of the candidate formulas; TooFewSizes below three sizes."""
    ordered = sorted(points)
    sizes = _sizes(ordered)
    if len(sizes) < LEAST_SIZES:
        raise TooFewSizes(f"{len(sizes)} sizes, {LEAST_SIZES} at least are wanted for a slope")
    errors = {formula: _leave_one_out(formula, ordered, sizes) for formula in FORMULAS}
    chosen = _choose(errors)
    coefficients = _least_squares(chosen, ordered)
    residual = _root_mean_square(
        point.value - value_of(chosen, coefficients, point.routers) for point in ordered
    )
    return Fit(chosen, coefficients, sizes, residual, _spread(ordered, sizes), errors[chosen])


def predict_largest(points: Iterable[Point]) -> Prediction:
    """What a fit to all smaller sizes says of the largest; TooFewSizes below four sizes."""
    ordered = sorted(points)
    sizes = _sizes(ordered)
    if len(sizes) <= LEAST_SIZES:
        raise TooFewSizes(f"{len(sizes)} sizes, {LEAST_SIZES + 1} at least are wanted to predict the largest")
    smaller = fit(point for point in ordered if point.routers < sizes[-1])
    return Prediction(sizes[-1], smaller.at(sizes[-1]), _mean_at(ordered, sizes[-1]))


def _sizes(points: Sequence[Point]) -> tuple[int, ...]:
    return tuple(sorted({point.routers for point in points}))


def _choose(errors: dict[str, float]) -> str:
    better = min(("linear", "logarithmic"), key=lambda formula: errors[formula])
    if errors[better] < (1 - PREFERENCE) * errors["constant"]:
        return better
    return "constant"


def value_of(formula: str, coefficients: Sequence[float], routers: float) -> float:
    """What a formula with these coefficients gives for so many routers."""
    transform = FORMULAS[formula]
    if transform is None:
        return coefficients[0]
    return coefficients[0] + coefficients[1] * transform(routers)


def _least_squares(formula: str, points: Sequence[Point]) -> tuple[float, ...]:
    mean_value = math.fsum(point.value for point in points) / len(points)
    transform = FORMULAS[formula]
    if transform is None:
        return (mean_value,)
    inputs = [transform(point.routers) for point in points]
    mean_input = math.fsum(inputs) / len(inputs)
    square = math.fsum((each - mean_input) ** 2 for each in inputs)
    product = math.fsum(
        (each - mean_input) * (point.value - mean_value) for each, point in zip(inputs, points, strict=True)
    )
    slope = product / square
    return mean_value - slope * mean_input, slope


def _leave_one_out(formula: str, points: Sequence[Point], sizes: Sequence[int]) -> float:
    misses = []
    for left_out in sizes:
        others = [point for point in points if point.routers != left_out]
        coefficients = _least_squares(formula, others)
        misses.append(_mean_at(points, left_out) - value_of(formula, coefficients, left_out))
    return _root_mean_square(misses)


def _mean_at(points: Sequence[Point], routers: int) -> float:
    values = [point.value for point in points if point.routers == routers]
    return math.fsum(values) / len(values)


def _spread(points: Sequence[Point], sizes: Sequence[int]) -> float:
    widest = 0.0
    for size in sizes:
        values = [point.value for point in points if point.routers == size]
        mean = _mean_at(points, size)
        if mean:
            widest = max(widest, (max(values) - min(values)) / abs(mean))
    return widest


def _root_mean_square(values: Iterable[float]) -> float:
    squares = [value * value for value in values]
    return math.sqrt(math.fsum(squares) / len(squares))

"""Least squares over measured points: a straight line, its residual, and what it predicts."""

from collections.abc import Sequence
from statistics import fmean
from typing import NamedTuple


class Line(NamedTuple):
    """intercept + slope * size. residual: the largest relative distance of a measured point from the line."""

    intercept: float
    slope: float
    residual: float


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """The line of least squares through these points; two different sizes at least."""
    mean_size, mean_value = fmean(sizes), fmean(values)
    squares = sum((size - mean_size) ** 2 for size in sizes)
    if squares == 0:
        raise ValueError("a line needs two different sizes")
    products = sum(
        (size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True)
    )
    slope = products / squares
    intercept = mean_value - slope * mean_size
    return Line(intercept, slope, largest_residual(sizes, values, intercept, slope))


def largest_residual(
    sizes: Sequence[float], values: Sequence[float], intercept: float, slope: float
) -> float:
    """The largest relative distance of a point from the line, of the larger of both."""
    distances = (
        abs(value - intercept - slope * size) / max(abs(value), abs(intercept + slope * size), 1e-12)
        for size, value in zip(sizes, values, strict=True)
    )
    return max(distances, default=0.0)


def relative_spread(values: Sequence[float]) -> float:
    """Largest less smallest of repeated runs, as a share of their mean."""
    mean = fmean(values)
    return (max(values) - min(values)) / abs(mean) if mean else 0.0

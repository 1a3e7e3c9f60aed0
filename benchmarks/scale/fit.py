"""Least-squares fits of a measured cost over size, to extrapolate it to another size.

A line (constant and slope) is fitted first. Where its residual is above half of
`MAX_RESIDUAL` and a quadratic term makes up a large enough part of the cost, a parabola is fitted
instead, and the fit is reported as not linear.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import numpy as np

MIN_SIZES: Final = 3
MAX_RESIDUAL: Final = 0.10  # relative to the values' mean; above it, a line does not describe them
QUADRATIC_SHARE: Final = 0.25  # of the largest value; a smaller quadratic term may be noise


class FitError(ValueError):
    """Points that can't be fitted; the message says why."""


@dataclass(frozen=True, slots=True)
class Fit:
    """cost = constant + slope * size + quadratic * size²; `quadratic` is 0 for a line."""

    constant: float
    slope: float
    quadratic: float
    residual: float  # root mean square error, relative to the values' mean
    line_residual: float  # the same for the best straight line

    @property
    def is_linear(self) -> bool:
        """Whether the cost grows linearly, within the permitted residual."""
        return self.quadratic == 0.0 and self.residual <= MAX_RESIDUAL

    @property
    def shape(self) -> str:
        """The shape in words: a line, a parabola, or points that neither describes."""
        if self.residual > MAX_RESIDUAL:
            return "scattered"
        return "not linear" if self.quadratic else "line"

    def at(self, size: float) -> float:
        """Return the cost at a size, whether it was measured or not."""
        return self.constant + self.slope * size + self.quadratic * size * size


def fit_cost(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line, or a parabola where the points need one. Raises FitError."""
    _check(sizes, values)
    x, y = np.asarray(sizes, dtype=float), np.asarray(values, dtype=float)
    slope, constant = np.polyfit(x, y, 1)
    line_residual = _residual(y, constant + slope * x)
    line = Fit(float(constant), float(slope), 0.0, line_residual, line_residual)
    if line_residual <= MAX_RESIDUAL / 2:
        return line
    quadratic, lower_slope, lower_constant = np.polyfit(x, y, 2)
    largest = float(x.max())
    if quadratic * largest**2 < QUADRATIC_SHARE * float(y[x.argmax()]):
        return line
    curve = lower_constant + lower_slope * x + quadratic * x * x
    return Fit(
        float(lower_constant),
        float(lower_slope),
        float(quadratic),
        _residual(y, curve),
        line_residual,
    )


def _check(sizes: Sequence[float], values: Sequence[float]) -> None:
    if len(sizes) != len(values):
        raise FitError(f"{len(sizes)} sizes and {len(values)} values")
    if not all(math.isfinite(one) for one in (*sizes, *values)):
        raise FitError("a size or value is not a finite number")
    if len(set(sizes)) < MIN_SIZES:
        raise FitError(f"{len(set(sizes))} different sizes; a fit needs at least {MIN_SIZES}")


def _residual(values: np.ndarray, fitted: np.ndarray) -> float:
    """Return the root mean square of the differences, relative to the values' mean."""
    error = float(np.sqrt(np.mean((values - fitted) ** 2)))
    mean = float(np.mean(np.abs(values)))
    return error / mean if mean else 0.0

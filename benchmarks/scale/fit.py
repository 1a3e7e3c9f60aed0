"""Least-squares fits of a measured cost by size, and what they come to at another size.

A line (constant and slope) is fitted first. Where it misses the points by more than
`MOST_RESIDUAL`, or a quadratic term carries a real part of the cost, the fit says that it is not
linear and is extrapolated by the parabola instead.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import numpy as np

LEAST_SIZES: Final = 3
MOST_RESIDUAL: Final = 0.10  # of the values' mean, above which a line does not describe them
QUADRATIC_SHARE: Final = 0.25  # of the largest value: less of a quadratic term may be noise


class FitError(ValueError):
    """Points that nothing can be fitted to; the text says why."""


@dataclass(frozen=True, slots=True)
class Fit:
    """cost = constant + slope * size + quadratic * size²; `quadratic` is 0 for a line."""

    constant: float
    slope: float
    quadratic: float
    residual: float  # root mean square of what the fit misses, as a part of the values' mean
    line_residual: float  # the same of the best straight line

    @property
    def is_linear(self) -> bool:
        """Whether the cost grows as a line, within the residual that is allowed."""
        return self.quadratic == 0.0 and self.residual <= MOST_RESIDUAL

    @property
    def shape(self) -> str:
        """What to call it: a line, a parabola, or points that neither describes."""
        if self.residual > MOST_RESIDUAL:
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
    if line_residual <= MOST_RESIDUAL / 2:
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
        raise FitError("a size or value that is no finite number")
    if len(set(sizes)) < LEAST_SIZES:
        raise FitError(f"{len(set(sizes))} different sizes; a fit takes {LEAST_SIZES} at least")


def _residual(values: np.ndarray, fitted: np.ndarray) -> float:
    """Root mean square of the differences, as a part of the values' mean."""
    missed = float(np.sqrt(np.mean((values - fitted) ** 2)))
    mean = float(np.mean(np.abs(values)))
    return missed / mean if mean else 0.0

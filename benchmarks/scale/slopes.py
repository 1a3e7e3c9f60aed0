"""Measures each figure at three or more sizes, fits its growth and extrapolates it to full size.

    python -m benchmarks.scale.slopes [NAME ...] [--sizes 0.05,0.1,0.2] [--json FILE] [--list]

Each size of each measurement runs in its own process, one at a time. Processor times are valid on
a busy machine; wall times depend on the machine's load, which is recorded with them.
"""

from __future__ import annotations

import argparse
import json
import os
import platform
import subprocess
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Final

from . import gateway_slopes, state_slopes, tier_slopes
from .fit import Fit, FitError, fit_cost
from .measurement import Figure, Measurement

MEASUREMENTS: Final[Mapping[str, Measurement]] = {
    one.name: one
    for one in (*state_slopes.MEASUREMENTS, *gateway_slopes.MEASUREMENTS, *tier_slopes.MEASUREMENTS)
}
SIZE_TIMEOUT: Final = 300.0  # s, for one size of one measurement
HEADING: Final = (
    "| role | figure | sizes | measured | constant + slope | residual | at full size | mechanism "
    "|\n| --- | --- | --- | --- | --- | --- | --- | --- |"
)
_NEXT_PREFIX: Final = {"": "k", "k": "M", "M": "G"}


class MeasurementError(Exception):
    """A measurement that failed; the message says which, and why."""


@dataclass(frozen=True, slots=True)
class Result:
    """A measurement's values by figure, at its sizes."""

    name: str
    sizes: tuple[float, ...]
    values: Mapping[str, tuple[float, ...]]

    def fit(self, key: str) -> Fit:
        """Return the fit of one figure. Raises FitError."""
        return fit_cost(self.sizes, self.values[key])

    def at_full(self, key: str) -> float:
        """Return the figure at full size: as measured if that size was run, else by its fit."""
        full = MEASUREMENTS[self.name].full
        if full in self.sizes:
            return self.values[key][self.sizes.index(full)]
        return self.fit(key).at(full)

    def as_json(self) -> dict[str, Any]:
        """Return the result with its fits, as written to a results file."""
        measurement = MEASUREMENTS[self.name]
        figures = {}
        for figure in measurement.figures:
            fit = self.fit(figure.key)
            figures[figure.key] = {
                "unit": figure.unit,
                "values": self.values[figure.key],
                "fit": asdict(fit),
                "linear": fit.is_linear,
                "full": self.at_full(figure.key),
            }
        return {
            "name": self.name,
            "role": measurement.role,
            "axis": measurement.axis,
            "sizes": self.sizes,
            "full": measurement.full,
            "figures": figures,
        }


def run_measurement(measurement: Measurement, sizes: Sequence[float]) -> Result:
    """Run a measurement at these sizes. Raises MeasurementError."""
    found = [run_size(measurement, size) for size in sizes]
    values = {one.key: tuple(at[one.key] for at in found) for one in measurement.figures}
    return Result(measurement.name, tuple(sizes), values)


def run_size(measurement: Measurement, size: float) -> dict[str, float]:
    """Run one size in its own process. Raises MeasurementError."""
    command = [sys.executable, "-m", "benchmarks.scale.slopes", "--one", measurement.name]
    where = f"{measurement.name} at {size:g} {measurement.axis}"
    try:
        done = subprocess.run(
            [*command, "--sizes", repr(size)],
            capture_output=True,
            text=True,
            check=False,
            timeout=SIZE_TIMEOUT,
        )
    except subprocess.TimeoutExpired:
        raise MeasurementError(f"{where}: timed out after {SIZE_TIMEOUT:g} s") from None
    if done.returncode:
        raise MeasurementError(f"{where}: {done.stderr.strip().splitlines()[-1:]}")
    found: dict[str, float] = json.loads(done.stdout.splitlines()[-1])
    return found


def readable(value: float, unit: str) -> str:
    """Format a figure with three digits, and bytes with a decimal prefix."""
    prefix = ""
    if unit.startswith("B"):
        while abs(value) >= 1000 and prefix != "G":
            value, prefix = value / 1000, _NEXT_PREFIX[prefix]
    shown = f"{value:.0f}" if 1000 <= abs(value) < 1e7 else f"{value:.3g}"
    return shown if unit == "1" else f"{shown} {prefix}{unit}"


def table(results: Iterable[Result]) -> str:
    """Return a Markdown table with a row for each figure, as the capacity page shows it."""
    lines = [HEADING]
    for result in results:
        figures = MEASUREMENTS[result.name].figures
        lines.extend("| " + " | ".join(_cells(result, figure)) + " |" for figure in figures)
    return "\n".join(lines)


def _cells(result: Result, figure: Figure) -> tuple[str, ...]:
    measurement = MEASUREMENTS[result.name]
    fit, values = result.fit(figure.key), result.values[figure.key]
    where = "measured" if measurement.full in result.sizes else "by the fit"
    return (
        measurement.role,
        f"`{result.name}.{figure.key}`: {figure.meaning}",
        f"{measurement.axis} {', '.join(f'{size:g}' for size in result.sizes)}",
        ", ".join(readable(value, figure.unit) for value in values),
        _formula(fit, figure.unit),
        f"{fit.residual:.1%}, {fit.shape}",
        f"{readable(result.at_full(figure.key), figure.unit)} ({where})",
        f"`{figure.mechanism}`",
    )


def _formula(fit: Fit, unit: str) -> str:
    text = f"{readable(fit.constant, unit)} + {readable(fit.slope, unit)} n"
    return f"{text} + {readable(fit.quadratic, unit)} n²" if fit.quadratic else text


def environment() -> dict[str, Any]:
    """Return the machine, its load and the commit that is measured."""
    commit = subprocess.run(
        ["git", "rev-parse", "HEAD"], capture_output=True, text=True, check=False
    ).stdout.strip()
    return {
        "commit": commit,
        "python": platform.python_version(),
        "machine": platform.machine(),
        "processors": os.cpu_count(),
        "load": os.getloadavg(),
    }


def _sizes(text: str) -> tuple[float, ...]:
    try:
        return tuple(float(part) for part in text.split(","))
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text!r}: expected sizes such as 0.05,0.1,0.2") from None


def _name(text: str) -> str:
    if text not in MEASUREMENTS:
        known = ", ".join(MEASUREMENTS)
        raise argparse.ArgumentTypeError(f"{text!r}: unknown measurement; one of {known}")
    return text


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.slopes", description=__doc__)
    parser.add_argument("names", nargs="*", type=_name, metavar="NAME", help="default: all")
    parser.add_argument("--sizes", type=_sizes, help="instead of the measurement's own")
    parser.add_argument("--json", type=Path, metavar="FILE", help="write results as JSON lines")
    parser.add_argument("--list", action="store_true", help="print the measurements' names")
    parser.add_argument("--one", type=_name, help=argparse.SUPPRESS)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run measurements and print their table; return 1 if one failed."""
    parser = _parser()
    options = parser.parse_args(arguments)
    if options.list:
        print("\n".join(f"{one.name}: {one.role}, by {one.axis}" for one in MEASUREMENTS.values()))
        return 0
    if options.one is not None:
        if not options.sizes:
            parser.error("--one requires --sizes")
        print(json.dumps(MEASUREMENTS[options.one].measure(options.sizes[0])))
        return 0
    results, failed = _run_all(options.names or list(MEASUREMENTS), options.sizes, options.json)
    print(table(results))
    for problem in failed:
        print(f"slopes: {problem}", file=sys.stderr)
    return 1 if failed else 0


def _run_all(
    names: Iterable[str], sizes: tuple[float, ...] | None, file: Path | None
) -> tuple[list[Result], list[str]]:
    """Run each measurement, and append its result to the file as soon as it is done."""
    results, failed = [], []
    for name in names:
        measurement = MEASUREMENTS[name]
        before = environment()
        try:
            result = run_measurement(measurement, sizes or measurement.sizes)
            written = json.dumps({**before, **result.as_json()})
        except (FitError, MeasurementError) as error:
            failed.append(f"{name}: {error}")
            continue
        results.append(result)
        if file is not None:
            with file.open("a", encoding="utf-8") as out:
                out.write(written + "\n")
    return results, failed


if __name__ == "__main__":
    sys.exit(main())

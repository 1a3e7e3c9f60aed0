"""The description of a measurement, and the meters that measurements share."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

MEMBERS: Final = 1700  # gateways of the full tier
STEADY_REPEATS: Final = 3


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure of a measurement, with its unit, its meaning and the code that causes the cost."""

    key: str
    unit: str
    meaning: str
    mechanism: str  # the module that causes the cost


@dataclass(frozen=True, slots=True)
class Measurement:
    """Work that is measured at several sizes, each in its own process."""

    name: str
    role: str  # gateway, voter, host or operator
    axis: str  # what a size counts
    sizes: tuple[float, ...]
    full: float  # the size that figures are extrapolated to
    figures: tuple[Figure, ...]
    measure: Callable[[float], dict[str, float]]


def processor_seconds(work: Callable[[], Any], repeats: int = STEADY_REPEATS) -> float:
    """Return the processor seconds of one run of the work: the minimum of several runs."""
    best = float("inf")
    for _ in range(repeats):
        started_at = time.process_time()
        work()
        best = min(best, time.process_time() - started_at)
    return best


def microseconds_per_call(work: Callable[[], Any], count: int) -> float:
    """Return the processor microseconds per call: the mean of the best third of `count` calls."""
    batch = max(1, count // STEADY_REPEATS)

    def calls() -> None:
        for _ in range(batch):
            work()

    return processor_seconds(calls, count // batch) / batch * 1e6


def allocated_bytes(make: Callable[[], Any]) -> int:
    """Return the bytes that Python's allocator holds for the result of `make`."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        result = make()
        after = tracemalloc.get_traced_memory()[0]
        del result
        return after - before
    finally:
        tracemalloc.stop()


def resident_bytes(field: str = "VmRSS", pid: int | str = "self") -> int:
    """Return the resident bytes of a process, now or (`VmHWM`) at their peak (proc(5))."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == field:
            return int(value.split()[0]) * 1024
    raise KeyError(field)

"""What a measurement is: figures of one kind of work, by size; and the meters that they share."""

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
    """One figure of a measurement: what it is, in which unit, and the mechanism that carries it."""

    key: str
    unit: str
    meaning: str
    mechanism: str  # the module that the cost is in


@dataclass(frozen=True, slots=True)
class Measurement:
    """Work that is done at several sizes, each in a process of its own."""

    name: str
    role: str  # gateway, voter, host or operator
    axis: str  # what a size counts
    sizes: tuple[float, ...]
    full: float  # the size that figures are extrapolated to
    figures: tuple[Figure, ...]
    measure: Callable[[float], dict[str, float]]


def processor_seconds(work: Callable[[], Any], repeats: int = STEADY_REPEATS) -> float:
    """Processor time of this process for one turn of the work; the least of a few."""
    best = float("inf")
    for _ in range(repeats):
        begun = time.process_time()
        work()
        best = min(best, time.process_time() - begun)
    return best


def each_microseconds(work: Callable[[], Any], count: int) -> float:
    """Processor time of one of so many calls, in microseconds: the mean of the best third."""
    batch = max(1, count // STEADY_REPEATS)

    def calls() -> None:
        for _ in range(batch):
            work()

    return processor_seconds(calls, count // batch) / batch * 1e6


def allocated_bytes(make: Callable[[], Any]) -> int:
    """Bytes that Python's allocator holds for what `make` returns."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = make()
        after = tracemalloc.get_traced_memory()[0]
        del kept
        return after - before
    finally:
        tracemalloc.stop()


def resident_bytes(field: str = "VmRSS", pid: int | str = "self") -> int:
    """Resident memory of a process, now or (`VmHWM`) at its highest (proc(5))."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == field:
            return int(value.split()[0]) * 1024
    raise KeyError(field)

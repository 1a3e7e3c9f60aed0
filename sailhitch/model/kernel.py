"""Virtual time: events in the order of their times, and random numbers in streams.

A heap and callbacks. simpy was weighed: its processes are generators, and what is modelled here are
cores that are called with events, which would each need a generator around them.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable
from typing import Any

import numpy as np


class Kernel:
    """A clock in microseconds, and what happens by it."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.now = 0
        self.events = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        self._streams: dict[str, np.random.Generator] = {}

    def after(self, delay: int, work: Callable[..., None], *args: Any) -> None:
        """Call `work` so much later."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + max(0, delay), self._count, work, args))

    def at(self, time: int, work: Callable[..., None], *args: Any) -> None:
        """Call `work` at that time."""
        self.after(time - self.now, work, *args)

    def run(self, until: int) -> None:
        """Let everything happen that is due by then."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, work, args = heapq.heappop(self._heap)
            self.events += 1
            work(*args)
        self.now = max(self.now, until)

    def stream(self, name: str) -> np.random.Generator:
        """Random numbers for one purpose: what another draws changes nothing in them."""
        found = self._streams.get(name)
        if found is None:
            key = zlib.crc32(name.encode())
            found = self._streams[name] = np.random.default_rng([self.seed, key])
        return found

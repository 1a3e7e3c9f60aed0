"""Virtual time: a queue of events in the order of their times, and named random streams.

A heap of callbacks is used instead of simpy, whose processes are generators: the cores modelled
here are called with events, so each would need a generator around it.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable
from typing import Any

import numpy as np


class Kernel:
    """A virtual clock in microseconds, and the callbacks scheduled on it."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.now = 0
        self.event_count = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled_count = 0
        self._streams: dict[str, np.random.Generator] = {}

    def after(self, delay: int, callback: Callable[..., None], *args: Any) -> None:
        """Call `callback` after a delay, at once if it is negative."""
        self._scheduled_count += 1
        heapq.heappush(
            self._heap, (self.now + max(0, delay), self._scheduled_count, callback, args)
        )

    def at(self, time: int, callback: Callable[..., None], *args: Any) -> None:
        """Call `callback` at a time."""
        self.after(time - self.now, callback, *args)

    def run(self, until: int) -> None:
        """Run all callbacks due by a time, and set the clock to it."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self._heap)
            self.event_count += 1
            callback(*args)
        self.now = max(self.now, until)

    def stream(self, name: str) -> np.random.Generator:
        """Return the random generator of a name; each is independent of all others."""
        generator = self._streams.get(name)
        if generator is None:
            key = zlib.crc32(name.encode())
            generator = self._streams[name] = np.random.default_rng([self.seed, key])
        return generator

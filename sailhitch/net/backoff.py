"""Delays between failed calls, for one of many callers. No I/O; times are seconds.

Decorrelated jitter: each delay is drawn uniformly between the shortest one and three times the
previous one (Brooker, "Exponential Backoff And Jitter", 2015), so that callers that fail together
do not retry together. The longest delay grows with the number of callers, so that all of them
together call no more often than `rate`, as far as the caller can wait that long.
"""

from __future__ import annotations

import math
import random
from typing import Final

GROWTH: Final = 3.0


class Backoff:
    """The retry delays of one caller."""

    def __init__(self, shortest: float, longest: float, seed: int) -> None:
        self.shortest = shortest
        self.longest = longest
        self._random = random.Random(seed)
        self._last = shortest

    def limit(self, callers: int, rate: float, ceiling: float = math.inf) -> None:
        """Adapt to `callers` that share a service which may get `rate` calls per second in all.

        The longest delay grows for that, but not above `ceiling`.
        """
        # A delay is half of the longest one on average.
        self.longest = min(max(self.longest, 2.0 * callers / rate), ceiling)

    def pause(self) -> float:
        """Return how long to wait after another failure."""
        self._last = min(self.longest, self._random.uniform(self.shortest, GROWTH * self._last))
        return self._last

    def reset(self) -> None:
        """Start over from the shortest delay, after a successful call."""
        self._last = self.shortest

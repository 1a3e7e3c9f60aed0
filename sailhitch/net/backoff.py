"""Pauses between calls that fail, for one of many callers. No I/O; times are seconds.

Decorrelated jitter: each pause is drawn evenly between the shortest one and three times the one
before (Brooker, "Exponential Backoff And Jitter", 2015), so that callers that fail together do not
come back together. The limit grows with their number, so that all of them ask no more often than
`rate`, up to what the caller can bear to wait.
"""

from __future__ import annotations

import math
import random
from typing import Final

GROWTH: Final = 3.0


class Backoff:
    """One caller's pauses."""

    def __init__(self, first: float, most: float, seed: int) -> None:
        self.first = first
        self.most = most
        self._random = random.Random(seed)
        self._last = first

    def limit(self, callers: int, rate: float, most: float = math.inf) -> None:
        """So many callers share a service that is to be asked `rate` times a second at the most.

        No pause is longer than `most` for that.
        """
        # A pause is half of the limit on the whole.
        self.most = min(max(self.most, 2.0 * callers / rate), most)

    def pause(self) -> float:
        """Return how long to wait after one more failure."""
        self._last = min(self.most, self._random.uniform(self.first, GROWTH * self._last))
        return self._last

    def reset(self) -> None:
        """Start again from the shortest pause, after a call that succeeded."""
        self._last = self.first

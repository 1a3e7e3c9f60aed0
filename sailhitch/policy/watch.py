"""When to open the watch on the endpoint list, and when to reopen it after a failure."""

from __future__ import annotations

import random
from typing import Final

INITIAL_SPREAD: Final = 0.35  # first watches are spread over this share of the time allowed
BACKOFF_MIN: Final = 500_000  # us; doubles with each failure, with jitter
BACKOFF_MAX: Final = 4_000_000  # us


class WatchSchedule:
    """Whether the watch is open, and the backoff after failures."""

    def __init__(self, rng: random.Random) -> None:
        self.is_open = False
        self._random = rng
        self._backoff = BACKOFF_MIN

    def initial_delay(self, watch_within: int) -> int:
        """Return the delay before the first watch, in microseconds.

        It is random, as all gateways may start together and discovery's capacity is limited.
        """
        return int(self._random.random() * (watch_within * INITIAL_SPREAD))

    def on_event(self) -> None:
        """Record that the watch has delivered an event."""
        self.is_open = True
        self._backoff = BACKOFF_MIN

    def on_failed(self) -> int:
        """Record a failure; return the delay before reopening the watch, in microseconds."""
        self.is_open = False
        delay = int(self._backoff * (0.5 + self._random.random()))
        self._backoff = min(self._backoff * 2, BACKOFF_MAX)
        return delay

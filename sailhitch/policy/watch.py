"""When the watch on the endpoint list is opened, and opened again after a failure."""

from __future__ import annotations

import random
from typing import Final

INITIAL_SPREAD: Final = 0.35  # the first watch is spread over this share of the time allowed
BACKOFF_MIN: Final = 500_000  # us; doubles with each failure, with jitter
BACKOFF_MAX: Final = 4_000_000  # us


class WatchSchedule:
    """The state of the watch, and its backoff."""

    def __init__(self, draws: random.Random) -> None:
        self.is_open = False
        self._random = draws
        self._backoff = BACKOFF_MIN

    def initial_delay(self, watch_within: int) -> int:
        """Return the delay of the first watch in microseconds.

        All gateways may start together, and discovery has a fixed capacity.
        """
        return int(self._random.random() * (watch_within * INITIAL_SPREAD))

    def on_event(self) -> None:
        """Record that the watch delivers."""
        self.is_open = True
        self._backoff = BACKOFF_MIN

    def on_failed(self) -> int:
        """Record a failure; return the delay until the next attempt in microseconds."""
        self.is_open = False
        delay = int(self._backoff * (0.5 + self._random.random()))
        self._backoff = min(self._backoff * 2, BACKOFF_MAX)
        return delay

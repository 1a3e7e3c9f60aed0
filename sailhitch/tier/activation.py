"""When a member proposes to activate the pending version.

The proposer of a version does so as soon as all members have confirmed it. Other members do so
after a random delay, so that few of them compete.
"""

from __future__ import annotations

import random
from typing import Final

MIN_DELAY: Final = 600_000  # us, of a member other than the proposer
MAX_DELAY: Final = 2_000_000  # us


class Activation:
    """The delay before a pending version is activated, and whether a proposal is in progress."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ready_at: int | None = None
        self.in_progress = False

    def restart(self) -> None:
        """Restart the delay: activation is not allowed yet, or the state has changed."""
        self._ready_at = None

    def is_due(self, now: int, is_proposer: bool) -> bool:
        """Return whether to propose the activation now, given that all members have confirmed."""
        if self._ready_at is None:
            delay = 0 if is_proposer else self._rng.randrange(MIN_DELAY, MAX_DELAY)
            self._ready_at = now + delay
        return now >= self._ready_at

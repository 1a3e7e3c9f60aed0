"""When a member proposes that the pending version becomes active.

The proposer of a version does so at once when nobody has to be waited for; others do so later, each
at a random time, so that few of them compete.
"""

from __future__ import annotations

import random
from typing import Final

FIRST_AFTER: Final = 600_000  # us from which others than the proposer have it made active
LAST_AFTER: Final = 2_000_000  # us by which the last of them does


class Activation:
    """The delay before a pending version is made active, and whether that is under way."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ready_at: int | None = None
        self.under_way = False

    def restart(self) -> None:
        """Nobody may make it active yet, or there is another head: the delay counts anew."""
        self._ready_at = None

    def is_due(self, now: int, is_proposer: bool) -> bool:
        """Return whether to propose now, given that nobody has to be waited for."""
        if self._ready_at is None:
            delay = 0 if is_proposer else self._rng.randrange(FIRST_AFTER, LAST_AFTER)
            self._ready_at = now + delay
        return now >= self._ready_at

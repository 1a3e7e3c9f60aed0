"""When a member gossips, and with whom.

There is a round at each tick while there is something new to spread, and one each `IDLE_INTERVAL`
otherwise. The traffic of a member does not depend on the number of members.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from .probes import Prober

IDLE_INTERVAL: Final = 1_000_000  # us between two rounds of gossip where there is nothing new
EXPEDITED_FOR: Final = 3_000_000  # us after something new in which each tick has a round
DEAD_TARGET_PROBABILITY: Final = 0.1  # that a drawn member is sent gossip even if declared dead
MAX_DRAWS: Final = 8  # random draws to find a member that is not declared dead


class Gossip:
    """The schedule of gossip rounds, and the random choice of their targets."""

    def __init__(self, rng: random.Random, prober: Prober, others: Sequence[str]) -> None:
        self._rng = rng
        self._prober = prober
        self.others = others  # all known members but this one
        self._next_at = 0
        self._expedited_until = 0

    def gossip_soon(self, now: int) -> None:
        """Gossip at each tick for `EXPEDITED_FOR`, as there is something new."""
        self._expedited_until = now + EXPEDITED_FOR

    def is_expedited(self, now: int) -> bool:
        """Return whether each tick has a round now."""
        return now < self._expedited_until

    def is_due(self, now: int, busy: bool) -> bool:
        """Return whether a round begins now; always if `busy`, as there is something to spread."""
        if now < self._next_at and not busy:
            return False
        self._next_at = now + IDLE_INTERVAL
        return True

    def draw_targets(self, count: int) -> list[str]:
        """Return the targets of one round; seldom a member declared dead, which may be back."""
        chosen = []
        for name in self._rng.sample(self.others, min(count, len(self.others))):
            target = (
                name if self._rng.random() < DEAD_TARGET_PROBABILITY else self.first_alive(name)
            )
            if target is not None:
                chosen.append(target)
        return chosen

    def first_alive(self, first: str) -> str | None:
        """Return `first` or another member not declared dead; None if `MAX_DRAWS` find none."""
        name = first
        for _ in range(MAX_DRAWS):
            if self._prober.is_alive(name):
                return name
            name = self._rng.choice(self.others)
        return None

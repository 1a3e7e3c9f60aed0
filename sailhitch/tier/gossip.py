"""When a member gossips, and with whom.

There is a round at each beat while there is something new, and one in `QUIET` otherwise, so that
the bytes in a second do not depend on the number of members.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from .probes import Prober

IDLE_INTERVAL: Final = 1_000_000  # us between two rounds of gossip where there is nothing new
EXPEDITED_FOR: Final = 3_000_000  # us after something new in which each beat has a round
DEAD_SHARE: Final = 0.1  # part of the gossip that goes to whoever is drawn, dead or not
MAX_DRAWS: Final = 8  # draws to find a member that is not dead


class Gossip:
    """The schedule of rounds, and the draw of whom each goes to."""

    def __init__(self, rng: random.Random, prober: Prober, others: Sequence[str]) -> None:
        self._rng = rng
        self._prober = prober
        self.others = others  # all members that may be there, but this one
        self._next_at = self._expedited_until = 0

    def gossip_soon(self, now: int) -> None:
        """There is something new: each beat has a round for a while."""
        self._expedited_until = now + EXPEDITED_FOR

    def is_expedited(self, now: int) -> bool:
        """Return whether something was new lately."""
        return now < self._expedited_until

    def is_due(self, now: int, busy: bool) -> bool:
        """Return whether a round begins now; `busy`: there is something that others wait for."""
        if now < self._next_at and not busy:
            return False
        self._next_at = now + IDLE_INTERVAL
        return True

    def draw(self, count: int) -> list[str]:
        """Members for one round; seldom one that was declared dead, which may be back."""
        chosen = []
        for name in self._rng.sample(self.others, min(count, len(self.others))):
            to = name if self._rng.random() < DEAD_SHARE else self.first_alive(name)
            if to is not None:
                chosen.append(to)
        return chosen

    def first_alive(self, first: str) -> str | None:
        """This member, or another that is not declared dead; None where a few draws find none."""
        name = first
        for _ in range(MAX_DRAWS):
            if self._prober.is_alive(name):
                return name
            name = self._rng.choice(self.others)
        return None

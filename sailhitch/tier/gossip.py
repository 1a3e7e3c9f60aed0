"""When a member gossips, and with whom.

There is a round at each beat while there is something new, and one in `QUIET` otherwise, so that
the bytes in a second do not depend on the number of members.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from .probes import Prober

QUIET: Final = 1_000_000  # us between two rounds of gossip where there is nothing new
BUSY: Final = 3_000_000  # us after something new in which each beat has a round
TO_DEAD: Final = 0.1  # part of the gossip that goes to whoever is drawn, dead or not
TRIES: Final = 8  # draws to find a member that is not dead


class Gossip:
    """The schedule of rounds, and the draw of whom each goes to."""

    def __init__(self, rng: random.Random, prober: Prober, others: Sequence[str]) -> None:
        self._rng, self._prober = rng, prober
        self.others = others  # all members that may be there, but this one
        self._next_at = self._busy_until = 0

    def hurry(self, now: int) -> None:
        """There is something new: each beat has a round for a while."""
        self._busy_until = now + BUSY

    def is_hurried(self, now: int) -> bool:
        """Whether something was new lately."""
        return now < self._busy_until

    def is_due(self, now: int, busy: bool) -> bool:
        """Whether a round begins now; `busy`: there is something that others wait for."""
        if now < self._next_at and not busy:
            return False
        self._next_at = now + QUIET
        return True

    def draw(self, count: int) -> list[str]:
        """Members for one round; seldom one that was declared dead, which may be back."""
        chosen = []
        for name in self._rng.sample(self.others, min(count, len(self.others))):
            to = name if self._rng.random() < TO_DEAD else self.alive(name)
            if to is not None:
                chosen.append(to)
        return chosen

    def alive(self, first: str) -> str | None:
        """This member, or another that is not declared dead; None where a few draws find none."""
        name = first
        for _ in range(TRIES):
            if self._prober.alive(name):
                return name
            name = self._rng.choice(self.others)
        return None

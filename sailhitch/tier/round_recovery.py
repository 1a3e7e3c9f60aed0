"""When a voter completes a round whose end it has not heard of.

A proposer may end between the acceptance of its change by voters and the news of it. The change may
be decided by then, and nobody that runs knows. So a voter that has accepted a head, and hears of
none as late within a while, reads the register by a round: what was decided is found, and what was
accepted by few is decided or given up.
"""

from __future__ import annotations

import random
from typing import Final

from .messages import Ballot, ChosenState

FIRST_AFTER: Final = 600_000  # us from an acceptance, from which a voter completes the round
LAST_AFTER: Final = 2_000_000  # us by which the last of the voters does


class RoundRecovery:
    """The delay of one voter, at random, so that few of them compete with each other."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ballot: Ballot | None = None  # of what it waits to hear of
        self._due_at = 0

    def is_due(self, now: int, accepted: ChosenState | None, known: ChosenState | None) -> bool:
        """Return whether to read the register by a round now.

        `accepted` is what this voter accepted last, and `known` the latest that was surely decided.
        """
        if accepted is None or (
            known is not None and accepted.state.revision <= known.state.revision
        ):
            self._ballot = None
            return False
        if accepted.ballot != self._ballot:
            self._ballot = accepted.ballot
            self._due_at = now + self._rng.randrange(FIRST_AFTER, LAST_AFTER)
        return now >= self._due_at

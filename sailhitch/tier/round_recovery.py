"""When a voter completes a round whose outcome it does not know.

A proposer may end after voters have accepted its state and before it has reported the outcome. The
state may be chosen by then without any running process knowing. So a voter that has accepted a
state, and learns of no chosen state of that revision or a later one within a random delay, reads
the register by a round: a chosen state is found, and one accepted by a minority is chosen or
superseded.
"""

from __future__ import annotations

import random
from typing import Final

from .messages import Ballot, ChosenState

MIN_DELAY: Final = 600_000  # us after the voter has accepted a state
MAX_DELAY: Final = 2_000_000  # us


class RoundRecovery:
    """The delay of one voter, random so that few voters compete."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ballot: Ballot | None = None  # of the accepted state whose outcome is unknown
        self._due_at = 0

    def is_due(self, now: int, accepted: ChosenState | None, chosen: ChosenState | None) -> bool:
        """Return whether to read the register by a round now.

        Args:
            now: The time.
            accepted: The state that this voter accepted last.
            chosen: The latest state that is known to be chosen.
        """
        if accepted is None or (
            chosen is not None and accepted.state.revision <= chosen.state.revision
        ):
            self._ballot = None
            return False
        if accepted.ballot != self._ballot:
            self._ballot = accepted.ballot
            self._due_at = now + self._rng.randrange(MIN_DELAY, MAX_DELAY)
        return now >= self._due_at

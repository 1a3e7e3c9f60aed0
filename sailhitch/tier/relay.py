"""Ways to the voters: straight, and through another member where no answer comes back straight.

A voter that this member can't reach, or that can't reach it, may be well known to others. What is
asked of it then also goes through one of them, and the answer comes back the same way. A lease so
rests on others' word, and its age needs no clock but the asker's: it counts from the question.
"""

from __future__ import annotations

from typing import Final

UNANSWERED: Final = 3  # questions in a row after which another way is taken as well


class RelayPolicy:
    """How questions to voters have gone."""

    def __init__(self) -> None:
        self._open: dict[str, int] = {}  # by voter: questions since its last answer

    def needs_relay(self, voter: str) -> bool:
        """A voter is asked something; whether to ask it through another as well."""
        self._open[voter] = self._open.get(voter, 0) + 1
        return self._open[voter] > UNANSWERED

    def is_silent(self, voter: str) -> bool:
        """Whether it has not answered lately, so that it is of no help in reaching another."""
        return self._open.get(voter, 0) >= UNANSWERED

    def on_reply(self, voter: str) -> None:
        """It has answered straight."""
        self._open.pop(voter, None)

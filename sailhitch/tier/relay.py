"""Decides when to also relay requests to a voter through another member.

If this member and a voter can't reach each other in one of the directions, other members may still
reach the voter. Requests are then also sent through one of them, and the reply comes back the same
way. A lease that is granted over a relay still depends only on the requester's clock, because it
counts from when the request was sent.
"""

from __future__ import annotations

from typing import Final

UNANSWERED_BEFORE_RELAY: Final = (
    3  # consecutive unanswered requests after which further ones are also relayed
)


class RelayPolicy:
    """Counts the unanswered requests to each voter."""

    def __init__(self) -> None:
        self._unanswered: dict[str, int] = {}  # by voter: requests since its latest reply

    def needs_relay(self, voter: str) -> bool:
        """Count a request to a voter, and return whether to also relay it."""
        self._unanswered[voter] = self._unanswered.get(voter, 0) + 1
        return self._unanswered[voter] > UNANSWERED_BEFORE_RELAY

    def is_silent(self, voter: str) -> bool:
        """Return whether a voter has not replied lately, so that it can't serve as a relay."""
        return self._unanswered.get(voter, 0) >= UNANSWERED_BEFORE_RELAY

    def on_reply(self, voter: str) -> None:
        """Record a direct reply of a voter."""
        self._unanswered.pop(voter, None)

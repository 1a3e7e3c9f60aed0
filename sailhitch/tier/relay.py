"""When requests to a voter are also relayed through another member.

A voter that this member can't reach, or that can't reach it, may be reachable from others. Requests
to it are then also sent through one of them, and the reply comes back the same way. A lease that is
granted so still needs no clock but the requester's, as it counts from when the request was sent.
"""

from __future__ import annotations

from typing import Final

UNANSWERED: Final = 3  # unanswered requests in a row after which others are relayed too


class RelayPolicy:
    """The unanswered requests to each voter."""

    def __init__(self) -> None:
        self._open: dict[str, int] = {}  # by voter: requests since its latest reply

    def needs_relay(self, voter: str) -> bool:
        """Count a request to a voter, and return whether to relay it too."""
        self._open[voter] = self._open.get(voter, 0) + 1
        return self._open[voter] > UNANSWERED

    def is_silent(self, voter: str) -> bool:
        """Return whether a voter has not replied lately, and so is no use as a relay."""
        return self._open.get(voter, 0) >= UNANSWERED

    def on_reply(self, voter: str) -> None:
        """Record a direct reply of a voter."""
        self._open.pop(voter, None)

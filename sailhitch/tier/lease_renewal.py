"""When a member requests its lease."""

from __future__ import annotations

from typing import Final

from .messages import LeaseRequest
from .parts import MemberParts

RENEWALS_PER_LEASE: Final = 6  # lease requests to each voter in a lease's length


class LeaseRenewal:
    """Requests this member's lease from all voters, several times in its length."""

    def __init__(self, parts: MemberParts) -> None:
        self._lease = parts.lease
        self._voters = parts.config.voters
        self._outbox = parts.outbox
        self._confirmations = parts.confirmations
        self._renew_at = 0

    def renew_if_due(self, now: int) -> None:
        """Request the lease if the renewal interval has passed."""
        if now >= self._renew_at:
            self.renew(now)

    def renew(self, now: int) -> None:
        """Request the lease now."""
        if self._lease is None:
            return
        self._renew_at = now + self._lease.length // RENEWALS_PER_LEASE
        number = self._lease.request(now)
        for voter in self._voters:
            self._outbox.send(voter, LeaseRequest(number, self._confirmations.own_revision))

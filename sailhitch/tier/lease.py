"""Leases: whether a member has recently heard from a majority of voters, by round trips alone.

No two clocks are compared. A member's lease counts from when it *sent* the request that a voter
granted, on its own clock; the voter's record counts from when it answered, which is later. So a
voter that reports an expired lease is right as long as no clock's rate is off by more than
`MAX_CLOCK_SKEW` allows.
"""

from __future__ import annotations

from typing import Final

MAX_CLOCK_SKEW: Final = 0.02  # relative difference of two clocks' rates; half of it each way
MAX_OPEN_REQUESTS: Final = 64


class Lease:
    """A member's side: its requests and the voters' grants."""

    def __init__(self, length: int, quorum: int) -> None:
        """Make a lease of `length` microseconds that `quorum` voters have to grant."""
        self.length = length
        self.quorum = quorum
        self._number = 0
        self._sent: dict[int, int] = {}
        self._granted: dict[str, int] = {}  # by voter: when the request that it granted was sent

    def request(self, now: int) -> int:
        """Return the number of the next request, sent now."""
        self._number += 1
        self._sent[self._number] = now
        self._sent.pop(self._number - MAX_OPEN_REQUESTS, None)
        return self._number

    def on_grant(self, voter: str, number: int) -> None:
        """Record that a voter has granted the request of this number."""
        sent = self._sent.get(number)
        if sent is not None and sent > self._granted.get(voter, -1):
            self._granted[voter] = sent

    def expires_at(self) -> int:
        """Return when the lease expires unless renewed; 0 if no majority has granted it."""
        times = sorted(self._granted.values(), reverse=True)
        if len(times) < self.quorum:
            return 0
        return times[self.quorum - 1] + int(self.length * (1 - MAX_CLOCK_SKEW))


class GrantTable:
    """A voter's side: when it last granted each member's request.

    A voter that has just started may have granted a lease to any member before, so until a lease's
    length after its start it reports none as expired.
    """

    def __init__(self, length: int, now: int) -> None:
        self.length = length
        self.since = now
        self._last_granted: dict[str, int] = {}

    def record(self, name: str, now: int) -> None:
        """Record that a member's request is granted."""
        self._last_granted[name] = now

    def has_expired(self, name: str, now: int) -> bool:
        """Return whether no grant of this voter to that member can still be valid."""
        return now - self._last_granted.get(name, self.since) > int(
            self.length * (1 + MAX_CLOCK_SKEW)
        )

"""Who has heard of a majority of voters lately, by round trips alone.

Age of knowledge is told without comparing clocks: a member's lease counts from the moment at which
it *sent* the question that a voter granted, on its own clock; the voter's memory of it from the
moment at which it answered, which is later. So a voter that says that a grant has lapsed is right
for as long as no clock is off by more than `SKEW`.
"""

from __future__ import annotations

from typing import Final

MAX_CLOCK_SKEW: Final = 0.02  # clocks' rates may differ by half of that, each way
MAX_OPEN_REQUESTS: Final = 64  # questions under way


class Lease:
    """A member's side."""

    def __init__(self, length: int, need: int) -> None:
        self.length = length
        self.quorum = need
        self._number = 0
        self._sent: dict[int, int] = {}
        self._granted: dict[str, int] = {}  # by voter: when the question was sent

    def request(self, now: int) -> int:
        """Return the number of the next question, sent now."""
        self._number += 1
        self._sent[self._number] = now
        self._sent.pop(self._number - MAX_OPEN_REQUESTS, None)
        return self._number

    def on_grant(self, voter: str, number: int) -> None:
        """A voter has granted that question."""
        sent = self._sent.get(number)
        if sent is not None and sent > self._granted.get(voter, -1):
            self._granted[voter] = sent

    def expires_at(self) -> int:
        """Return when it ends, unless it is granted anew."""
        times = sorted(self._granted.values(), reverse=True)
        if len(times) < self.quorum:
            return 0
        return times[self.quorum - 1] + int(self.length * (1 - MAX_CLOCK_SKEW))


class GrantTable:
    """A voter's side. One that has just started may have granted anything to anybody before."""

    def __init__(self, length: int, now: int) -> None:
        self.length = length
        self.since = now
        self._last: dict[str, int] = {}

    def record(self, name: str, now: int) -> None:
        """A member's question is granted."""
        self._last[name] = now

    def has_expired(self, name: str, now: int) -> bool:
        """Return whether no grant of this voter to that member can still hold."""
        return now - self._last.get(name, self.since) > int(self.length * (1 + MAX_CLOCK_SKEW))

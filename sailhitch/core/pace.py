"""Whether a peer keeps its bytes moving. No I/O; times are microseconds.

A limit on time for something of any length must be a rate. What counts is the time in which the
peer alone holds the flow up: while this side does not want its bytes, or has none for it, the clock
stands.
"""

from __future__ import annotations

from typing import Final

GRACE: Final = 2_500_000  # of time that may pass before a rate is asked for...
STALL: Final = 2_000_000  # ...and without a single byte
RATE: Final = 16 * 1024  # bytes a second, on the whole


class Pace:
    """Watches one peer of one flow."""

    __slots__ = ("_last", "_since", "_spent", "grace", "moved", "rate", "stall")

    def __init__(self, now: int, rate: int = RATE, grace: int = GRACE, stall: int = STALL) -> None:
        self.rate, self.grace, self.stall = rate, grace, stall
        self.moved = 0  # bytes
        self._spent = 0  # time that counted, up to `_since`
        self._since: int | None = now  # since when the clock runs; None while it stands
        self._last = 0  # of that time, when a byte last moved

    def spent(self, now: int) -> int:
        """The time that counts."""
        return self._spent + (max(0, now - self._since) if self._since is not None else 0)

    def move(self, size: int, now: int) -> None:
        """So many bytes have moved."""
        if size > 0:
            self.moved += size
            self._last = self.spent(now)

    def stop(self, now: int) -> None:
        """The peer is not waited for from now on."""
        self._spent, self._since = self.spent(now), None

    def go(self, now: int) -> None:
        """The peer is waited for again; it has all its patience anew."""
        if self._since is None:
            self._since = now
            self._last = self._spent

    def overdue(self, now: int) -> bool:
        """Whether it has stood still, or trickled, for too long."""
        spent = self.spent(now)
        if spent - self._last > self.stall:
            return True
        return spent > self.grace and self.moved < (spent - self.grace) * self.rate // 1_000_000

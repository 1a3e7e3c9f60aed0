"""A token bucket: a mean rate, and how far it may be exceeded at once."""

from __future__ import annotations

MICROSECONDS = 1_000_000


class TokenBucket:
    """Tokens that come at `rate` a second, of which `burst` are held at most. Full at first."""

    def __init__(self, rate: int, burst: int, now: int) -> None:
        self._rate = rate
        self._burst = burst
        self._level = float(burst)
        self._filled_at = now

    def take(self, amount: int, now: int) -> bool:
        """Take so many tokens if they are there; whether they were. `now` in microseconds."""
        elapsed = max(0, now - self._filled_at)
        self._filled_at = now
        self._level = min(self._burst, self._level + self._rate * elapsed / MICROSECONDS)
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def give_back(self, amount: int) -> None:
        """Return tokens that were taken and not used."""
        self._level = min(self._burst, self._level + amount)

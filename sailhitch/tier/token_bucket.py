"""A token bucket: limits a mean rate, and the burst beyond it."""

from __future__ import annotations

MICROSECONDS_PER_SECOND = 1_000_000


class TokenBucket:
    """Tokens that refill at `rate` a second up to `burst`; full at first. Times in microseconds."""

    def __init__(self, rate: int, burst: int, now: int) -> None:
        self._rate = rate
        self._burst = burst
        self._level = float(burst)
        self._filled_at = now

    def take(self, amount: int, now: int) -> bool:
        """Take `amount` tokens if there are as many; return whether there were."""
        elapsed = max(0, now - self._filled_at)
        self._filled_at = now
        self._level = min(self._burst, self._level + self._rate * elapsed / MICROSECONDS_PER_SECOND)
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def give_back(self, amount: int) -> None:
        """Put back tokens that were taken and not used."""
        self._level = min(self._burst, self._level + amount)

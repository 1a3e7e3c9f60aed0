"""Detects a peer that reads or sends a stream too slowly. No I/O; times are microseconds.

Streams have any length, so the limit is a rate. Only time spent waiting for the peer counts: the
clock is stopped while this side doesn't read, or has nothing to send.
"""

from __future__ import annotations

from typing import Final

GRACE_TIME: Final = 2_500_000  # us of counted time before the rate applies
MAX_STALL: Final = 2_000_000  # us of counted time without a single byte
MIN_RATE: Final = 16 * 1024  # bytes/s, averaged over the counted time after the grace


class ThroughputWatchdog:
    """Measures the throughput of the peer of one stream."""

    __slots__ = ("_counted", "_last_moved_at", "_running_since", "grace", "moved", "rate", "stall")

    def __init__(
        self, now: int, rate: int = MIN_RATE, grace: int = GRACE_TIME, stall: int = MAX_STALL
    ) -> None:
        self.rate = rate
        self.grace = grace
        self.stall = stall
        self.moved = 0  # bytes
        self._counted = 0  # counted time, up to `_running_since`
        self._running_since: int | None = now  # None while the clock is stopped
        self._last_moved_at = 0  # counted time at which a byte last moved

    def counted_time(self, now: int) -> int:
        """Return the counted time."""
        return self._counted + (
            max(0, now - self._running_since) if self._running_since is not None else 0
        )

    def record(self, size: int, now: int) -> None:
        """Record that bytes have moved."""
        if size > 0:
            self.moved += size
            self._last_moved_at = self.counted_time(now)

    def stop(self, now: int) -> None:
        """Stop the clock, as the peer is not waited for."""
        self._counted = self.counted_time(now)
        self._running_since = None

    def resume(self, now: int) -> None:
        """Restart the clock, and the limit on time without a byte."""
        if self._running_since is None:
            self._running_since = now
            self._last_moved_at = self._counted

    def is_too_slow(self, now: int) -> bool:
        """Return whether the peer has stalled, or is slower than the rate."""
        counted = self.counted_time(now)
        if counted - self._last_moved_at > self.stall:
            return True
        return counted > self.grace and self.moved < (counted - self.grace) * self.rate // 1_000_000

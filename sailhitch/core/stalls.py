"""The stalls of this process's event loop, in which it neither read nor wrote. No I/O.

Times are microseconds of the core's clock.
"""

from __future__ import annotations


class StallHistory:
    """The last stall, and the duration of all of them."""

    __slots__ = ("since", "total", "until")

    def __init__(self) -> None:
        self.since = 0  # begin of the last stall
        self.until = 0  # ...and its end
        self.total = 0  # duration of all stalls

    def record(self, now: int, late: int) -> int:
        """Record that a timer fires `late`, now; return how much longer the stalls are by that.

        A stall that a response has told of is reported once more by its late timer.
        """
        self.since = now - late
        duration = now - max(self.since, self.until)
        self.total += duration
        self.until = now
        return duration

    def is_recorded(self, due: int) -> bool:
        """Return whether the stall that delays a timer due at this time is recorded."""
        return self.until >= due

"""Estimates when the last byte of a request body arrived while reading it was paused. No I/O.

A request's time counts from its last byte, and while reading is paused that byte may already wait
in the system's buffers. Times are microseconds.
"""

from __future__ import annotations

from typing import Final

# us after a read in which bytes still follow that were sent before it: a sender whose window was
# full may learn only by its next probe that there is room again (RFC 9293, 3.8.6.1).
LIVE_MARGIN: Final = 250_000
MIN_PAUSE: Final = (
    500_000  # us; arrivals in a shorter pause are off by no more than an answer may be
)
# Bytes that a client's system may hold for it: the default maximum of Linux (tcp_wmem in tcp(7)).
MAX_SEND_BUFFER: Final = 4 << 20


class BodyArrival:
    """Bounds on the arrival of the last byte of one body."""

    __slots__ = ("_is_paused", "_paused_at", "_resumed_at", "arrived_at", "missing_at")

    def __init__(self, now: int) -> None:
        self.missing_at = now  # latest time at which the last byte is known to have been missing
        self.arrived_at = 0  # when it arrived, at the latest; 0 while that is unknown
        self._is_paused = False
        self._paused_at = 0
        self._resumed_at = 0  # end of the last pause of MIN_PAUSE; 0 if all was read since

    def on_paused(self, now: int) -> None:
        """Record that reading is paused."""
        if not self._is_paused:
            self._is_paused = True
            self._paused_at = now

    def on_resumed(self, now: int) -> None:
        """Record that reading goes on."""
        if self._is_paused and now - self._paused_at >= MIN_PAUSE:
            self._resumed_at = now
        self._is_paused = False

    def on_reading(self, now: int) -> None:
        """Record that reading is not paused, so that what has arrived is read."""
        if now - self._resumed_at > LIVE_MARGIN:
            self.missing_at = now
            self._resumed_at = 0

    def on_unread(self, now: int, unread: int, missing: int | None, last_data_at: int) -> None:
        """Record what is unread in a pause.

        `unread`: bytes in this system's buffer. `missing`: bytes of the body that were not read;
        None if its length is unknown. `last_data_at`: when bytes arrived last, at the earliest.
        """
        if not unread or (missing is not None and missing - unread > MAX_SEND_BUFFER):
            self.missing_at = now
            return
        if last_data_at > self._paused_at + LIVE_MARGIN:
            # The buffer had room and the client had nothing more to send, or it would have come.
            self.missing_at = max(self.missing_at, last_data_at)
        if missing is not None and unread >= missing and not self.arrived_at:
            self.arrived_at = max(self.missing_at, last_data_at)

    def last_byte_at(self, last_data_at: int) -> int:
        """Return when the last byte, which has just been read, arrived; 0: just now."""
        if self.arrived_at or not self._resumed_at:
            return self.arrived_at
        if last_data_at > self._resumed_at + LIVE_MARGIN:
            return last_data_at
        return self.missing_at  # it may have waited for the whole of the pause

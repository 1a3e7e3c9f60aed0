"""C3's rate control (the paper's algorithm 2): the send rate is cut, then grows by a cubic."""

from __future__ import annotations

import math
from typing import Final

from ..policy_interface import RateSnapshot

RATE_TAU: Final = 2_000_000  # us; time constant of the receive rate
MIN_WINDOW_SHARE: Final = 0.05  # share of the window that is assumed to have passed at least
BETA: Final = 0.2  # a cut reduces the rate by this share: the cubic starts at (1 - BETA) * R0
SADDLE_MIN: Final = 100_000  # us; minimum time from a cut until the cubic returns to R0


class CubicRate:
    """A limit on requests sent per second, and a measurement of responses received per second.

    In the paper's symbols `send_rate` is srate, `receive_rate` is rrate and `rate_at_cut` is R0.
    `saddle` is the time in microseconds from a cut until the cubic returns to R0.
    """

    __slots__ = (
        "cut_at",
        "first_received_at",
        "rate_at_cut",
        "receive_rate",
        "receive_rate_at",
        "saddle",
        "send_rate",
    )

    def __init__(self) -> None:
        self.receive_rate = 0.0
        self.receive_rate_at = 0
        self.first_received_at = 0
        self.send_rate = math.inf  # no limit until saturation is observed
        self.rate_at_cut = 0.0
        self.cut_at = 0
        self.saddle = float(SADDLE_MIN)

    def count_response(self, now: int) -> None:
        """Count a response."""
        if not self.first_received_at:
            self.first_received_at = now
        elapsed = now - self.receive_rate_at
        self.receive_rate = self.receive_rate * math.exp(-elapsed / RATE_TAU) + 1e6 / RATE_TAU
        self.receive_rate_at = now

    def estimate(self, now: int) -> float:
        """Return the responses per second, corrected for a window that is not full yet.

        Soon after the first response the window is mostly empty. Without the correction the result
        would be a fraction of the true rate, and a cut to it would take many saddles to recover.
        """
        window_share = 1.0 - math.exp((self.first_received_at - now) / RATE_TAU)
        return self.receive_rate / max(MIN_WINDOW_SHARE, window_share)

    def grow(self, now: int) -> float:
        """Update and return the send rate: the cubic at the time passed since the cut."""
        x = (now - self.cut_at) / self.saddle - 1.0
        self.send_rate = self.rate_at_cut * (1.0 + BETA * x * x * x)
        return self.send_rate

    def scale(self, factor: float) -> None:
        """Scale all rates after a change in the share of requests that this process gets."""
        self.receive_rate *= factor
        self.send_rate *= factor
        self.rate_at_cut *= factor

    def take_snapshot(self) -> RateSnapshot:
        """Return the state, to hand it over to the next process."""
        return RateSnapshot._make([getattr(self, name) for name in RateSnapshot._fields])

    def restore_snapshot(self, snapshot: RateSnapshot) -> None:
        """Restore a state from a snapshot."""
        for name, value in zip(RateSnapshot._fields, snapshot, strict=True):
            setattr(self, name, value)

    def cut(self, now: int, rate: float, saddle: float) -> None:
        """Set R0 to a measured rate, and restart the cubic below it."""
        self.rate_at_cut = rate
        self.saddle = saddle
        self.send_rate = rate * (1.0 - BETA)
        self.cut_at = now

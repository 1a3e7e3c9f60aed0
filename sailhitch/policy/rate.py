"""C3's rate control (the paper's algorithm 2): a send rate that is cut and regrows by a cubic."""

from __future__ import annotations

import math
from typing import Final

from ..policy_interface import RateSnapshot

RATE_TAU: Final = 2_000_000  # us; window of the receive rate
MIN_WINDOW_SHARE: Final = 0.05  # of the window, assumed to have passed
BETA: Final = 0.2  # a cut takes this share of the rate; the cubic starts at (1 - BETA) * R0
SADDLE_MIN: Final = 100_000  # us; the cubic is back at R0 no sooner


class CubicRate:
    """A limit on what is sent, and a measure of what is received, per second.

    In the paper's symbols `send_rate` is srate, `receive_rate` rrate and `rate_at_cut` R0; `saddle`
    is the time in microseconds from a cut until the cubic is back at R0.
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
        self.send_rate = math.inf  # no limit without evidence of saturation
        self.rate_at_cut = 0.0
        self.cut_at = 0
        self.saddle = float(SADDLE_MIN)

    def received(self, now: int) -> None:
        """Count a response."""
        if not self.first_received_at:
            self.first_received_at = now
        gap = now - self.receive_rate_at
        self.receive_rate = self.receive_rate * math.exp(-gap / RATE_TAU) + 1e6 / RATE_TAU
        self.receive_rate_at = now

    def estimate(self, now: int) -> float:
        """Return the responses per second, by the part of the window that has passed.

        Soon after the first response the window is mostly empty. Taken as full it would give a
        fraction of the true rate, and a cut to that takes many saddles to recover.
        """
        window_share = 1.0 - math.exp((self.first_received_at - now) / RATE_TAU)
        return self.receive_rate / max(MIN_WINDOW_SHARE, window_share)

    def grow(self, now: int) -> float:
        """Set and return the send rate along the cubic since the cut."""
        x = (now - self.cut_at) / self.saddle - 1.0
        self.send_rate = self.rate_at_cut * (1.0 + BETA * x * x * x)
        return self.send_rate

    def scale(self, factor: float) -> None:
        """Multiply all rates, where the share of the requests has changed."""
        self.receive_rate *= factor
        self.send_rate *= factor
        self.rate_at_cut *= factor

    def take_snapshot(self) -> RateSnapshot:
        """Return the state, for the process that takes over."""
        return RateSnapshot._make([getattr(self, name) for name in RateSnapshot._fields])

    def restore_snapshot(self, snapshot: RateSnapshot) -> None:
        """Take over a state."""
        for name, value in zip(RateSnapshot._fields, snapshot, strict=True):
            setattr(self, name, value)

    def cut(self, now: int, rate: float, saddle: float) -> None:
        """Set R0 to a measured rate, and start the cubic below it."""
        self.rate_at_cut = rate
        self.saddle = saddle
        self.send_rate = rate * (1.0 - BETA)
        self.cut_at = now

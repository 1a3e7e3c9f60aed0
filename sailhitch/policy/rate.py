"""The paper's algorithm 2: a rate of sending that a cut lowers and a cubic raises again."""

from __future__ import annotations

import math

from ..interface import KnownRate

RATE_TAU = 2_000_000  # window of rrate: long enough for several answers at a few a second
BETA = 0.2  # a cut takes this share of the rate; the cubic starts at (1 - BETA) * R0
SADDLE_MIN = 100_000  # the cubic is back at R0 no sooner than the paper's 100 ms


class CubicRate:
    """What is sent at the most (`srate`) and what is received (`rrate`), per second."""

    __slots__ = ("begun", "r0", "rrate", "saddle", "srate", "t_cut", "t_rate")

    def __init__(self) -> None:
        self.rrate, self.t_rate = 0.0, 0
        self.begun = 0  # when the first answer came
        self.srate = math.inf  # no limit without evidence of saturation
        self.r0, self.t_cut, self.saddle = 0.0, 0, float(SADDLE_MIN)

    def received(self, now: int) -> None:
        """An answer came."""
        if not self.begun:
            self.begun = now
        gap = now - self.t_rate
        self.rrate = self.rrate * math.exp(-gap / RATE_TAU) + 1e6 / RATE_TAU
        self.t_rate = now

    def measured(self, now: int) -> float:
        """What is received a second, by as much of the window as there has been.

        Danger: soon after the first answer the window is mostly empty. A rate read as if it were
        full is a fraction of the true one, and a cut to that takes many saddles to come back.
        """
        return self.rrate / max(0.05, 1.0 - math.exp((self.begun - now) / RATE_TAU))

    def grow(self, now: int) -> float:
        """The rate of now, along the cubic since the cut."""
        x = (now - self.t_cut) / self.saddle - 1.0
        self.srate = self.r0 * (1.0 + BETA * x * x * x)
        return self.srate

    def scale(self, change: float) -> None:
        """So many times as much is sent from now on as was."""
        self.rrate *= change
        self.srate *= change
        self.r0 *= change

    def known(self) -> KnownRate:
        return KnownRate._make([getattr(self, name) for name in KnownRate._fields])

    def adopt(self, known: KnownRate) -> None:
        for name, value in zip(KnownRate._fields, known, strict=True):
            setattr(self, name, value)

    def cut(self, now: int, rate: float, saddle: float) -> None:
        """R0 becomes what was really received, and the cubic starts below it."""
        self.r0, self.saddle = rate, saddle
        self.srate = rate * (1.0 - BETA)
        self.t_cut = now

"""Estimates whether and when waiting connections send their next request, by life tables.

A table per kind of connection counts, by age in octaves of time, how many waits ended with a
request, and how many were closed or still last. The hazard of an octave is the actuarial estimate
for censored lives: events over the time spent in it (Kaplan and Meier, J. Am. Stat. Assoc. 53,
1958, section 2, with the time spent as in the piecewise exponential model). The value of a
connection is the expected value of its next request, discounted by the time until it arrives.

All times are microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import IntEnum
from typing import Final

OCTAVES: Final = 17  # the first is under 1.02 ms, the last from 33 s on
OCTAVE_SHIFT: Final = 10  # the first octave ends at 2^10 us; shorter times are not distinguished
DECAY: Final = 0.977  # of counts per REFRESH_INTERVAL: they halve in 15 s
REFRESH_INTERVAL: Final = 500_000  # us
PSEUDO_LIVES: Final = 2.0  # prior of each octave: this many waits...
PSEUDO_EVENTS: Final = 0.5  # ...and requests, so one in four ends before its age doubles


class Kind(IntEnum):
    """What a connection waits for, and how it has behaved."""

    FRESH = 0  # accepted, nothing read
    HEAD = 1  # part of a head read
    BODY = 2  # head read, body incomplete
    ONCE = 3  # idle after its first request
    # Idle after further requests; by the mean gap between a response and the next request.
    GAP_16MS = 4
    GAP_64MS = 5
    GAP_256MS = 6
    GAP_1S = 7
    GAP_4S = 8
    GAP_LONG = 9


KIND_COUNT: Final = len(Kind)
GAP_KINDS: Final = tuple(Kind)[Kind.GAP_16MS :]


def decay_factor(elapsed: int) -> float:
    """Return the factor by which counts decay in a time."""
    return math.pow(DECAY, elapsed / REFRESH_INTERVAL)


def octave(age: int) -> int:
    """Return the octave of an age: 0 below 2^10 us, then one for each doubling."""
    if age <= 0:
        return 0
    return min(OCTAVES - 1, (age >> OCTAVE_SHIFT).bit_length())


def gap_kind(gap: int) -> Kind:
    """Return the kind of a connection whose mean gap between requests is `gap`."""
    return GAP_KINDS[min(5, max(0, ((gap >> OCTAVE_SHIFT).bit_length() - 3) // 2))]


def _width(at: int) -> float:
    return float(1 << OCTAVE_SHIFT) if at == 0 else float(1 << (OCTAVE_SHIFT + at - 1))


WIDTHS: Final = tuple(_width(at) for at in range(OCTAVES))


class LifeTables:
    """A life table for each kind. `expected_requests[kind][octave]` is as of the last `refresh`."""

    def __init__(self) -> None:
        self.requests = [[0.0] * OCTAVES for _ in range(KIND_COUNT)]
        self.closes = [[0.0] * OCTAVES for _ in range(KIND_COUNT)]
        self.horizon = 1_000_000
        self.expected_requests = [[0.0] * OCTAVES for _ in range(KIND_COUNT)]
        self.refresh((), 1.0, 0)

    def on_request(self, kind: int, age: int) -> None:
        """Count a wait that ended with a request."""
        self.requests[kind][octave(age)] += 1.0

    def on_closed(self, kind: int, age: int) -> None:
        """Count a wait that ended with a close, by either side, and so is censored."""
        self.closes[kind][octave(age)] += 1.0

    def refresh(self, waiting: Iterable[tuple[int, int]], decay: float, horizon: int) -> None:
        """Compute the value of each kind at each age.

        `waiting` has the kind and age of each connection that still waits: those that never send a
        request and are never closed must count as much as those that ended. `decay` is the factor
        that the counts are multiplied by afterwards. `horizon` is the time in which the value of a
        future request falls by the factor e.
        """
        if horizon > 0:
            self.horizon = horizon
        still_waiting = [[0] * OCTAVES for _ in range(KIND_COUNT)]
        for kind, age in waiting:
            still_waiting[kind][octave(age)] += 1
        for kind in range(KIND_COUNT):
            requests = self.requests[kind]
            closes = self.closes[kind]
            self.expected_requests[kind] = _expected_values(
                requests, closes, still_waiting[kind], 1.0 / self.horizon
            )
            if decay < 1.0:
                self.requests[kind] = [count * decay for count in requests]
                self.closes[kind] = [count * decay for count in closes]

    def request_age_quantile(self, kind: int, share: float, default: int) -> int:
        """Return the age by which `share` of the requests arrived; `default` if there were few."""
        requests = self.requests[kind]
        total = sum(requests)
        if total < 10.0:
            return default
        seen = 0.0
        for at, count in enumerate(requests):
            seen += count
            if seen >= share * total:
                return 1 << (OCTAVE_SHIFT + at)
        return default


def _expected_values(
    requests: list[float], closes: list[float], still_waiting: list[int], discount: float
) -> list[float]:
    """Return the expected discounted value of the next request, by octave of age.

    Computed backwards from the last octave, whose hazard is assumed to continue. For an octave of
    hazard h and width w, followed by the value W, and for the discount rate d, the value at its
    begin is h/(h+d) (1 - e^-(h+d)w) + e^-(h+d)w W.
    """
    values = [0.0] * OCTAVES
    beyond = 0.0  # waits that outlast the octave
    after = -1.0
    for at in range(OCTAVES - 1, -1, -1):
        width = WIDTHS[at]
        ended = requests[at] + closes[at] + still_waiting[at]
        spent = beyond * width + ended * width / 2 + PSEUDO_LIVES * width
        hazard = (requests[at] + PSEUDO_EVENTS) / spent
        rate = hazard + discount
        soon = hazard / rate
        if after < 0.0:
            after = soon
        half = math.exp(-rate * width / 2)
        values[at] = soon * (1.0 - half) + half * after
        whole = half * half
        after = soon * (1.0 - whole) + whole * after
        beyond += ended
    return values

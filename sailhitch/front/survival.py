"""Estimate whether and when waiting connections bring their next request: life tables.

A table per kind of connection counts, by age in octaves of time, how many ended their wait with a
request and how many were closed or still wait. The hazard of an octave is the actuarial estimate
for censored lives: events over the time spent in it (Kaplan and Meier, J. Am. Stat. Assoc. 53,
1958, section 2, with the time spent as in the piecewise exponential model). The worth of a slot
is what its next request is worth now, discounted by how long it will take to come.

All times are microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import IntEnum
from typing import Final

OCTAVES: Final = 17  # the first is under 1.02 ms, the last from 33 s on
SHIFT: Final = 10  # 2^10 us: what is faster than this can't be told apart
FORGET: Final = 0.977  # per half second: what was seen counts half after 15 s
REFRESH: Final = 500_000
PSEUDO: Final = 2.0  # lives that are made up for each octave...
PSEUDO_EVENTS: Final = 0.5  # ...and so many requests of theirs: one in four before it doubles


class Kind(IntEnum):
    """What a connection waits for, and what its past says."""

    FRESH = 0  # accepted; no byte yet
    HEAD = 1  # some of a head
    BODY = 2  # the head, some of the body
    ONCE = 3  # has asked once
    # Has asked more often; by the mean of the gaps between an answer and the next request.
    GAP_16MS = 4
    GAP_64MS = 5
    GAP_256MS = 6
    GAP_1S = 7
    GAP_4S = 8
    GAP_LONG = 9


KINDS: Final = len(Kind)
GAPS: Final = tuple(Kind)[Kind.GAP_16MS :]


def fade(elapsed: int) -> float:
    """Return how much of what was counted still counts after so long."""
    return math.pow(FORGET, elapsed / REFRESH)


def octave(age: int) -> int:
    """Return the octave of an age: 0 under 2^10 us, then one for each doubling."""
    if age <= 0:
        return 0
    return min(OCTAVES - 1, (age >> SHIFT).bit_length())


def gap_kind(gap: int) -> Kind:
    """Return the kind of a connection that comes back after `gap` on the whole."""
    return GAPS[min(5, max(0, ((gap >> SHIFT).bit_length() - 3) // 2))]


def _width(at: int) -> float:
    return float(1 << SHIFT) if at == 0 else float(1 << (SHIFT + at - 1))


WIDTHS: Final = tuple(_width(at) for at in range(OCTAVES))


class LifeTables:
    """A life table for each kind. `worth[kind][octave]` is current as of the last `refresh`."""

    def __init__(self) -> None:
        self.requests = [[0.0] * OCTAVES for _ in range(KINDS)]
        self.closes = [[0.0] * OCTAVES for _ in range(KINDS)]
        self.horizon = 1_000_000
        self.expected_requests = [[0.0] * OCTAVES for _ in range(KINDS)]
        self.refresh((), 1.0, 0)

    def on_request(self, kind: int, age: int) -> None:
        """Count a wait that ended with a request."""
        self.requests[kind][octave(age)] += 1.0

    def on_closed(self, kind: int, age: int) -> None:
        """Count a wait that ended with a close, by either side; a request might still have come."""
        self.closes[kind][octave(age)] += 1.0

    def refresh(self, waiting: Iterable[tuple[int, int]], keep: float, horizon: int) -> None:
        """Work out the worth of every kind at every age.

        `waiting` has the kind and age of each connection that still waits: those that never ask
        and are never closed must weigh as much as those that ended. `keep` is the share of the
        counts that still counts from here on. `horizon` is the time over
        which a coming request is discounted by e.
        """
        if horizon > 0:
            self.horizon = horizon
        held = [[0] * OCTAVES for _ in range(KINDS)]
        for kind, age in waiting:
            held[kind][octave(age)] += 1
        for kind in range(KINDS):
            asked = self.requests[kind]
            lost = self.closes[kind]
            self.expected_requests[kind] = _worth(asked, lost, held[kind], 1.0 / self.horizon)
            if keep < 1.0:
                self.requests[kind] = [count * keep for count in asked]
                self.closes[kind] = [count * keep for count in lost]

    def latest(self, kind: int, share: float, absent: int) -> int:
        """Return by which age `share` of the waits with a request ended; `absent` if few did."""
        asked = self.requests[kind]
        total = sum(asked)
        if total < 10.0:
            return absent
        seen = 0.0
        for at, count in enumerate(asked):
            seen += count
            if seen >= share * total:
                return 1 << (SHIFT + at)
        return absent


def _worth(asked: list[float], lost: list[float], held: list[int], discount: float) -> list[float]:
    """Backwards from the last octave, in which the hazard goes on as it is.

    Within an octave of hazard h and what follows worth W, the worth at its begin is
    h/(h+d) (1 - e^-(h+d)w) + e^-(h+d)w W for the discount rate d and the width w.
    """
    worth = [0.0] * OCTAVES
    beyond = 0.0  # lives that outlast the octave
    after = -1.0
    for at in range(OCTAVES - 1, -1, -1):
        width = WIDTHS[at]
        ended = asked[at] + lost[at] + held[at]
        spent = beyond * width + ended * width / 2 + PSEUDO * width
        hazard = (asked[at] + PSEUDO_EVENTS) / spent
        rate = hazard + discount
        soon = hazard / rate
        if after < 0.0:
            after = soon
        half = math.exp(-rate * width / 2)
        worth[at] = soon * (1.0 - half) + half * after
        whole = half * half
        after = soon * (1.0 - whole) + whole * after
        beyond += ended
    return worth

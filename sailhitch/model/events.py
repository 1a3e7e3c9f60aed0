"""Scenarios of the tier as data: which fault or request happens when."""

from __future__ import annotations

from typing import Final

import msgspec

SECOND: Final = 1_000_000  # us
FIRST_FAULT_AT: Final = 4 * SECOND  # a tier has bootstrapped by then
FAULT_PERIOD: Final = 12 * SECOND  # in which all events begin


class Event(msgspec.Struct, frozen=True):
    """A fault or a request.

    `at` and `duration` are in microseconds, `members` are numbers from 0, and the meaning of
    `value` depends on the kind.
    """

    at: int
    kind: str
    members: tuple[int, ...] = ()
    duration: int = 0
    value: float = 0.0


class Scenario(msgspec.Struct, frozen=True):
    """A tier, and the events in it by their times."""

    seed: int
    members: int
    voters: int
    lease: int | None
    events: tuple[Event, ...]

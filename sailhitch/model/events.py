"""Scenarios of a tier as data: which fault or request happens when."""

from __future__ import annotations

from typing import Final

import msgspec

SECOND: Final = 1_000_000  # us
FIRST_FAULT_AT: Final = 4 * SECOND  # the tier has bootstrapped by then
FAULT_PERIOD: Final = 12 * SECOND  # all events begin within it


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
    """The size of a tier, and its events in the order of their times."""

    seed: int
    members: int
    voters: int
    lease: int | None
    events: tuple[Event, ...]

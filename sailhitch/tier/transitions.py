"""The changes that the register's value may take: one line of versions, each from the one before.

Each change is a function from the head that is to the head that is to be, with how it ends. It may
be called several times for one change, as a round that failed may have gone through all the same.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from msgspec.structs import replace

from .effects import End
from .messages import Head, Version


class Step(NamedTuple):
    """What a change comes to: the head to write, and how it ends once that is decided."""

    head: Head
    end: End


Change = Callable[[Head | None], Step | None]  # None: there is nothing to write to


def read(now: Head | None) -> Step | None:
    """No change; what is read was decided, and was the latest when the reading began."""
    return None if now is None else Step(now, End.NONE)


def found(version: Version, roster: str) -> Change:
    """The first head of a tier; where there is one, that."""

    def change(now: Head | None) -> Step | None:
        if now is not None:
            return Step(now, End.ACTIVE if now.active.change == version.change else End.NONE)
        return Step(Head(1, version.serial, 1, version, None, roster), End.ACTIVE)

    return change


def offer(version: Version, waits: bool) -> Change:
    """A version made from `version.base`; its serial is given here. `waits`: pending at first."""

    def change(now: Head | None) -> Step | None:
        if now is None:
            return None
        if now.active.change == version.change:
            return Step(now, End.ACTIVE)
        if now.pending is not None and now.pending.change == version.change:
            return Step(now, End.PENDING)
        if now.active.serial != version.base:
            return Step(now, End.STALE)
        if now.pending is not None:
            return Step(now, End.BUSY)
        made = replace(version, serial=now.last + 1)
        if waits:
            return Step(_next(now, last=made.serial, floor=now.turn + 1, pending=made), End.PENDING)
        return Step(_next(now, last=made.serial, active=made), End.ACTIVE)

    return change


def activate(serial: int) -> Change:
    """The pending version is confirmed by everybody: it is the active one from here on."""

    def change(now: Head | None) -> Step | None:
        if now is None:
            return None
        pending = now.pending
        if pending is None or pending.serial != serial:
            return Step(now, End.ACTIVE if now.active.serial == serial else End.NONE)
        return Step(_next(now, active=pending, pending=None), End.ACTIVE)

    return change


def withdraw(serial: int) -> Change:
    """The pending version is given up; what was active stays so."""

    def change(now: Head | None) -> Step | None:
        if now is None:
            return None
        if now.pending is None or now.pending.serial != serial:
            return Step(now, End.STALE if now.active.serial == serial else End.NONE)
        return Step(_next(now, pending=None), End.ACTIVE)

    return change


def enrol(old: str, new: str) -> Change:
    """Another roster, made from the one with the digest `old`."""

    def change(now: Head | None) -> Step | None:
        if now is None:
            return None
        if now.roster == new:
            return Step(now, End.ACTIVE)
        if now.roster != old:
            return Step(now, End.STALE)
        return Step(_next(now, roster=new), End.ACTIVE)

    return change


def pose(version: Version) -> Change:
    """A posture made from the one of serial `version.base`, 0 for none; its serial is given here.

    It goes beside the line of versions: it is active at once, also while a version is pending.
    """

    def change(now: Head | None) -> Step | None:
        if now is None:
            return None
        held = now.posture
        if held is not None and held.change == version.change:
            return Step(now, End.ACTIVE)
        if version.base != (0 if held is None else held.serial):
            return Step(now, End.STALE)
        made = replace(version, serial=version.base + 1)
        return Step(_next(now, posture=made), End.ACTIVE)

    return change


def _next(now: Head, **changes: Any) -> Head:
    """The head of the next turn."""
    return replace(now, turn=now.turn + 1, **changes)

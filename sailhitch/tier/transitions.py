"""The changes that the register's value may take: one line of versions, each from the one before.

Each change is a function from the head that is to the head that is to be, with how it ends. It may
be called several times for one change, as a round that failed may have gone through all the same.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from msgspec.structs import replace

from .effects import ProposalResult
from .messages import RegisterState, Version


class Transition(NamedTuple):
    """What a change comes to: the head to write, and how it ends once that is decided."""

    state: RegisterState
    result: ProposalResult


StateChange = Callable[
    [RegisterState | None], Transition | None
]  # None: there is nothing to write to


def read(now: RegisterState | None) -> Transition | None:
    """No change; what is read was decided, and was the latest when the reading began."""
    return None if now is None else Transition(now, ProposalResult.NO_CHANGE)


def bootstrap(version: Version, roster: str) -> StateChange:
    """Return the first head of a tier; where there is one, that."""

    def change(now: RegisterState | None) -> Transition | None:
        if now is not None:
            return Transition(
                now,
                ProposalResult.ACTIVE
                if now.active.change_id == version.change_id
                else ProposalResult.NO_CHANGE,
            )
        return Transition(
            RegisterState(1, version.serial, 1, version, None, roster), ProposalResult.ACTIVE
        )

    return change


def propose_version(version: Version, needs_confirmation: bool) -> StateChange:
    """A version made from `version.base`; its serial is given here. `waits`: pending at first."""

    def change(now: RegisterState | None) -> Transition | None:
        if now is None:
            return None
        if now.active.change_id == version.change_id:
            return Transition(now, ProposalResult.ACTIVE)
        if now.pending is not None and now.pending.change_id == version.change_id:
            return Transition(now, ProposalResult.PENDING)
        if now.active.serial != version.base:
            return Transition(now, ProposalResult.STALE)
        if now.pending is not None:
            return Transition(now, ProposalResult.BUSY)
        made = replace(version, serial=now.last_serial + 1)
        if needs_confirmation:
            return Transition(
                _next_state(
                    now, last_serial=made.serial, required_revision=now.revision + 1, pending=made
                ),
                ProposalResult.PENDING,
            )
        return Transition(
            _next_state(now, last_serial=made.serial, active=made), ProposalResult.ACTIVE
        )

    return change


def activate(serial: int) -> StateChange:
    """Return the pending version is confirmed by everybody: it is the active one from here on."""

    def change(now: RegisterState | None) -> Transition | None:
        if now is None:
            return None
        pending = now.pending
        if pending is None or pending.serial != serial:
            return Transition(
                now,
                ProposalResult.ACTIVE if now.active.serial == serial else ProposalResult.NO_CHANGE,
            )
        return Transition(_next_state(now, active=pending, pending=None), ProposalResult.ACTIVE)

    return change


def withdraw(serial: int) -> StateChange:
    """Return the pending version is given up; what was active stays so."""

    def change(now: RegisterState | None) -> Transition | None:
        if now is None:
            return None
        if now.pending is None or now.pending.serial != serial:
            return Transition(
                now,
                ProposalResult.STALE if now.active.serial == serial else ProposalResult.NO_CHANGE,
            )
        return Transition(_next_state(now, pending=None), ProposalResult.ACTIVE)

    return change


def change_configuration(old: str, new: str) -> StateChange:
    """Another roster, made from the one with the digest `old`."""

    def change(now: RegisterState | None) -> Transition | None:
        if now is None:
            return None
        if now.configuration_digest == new:
            return Transition(now, ProposalResult.ACTIVE)
        if now.configuration_digest != old:
            return Transition(now, ProposalResult.STALE)
        return Transition(_next_state(now, configuration_digest=new), ProposalResult.ACTIVE)

    return change


def propose_traffic_policy(version: Version) -> StateChange:
    """A posture made from the one of serial `version.base`, 0 for none; its serial is given here.

    It goes beside the line of versions: it is active at once, also while a version is pending.
    """

    def change(now: RegisterState | None) -> Transition | None:
        if now is None:
            return None
        held = now.traffic_policy
        if held is not None and held.change_id == version.change_id:
            return Transition(now, ProposalResult.ACTIVE)
        if version.base != (0 if held is None else held.serial):
            return Transition(now, ProposalResult.STALE)
        made = replace(version, serial=version.base + 1)
        return Transition(_next_state(now, traffic_policy=made), ProposalResult.ACTIVE)

    return change


def _next_state(now: RegisterState, **changes: Any) -> RegisterState:
    """Return the head of the next turn."""
    return replace(now, revision=now.revision + 1, **changes)

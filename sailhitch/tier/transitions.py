"""State transitions of the register: each makes the next value from the current one.

A `StateChange` is a function from the current register state to the next one, with the result to
report. It may be called several times for one proposal, because an attempt that seemed to fail may
have been chosen all the same; so each change first looks for its own `change_id` or effect.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from msgspec.structs import replace

from .effects import ProposalResult
from .messages import RegisterState, Version


class Transition(NamedTuple):
    """The state that a change writes, and the result to report once that state is chosen."""

    state: RegisterState
    result: ProposalResult


StateChange = Callable[[RegisterState | None], Transition | None]
"""Returns the transition from a state; None where the register is empty and stays so."""


def read(current: RegisterState | None) -> Transition | None:
    """Return the transition that changes nothing.

    The state that it returns was chosen, and was the latest one when the read began.
    """
    return None if current is None else Transition(current, ProposalResult.NO_CHANGE)


def bootstrap(version: Version, configuration_digest: str) -> StateChange:
    """Return the change that writes a tier's first state, unless the register has one."""

    def change(current: RegisterState | None) -> Transition | None:
        if current is None:
            first = RegisterState(1, version.serial, 1, version, None, configuration_digest)
            return Transition(first, ProposalResult.ACTIVE)
        is_own = current.active.change_id == version.change_id
        return Transition(current, ProposalResult.ACTIVE if is_own else ProposalResult.NO_CHANGE)

    return change


def propose_version(version: Version, needs_confirmation: bool) -> StateChange:
    """Return the change that adds a version made from `version.base`, and assigns its serial.

    A version that needs confirmation is pending at first; any other is active at once.
    """

    def change(current: RegisterState | None) -> Transition | None:
        if current is None:
            return None
        if current.active.change_id == version.change_id:
            return Transition(current, ProposalResult.ACTIVE)
        if current.pending is not None and current.pending.change_id == version.change_id:
            return Transition(current, ProposalResult.PENDING)
        if current.active.serial != version.base:
            return Transition(current, ProposalResult.STALE)
        if current.pending is not None:
            return Transition(current, ProposalResult.BUSY)
        return _with_version(current, version, needs_confirmation)

    return change


def _with_version(current: RegisterState, version: Version, needs_confirmation: bool) -> Transition:
    numbered = replace(version, serial=current.last_serial + 1)
    if not needs_confirmation:
        state = _next_state(current, last_serial=numbered.serial, active=numbered)
        return Transition(state, ProposalResult.ACTIVE)
    state = _next_state(
        current,
        last_serial=numbered.serial,
        required_revision=current.revision + 1,
        pending=numbered,
    )
    return Transition(state, ProposalResult.PENDING)


def activate(serial: int) -> StateChange:
    """Return the change that makes the pending version active; all members have confirmed it."""

    def change(current: RegisterState | None) -> Transition | None:
        if current is None:
            return None
        pending = current.pending
        if pending is None or pending.serial != serial:
            is_active = current.active.serial == serial
            return Transition(
                current, ProposalResult.ACTIVE if is_active else ProposalResult.NO_CHANGE
            )
        return Transition(_next_state(current, active=pending, pending=None), ProposalResult.ACTIVE)

    return change


def withdraw(serial: int) -> StateChange:
    """Return the change that drops the pending version; the active one stays."""

    def change(current: RegisterState | None) -> Transition | None:
        if current is None:
            return None
        if current.pending is None or current.pending.serial != serial:
            is_active = current.active.serial == serial
            return Transition(
                current, ProposalResult.STALE if is_active else ProposalResult.NO_CHANGE
            )
        return Transition(_next_state(current, pending=None), ProposalResult.ACTIVE)

    return change


def change_configuration(old_digest: str, new_digest: str) -> StateChange:
    """Return the change from the configuration with one digest to that with another."""

    def change(current: RegisterState | None) -> Transition | None:
        if current is None:
            return None
        if current.configuration_digest == new_digest:
            return Transition(current, ProposalResult.ACTIVE)
        if current.configuration_digest != old_digest:
            return Transition(current, ProposalResult.STALE)
        return Transition(
            _next_state(current, configuration_digest=new_digest), ProposalResult.ACTIVE
        )

    return change


def propose_traffic_policy(version: Version) -> StateChange:
    """Return the change to a traffic policy made from that of serial `version.base`, 0 for none.

    Traffic policies have serials of their own. A new one is active at once, even while a version of
    the gateways' state is pending.
    """

    def change(current: RegisterState | None) -> Transition | None:
        if current is None:
            return None
        policy = current.traffic_policy
        if policy is not None and policy.change_id == version.change_id:
            return Transition(current, ProposalResult.ACTIVE)
        if version.base != (0 if policy is None else policy.serial):
            return Transition(current, ProposalResult.STALE)
        numbered = replace(version, serial=version.base + 1)
        return Transition(_next_state(current, traffic_policy=numbered), ProposalResult.ACTIVE)

    return change


def _next_state(current: RegisterState, **changes: Any) -> RegisterState:
    """Return the state of the next revision, with these fields replaced."""
    return replace(current, revision=current.revision + 1, **changes)

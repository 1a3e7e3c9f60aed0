"""Operators' changes in a tier: proposes a state, and waits until it is active."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from ..pages import Tree
from ..tier.effects import JobCompleted, ProposalResult
from ..tier.member import Member
from ..tier.messages import RegisterState, Version
from .plan import StaleBaseError
from .rules import contradictions
from .schema import TierSection
from .source import ChangeRefusedError, StillPendingError
from .state import State
from .state_applier import ApplyError
from .store import AppliedState
from .tier_decisions import check_active, wait_for_decision
from .version_applier import VersionApplier
from .version_states import VersionStates

DeriveState = Callable[[State], State]
"""Derives a state from the active one; raises ChangeRefusedError if the change does not fit it."""


class TierChanges:
    """Proposes states, and waits until this process has applied them."""

    def __init__(self, part: TierSection, applier: VersionApplier, states: VersionStates) -> None:
        self.part = part
        self.link = applier.link
        self._applier = applier
        self._states = states

    async def base_for(self, serial: int) -> AppliedState:
        """Return the version that this process applies, for a plan made against a serial.

        The plan may have been made at a member that knew of its version earlier: this one then
        waits until it has applied that version too, but not for longer than for a change.

        Raises:
            ApplyError: This member may not act, or the register can't be read.
        """
        check_active(self.link)
        if self._applier.base.serial < serial:
            register = (await wait_for_decision(self.link, Member.read)).state
            if register.active.serial >= serial:
                await self._wait_until_applied(serial)
        return self._applier.base

    async def propose_on_latest(self, derive: DeriveState, operator: str) -> AppliedState:
        """Propose a change that an operator has not made from any version, such as a ban.

        Where this member turns out to be a version behind, it waits for that version, and derives
        the state from it, but it begins no attempt later than it may wait for a change.

        Raises as `propose` and `derive` do.
        """
        loop = asyncio.get_running_loop()
        last_attempt_at = loop.time() + self.part.agree_within / 1e6
        while True:
            base = self._applier.base
            try:
                return await self.propose(base, derive(base.state), operator)
            except ChangeRefusedError:
                # The change may fit the version that is active, which this member lacks.
                check_active(self.link)
                active = (await wait_for_decision(self.link, Member.read)).state.active.serial
                if active <= base.serial or loop.time() >= last_attempt_at:
                    raise
            except StaleBaseError as error:
                active = error.serial
                if error.pending is not None or loop.time() >= last_attempt_at:
                    raise
            if not await self._wait_until_applied(active):
                raise StaleBaseError(base.serial, active)

    async def propose(self, base: AppliedState, state: State, operator: str) -> AppliedState:
        """Propose a state, and return it once this process has applied it as active.

        Args:
            base: The version that the state was derived from.
            state: The state to propose.
            operator: The operator who proposes it, for display.

        Raises:
            ApplyError: The state was not proposed, was not decided, or was withdrawn.
            StaleBaseError: Another version than `base` is active, or one is pending.
            StillPendingError: The state is decided but waits for members.
        """
        state = {**state, "listeners": {}}
        check_active(self.link)
        if state == base.state:
            # The version applied here may be outdated, so the register is read before reporting
            # that there is nothing to do.
            register = (await wait_for_decision(self.link, Member.read)).state
            if register.active.serial != base.serial or register.pending is not None:
                raise _stale_error(base, register)
            return base
        completed = await self._propose_from(base, state, operator)
        if completed.result is ProposalResult.UNKNOWN:
            raise ApplyError(
                f"made against serial {base.serial}; serial {completed.state.active.serial} is "
                "active by now, and this change may be in force since an earlier one: do not "
                "repeat it before `sailhitch state` shows what is"
            )
        if completed.version is None:
            raise _stale_error(base, completed.state)
        return await self._wait_until_active(completed.version, state)

    async def _propose_from(self, base: AppliedState, state: State, operator: str) -> JobCompleted:
        must_wait = bool(await asyncio.to_thread(contradictions, base.state, state))
        tree = await asyncio.to_thread(self._tree, base.state, state)
        proposed_at = int(time.time() * 1e6)

        def propose(member: Member) -> int:
            try:
                return member.propose(tree, base.serial, must_wait, operator, proposed_at)
            except ValueError:  # the base's pages were released as another version became active
                raise StaleBaseError(base.serial, _known_serial(member)) from None

        return await wait_for_decision(self.link, propose)

    def _tree(self, base: State, state: State) -> Tree:
        """Return the page tree to propose; raises ApplyError for an object too large for a page."""
        member = self.link.member
        assert member is not None
        try:
            return self._states.tree(member.contents, base, state)
        except ValueError as error:
            raise ApplyError(f"the state can't be proposed: {error}") from None

    async def _wait_until_active(self, version: Version, state: State) -> AppliedState:
        """Wait until this process has applied a version as active, or one that followed it.

        Raises:
            ApplyError: It was withdrawn, or it is not known whether it was.
            StillPendingError: It waits for members.
        """
        if not await self._wait_until_applied(version.serial):
            raise self._not_active_error(version.serial)
        applied = self._applier.base
        if applied.serial == version.serial:
            return applied
        member = self.link.member
        assert member is not None
        was_active = member.was_active(version.serial)
        if was_active:
            return AppliedState(version.serial, version.proposed_at, version.operator, state)
        raise _not_in_force_error(version.serial, applied.serial, was_active)

    async def _wait_until_applied(self, serial: int) -> bool:
        """Wait until this process applies this version or a later one; return whether it does."""
        try:
            async with asyncio.timeout(self.part.agree_within / 1e6):
                while self._applier.base.serial < serial:
                    await self._applier.applied_event.wait()
        except TimeoutError:
            return False
        return True

    def _not_active_error(self, serial: int) -> ApplyError | StillPendingError:
        """Return the error for a decided version that is not active here in time.

        A version that is active elsewhere must not be reported as withdrawn: the operator would
        request it again.
        """
        member = self.link.member
        assert member is not None
        assert member.chosen is not None
        register = member.chosen.state
        if register.pending is not None and register.pending.serial == serial:
            return StillPendingError(serial, member.waiting_for())
        if register.active.serial < serial:
            return ApplyError(f"serial {serial} was withdrawn")
        active = "it" if register.active.serial == serial else f"serial {register.active.serial}"
        return ApplyError(
            f"serial {serial} is not pending any more: {active} is active, and this gateway has "
            "not applied that yet; do not repeat the change before `sailhitch tier status` and "
            "`sailhitch history` show what is active"
        )


def _stale_error(base: AppliedState, register: RegisterState) -> StaleBaseError:
    """Return the error for a change of a base that is not active, or while one is pending."""
    pending = None if register.pending is None else register.pending.serial
    return StaleBaseError(base.serial, register.active.serial, pending)


def _not_in_force_error(serial: int, active: int, was_active: bool | None) -> ApplyError:
    """Return the error for a decided version that is not active now, nor known to have been."""
    if was_active is False:
        return ApplyError(f"serial {serial} was withdrawn")
    return ApplyError(
        f"serial {serial} is not pending any more: serial {active} is active, and this gateway "
        "does not know whether that followed it; do not repeat the change before `sailhitch "
        "state` shows what is in force"
    )


def _known_serial(member: Member) -> int:
    """Return the serial of the active version that a member knows of, or 0."""
    return 0 if member.chosen is None else member.chosen.state.active.serial

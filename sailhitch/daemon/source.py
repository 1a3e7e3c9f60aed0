"""Sources of states: they decide which state a daemon applies.

A daemon has one source. `LocalStateSource` decides alone, on requests to its admin socket and on
SIGHUP; `TierStateSource` decides with the other members. The state applier depends on neither.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from .plan import ROOT_PREFIX, Plan, compute_plan_result, identity, load_plan
from .schema import OperatorFile
from .state import State, from_file, with_bans, with_node_ban
from .state_applier import ApplyError, StateApplier, StateChange
from .store import AppliedState, HistoryRecord, StoreError


class StillPendingError(Exception):
    """A change was decided but is not active in time: it waits for members."""

    def __init__(self, serial: int, waiting_for: list[str]) -> None:
        names = ", ".join(waiting_for) or "no member any more"
        super().__init__(f"serial {serial} is decided but not active yet; it waits for {names}")
        self.serial = serial
        self.waiting_for = waiting_for


class PendingChangedError(Exception):
    """The pending version is not the one that an operator asked to withdraw."""

    def __init__(self, serial: int, pending: int | None) -> None:
        found = "nothing" if pending is None else f"serial {pending}"
        super().__init__(f"serial {serial} was to be withdrawn, and {found} is pending")


class ChangeRefusedError(ApplyError):
    """A change does not fit the state that it is made to; the text says why."""


def checked_node_ban(state: State, node: str, ban: dict[str, Any] | None) -> State:
    """Return a state with a node banned, or (None) its ban lifted; raises ChangeRefusedError."""
    if ban is not None and node not in state["nodes"]:
        raise ChangeRefusedError(f"{node!r}: no such node; `sailhitch hosts` lists them as pool/id")
    if ban is None and node not in state["bans"]:
        raise ChangeRefusedError(
            f"{node!r}: is not banned; `sailhitch maintenance list` lists the bans"
        )
    return with_node_ban(state, node, ban)


class StateSource(Protocol):
    """Decides on states and has them applied."""

    @property
    def owner(self) -> str:
        """Return the name of the owner that plans are made for."""

    def base(self) -> AppliedState:
        """Return the decided state that the next plan is made against."""

    def identity(self, state: State) -> str:
        """Return a state's identity in plans; call in a thread, it may hash the whole state."""

    async def start(self, file: OperatorFile) -> AppliedState:
        """Apply the state that is in force; raises StoreError or ApplyError."""

    def history(self) -> list[HistoryRecord]:
        """Return the states that were in force, oldest first; the current one is the last."""

    def at(self, serial: int) -> AppliedState:
        """Return a state that was in force; raises StoreError."""

    async def apply_plan(self, text: str, by: str) -> AppliedState:
        """Apply exactly what a plan says; raises PlanError, StaleBaseError or ApplyError."""

    async def apply_file(self, file: OperatorFile, by: str) -> AppliedState:
        """Apply an operator file; raises ApplyError."""

    async def ban(self, node: str, ban: dict[str, Any] | None, by: str) -> AppliedState:
        """Ban a node (`pool/id`), or (None) lift its ban; raises as `apply_plan` does."""


class Identities:
    """Computes identities of states whose tree root is unknown; the last one is cached."""

    def __init__(self) -> None:
        self._last: tuple[State, str] | None = None

    def of(self, state: State) -> str:
        """Return a state's identity; hashes the whole state unless it is the cached one."""
        last = self._last
        if last is None or last[0] is not state:
            last = (state, identity(state))
            self._last = last
        return last[1]


class LocalStateSource:
    """The source of a daemon that decides alone."""

    def __init__(self, state_applier: StateApplier) -> None:
        self.state_applier = state_applier
        self._deciding = asyncio.Lock()
        self._identities = Identities()

    @property
    def owner(self) -> str:
        """Return the gateway's name."""
        return self.state_applier.gateway.name

    def base(self) -> AppliedState:
        """Return the applied state."""
        return self.state_applier.applied

    def identity(self, state: State) -> str:
        """Return a state's identity in plans."""
        store = self.state_applier.store
        root = None if store is None else store.root_of(state)
        return self._identities.of(state) if root is None else ROOT_PREFIX + root

    async def start(self, file: OperatorFile) -> AppliedState:
        """Apply the state that was in force last, or the file's at the first start."""
        applier = self.state_applier
        async with self._deciding:
            last = None if applier.store is None else applier.store.last()
            if last is None:
                state = from_file(file)
                new_since = dict.fromkeys(state["nodes"], 0)
                return await applier.change(StateChange(state, "first start", 1, new_since))
            await applier.restore(last)
        return last

    def history(self) -> list[HistoryRecord]:
        """Return the states that were in force, oldest first."""
        applier = self.state_applier
        if applier.store is None:
            return [applied.record() for applied in applier.history]
        return applier.store.history()

    def at(self, serial: int) -> AppliedState:
        """Return the state of a serial; raises StoreError."""
        return find_applied(self.state_applier, serial)

    async def apply_plan(self, text: str, by: str) -> AppliedState:
        """Apply exactly what a plan says; raises PlanError, StaleBaseError or ApplyError."""
        async with self._deciding:
            plan, state = await asyncio.to_thread(self._read_plan, text)
            return await self._apply(state, by) if plan.changes else self.state_applier.applied

    def _read_plan(self, text: str) -> tuple[Plan, State]:
        plan = load_plan(text)
        base = self.state_applier.applied
        return plan, compute_plan_result(
            plan, self.owner, base.serial, base.state, self.identity(base.state)
        )

    async def apply_file(self, file: OperatorFile, by: str) -> AppliedState:
        """Apply an operator file, leaving the bans unchanged; raises ApplyError."""
        async with self._deciding:
            state = with_bans(from_file(file), self.state_applier.applied.state)
            return await self._apply(state, by)

    async def ban(self, node: str, ban: dict[str, Any] | None, by: str) -> AppliedState:
        """Ban a node, or (None) lift its ban; raises ApplyError."""
        async with self._deciding:
            state = checked_node_ban(self.state_applier.applied.state, node, ban)
            return await self._apply(state, by)

    async def _apply(self, state: State, by: str) -> AppliedState:
        if state == self.state_applier.applied.state:
            return self.state_applier.applied
        return await self.state_applier.change(
            StateChange(state, by, self.state_applier.applied.serial + 1)
        )


def find_applied(applier: StateApplier, serial: int) -> AppliedState:
    """Return a state that was in force, by its serial; raises StoreError."""
    if serial == applier.applied.serial:
        return applier.applied
    if applier.store is not None:
        return applier.store.read(serial)
    for applied in applier.history:
        if applied.serial == serial:
            return applied
    raise StoreError(f"serial {serial}: not known; `sailhitch history` shows the known ones")

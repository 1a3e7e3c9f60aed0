"""Sources of states: who decides what the switch goes by.

A daemon has one. `Own` decides alone, by what its admin socket and SIGHUP ask for; the tier's
decides with others. Neither knows the other, and the switch knows neither.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from .plan import ROOT_PREFIX, Plan, check_base, identity, load_plan
from .schema import OperatorFile
from .state import State, banned, from_file, with_bans
from .state_applier import StateApplier, StateChange
from .store import AppliedState, HistoryRecord, StoreError


class StillPendingError(Exception):
    """A change was decided, and is not active within its time: it waits for members."""

    def __init__(self, serial: int, waiting_for: list[str]) -> None:
        names = ", ".join(waiting_for) or "nobody; it is about to be"
        super().__init__(f"serial {serial} is decided and not active yet; it waits for {names}")
        self.serial = serial
        self.waiting_for = waiting_for


class StateSource(Protocol):
    """Where decided states come from."""

    @property
    def owner(self) -> str:
        """Whom a plan is made for."""

    def base(self) -> AppliedState:
        """Return the decided state that the next plan is made against."""

    def identity(self, state: State) -> str:
        """What a plan names the base's state by; in a thread, as it may cost the whole state."""

    async def start(self, made: OperatorFile) -> AppliedState:
        """Bring the switch to the state that holds; raises StoreError or ApplyError."""

    def history(self) -> list[HistoryRecord]:
        """Return what held, oldest first, the one that holds last."""

    def at(self, serial: int) -> AppliedState:
        """Return a state that held; raises StoreError."""

    async def apply_plan(self, text: str, by: str) -> AppliedState:
        """Do exactly what a plan says; raises PlanError, MovedError or ApplyError."""

    async def apply_file(self, made: OperatorFile, by: str) -> AppliedState:
        """Go to what a file asks for; raises ApplyError."""

    async def ban(self, node: str, ban: dict[str, Any] | None, by: str) -> AppliedState:
        """Take a node (`pool/id`) out by hand, or (None) put it back; raises as `apply_plan`."""


class Identities:
    """Identities of states whose root nobody has at hand; the last one is remembered."""

    def __init__(self) -> None:
        self._last: tuple[State, str] | None = None

    def of(self, state: State) -> str:
        """Return a state's identity; costs the whole state where it is not the one of last time."""
        last = self._last
        if last is None or last[0] is not state:
            last = self._last = (state, identity(state))
        return last[1]


class LocalStateSource:
    """The source of a daemon that decides alone."""

    def __init__(self, live: StateApplier) -> None:
        self.state_applier = live
        self._deciding = asyncio.Lock()
        self._identities = Identities()

    @property
    def owner(self) -> str:
        return self.state_applier.gateway.name

    def base(self) -> AppliedState:
        return self.state_applier.applied

    def identity(self, state: State) -> str:
        store = self.state_applier.store
        root = None if store is None else store.root_of(state)
        return self._identities.of(state) if root is None else ROOT_PREFIX + root

    async def start(self, made: OperatorFile) -> AppliedState:
        """Take up the state that held last, or the file's at the very first start."""
        live = self.state_applier
        async with self._deciding:
            last = None if live.store is None else live.store.last()
            if last is None:
                state = from_file(made)
                born = dict.fromkeys(state["nodes"], 0)
                return await live.change(StateChange(state, "first start", 1, born))
            await live.restore(last)
        return last

    def history(self) -> list[HistoryRecord]:
        live = self.state_applier
        if live.store is None:
            return [one.record() for one in live.history]
        return live.store.history()

    def at(self, serial: int) -> AppliedState:
        return find(self.state_applier, serial)

    async def apply_plan(self, text: str, by: str) -> AppliedState:
        async with self._deciding:
            plan, state = await asyncio.to_thread(self._read_plan, text)
            return await self._apply(state, by) if plan.changes else self.state_applier.applied

    def _read_plan(self, text: str) -> tuple[Plan, State]:
        plan = load_plan(text)
        live = self.state_applier.applied
        return plan, check_base(
            plan, self.owner, live.serial, live.state, self.identity(live.state)
        )

    async def apply_file(self, made: OperatorFile, by: str) -> AppliedState:
        async with self._deciding:
            return await self._apply(
                with_bans(from_file(made), self.state_applier.applied.state), by
            )

    async def ban(self, node: str, ban: dict[str, Any] | None, by: str) -> AppliedState:
        async with self._deciding:
            return await self._apply(banned(self.state_applier.applied.state, node, ban), by)

    async def _apply(self, state: State, by: str) -> AppliedState:
        if state == self.state_applier.applied.state:
            return self.state_applier.applied
        return await self.state_applier.change(
            StateChange(state, by, self.state_applier.applied.serial + 1)
        )


def find(live: StateApplier, serial: int) -> AppliedState:
    """Return a state that held, by its serial; raises StoreError."""
    if serial == live.applied.serial:
        return live.applied
    if live.store is not None:
        return live.store.read(serial)
    for one in live.history:
        if one.serial == serial:
            return one
    raise StoreError(f"serial {serial}: not known; `sailhitch history` shows what is")

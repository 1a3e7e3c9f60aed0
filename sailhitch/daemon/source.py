"""Sources of states: who decides what the switch goes by.

A daemon has one. `Own` decides alone, by what its admin socket and SIGHUP ask for; the tier's
decides with others. Neither knows the other, and the switch knows neither.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from .live import Decided, Live
from .plan import ROOT_PREFIX, Plan, check_base, identity, load_plan
from .schema import OperatorFile
from .state import State, banned, from_file, with_bans
from .store import Applied, Record, StoreError


class StillPendingError(Exception):
    """A change was decided, and is not active within its time: it waits for members."""

    def __init__(self, serial: int, waiting_for: list[str]) -> None:
        names = ", ".join(waiting_for) or "nobody; it is about to be"
        super().__init__(f"serial {serial} is decided and not active yet; it waits for {names}")
        self.serial, self.waiting_for = serial, waiting_for


class Source(Protocol):
    """Where decided states come from."""

    @property
    def owner(self) -> str:
        """Whom a plan is made for."""

    def base(self) -> Applied:
        """The decided state that the next plan is made against."""

    def identity(self, state: State) -> str:
        """What a plan names the base's state by; in a thread, as it may cost the whole state."""

    async def start(self, made: OperatorFile) -> Applied:
        """Bring the switch to the state that holds; raises StoreError or ApplyError."""

    def history(self) -> list[Record]:
        """What held, oldest first, the one that holds last."""

    def at(self, serial: int) -> Applied:
        """A state that held; raises StoreError."""

    async def apply_plan(self, text: str, by: str) -> Applied:
        """Do exactly what a plan says; raises PlanError, MovedError or ApplyError."""

    async def apply_file(self, made: OperatorFile, by: str) -> Applied:
        """Go to what a file asks for; raises ApplyError."""

    async def ban(self, node: str, ban: dict[str, Any] | None, by: str) -> Applied:
        """Take a node (`pool/id`) out by hand, or (None) put it back; raises as `apply_plan`."""


class Identities:
    """Identities of states whose root nobody has at hand; the last one is remembered."""

    def __init__(self) -> None:
        self._last: tuple[State, str] | None = None

    def of(self, state: State) -> str:
        """A state's identity; costs the whole state where it is not the one of last time."""
        last = self._last
        if last is None or last[0] is not state:
            last = self._last = (state, identity(state))
        return last[1]


class Own:
    """The source of a daemon that decides alone."""

    def __init__(self, live: Live) -> None:
        self.live = live
        self._deciding = asyncio.Lock()
        self._identities = Identities()

    @property
    def owner(self) -> str:
        return self.live.gateway.name

    def base(self) -> Applied:
        return self.live.applied

    def identity(self, state: State) -> str:
        store = self.live.store
        root = None if store is None else store.root_of(state)
        return self._identities.of(state) if root is None else ROOT_PREFIX + root

    async def start(self, made: OperatorFile) -> Applied:
        """Take up the state that held last, or the file's at the very first start."""
        live = self.live
        async with self._deciding:
            last = None if live.store is None else live.store.last()
            if last is None:
                state = from_file(made)
                born = dict.fromkeys(state["nodes"], 0)
                return await live.change(Decided(state, "first start", 1, born))
            await live.restore(last)
        return last

    def history(self) -> list[Record]:
        live = self.live
        if live.store is None:
            return [one.record() for one in live.past]
        return live.store.history()

    def at(self, serial: int) -> Applied:
        return find(self.live, serial)

    async def apply_plan(self, text: str, by: str) -> Applied:
        async with self._deciding:
            plan, state = await asyncio.to_thread(self._read_plan, text)
            return await self._go(state, by) if plan.changes else self.live.applied

    def _read_plan(self, text: str) -> tuple[Plan, State]:
        plan = load_plan(text)
        live = self.live.applied
        return plan, check_base(
            plan, self.owner, live.serial, live.state, self.identity(live.state)
        )

    async def apply_file(self, made: OperatorFile, by: str) -> Applied:
        async with self._deciding:
            return await self._go(with_bans(from_file(made), self.live.applied.state), by)

    async def ban(self, node: str, ban: dict[str, Any] | None, by: str) -> Applied:
        async with self._deciding:
            return await self._go(banned(self.live.applied.state, node, ban), by)

    async def _go(self, state: State, by: str) -> Applied:
        if state == self.live.applied.state:
            return self.live.applied
        return await self.live.change(Decided(state, by, self.live.applied.serial + 1))


def find(live: Live, serial: int) -> Applied:
    """A state that held, by its serial; raises StoreError."""
    if serial == live.applied.serial:
        return live.applied
    if live.store is not None:
        return live.store.read(serial)
    for one in live.past:
        if one.serial == serial:
            return one
    raise StoreError(f"serial {serial}: not known; `sailhitch history` shows what is")

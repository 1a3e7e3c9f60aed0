"""The live state: pools, listeners and routes as they are, and the one switch to others.

All that can fail is prepared first: the state checked, listeners bound, modules built, the state
written and synced. Then one rename on disk and one switch on the loop, with nothing awaited in it.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from ..core.connection_settings import ConnectionSettings, idle_lifetime
from ..core.core import GatewayCore
from ..core.endpoints import EndpointUpdate
from ..core.pool import Pool
from ..core.resource_limits import ResourceLimits
from ..net.connection_pool import ConnectionPool
from ..net.listener import Listener
from ..settings import Settings
from .endpoint_registry import EndpointRegistry, address_of
from .intake import RequestClassOverlap, RoutedIntake, RoutingView
from .plan import diff, summary
from .routes import Routes
from .schema import FileError, GatewayPart, OperatorFile, PoolPart, to_route
from .state import EMPTY, Object, State, to_file
from .store import AppliedState, Step, Store, ignore_step
from .tables import Tables

BACKLOG: Final = 1024
MAX_OPEN: Final = 20_000


class ApplyError(Exception):
    """An apply came to nothing; the old state is whole. The text says why and what to do."""


@dataclass(frozen=True, slots=True)
class StateChange:
    """A state that a source of states has decided on, and how to go by it."""

    state: State
    by: str
    serial: int  # in its source's line
    new_since: Mapping[str, int] | None = None  # since when nodes are new; None: by the switch
    persistent: bool = True  # whether it is to hold after a restart
    stamp: bytes = b""  # fields that attempts carry under it
    overlapping_state: State | None = None  # whose routes hold beside its own
    # Counts up where requests read before must not be sent by the older ones.
    rules_revision: int = 0
    inactive_nodes: frozenset[str] = frozenset()  # nodes, as `pool/id`, that get nothing new
    retried_nodes: frozenset[str] = frozenset()  # those that are tried as if they had just started


@dataclass(frozen=True, slots=True)
class PreparedSwitch:
    """All that a switch needs; nothing of it is seen by anybody yet."""

    file: OperatorFile
    applied: AppliedState
    tables: Tables
    settings: Settings
    routes: Routes
    pools: dict[str, Pool]
    listeners: Mapping[str, Listener]
    change: StateChange
    class_overlap: RequestClassOverlap | None


class StateApplier:
    """What is, and how it becomes what is wanted."""

    def __init__(
        self, core: GatewayCore, gateway: GatewayPart, store: Store | None, step: Step = ignore_step
    ) -> None:
        self.core = core
        self.gateway = gateway
        self.store = store
        self.step = step
        self.tables: Tables | None = None
        self.pools: dict[str, Pool] = {}
        self.endpoints = EndpointRegistry(core)
        self.listeners: dict[str, Listener] = {}
        self.stopping = False  # nobody is taken in any more
        self.applied = AppliedState(0, 0, "nobody", EMPTY)
        self.excluded_nodes: set[str] = set()  # nodes that are banned, or not in use
        self.history: list[AppliedState] = []  # all that held, where there is no store
        self.intake = RoutedIntake(core.clock)
        self._switching = asyncio.Lock()

    # --- From the source of states

    async def restore(self, last: AppliedState) -> None:
        """Go by a state that held before this process. Raises ApplyError."""
        async with self._switching:
            made, routes = await asyncio.to_thread(self._parse, last.state)
            decided = StateChange(last.state, last.applied_by, last.serial)
            self._switch(self._prepare(last, decided, made, routes, None))

    async def change(self, decided: StateChange) -> AppliedState:
        """Go by a state that was decided; raises ApplyError, with the old one whole.

        Prepare, commit, switch. Nothing is awaited between the commit's end and the switch.
        """
        async with self._switching:
            # In threads: thousands of nodes take longer to look at tha requests may be held up.
            applied = await asyncio.to_thread(self._next_applied, decided)
            self.step("checked")
            made, routes = await asyncio.to_thread(self._parse, applied.state)
            also = None
            if decided.overlapping_state is not None:
                also = await asyncio.to_thread(self._class_overlap, decided.overlapping_state)
            prepared = self._prepare(applied, decided, made, routes, also)
            self.step("bound")
            try:
                if decided.persistent:
                    await asyncio.to_thread(self._persist, applied)
            except Exception as error:
                for listener in prepared.listeners.values():
                    listener.discard()
                raise ApplyError(f"{error}; nothing was changed") from error
            self._switch(prepared)
            self.step("switched")
            return applied

    def _next_applied(self, decided: StateChange) -> AppliedState:
        now = self.core.clock()
        old = self.applied
        born = (
            self._node_ages(decided.state, now) if decided.new_since is None else decided.new_since
        )
        told = summary(diff(old.state, decided.state))
        return AppliedState(decided.serial, now, decided.by, decided.state, told, born)

    def _parse(self, state: State) -> tuple[OperatorFile, Routes]:
        try:
            made = to_file(state, self.gateway.model_dump(mode="json"))
        except FileError as error:
            raise ApplyError(f"the state would be out of form: {error}") from None
        return made, Routes([to_route(part) for part in made.routes])

    def _class_overlap(self, state: State) -> RequestClassOverlap:
        made, routes = self._parse({**state, "listeners": {}})
        return RequestClassOverlap(routes, {part.name: part.effect for part in made.classes})

    def _prepare(
        self,
        applied: AppliedState,
        decided: StateChange,
        made: OperatorFile,
        routes: Routes,
        also: RequestClassOverlap | None,
    ) -> PreparedSwitch:
        """Build all that is new; raises ApplyError, with nothing left behind."""
        tables = Tables(self.tables, made)
        settings = tables.settings(self.gateway)
        pools = {part.name: self._pool(part, settings) for part in made.pools}
        bound = self._bind(made)
        return PreparedSwitch(made, applied, tables, settings, routes, pools, bound, decided, also)

    def _pool(self, part: PoolPart, settings: Settings) -> Pool:
        pool = self.pools.get(part.name)
        if pool is None:
            seed = secrets.randbits(48)
            pool = Pool(
                self.core, part.name, settings, seed, _connection_settings(part), ConnectionPool
            )
        return pool

    def _persist(self, applied: AppliedState) -> None:
        if self.store is None:
            return
        path = self.store.prepare(applied, self.step)
        self.store.commit(path, applied.serial, self.step)

    def _node_ages(self, state: State, now: int) -> dict[str, int]:
        """Return since when each node is new: now, for one that comes, comes back or moves."""
        old = self.applied.state["nodes"]
        before = self.applied.new_since
        return {
            key: before.get(key, 0) if key in old and _is_same_instance(old[key], node) else now
            for key, node in state["nodes"].items()
        }

    def _bind(self, made: OperatorFile) -> dict[str, Listener]:
        """Return the listeners that are not there yet, bound and not taking anybody in."""
        bound: dict[str, Listener] = {}
        here = self._by_address()
        for i, part in enumerate(made.listeners):
            if (part.address, part.protocol) in here:
                continue
            try:
                bound[part.name] = Listener(
                    self.core, self.intake, address_of(part.address), BACKLOG
                )
            except OSError as error:
                for listener in bound.values():
                    listener.discard()
                where = f"listeners[{i}] {part.name!r}: {part.address}"
                raise ApplyError(f"{where}: {error.strerror}; nothing was changed") from None
        return bound

    # --- The switch

    def _switch(self, prepared: PreparedSwitch) -> None:
        """Go by the new state, in one turn of the loop."""
        made = prepared.file
        applied = prepared.applied
        pools = prepared.pools
        self.endpoints.assign_names(made, applied, prepared.tables, self.pools)
        self.core.reconfigure(resource_limits(self.gateway, prepared.tables.longest_deadline()))
        for part in made.pools:
            pool = pools[part.name]
            if pool in self.core.pools:
                pool.reconfigure(prepared.settings, _connection_settings(part))
            else:
                pool.start(EndpointUpdate(0, True, (), 0, frozenset()))
                self.core.pools.append(pool)
        out = applied.state["bans"].keys() | prepared.change.inactive_nodes
        for key in sorted(prepared.change.retried_nodes - out):
            self.endpoints.set_maintenance(key, pools, True)
            self.endpoints.set_maintenance(key, pools, False)
        for key in sorted(out | self.excluded_nodes):
            self.endpoints.set_maintenance(key, pools, key in out)
        self.excluded_nodes = out
        self.endpoints.list_nodes(made, prepared.tables, self.pools, pools)
        for pool in pools.values():
            pool.stamp = prepared.change.stamp
        self.pools = pools
        self.tables = prepared.tables
        self.intake.view = RoutingView(
            prepared.routes,
            pools,
            prepared.tables,
            prepared.class_overlap,
            prepared.change.rules_revision,
        )
        self._switch_listeners(made, prepared.listeners)
        self.applied = applied
        if self.store is None:
            self.history.append(applied)
        self.endpoints.release_soon()

    def _switch_listeners(self, made: OperatorFile, bound: Mapping[str, Listener]) -> None:
        """Listeners go by their address: one that only has another name goes on as it was."""
        old = self._by_address()
        self.listeners = {}
        for part in made.listeners:
            listener = old.pop((part.address, part.protocol), None)
            if listener is None:
                listener = bound[part.name]
                if self.stopping:
                    listener.discard()
                else:
                    listener.start()
            self.listeners[part.name] = listener
        for listener in old.values():
            listener.retire()

    def _by_address(self) -> dict[tuple[str, str], Listener]:
        """Return the listeners that are, by address and protocol."""
        said = self.applied.state["listeners"]
        return {(said[n]["address"], said[n]["protocol"]): one for n, one in self.listeners.items()}

    def stop_listening(self) -> None:
        """Take nobody new in, whatever is decided from here on; whoever is inside is served on."""
        self.stopping = True
        for listener in self.listeners.values():
            listener.close()


# --- From the file's terms to the core's


def resource_limits(gateway: GatewayPart, longest: int) -> ResourceLimits:
    """Return what the process may use."""
    return ResourceLimits(
        gateway.memory_mb, gateway.sockets, MAX_OPEN, longest, gateway.retry_after
    )


def _connection_settings(pool: PoolPart) -> ConnectionSettings:
    return ConnectionSettings(
        pool.connect_timeout, idle_lifetime(pool.idle_timeout), passes_any_status=True
    )


def _is_same_instance(old: Object, new: Object) -> bool:
    """Return whether a node goes on as it was: another weight or zone does not make it new.

    One with another cell does: what its old cell remembers is not what the new one does.
    """
    return bool(old["address"] == new["address"] and old["cell"] == new["cell"])

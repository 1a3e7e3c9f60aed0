"""Applies states: holds the current pools, listeners and routes, and switches to new ones.

Everything that can fail is done first: the state is validated, listeners are bound, policies built,
and the state is written and synced. Then the file is renamed on disk, and the event loop switches
without awaiting anything, so that no request is handled by a mix of two states.
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
from .schema import FileError, GatewaySection, OperatorFile, PoolSection, to_route
from .state import EMPTY, Object, State, to_file
from .store import AppliedState, StepCallback, Store, ignore_step
from .tables import Tables

BACKLOG: Final = 1024  # connections waiting to be accepted
MAX_OPEN: Final = 20_000  # concurrent requests


class ApplyError(Exception):
    """A change was not applied: the old state stays in force. The text says why and what to do."""


@dataclass(frozen=True, slots=True)
class StateChange:
    """A state that a source of states has decided on, and how to apply it."""

    state: State
    by: str
    serial: int  # assigned by the source
    # By node, the time since which it is new; None: determined by comparison with the old state.
    new_since: Mapping[str, int] | None = None
    persistent: bool = True  # whether it is written to disk, to be applied after a restart
    stamp: bytes = b""  # header fields that are added to attempts under this state
    overlapping_state: State | None = None  # a pending state whose routes must agree too
    # Increased when requests that were read under older rules must not be sent any more.
    rules_revision: int = 0
    inactive_nodes: frozenset[str] = frozenset()  # nodes, as `pool/id`, that get no new requests
    retried_nodes: frozenset[str] = frozenset()  # nodes to retry as if they had just started


@dataclass(frozen=True, slots=True)
class PreparedSwitch:
    """Everything that a switch needs, built but not in use yet."""

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
    """Holds the applied state, and applies changes to it one at a time."""

    def __init__(
        self,
        core: GatewayCore,
        gateway: GatewaySection,
        store: Store | None,
        step: StepCallback = ignore_step,
    ) -> None:
        self.core = core
        self.gateway = gateway
        self.store = store
        self.step = step
        self.tables: Tables | None = None
        self.pools: dict[str, Pool] = {}
        self.endpoints = EndpointRegistry(core)
        self.listeners: dict[str, Listener] = {}
        self.stopping = False  # whether clients are no longer accepted
        self.applied = AppliedState(0, 0, "nobody", EMPTY)
        self.excluded_nodes: set[str] = set()  # nodes that are banned or inactive
        self.history: list[AppliedState] = []  # all states so far, if there is no store
        self.intake = RoutedIntake(core.clock)
        self._switching = asyncio.Lock()

    # --- Changes

    async def restore(self, last: AppliedState) -> None:
        """Apply a state that an earlier process has persisted; raises ApplyError."""
        async with self._switching:
            with self.core.memory.baseline.own_growth():
                file, routes = await asyncio.to_thread(self._parse, last.state)
                change = StateChange(last.state, last.applied_by, last.serial)
                self._switch(self._prepare(last, change, file, routes, None))

    async def change(self, change: StateChange) -> AppliedState:
        """Apply a decided state: prepare, commit, switch.

        Nothing is awaited between the end of the commit and the switch.

        Returns:
            The state as applied.

        Raises:
            ApplyError: The old state is still in force.
        """
        async with self._switching:
            with self.core.memory.baseline.own_growth():
                return await self._change(change)

    async def _change(self, change: StateChange) -> AppliedState:
        # In threads: with thousands of nodes this would delay requests for too long.
        applied = await asyncio.to_thread(self._next_applied, change)
        self.step("checked")
        file, routes = await asyncio.to_thread(self._parse, applied.state)
        class_overlap = None
        if change.overlapping_state is not None:
            class_overlap = await asyncio.to_thread(self._class_overlap, change.overlapping_state)
        prepared = self._prepare(applied, change, file, routes, class_overlap)
        self.step("bound")
        try:
            if change.persistent:
                await asyncio.to_thread(self._persist, applied)
        except Exception as error:
            for listener in prepared.listeners.values():
                listener.discard()
            raise ApplyError(f"{error}; nothing was changed") from error
        self._switch(prepared)
        self.step("switched")
        return applied

    def _next_applied(self, change: StateChange) -> AppliedState:
        now = self.core.clock()
        old = self.applied
        new_since = (
            self._node_ages(change.state, now) if change.new_since is None else change.new_since
        )
        changes = summary(diff(old.state, change.state))
        return AppliedState(change.serial, now, change.by, change.state, changes, new_since)

    def _parse(self, state: State) -> tuple[OperatorFile, Routes]:
        try:
            file = to_file(state, self.gateway.model_dump(mode="json"))
        except FileError as error:
            raise ApplyError(f"the state is invalid: {error}") from None
        return file, Routes([to_route(part) for part in file.routes])

    def _class_overlap(self, state: State) -> RequestClassOverlap:
        file, routes = self._parse({**state, "listeners": {}})
        return RequestClassOverlap(routes, {part.name: part.effect for part in file.classes})

    def _prepare(
        self,
        applied: AppliedState,
        change: StateChange,
        file: OperatorFile,
        routes: Routes,
        class_overlap: RequestClassOverlap | None,
    ) -> PreparedSwitch:
        """Build all new objects; raises ApplyError, with all of them discarded."""
        tables = Tables(self.tables, file)
        settings = tables.settings(self.gateway)
        pools = {part.name: self._pool(part, settings) for part in file.pools}
        bound = self._bind(file)
        return PreparedSwitch(
            file, applied, tables, settings, routes, pools, bound, change, class_overlap
        )

    def _pool(self, part: PoolSection, settings: Settings) -> Pool:
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
        """Return since when each node is new: now, if it is added, re-added or moved."""
        old = self.applied.state["nodes"]
        before = self.applied.new_since
        return {
            key: before.get(key, 0) if key in old and _is_same_instance(old[key], node) else now
            for key, node in state["nodes"].items()
        }

    def _bind(self, file: OperatorFile) -> dict[str, Listener]:
        """Bind the listeners that are not open yet; they do not accept connections yet."""
        bound: dict[str, Listener] = {}
        open_listeners = self._by_address()
        for index, part in enumerate(file.listeners):
            if (part.address, part.protocol) in open_listeners:
                continue
            try:
                bound[part.name] = Listener(
                    self.core, self.intake, address_of(part.address), BACKLOG
                )
            except OSError as error:
                for listener in bound.values():
                    listener.discard()
                where = f"listeners[{index}] {part.name!r}: {part.address}"
                raise ApplyError(f"{where}: {error.strerror}; nothing was changed") from None
        return bound

    # --- The switch

    def _switch(self, prepared: PreparedSwitch) -> None:
        """Put the new state into force, in one callback of the event loop."""
        file = prepared.file
        applied = prepared.applied
        pools = prepared.pools
        self.endpoints.assign_names(file, applied, prepared.tables, self.pools)
        self.core.reconfigure(resource_limits(self.gateway, prepared.tables.longest_deadline()))
        for part in file.pools:
            pool = pools[part.name]
            if pool in self.core.pools:
                pool.reconfigure(prepared.settings, _connection_settings(part))
            else:
                pool.start(EndpointUpdate(0, True, (), 0, frozenset()))
                self.core.pools.append(pool)
        self._switch_maintenance(prepared)
        self.endpoints.list_nodes(file, prepared.tables, self.pools, pools)
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
        self._switch_listeners(file, prepared.listeners)
        self.applied = applied
        if self.store is None:
            self.history.append(applied)
        self.endpoints.schedule_release()

    def _switch_maintenance(self, prepared: PreparedSwitch) -> None:
        """Take banned and inactive nodes out, and those to be retried out and in again."""
        pools = prepared.pools
        excluded = prepared.applied.state["bans"].keys() | prepared.change.inactive_nodes
        for key in sorted(prepared.change.retried_nodes - excluded):
            self.endpoints.set_maintenance(key, pools, True)
            self.endpoints.set_maintenance(key, pools, False)
        for key in sorted(excluded | self.excluded_nodes):
            self.endpoints.set_maintenance(key, pools, key in excluded)
        self.excluded_nodes = excluded

    def _switch_listeners(self, file: OperatorFile, bound: Mapping[str, Listener]) -> None:
        """Keep listeners by their address: one that was only renamed stays open."""
        old = self._by_address()
        self.listeners = {}
        for part in file.listeners:
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
        """Return the open listeners, by address and protocol."""
        parts = self.applied.state["listeners"]
        return {
            (parts[name]["address"], parts[name]["protocol"]): listener
            for name, listener in self.listeners.items()
        }

    def stop_listening(self) -> None:
        """Accept no more clients, whatever is applied later; open connections stay served."""
        self.stopping = True
        for listener in self.listeners.values():
            listener.close()


# --- Conversion of the file's values to the core's


def resource_limits(gateway: GatewaySection, longest_deadline: int) -> ResourceLimits:
    """Return the process's limits; `longest_deadline` is in microseconds."""
    return ResourceLimits(
        gateway.memory_mb, gateway.sockets, MAX_OPEN, longest_deadline, gateway.retry_after
    )


def _connection_settings(pool: PoolSection) -> ConnectionSettings:
    return ConnectionSettings(
        pool.connect_timeout, idle_lifetime(pool.idle_timeout), passes_any_status=True
    )


def _is_same_instance(old: Object, new: Object) -> bool:
    """Return whether a node is the same instance: a changed weight or zone does not make it new.

    A changed cell does, as each cell keeps its own idempotency keys.
    """
    return bool(old["address"] == new["address"] and old["cell"] == new["cell"])

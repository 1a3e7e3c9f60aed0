"""Tracks which instance of a node's id is at which address, and which removed ones still drain.

Only the state applier changes it, during its switch.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from ..core.core import GatewayCore
from ..core.endpoints import Address, EndpointAddress, EndpointUpdate
from ..core.pool import Pool
from ..policy_interface import (
    Endpoint,
    EndpointState,
    WatchEventKind,
)
from .schema import NodeSection, OperatorFile, PoolSection
from .store import AppliedState
from .tables import Tables

RELEASE_INTERVAL: Final = 0.25  # s between two checks of the draining nodes


@dataclass(slots=True)
class NodeInstance:
    """A node as the policy knows it: an instance of an id at an address."""

    name: str  # in the policy
    address: Address
    cell: int
    new_since: int


class EndpointRegistry:
    """The instances of the state's nodes, and those that drain."""

    def __init__(self, core: GatewayCore) -> None:
        self.core = core
        self.nodes: dict[str, NodeInstance] = {}  # by key, `pool/id`
        # Instances that drain, by their name in the policy.
        self.draining: dict[Pool, dict[str, EndpointAddress]] = {}
        self.pools: Mapping[str, Pool] = {}  # as of the last switch
        self._incarnations: dict[str, int] = {}  # number of instances so far, by node id
        self._release_handle: asyncio.TimerHandle | None = None

    def assign_names(
        self, file: OperatorFile, applied: AppliedState, tables: Tables, old: Mapping[str, Pool]
    ) -> None:
        """Give each new instance of a node a name and a cell of its own; the old one drains.

        Otherwise a keyed request that was executed by the old instance could be retried at the new
        one under the same id, which does not know the key.
        """
        instances: dict[str, NodeInstance] = {}
        for pool in file.pools:
            for part in pool.nodes:
                key = f"{pool.name}/{part.id}"
                before = self.nodes.get(key)
                new_since = applied.new_since.get(key, 0)
                address = address_of(part.address)
                if before is None or (before.new_since, before.address) != (new_since, address):
                    instances[key] = self._new_instance(part, address, new_since, tables)
                else:
                    instances[key] = before
        for key, node in self.nodes.items():
            if instances.get(key) is not node:
                self._start_draining(old[key.partition("/")[0]], node)
        self.nodes = instances

    def _new_instance(
        self, part: NodeSection, address: Address, new_since: int, tables: Tables
    ) -> NodeInstance:
        incarnation = self._incarnations.get(part.id, 0) + 1
        self._incarnations[part.id] = incarnation
        name = part.id if incarnation == 1 else f"{part.id}~{incarnation}"
        cell = tables.cells.number_of(f"cell {part.cell}" if part.cell else f"node {name}")
        return NodeInstance(name, address, cell, new_since)

    def _start_draining(self, pool: Pool, node: NodeInstance) -> None:
        endpoint = pool.endpoints[node.name].endpoint._replace(state=EndpointState.DRAINING)
        self.draining.setdefault(pool, {})[node.name] = EndpointAddress(endpoint, node.address)

    def list_nodes(
        self, file: OperatorFile, tables: Tables, old: Mapping[str, Pool], new: Mapping[str, Pool]
    ) -> None:
        """Give each pool its nodes; a pool that was removed gets only those that drain."""
        for part in file.pools:
            pool = new[part.name]
            entries = [self._endpoint_address(part, node, tables) for node in part.nodes]
            _update_pool(pool, entries + list(self.draining.get(pool, {}).values()))
        for pool, draining in self.draining.items():
            if new.get(pool.name) is not pool:
                _update_pool(pool, list(draining.values()))
        for pool in old.values():
            if new.get(pool.name) is not pool:
                pool.retire()
        self.pools = new

    def _endpoint_address(
        self, pool: PoolSection, part: NodeSection, tables: Tables
    ) -> EndpointAddress:
        node = self.nodes[f"{pool.name}/{part.id}"]
        zone = tables.zones.number_of(part.zone)
        endpoint = Endpoint(
            node.name, part.weight, zone, node.cell, EndpointState.READY, node.new_since, 0
        )
        return EndpointAddress(endpoint, node.address)

    def set_maintenance(self, key: str, pools: Mapping[str, Pool], out: bool) -> None:
        """Mark a node, by `pool/id`, as out for maintenance or not.

        Call this before `list_nodes`: a policy that learns of a node before its ban would send
        requests to it.
        """
        node = self.nodes.get(key)
        pool = pools.get(key.partition("/")[0])
        if node is not None and pool is not None:
            pool.maintenance.add_names([node.name])
            pool.set_maintenance(node.name, out)

    # --- Releasing drained nodes and pools

    def schedule_release(self) -> None:
        """Schedule a check of the draining nodes, repeated until there are none."""
        if self._release_handle is None and (
            self.draining or len(self.core.pools) > len(self.pools)
        ):
            self._release_handle = self.core.loop.call_later(
                RELEASE_INTERVAL, self._release_drained
            )

    def _release_drained(self) -> None:
        """Release nodes and pools that have no open attempts."""
        self._release_handle = None
        try:
            self._release()
        except Exception as error:
            self.core.fault("the release of drained nodes", error)
        self.schedule_release()

    def _release(self) -> None:
        in_flight: set[tuple[Pool | None, str]] = set()
        busy: set[Pool | None] = set()
        for request in self.core.open_requests.values():
            busy.add(request.pool)
            in_flight.update((request.pool, attempt.server) for attempt in request.open_attempts)
        for pool, draining in list(self.draining.items()):
            for name in [name for name in draining if (pool, name) not in in_flight]:
                del draining[name]
            if not draining:
                del self.draining[pool]
            ready = [e for e in pool.endpoints.values() if e.endpoint.state == EndpointState.READY]
            _update_pool(pool, ready + list(draining.values()))
        for pool in list(self.core.pools):
            is_removed = pool not in self.pools.values() and pool not in self.draining
            if is_removed and pool not in busy:
                self.core.pools.remove(pool)
                pool.transport.stop()


def _update_pool(pool: Pool, entries: list[EndpointAddress]) -> None:
    """Give a pool its complete list of endpoints, if that differs from the current one."""
    is_changed = any(pool.endpoints.get(entry.endpoint.name) != entry for entry in entries)
    if is_changed or len(entries) != len(pool.endpoints):
        pool.apply_update(
            EndpointUpdate(0, True, tuple(entries), 0, frozenset()), WatchEventKind.SNAPSHOT
        )


def address_of(text: str) -> Address:
    """Return the host and the port of a validated `host:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)

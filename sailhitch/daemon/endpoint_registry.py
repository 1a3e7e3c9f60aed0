"""Nodes in their places: which life of an id is where, and what drains after it has left the state.

The one caller of it is the switch (`live`); nothing here decides what the state is.
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
from .schema import NodePart, OperatorFile, PoolPart
from .store import AppliedState
from .tables import Tables

SETTLE: Final = 0.25  # s between two looks at what is leaving


@dataclass(slots=True)
class NodeInstance:
    """A node as the module knows it: one life of an id at an address."""

    name: str  # the module's word for it
    address: Address
    cell: int
    new_since: int


class EndpointRegistry:
    """Which nodes are where."""

    def __init__(self, core: GatewayCore) -> None:
        self.core = core
        self.nodes: dict[str, NodeInstance] = {}  # by key, `pool/id`
        # Nodes that drain, by their module's name.
        self.draining: dict[Pool, dict[str, EndpointAddress]] = {}
        self.pools: Mapping[str, Pool] = {}  # as of the last switch
        self._incarnations: dict[str, int] = {}  # of a node's id, so far
        self._settling: asyncio.TimerHandle | None = None

    def assign_names(
        self, made: OperatorFile, applied: AppliedState, tables: Tables, old: Mapping[str, Pool]
    ) -> None:
        """Give each new life of a node a name and a cell of its own; the old one drains.

        Guards against a keyed request that ran on the old one being repeated on what came in its
        place under the same id, which knows nothing of it.
        """
        placed: dict[str, NodeInstance] = {}
        for pool in made.pools:
            for part in pool.nodes:
                key = f"{pool.name}/{part.id}"
                before = self.nodes.get(key)
                born = applied.new_since.get(key, 0)
                address = address_of(part.address)
                if before is not None and before.new_since == born and before.address == address:
                    placed[key] = before
                    continue
                self._incarnations[part.id] = life = self._incarnations.get(part.id, 0) + 1
                name = part.id if life == 1 else f"{part.id}~{life}"
                cell = tables.cells.of(f"cell {part.cell}" if part.cell else f"node {name}")
                placed[key] = NodeInstance(name, address, cell, born)
        for key, node in self.nodes.items():
            if placed.get(key) is not node:
                self._start_draining(old[key.partition("/")[0]], node)
        self.nodes = placed

    def _start_draining(self, pool: Pool, node: NodeInstance) -> None:
        listed = pool.endpoints[node.name].endpoint._replace(state=EndpointState.DRAINING)
        self.draining.setdefault(pool, {})[node.name] = EndpointAddress(listed, node.address)

    def list_nodes(
        self, made: OperatorFile, tables: Tables, old: Mapping[str, Pool], new: Mapping[str, Pool]
    ) -> None:
        """Tell each pool its nodes; one that is not there any more, only what drains."""
        for part in made.pools:
            pool = new[part.name]
            entries = [self._entry(part, node, tables) for node in part.nodes]
            _tell(pool, entries + list(self.draining.get(pool, {}).values()))
        for pool, leaving in self.draining.items():
            if new.get(pool.name) is not pool:
                _tell(pool, list(leaving.values()))
        for pool in old.values():
            if new.get(pool.name) is not pool:
                pool.retire()
        self.pools = new

    def _entry(self, pool: PoolPart, part: NodePart, tables: Tables) -> EndpointAddress:
        node = self.nodes[f"{pool.name}/{part.id}"]
        zone = tables.zones.of(part.zone)
        listed = Endpoint(
            node.name, part.weight, zone, node.cell, EndpointState.READY, node.new_since, 0
        )
        return EndpointAddress(listed, node.address)

    def set_maintenance(self, key: str, pools: Mapping[str, Pool], out: bool) -> None:
        """A node, by `pool/id`, is banned or is not.

        Said before the list, as a module that hears of a node before its ban sends to it.
        """
        node = self.nodes.get(key)
        pool = pools.get(key.partition("/")[0])
        if node is not None and pool is not None:
            pool.maintenance.add_names([node.name])
            pool.set_maintenance(node.name, out)

    # --- What leaves

    def release_soon(self) -> None:
        """Look at what leaves, again and again until nothing does."""
        if self._settling is None and (self.draining or len(self.core.pools) > len(self.pools)):
            self._settling = self.core.loop.call_later(SETTLE, self._release_drained)

    def _release_drained(self) -> None:
        """Let go of nodes and pools on which nothing is out any more."""
        self._settling = None
        try:
            self._release()
        except Exception as error:
            self.core.fault("the end of what leaves", error)
        self.release_soon()

    def _release(self) -> None:
        out: set[tuple[Pool | None, str]] = set()
        busy: set[Pool | None] = set()
        for request in self.core.open_requests.values():
            busy.add(request.pool)
            out.update((request.pool, attempt.server) for attempt in request.open_attempts)
        for pool, leaving in list(self.draining.items()):
            for name in [name for name in leaving if (pool, name) not in out]:
                del leaving[name]
            if not leaving:
                del self.draining[pool]
            here = [e for e in pool.endpoints.values() if e.endpoint.state == EndpointState.READY]
            _tell(pool, here + list(leaving.values()))
        for pool in list(self.core.pools):
            gone = pool not in self.pools.values() and pool not in self.draining
            if gone and pool not in busy:
                self.core.pools.remove(pool)
                pool.transport.stop()


def _tell(pool: Pool, entries: list[EndpointAddress]) -> None:
    """Give a pool its whole list, if that is news to it."""
    news = any(pool.endpoints.get(entry.endpoint.name) != entry for entry in entries)
    if news or len(entries) != len(pool.endpoints):
        pool.apply_update(
            EndpointUpdate(0, True, tuple(entries), 0, frozenset()), WatchEventKind.SNAPSHOT
        )


def address_of(text: str) -> Address:
    """Return a checked `host:port` in its two parts."""
    host, _, port = text.rpartition(":")
    return host, int(port)

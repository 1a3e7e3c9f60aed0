"""Nodes in their places: which life of an id is where, and what drains after it has left the state.

The one caller of it is the switch (`live`); nothing here decides what the state is.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from ..core.core import Core
from ..core.pool import Pool
from ..core.terms import Address, Entry, Roster
from ..interface import DRAINING, FULL, READY, Listed
from .schema import NodePart, OperatorFile, PoolPart
from .store import Applied
from .tables import Tables

SETTLE: Final = 0.25  # s between two looks at what is leaving


@dataclass(slots=True)
class Node:
    """A node as the module knows it: one life of an id at an address."""

    name: str  # the module's word for it
    address: Address
    cell: int
    born: int


class Places:
    """Which nodes are where."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.nodes: dict[str, Node] = {}  # by key, `pool/id`
        self.leaving: dict[Pool, dict[str, Entry]] = {}  # nodes that drain, by their module's name
        self.pools: Mapping[str, Pool] = {}  # as of the last switch
        self._lives: dict[str, int] = {}  # of a node's id, so far
        self._settling: asyncio.TimerHandle | None = None

    def place(
        self, made: OperatorFile, applied: Applied, tables: Tables, old: Mapping[str, Pool]
    ) -> None:
        """Give each new life of a node a name and a cell of its own; the old one drains.

        Guards against a keyed request that ran on the old one being repeated on what came in its
        place under the same id, which knows nothing of it.
        """
        placed: dict[str, Node] = {}
        for pool in made.pools:
            for part in pool.nodes:
                key = f"{pool.name}/{part.id}"
                before, born = self.nodes.get(key), applied.born.get(key, 0)
                address = address_of(part.address)
                if before is not None and before.born == born and before.address == address:
                    placed[key] = before
                    continue
                self._lives[part.id] = life = self._lives.get(part.id, 0) + 1
                name = part.id if life == 1 else f"{part.id}~{life}"
                cell = tables.cells.of(f"cell {part.cell}" if part.cell else f"node {name}")
                placed[key] = Node(name, address, cell, born)
        for key, node in self.nodes.items():
            if placed.get(key) is not node:
                self._leave(old[key.partition("/")[0]], node)
        self.nodes = placed

    def _leave(self, pool: Pool, node: Node) -> None:
        listed = pool.listed[node.name].listed._replace(state=DRAINING)
        self.leaving.setdefault(pool, {})[node.name] = Entry(listed, node.address)

    def list_nodes(
        self, made: OperatorFile, tables: Tables, old: Mapping[str, Pool], new: Mapping[str, Pool]
    ) -> None:
        """Tell each pool its nodes; one that is not there any more, only what drains."""
        for part in made.pools:
            pool = new[part.name]
            entries = [self._entry(part, node, tables) for node in part.nodes]
            _tell(pool, entries + list(self.leaving.get(pool, {}).values()))
        for pool, leaving in self.leaving.items():
            if new.get(pool.name) is not pool:
                _tell(pool, list(leaving.values()))
        for pool in old.values():
            if new.get(pool.name) is not pool:
                pool.retire()
        self.pools = new

    def _entry(self, pool: PoolPart, part: NodePart, tables: Tables) -> Entry:
        node = self.nodes[f"{pool.name}/{part.id}"]
        zone = tables.zones.of(part.zone)
        listed = Listed(node.name, part.weight, zone, node.cell, READY, node.born, 0)
        return Entry(listed, node.address)

    def by_hand(self, key: str, pools: Mapping[str, Pool], out: bool) -> None:
        """A node, by `pool/id`, is banned or is not.

        Danger: said before the list, as a module that hears of a node before its ban sends to it.
        """
        node, pool = self.nodes.get(key), pools.get(key.partition("/")[0])
        if node is not None and pool is not None:
            pool.maintenance.saw([node.name])
            pool.by_hand(node.name, out)

    # --- What leaves

    def settle_soon(self) -> None:
        """Look at what leaves, again and again until nothing does."""
        if self._settling is None and (self.leaving or len(self.core.pools) > len(self.pools)):
            self._settling = self.core.loop.call_later(SETTLE, self._settle)

    def _settle(self) -> None:
        """Let go of nodes and pools on which nothing is out any more."""
        self._settling = None
        try:
            self._let_go()
        except Exception as error:
            self.core.fault("the end of what leaves", error)
        self.settle_soon()

    def _let_go(self) -> None:
        out: set[tuple[Pool | None, str]] = set()
        busy: set[Pool | None] = set()
        for exchange in self.core.live.values():
            busy.add(exchange.pool)
            out.update((exchange.pool, attempt.server) for attempt in exchange.out)
        for pool, leaving in list(self.leaving.items()):
            for name in [name for name in leaving if (pool, name) not in out]:
                del leaving[name]
            if not leaving:
                del self.leaving[pool]
            here = [e for e in pool.listed.values() if e.listed.state == READY]
            _tell(pool, here + list(leaving.values()))
        for pool in list(self.core.pools):
            gone = pool not in self.pools.values() and pool not in self.leaving
            if gone and pool not in busy:
                self.core.pools.remove(pool)
                pool.transport.stop()


def _tell(pool: Pool, entries: list[Entry]) -> None:
    """Give a pool its whole list, if that is news to it."""
    news = any(pool.listed.get(entry.listed.server) != entry for entry in entries)
    if news or len(entries) != len(pool.listed):
        pool.take_list(Roster(0, True, tuple(entries), 0, frozenset()), FULL)


def address_of(text: str) -> Address:
    """A checked `host:port` in its two parts."""
    host, _, port = text.rpartition(":")
    return host, int(port)

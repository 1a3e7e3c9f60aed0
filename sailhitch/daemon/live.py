"""The live state: pools, listeners and routes as they are, and the one switch to others.

All that can fail is prepared first: the state checked, listeners bound, modules built, the state
written and synced. Then one rename on disk and one switch on the loop, with nothing awaited in it.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from ..core.core import Core
from ..core.pool import Pool
from ..core.terms import Address, Bounds, Entry, Reach, Roster, idle_life
from ..interface import DRAINING, FULL, READY, Listed
from ..net.downstream import Listener
from ..net.upstream import Hosts
from ..settings import Settings
from .intake import RoutedIntake, View
from .plan import Plan, check_base, diff, load_plan, summary
from .routes import Routes
from .schema import FileError, GatewayPart, NodePart, OperatorFile, PoolPart, as_route
from .state import EMPTY, State, from_file, to_file
from .store import Applied, Step, Store, StoreError, unwatched
from .tables import Tables

BACKLOG: Final = 1024
MAX_OPEN: Final = 20_000
SETTLE: Final = 0.25  # s between two looks at what is leaving


class ApplyError(Exception):
    """An apply came to nothing; the old state is whole. The text says why and what to do."""


@dataclass(slots=True)
class Node:
    """A node as the module knows it: one life of an id at an address."""

    name: str  # the module's word for it
    address: Address
    cell: int
    born: int


@dataclass(frozen=True, slots=True)
class Prepared:
    """All that a switch needs; nothing of it is seen by anybody yet."""

    made: OperatorFile
    applied: Applied
    tables: Tables
    settings: Settings
    routes: Routes
    pools: dict[str, Pool]
    listeners: Mapping[str, Listener]


class Live:
    """What is, and how it becomes what is wanted."""

    def __init__(
        self, core: Core, gateway: GatewayPart, store: Store | None, step: Step = unwatched
    ) -> None:
        self.core, self.gateway, self.store, self.step = core, gateway, store, step
        self.tables: Tables | None = None
        self.pools: dict[str, Pool] = {}
        self.nodes: dict[str, Node] = {}  # by key, `pool/id`
        self.leaving: dict[Pool, dict[str, Entry]] = {}  # nodes that drain, by their module's name
        self.listeners: dict[str, Listener] = {}
        self.applied = Applied(0, 0, "nobody", EMPTY)
        self.past: list[Applied] = []  # all that held, where there is no store
        self.intake = RoutedIntake(core.clock)
        self._lives: dict[str, int] = {}  # of a node's id, so far
        self._switching = asyncio.Lock()
        self._settling: asyncio.TimerHandle | None = None

    # --- From outside

    async def start(self, made: OperatorFile) -> Applied:
        """Take up the state that held last, or the file's at the very first start.

        Raises StoreError or ApplyError.
        """
        async with self._switching:
            last = None if self.store is None else self.store.last()
            if last is None:
                state = from_file(made)
                return await self._change(state, "first start", dict.fromkeys(state["nodes"], 0))
            made, routes = await asyncio.to_thread(self._parse, last.state)
            self._switch(self._prepare(last, made, routes))
        return last

    def history(self) -> list[Applied]:
        """What held, oldest first, the live state last."""
        return self.past if self.store is None else self.store.history()

    def at(self, serial: int) -> Applied:
        """A state that held; raises StoreError."""
        if serial == self.applied.serial:
            return self.applied
        if self.store is not None:
            return self.store.read(serial)
        for one in self.past:
            if one.serial == serial:
                return one
        raise StoreError(f"serial {serial}: not known; `sailhitch history` shows what is")

    async def apply_plan(self, text: str, by: str) -> Applied:
        """Do exactly what a plan says; raises PlanError, MovedError or ApplyError."""
        async with self._switching:
            plan, state = await asyncio.to_thread(self._read_plan, text)
            if not plan.changes:
                return self.applied
            return await self._change(state, by, None)

    def _read_plan(self, text: str) -> tuple[Plan, State]:
        plan = load_plan(text)
        return plan, check_base(plan, self.gateway.name, self.applied.serial, self.applied.state)

    async def apply_file(self, made: OperatorFile, by: str) -> Applied:
        """Go to what a file asks for; raises ApplyError."""
        async with self._switching:
            state = from_file(made)
            if state == self.applied.state:
                return self.applied
            return await self._change(state, by, None)

    async def _change(self, state: State, by: str, born: Mapping[str, int] | None) -> Applied:
        """Prepare, commit, switch. Nothing is awaited between the commit's end and the switch."""
        # In threads: thousands of nodes take longer to look at than requests may be held up.
        applied = await asyncio.to_thread(self._following, state, by, born)
        self.step("checked")
        made, routes = await asyncio.to_thread(self._parse, state)
        prepared = self._prepare(applied, made, routes)
        self.step("bound")
        try:
            await asyncio.to_thread(self._keep, applied)
        except Exception as error:
            for listener in prepared.listeners.values():
                listener.discard()
            raise ApplyError(f"{error}; nothing was changed") from error
        self._switch(prepared)
        self.step("switched")
        return applied

    def _following(self, state: State, by: str, born: Mapping[str, int] | None) -> Applied:
        now, old = self.core.clock(), self.applied
        return Applied(
            old.serial + 1, now, by, state, summary(diff(old.state, state)),
            self._born(state, now) if born is None else born,
        )  # fmt: skip

    def _parse(self, state: State) -> tuple[OperatorFile, Routes]:
        try:
            made = to_file(state, self.gateway.model_dump(mode="json"))
        except FileError as error:
            raise ApplyError(f"the state would be out of form: {error}") from None
        return made, Routes([as_route(part) for part in made.routes])

    def _prepare(self, applied: Applied, made: OperatorFile, routes: Routes) -> Prepared:
        """Build all that is new; raises ApplyError, with nothing left behind."""
        tables = Tables(self.tables, made)
        settings = tables.settings(self.gateway)
        pools = {part.name: self._pool(part, settings) for part in made.pools}
        return Prepared(made, applied, tables, settings, routes, pools, self._bind(made))

    def _pool(self, part: PoolPart, settings: Settings) -> Pool:
        pool = self.pools.get(part.name)
        if pool is None:
            seed = secrets.randbits(48)
            pool = Pool(self.core, part.name, settings, seed, _reach(part), Hosts)
        return pool

    def _keep(self, applied: Applied) -> None:
        if self.store is None:
            return
        path = self.store.prepare(applied, self.step)
        self.store.commit(path, applied.serial, self.step)

    def _born(self, state: State, now: int) -> dict[str, int]:
        """Since when each node is new: now, for one that comes, comes back or moves."""
        old, before = self.applied.state["nodes"], self.applied.born
        return {
            key: before.get(key, 0) if key in old and _same_life(old[key], node) else now
            for key, node in state["nodes"].items()
        }

    def _bind(self, made: OperatorFile) -> dict[str, Listener]:
        """The listeners that are not there yet, bound and not taking anybody in."""
        bound: dict[str, Listener] = {}
        here = self._by_address()
        for i, part in enumerate(made.listeners):
            if (part.address, part.protocol) in here:
                continue
            try:
                bound[part.name] = Listener(self.core, self.intake, _address(part.address), BACKLOG)
            except OSError as error:
                for listener in bound.values():
                    listener.discard()
                where = f"listeners[{i}] {part.name!r}: {part.address}"
                raise ApplyError(f"{where}: {error.strerror}; nothing was changed") from None
        return bound

    # --- The switch

    def _switch(self, prepared: Prepared) -> None:
        """Go by the new state, in one turn of the loop."""
        made, applied, pools = prepared.made, prepared.applied, prepared.pools
        self._place_nodes(made, applied, prepared.tables)
        self.core.reconfigure(bounds(self.gateway, prepared.tables.longest_deadline()))
        for part in made.pools:
            pool = pools[part.name]
            if pool in self.core.pools:
                pool.reconfigure(prepared.settings, _reach(part))
            else:
                pool.start(Roster(0, True, (), 0, frozenset()))
                self.core.pools.append(pool)
        self._list_nodes(made, prepared)
        self.pools, self.tables = pools, prepared.tables
        self.intake.view = View(prepared.routes, pools, prepared.tables)
        self._switch_listeners(made, prepared.listeners)
        self.applied = applied
        if self.store is None:
            self.past.append(applied)
        self._settle_soon()

    def _place_nodes(self, made: OperatorFile, applied: Applied, tables: Tables) -> None:
        """Give each new life of a node a name and a cell of its own; the old one drains.

        Guards against a keyed request that ran on the old one being repeated on what came in its
        place under the same id, which knows nothing of it.
        """
        placed: dict[str, Node] = {}
        for pool in made.pools:
            for part in pool.nodes:
                key = f"{pool.name}/{part.id}"
                old, born = self.nodes.get(key), applied.born.get(key, 0)
                address = _address(part.address)
                if old is not None and old.born == born and old.address == address:
                    placed[key] = old
                    continue
                self._lives[part.id] = life = self._lives.get(part.id, 0) + 1
                name = part.id if life == 1 else f"{part.id}~{life}"
                cell = tables.cells.of(f"cell {part.cell}" if part.cell else f"node {name}")
                placed[key] = Node(name, address, cell, born)
        for key, old in self.nodes.items():
            if placed.get(key) is not old:
                self._leave(key, old)
        self.nodes = placed

    def _leave(self, key: str, node: Node) -> None:
        pool = self.pools[key.partition("/")[0]]
        listed = pool.listed[node.name].listed._replace(state=DRAINING)
        self.leaving.setdefault(pool, {})[node.name] = Entry(listed, node.address)

    def _list_nodes(self, made: OperatorFile, prepared: Prepared) -> None:
        for part in made.pools:
            pool = prepared.pools[part.name]
            entries = [self._entry(part, node, prepared.tables) for node in part.nodes]
            _tell(pool, entries + list(self.leaving.get(pool, {}).values()))
        for pool, leaving in self.leaving.items():
            if prepared.pools.get(pool.name) is not pool:
                _tell(pool, list(leaving.values()))
        for pool in self.pools.values():
            if prepared.pools.get(pool.name) is not pool:
                pool.retire()

    def _entry(self, pool: PoolPart, part: NodePart, tables: Tables) -> Entry:
        node = self.nodes[f"{pool.name}/{part.id}"]
        zone = tables.zones.of(part.zone)
        listed = Listed(node.name, part.weight, zone, node.cell, READY, node.born, 0)
        return Entry(listed, node.address)

    def _switch_listeners(self, made: OperatorFile, bound: Mapping[str, Listener]) -> None:
        """Listeners go by their address: one that only has another name goes on as it was."""
        old = self._by_address()
        self.listeners = {}
        for part in made.listeners:
            listener = old.pop((part.address, part.protocol), None)
            if listener is None:
                listener = bound[part.name]
                listener.start()
            self.listeners[part.name] = listener
        for listener in old.values():
            listener.retire()

    def _by_address(self) -> dict[tuple[str, str], Listener]:
        """The listeners that are, by address and protocol."""
        said = self.applied.state["listeners"]
        return {(said[n]["address"], said[n]["protocol"]): one for n, one in self.listeners.items()}

    def stop_listening(self) -> None:
        """Take nobody new in; whoever is inside is served on."""
        for listener in self.listeners.values():
            listener.close()

    # --- What leaves

    def _settle_soon(self) -> None:
        if self._settling is None and (self.leaving or len(self.core.pools) > len(self.pools)):
            self._settling = self.core.loop.call_later(SETTLE, self._settle)

    def _settle(self) -> None:
        """Let go of nodes and pools on which nothing is out any more."""
        self._settling = None
        try:
            self._let_go()
        except Exception as error:
            self.core.fault("the end of what leaves", error)
        self._settle_soon()

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


# --- From the file's terms to the core's


def bounds(gateway: GatewayPart, longest: int) -> Bounds:
    """What the process may use."""
    return Bounds(gateway.memory_mb, gateway.sockets, MAX_OPEN, longest, gateway.retry_after)


def _reach(pool: PoolPart) -> Reach:
    return Reach(pool.connect_timeout, idle_life(pool.idle_timeout), any_status=True)


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _same_life(old: Mapping[str, Any], new: Mapping[str, Any]) -> bool:
    """Whether a node goes on as it was: another weight or zone does not make it new.

    One with another cell does: what its old cell remembers is not what the new one does.
    """
    return bool(old["address"] == new["address"] and old["cell"] == new["cell"])

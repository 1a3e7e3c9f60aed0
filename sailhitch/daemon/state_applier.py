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

from ..core.core import Core
from ..core.pool import Pool
from ..core.terms import Bounds, Reach, Roster, idle_life
from ..net.listener import Listener
from ..net.upstream import Hosts
from ..settings import Settings
from .intake import Also, RoutedIntake, View
from .places import Places, address_of
from .plan import diff, summary
from .routes import Routes
from .schema import FileError, GatewayPart, OperatorFile, PoolPart, as_route
from .state import EMPTY, Object, State, to_file
from .store import Applied, Step, Store, unwatched
from .tables import Tables

BACKLOG: Final = 1024
MAX_OPEN: Final = 20_000


class ApplyError(Exception):
    """An apply came to nothing; the old state is whole. The text says why and what to do."""


@dataclass(frozen=True, slots=True)
class Decided:
    """A state that a source of states has decided on, and how to go by it."""

    state: State
    by: str
    serial: int  # in its source's line
    born: Mapping[str, int] | None = None  # since when nodes are new; None: by the switch
    kept: bool = True  # whether it is to hold after a restart
    stamp: bytes = b""  # fields that attempts carry under it
    also: State | None = None  # whose routes hold beside its own
    rules: int = 0  # counts up where requests read before must not be sent by the older ones
    unused: frozenset[str] = frozenset()  # nodes, as `pool/id`, that get nothing new
    renewed: frozenset[str] = frozenset()  # those that are tried as if they had just started


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
    decided: Decided
    also: Also | None


class Live:
    """What is, and how it becomes what is wanted."""

    def __init__(
        self, core: Core, gateway: GatewayPart, store: Store | None, step: Step = unwatched
    ) -> None:
        self.core, self.gateway, self.store, self.step = core, gateway, store, step
        self.tables: Tables | None = None
        self.pools: dict[str, Pool] = {}
        self.places = Places(core)
        self.listeners: dict[str, Listener] = {}
        self.ending = False  # nobody is taken in any more
        self.applied = Applied(0, 0, "nobody", EMPTY)
        self.out: set[str] = set()  # nodes that are banned, or not in use
        self.past: list[Applied] = []  # all that held, where there is no store
        self.intake = RoutedIntake(core.clock)
        self._switching = asyncio.Lock()

    # --- From the source of states

    async def restore(self, last: Applied) -> None:
        """Go by a state that held before this process. Raises ApplyError."""
        async with self._switching:
            made, routes = await asyncio.to_thread(self._parse, last.state)
            decided = Decided(last.state, last.by, last.serial)
            self._switch(self._prepare(last, decided, made, routes, None))

    async def change(self, decided: Decided) -> Applied:
        """Go by a state that was decided; raises ApplyError, with the old one whole.

        Prepare, commit, switch. Nothing is awaited between the commit's end and the switch.
        """
        async with self._switching:
            # In threads: thousands of nodes take longer to look at than requests may be held up.
            applied = await asyncio.to_thread(self._following, decided)
            self.step("checked")
            made, routes = await asyncio.to_thread(self._parse, applied.state)
            also = None
            if decided.also is not None:
                also = await asyncio.to_thread(self._beside, decided.also)
            prepared = self._prepare(applied, decided, made, routes, also)
            self.step("bound")
            try:
                if decided.kept:
                    await asyncio.to_thread(self._keep, applied)
            except Exception as error:
                for listener in prepared.listeners.values():
                    listener.discard()
                raise ApplyError(f"{error}; nothing was changed") from error
            self._switch(prepared)
            self.step("switched")
            return applied

    def _following(self, decided: Decided) -> Applied:
        now, old = self.core.clock(), self.applied
        born = self._born(decided.state, now) if decided.born is None else decided.born
        told = summary(diff(old.state, decided.state))
        return Applied(decided.serial, now, decided.by, decided.state, told, born)

    def _parse(self, state: State) -> tuple[OperatorFile, Routes]:
        try:
            made = to_file(state, self.gateway.model_dump(mode="json"))
        except FileError as error:
            raise ApplyError(f"the state would be out of form: {error}") from None
        return made, Routes([as_route(part) for part in made.routes])

    def _beside(self, state: State) -> Also:
        made, routes = self._parse({**state, "listeners": {}})
        return Also(routes, {part.name: part.effect for part in made.classes})

    def _prepare(
        self,
        applied: Applied,
        decided: Decided,
        made: OperatorFile,
        routes: Routes,
        also: Also | None,
    ) -> Prepared:
        """Build all that is new; raises ApplyError, with nothing left behind."""
        tables = Tables(self.tables, made)
        settings = tables.settings(self.gateway)
        pools = {part.name: self._pool(part, settings) for part in made.pools}
        bound = self._bind(made)
        return Prepared(made, applied, tables, settings, routes, pools, bound, decided, also)

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

    def _switch(self, prepared: Prepared) -> None:
        """Go by the new state, in one turn of the loop."""
        made, applied, pools = prepared.made, prepared.applied, prepared.pools
        self.places.place(made, applied, prepared.tables, self.pools)
        self.core.reconfigure(bounds(self.gateway, prepared.tables.longest_deadline()))
        for part in made.pools:
            pool = pools[part.name]
            if pool in self.core.pools:
                pool.reconfigure(prepared.settings, _reach(part))
            else:
                pool.start(Roster(0, True, (), 0, frozenset()))
                self.core.pools.append(pool)
        out = applied.state["bans"].keys() | prepared.decided.unused
        for key in sorted(prepared.decided.renewed - out):
            self.places.by_hand(key, pools, True)
            self.places.by_hand(key, pools, False)
        for key in sorted(out | self.out):
            self.places.by_hand(key, pools, key in out)
        self.out = out
        self.places.list_nodes(made, prepared.tables, self.pools, pools)
        for pool in pools.values():
            pool.stamp = prepared.decided.stamp
        self.pools, self.tables = pools, prepared.tables
        self.intake.view = View(
            prepared.routes, pools, prepared.tables, prepared.also, prepared.decided.rules
        )
        self._switch_listeners(made, prepared.listeners)
        self.applied = applied
        if self.store is None:
            self.past.append(applied)
        self.places.settle_soon()

    def _switch_listeners(self, made: OperatorFile, bound: Mapping[str, Listener]) -> None:
        """Listeners go by their address: one that only has another name goes on as it was."""
        old = self._by_address()
        self.listeners = {}
        for part in made.listeners:
            listener = old.pop((part.address, part.protocol), None)
            if listener is None:
                listener = bound[part.name]
                if self.ending:
                    listener.discard()
                else:
                    listener.start()
            self.listeners[part.name] = listener
        for listener in old.values():
            listener.retire()

    def _by_address(self) -> dict[tuple[str, str], Listener]:
        """The listeners that are, by address and protocol."""
        said = self.applied.state["listeners"]
        return {(said[n]["address"], said[n]["protocol"]): one for n, one in self.listeners.items()}

    def stop_listening(self) -> None:
        """Take nobody new in, whatever is decided from here on; whoever is inside is served on."""
        self.ending = True
        for listener in self.listeners.values():
            listener.close()


# --- From the file's terms to the core's


def bounds(gateway: GatewayPart, longest: int) -> Bounds:
    """What the process may use."""
    return Bounds(gateway.memory_mb, gateway.sockets, MAX_OPEN, longest, gateway.retry_after)


def _reach(pool: PoolPart) -> Reach:
    return Reach(pool.connect_timeout, idle_life(pool.idle_timeout), any_status=True)


def _same_life(old: Object, new: Object) -> bool:
    """Whether a node goes on as it was: another weight or zone does not make it new.

    One with another cell does: what its old cell remembers is not what the new one does.
    """
    return bool(old["address"] == new["address"] and old["cell"] == new["cell"])

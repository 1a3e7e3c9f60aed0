"""Changes of the state, as an operator makes them.

They are prepared beforehand, so that a command's time is the tier's alone.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from sailhitch.daemon.plan import make_plan
from sailhitch.daemon.state import State, with_node_ban

from .fleet import Fleet
from .processes import RealDaemon, RefusedError

WEIGHT: Final = "weight"  # contradicts nothing: it holds as soon as it is decided
BAN: Final = "ban"  # contradicts: all have to confirm it first
DECIDED: Final = 90.0  # s for a change to be decided, and gone by where it was asked for


@dataclass(frozen=True)
class Prepared:
    """A change, ready to be asked for: `ask` gives the serial that it has got."""

    kind: str
    after: State
    ask: Callable[[], Awaitable[int]]


def with_weight(state: State, number: int) -> State:
    """Another weight of one node, the one of that number."""
    name = sorted(state["nodes"])[number % len(state["nodes"])]
    node = state["nodes"][name]
    return {**state, "nodes": {**state["nodes"], name: {**node, "weight": node["weight"] + 0.5}}}


def with_ban(state: State) -> State:
    """Return the first node banned, or not any more."""
    name = min(state["nodes"])
    ban = {"by": "scale", "when": 0, "why": "scale"}
    return with_node_ban(state, name, None if name in state["bans"] else ban)


def altered(kind: str, state: State, number: int) -> State:
    """Return the state after a change of this kind."""
    return with_weight(state, number) if kind == WEIGHT else with_ban(state)


async def prepare(fleet: Fleet, kind: str, count: int = 1) -> list[Prepared]:
    """Changes of one kind, each made from the one before."""
    found = []
    state, serial = await _held(fleet), fleet.serial
    for number in range(count):
        after = await asyncio.to_thread(altered, kind, state, number)
        found.append(Prepared(kind, after, await _how(fleet, kind, state, after, serial)))
        state, serial = after, serial + 1
    return found


async def _held(fleet: Fleet) -> State:
    """Return the state that holds: a daemon's, as it gives a ban a time and a name of its own."""
    if not fleet.daemons:
        return fleet.state
    daemon = next(iter(fleet.daemons.values()))
    answer = await daemon.ask({"op": "state"}, DECIDED)
    state: State = answer["state"]
    return state


async def _how(
    fleet: Fleet, kind: str, before: State, after: State, serial: int
) -> Callable[[], Awaitable[int]]:
    """Asked of a daemon where there is one, else of a hollow gateway."""
    if not fleet.daemons:
        return await fleet.proposal(after, serial, waits=kind == BAN)
    daemon = next(iter(fleet.daemons.values()))
    bare, wanted = {**before, "listeners": {}}, {**after, "listeners": {}}
    if kind == BAN:
        node = min(before["nodes"])
        request = {"op": "ban", "node": node, "out": node in after["bans"], "why": "scale"}
    else:
        plan = await asyncio.to_thread(make_plan, "tier full", serial, bare, wanted)
        request = {"op": "apply", "plan": plan.dump()}
    return functools.partial(_ask, daemon, request)


async def _ask(daemon: RealDaemon, request: Mapping[str, Any]) -> int:
    answer = await daemon.ask(request, DECIDED)
    if not answer.get("ok"):
        raise RefusedError(f"{daemon.name}: {request['op']}: {answer.get('error')}")
    return int(answer["serial"])


async def carry_out(fleet: Fleet, change: Prepared) -> int:
    """Ask for a change, and go by it; the serial that it has got."""
    serial = await change.ask()
    fleet.state, fleet.serial = change.after, serial
    return serial

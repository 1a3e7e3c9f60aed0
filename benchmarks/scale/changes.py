"""Changes of the state, as an operator makes them.

They are prepared in advance, so that only the tier's work is timed.
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

WEIGHT: Final = "weight"  # contradicts nothing: active as soon as it is decided
BAN: Final = "ban"  # a contradiction: pending until all members have confirmed it
DECISION_TIMEOUT: Final = 90.0  # s until a change is decided and in force where it was requested


@dataclass(frozen=True)
class PreparedChange:
    """A prepared change: `ask` requests it and returns the serial that it was given."""

    kind: str
    after: State
    ask: Callable[[], Awaitable[int]]


def with_weight(state: State, number: int) -> State:
    """Return the state with another weight of the node at that index."""
    name = sorted(state["nodes"])[number % len(state["nodes"])]
    node = state["nodes"][name]
    return {**state, "nodes": {**state["nodes"], name: {**node, "weight": node["weight"] + 0.5}}}


def with_ban(state: State) -> State:
    """Return the state with the first node's ban toggled."""
    name = min(state["nodes"])
    ban = {"by": "scale", "when": 0, "why": "scale"}
    return with_node_ban(state, name, None if name in state["bans"] else ban)


def apply_change(kind: str, state: State, number: int) -> State:
    """Return the state after a change of this kind."""
    return with_weight(state, number) if kind == WEIGHT else with_ban(state)


async def prepare(fleet: Fleet, kind: str, count: int = 1) -> list[PreparedChange]:
    """Prepare changes of one kind, each based on the one before."""
    prepared = []
    state, serial = await _active_state(fleet), fleet.serial
    for number in range(count):
        after = await asyncio.to_thread(apply_change, kind, state, number)
        prepared.append(
            PreparedChange(kind, after, await _prepare_request(fleet, kind, state, after, serial))
        )
        state, serial = after, serial + 1
    return prepared


async def _active_state(fleet: Fleet) -> State:
    """Return the active state, from a daemon if there is one: it sets a ban's time and author."""
    if not fleet.daemons:
        return fleet.state
    daemon = next(iter(fleet.daemons.values()))
    answer = await daemon.ask({"op": "state"}, DECISION_TIMEOUT)
    state: State = answer["state"]
    return state


async def _prepare_request(
    fleet: Fleet, kind: str, before: State, after: State, serial: int
) -> Callable[[], Awaitable[int]]:
    """Prepare the request of a change: to a daemon if there is one, else to a hollow gateway."""
    if not fleet.daemons:
        return await fleet.prepare_proposal(after, serial, waits=kind == BAN)
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
    answer = await daemon.ask(request, DECISION_TIMEOUT)
    if not answer.get("ok"):
        raise RefusedError(f"{daemon.name}: {request['op']}: {answer.get('error')}")
    return int(answer["serial"])


async def carry_out(fleet: Fleet, change: PreparedChange) -> int:
    """Request a change and record it as the fleet's state; return its serial."""
    serial = await change.ask()
    fleet.state, fleet.serial = change.after, serial
    return serial

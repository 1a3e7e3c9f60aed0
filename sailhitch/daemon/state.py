"""The desired state of a gateway, as plain values that can be compared, stored and digested.

A state maps kinds ("pools", "nodes", ...) to objects by name; each object maps fields to plain JSON
values. Nodes are named `pool/id`. Order in the file has no meaning.
"""

from __future__ import annotations

import hashlib
import json
import operator
from collections.abc import Iterator, Mapping
from itertools import compress, islice
from typing import Any, Final

from .schema import FileError, OperatorFile, parse_value

# Bans are set by operators' commands: no file has them, and applying a file removes none.
KINDS: Final = ("listeners", "classes", "tenants", "pools", "nodes", "routes", "bans")
Object = Mapping[str, Any]
State = Mapping[str, Mapping[str, Object]]

EMPTY: Final[State] = {kind: {} for kind in KINDS}


def from_file(operator_file: OperatorFile) -> State:
    """Return the state that a validated file describes, without process-wide settings."""
    value = operator_file.model_dump(mode="json", by_alias=True)
    state: dict[str, dict[str, dict[str, Any]]] = {kind: {} for kind in KINDS}
    for kind in ("listeners", "classes", "tenants", "routes"):
        for part in value[kind]:
            state[kind][part.pop("name")] = part
    for pool in value["pools"]:
        name = pool.pop("name")
        for node in pool.pop("nodes"):
            state["nodes"][f"{name}/{node.pop('id')}"] = node
        state["pools"][name] = pool
    return state


def to_file(state: State, gateway: Mapping[str, Any]) -> OperatorFile:
    """Return the validated file that describes a state, with this gateway part. Raises FileError.

    An edited plan and a state from disk are validated by the same rules as a file.
    """
    value: dict[str, Any] = {"version": 1, "gateway": dict(gateway)}
    for kind in ("listeners", "classes", "tenants", "pools", "routes"):
        value[kind] = [{"name": name, **part} for name, part in state[kind].items()]
    nodes: dict[str, list[dict[str, Any]]] = {pool["name"]: [] for pool in value["pools"]}
    for name, node in state["nodes"].items():
        pool, _, node_id = name.partition("/")
        if pool not in nodes:
            raise FileError([f"nodes: {name!r}: no pool is called {pool!r}"])
        nodes[pool].append({"id": node_id, **node})
    for pool in value["pools"]:
        pool["nodes"] = nodes[pool["name"]]
    return parse_value(value)


def with_bans(state: State, live: State) -> State:
    """Return a state with the live one's bans: a file neither sets nor lifts bans."""
    return {**state, "bans": live["bans"]}


def with_node_ban(state: State, node: str, ban: dict[str, Any] | None) -> State:
    """Return a state with a node banned, or (None) its ban lifted; an existing ban is kept."""
    bans = dict(state["bans"])
    if ban is None:
        bans.pop(node, None)
    else:
        bans.setdefault(node, ban)
    return {**state, "bans": bans}


def unshared_names(old: Mapping[str, Any], new: Mapping[str, Any]) -> Iterator[str]:
    """Yield the names whose values are not the same object in both mappings, or are in one only."""
    if all(map(operator.eq, old, new)):
        # One is a copy of the other, perhaps with names added: no lookup by name is needed.
        yield from compress(new, map(operator.is_not, old.values(), new.values()))
        yield from islice(new, len(old), None)
        yield from islice(old, len(new), None)
        return
    yield from (name for name, value in new.items() if old.get(name, _ABSENT) is not value)
    yield from old.keys() - new.keys()


def differing_names(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    """Return the names whose values differ between two mappings, sorted.

    Values that both share (the same object) are not compared.
    """
    if old is new:
        return []
    return sorted(
        name
        for name in unshared_names(old, new)
        if old.get(name, _ABSENT) != new.get(name, _ABSENT)
    )


_ABSENT: Final = object()
_ENCODER: Final = json.JSONEncoder(sort_keys=True, separators=(",", ":"), allow_nan=False)


def canonical(value: Any) -> bytes:
    """Return the canonical JSON text of a value: sorted keys, no whitespace, no NaN."""
    return _ENCODER.encode(value).encode()


def digest(value: Any) -> str:
    """Return the SHA-256 of a value's canonical text, in hex."""
    return hashlib.sha256(canonical(value)).hexdigest()

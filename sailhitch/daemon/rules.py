"""Contradictions between two states, rule by rule, and the state that both of them allow.

Pure functions of states. A change *contradicts* where it forbids what was allowed, or allows what
was forbidden: a node sent to or not; an effect, dedup group or window; the route of a class that
is not idempotent; a tenant's limit. Weights, latency objectives, priority weights and time-outs
merely differ.

The *meet* of two states is the one that a member applies while a change is pending:

- Nodes: those that both have, at the same address and cell, and neither bans. One that the new
  state lacks, or has elsewhere, is banned for the while, so that it is still there, warm, if the
  change is withdrawn; one that is new is not there yet.
- Effects are ordered by what they let a gateway retry: safe, by the request, keyed, unsafe. The
  meet is the lower. The pool as dedup group includes all others; a zone and a cell do not include
  each other, so between them a class is unsafe for the while. Windows and limits: the shorter, the
  lower; no limit is above all limits.
- Routes are met for each request: it goes where both send it, and one that is not idempotent is
  rejected where they differ (`daemon/intake.py`).
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from typing import Any, Final

from .state import KINDS, Object, State, differing_names

PENDING_BAN: Final[Object] = {"by": "tier", "when": 0, "why": "a change is pending"}
_EFFECTS: Final = ("unsafe", "keyed", None, "safe")  # by what may be retried: least first
_MICROSECONDS_PER_UNIT: Final = (("us", 1), ("ms", 1000), ("s", 1_000_000))


def contradictions(
    old: State, new: State, changed: Mapping[str, Collection[str]] | None = None
) -> list[str]:
    """Return a line for each contradiction of two states; empty where they merely differ.

    `changed` has the names of all objects that differ, by kind, and may have others; with None they
    are found by comparing. Only those are checked: an object that is the same in both states
    contradicts nothing, whatever else changes.
    """
    if changed is None:
        changed = differences(old, new)
    return [
        *_node_contradictions(old, new, changed),
        *_class_contradictions(old, new, changed),
        *_route_contradictions(old, new, changed),
        *_tenant_contradictions(old, new, changed),
    ]


def differences(old: State, new: State) -> dict[str, list[str]]:
    """Return the names of the objects that differ between two states, by kind."""
    return {kind: differing_names(old[kind], new[kind]) for kind in KINDS}


def _node_contradictions(
    old: State, new: State, changed: Mapping[str, Collection[str]]
) -> Iterator[str]:
    zone_matters = _zone_matters(old, new)
    for key in sorted(changed["nodes"]):
        if not _same_node(old, new, key, zone_matters):
            yield f"nodes {key}: sent to at one place or not"
    for key in sorted(changed["bans"]):
        if (key in old["bans"]) != (key in new["bans"]):
            yield f"bans {key}: banned or sent to"


def _same_node(old: State, new: State, key: str, zone_matters: bool) -> bool:
    old_node = old["nodes"].get(key)
    new_node = new["nodes"].get(key)
    if old_node is None or new_node is None:
        return old_node is new_node
    if old_node["address"] != new_node["address"] or old_node["cell"] != new_node["cell"]:
        return False
    return not zone_matters or bool(old_node["zone"] == new_node["zone"])


def _zone_matters(*states: State) -> bool:
    """Return whether nodes share the idempotency keys that they remember by zone."""
    return any(cls["dedup"] == "zone" for state in states for cls in state["classes"].values())


def _window(cls: Object) -> str:
    """Return how long nodes remember a key, as the state has it."""
    window = cls["window"]
    return str(cls["deadline"] if window is None else window)


def _class_contradictions(
    old: State, new: State, changed: Mapping[str, Collection[str]]
) -> Iterator[str]:
    for name in sorted(changed["classes"]):
        old_class = old["classes"].get(name)
        new_class = new["classes"].get(name)
        if old_class is None or new_class is None:
            continue  # no route of both states leads to it, so its routes are what differs
        keyed = _may_be_keyed(old_class) or _may_be_keyed(new_class)
        for field, old_value, new_value in (
            ("effect", old_class["effect"], new_class["effect"]),
            ("dedup", old_class["dedup"], new_class["dedup"]),
            ("window", _window(old_class), _window(new_class)),
        ):
            if old_value != new_value and (field == "effect" or keyed):
                yield f"classes {name}.{field}: {old_value} or {new_value}"


def _may_be_keyed(cls: Object) -> bool:
    return cls["effect"] in (None, "keyed")


def _route_contradictions(
    old: State, new: State, changed: Mapping[str, Collection[str]]
) -> Iterator[str]:
    """Yield each route that differs, unless all requests are safe to repeat.

    A route that is added or removed changes what others match, whatever its own class is.
    """
    if not changed["routes"] or all(_is_safe(state) for state in (old, new)):
        return
    for name in sorted(changed["routes"]):
        if old["routes"].get(name) != new["routes"].get(name):
            yield f"routes {name}: where requests go that may not be repeated at will"


def _is_safe(state: State) -> bool:
    used = {route["class"] for route in state["routes"].values()}
    return all(state["classes"][name]["effect"] == "safe" for name in used)


def _tenant_contradictions(
    old: State, new: State, changed: Mapping[str, Collection[str]]
) -> Iterator[str]:
    for name in sorted(changed["tenants"]):
        if old["tenants"].get(name) != new["tenants"].get(name):
            yield f"tenants {name}: the limit"


# --- The meet


def meet(old: State, new: State) -> State:
    """Return the state that both allow; its routes are `old`'s, and met for each request.

    Objects that do not differ are shared with `old`.
    """
    changed = differences(old, new)
    bans: dict[str, Object] = {**new["bans"], **old["bans"]}
    zone_matters = _zone_matters(old, new)
    for key in changed["nodes"]:
        if key in old["nodes"] and not _same_node(old, new, key, zone_matters):
            bans.setdefault(key, PENDING_BAN)
    return {
        **old,
        "bans": bans,
        "classes": _meet_classes(old, new, changed["classes"]),
        "tenants": _meet_tenants(old, new, changed["tenants"]),
    }


def _meet_classes(old: State, new: State, changed: Collection[str]) -> Mapping[str, Object]:
    if not changed:
        return old["classes"]
    classes = dict(old["classes"])
    for name in changed:
        if name in classes:
            classes[name] = _meet_class(classes[name], new["classes"].get(name))
    return classes


def _meet_class(old: Object, new: Object | None) -> Object:
    if new is None:
        return old
    met: dict[str, Any] = dict(old)
    met["effect"] = min(old["effect"], new["effect"], key=_EFFECTS.index)
    if old["dedup"] != new["dedup"]:
        narrower = {old["dedup"], new["dedup"]} - {"pool"}
        if len(narrower) == 1:
            met["dedup"] = narrower.pop()
        else:
            met["effect"] = "unsafe"
    window = min(_window(old), _window(new), key=_microseconds)
    met["window"] = old["window"] if window == _window(old) else window
    return met


def _microseconds(duration: str) -> int:
    """Return the microseconds of a duration as a state has it."""
    for unit, scale in _MICROSECONDS_PER_UNIT:
        digits = duration.removesuffix(unit)
        if duration.endswith(unit) and digits.isdigit():
            return int(digits) * scale
    raise ValueError(f"not a duration of a state: {duration!r}")


def _meet_tenants(old: State, new: State, changed: Collection[str]) -> Mapping[str, Object]:
    if not changed:
        return old["tenants"]
    tenants = dict(old["tenants"])
    for name in changed:
        versions = (old["tenants"].get(name), new["tenants"].get(name))
        limited = [tenant for tenant in versions if tenant is not None]
        tenants[name] = min(limited, key=_share)
    return tenants


def _share(tenant: Object) -> float:
    return float(tenant["share"])

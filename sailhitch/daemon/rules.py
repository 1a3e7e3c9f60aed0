"""Contradictions between two states, rule by rule, and the state that allows only what both allow.

Pure functions of states. A change *contradicts* the old state if it forbids what was allowed, or
allows what was forbidden: sending to a node; an effect, dedup group or window; the route of a class
that is not idempotent; a tenant's limit. All other changes, of weights, latency objectives,
priority weights and time-outs, merely differ.

While a change is pending, a member applies the *meet* of the old and the new state, which allows
only what both allow:

- Nodes: those that both states have at the same address and cell and that neither bans. A node
  that the new state lacks, or has elsewhere, is banned for now instead of removed, so that it is
  still warm if the change is withdrawn. A new node is not added yet.
- Effects are ordered by what they let a gateway retry: safe, by the request, keyed, unsafe. The
  meet is the more restrictive one. As a dedup group, the pool includes zone and cell; a zone and a
  cell do not include each other, so a class that changes between them is unsafe for now. Of two
  windows the shorter applies, and of two limits the lower; any limit is lower than none.
- Routes are combined request by request: a request goes where both states send it. Where they
  differ, a request that is not idempotent is rejected (`daemon/intake.py`).
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from typing import Any, Final

from .state import KINDS, Object, State, differing_names

PENDING_BAN: Final[Object] = {"by": "tier", "when": 0, "why": "a change is pending"}
_EFFECTS: Final = (
    "unsafe",
    "keyed",
    None,
    "safe",
)  # by what may be retried, most restrictive first
_MICROSECONDS_PER_UNIT: Final = (("us", 1), ("ms", 1000), ("s", 1_000_000))


def contradictions(
    old: State, new: State, changed: Mapping[str, Collection[str]] | None = None
) -> list[str]:
    """Return a line for each contradiction between two states; empty if they merely differ.

    `changed` has the names of all objects that differ, by kind, and may have more; if it is None,
    the states are compared. Only these objects are checked: one that is the same in both states
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
            yield f"nodes {key}: used in one state only, or at different places"
    for key in sorted(changed["bans"]):
        if (key in old["bans"]) != (key in new["bans"]):
            yield f"bans {key}: banned in one state only"


def _same_node(old: State, new: State, key: str, zone_matters: bool) -> bool:
    old_node = old["nodes"].get(key)
    new_node = new["nodes"].get(key)
    if old_node is None or new_node is None:
        return old_node is new_node
    if old_node["address"] != new_node["address"] or old_node["cell"] != new_node["cell"]:
        return False
    return not zone_matters or bool(old_node["zone"] == new_node["zone"])


def _zone_matters(*states: State) -> bool:
    """Return whether a class deduplicates by zone, so that a node's zone affects retries."""
    return any(cls["dedup"] == "zone" for state in states for cls in state["classes"].values())


def _window(cls: Object) -> str:
    """Return how long nodes remember a key, in the state's text format."""
    window = cls["window"]
    return str(cls["deadline"] if window is None else window)


def _class_contradictions(
    old: State, new: State, changed: Mapping[str, Collection[str]]
) -> Iterator[str]:
    for name in sorted(changed["classes"]):
        old_class = old["classes"].get(name)
        new_class = new["classes"].get(name)
        if old_class is None or new_class is None:
            continue  # at most one state has routes to it: those are reported instead
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
    """Yield a line for each route that differs, unless all requests are safe to repeat.

    A route of any class counts: adding or removing it changes which requests other routes match.
    """
    if not changed["routes"] or all(_is_safe(state) for state in (old, new)):
        return
    for name in sorted(changed["routes"]):
        if old["routes"].get(name) != new["routes"].get(name):
            yield f"routes {name}: where requests go that are not safe to repeat"


def _is_safe(state: State) -> bool:
    used = {route["class"] for route in state["routes"].values()}
    return all(state["classes"][name]["effect"] == "safe" for name in used)


def _tenant_contradictions(
    old: State, new: State, changed: Mapping[str, Collection[str]]
) -> Iterator[str]:
    for name in sorted(changed["tenants"]):
        if old["tenants"].get(name) != new["tenants"].get(name):
            yield f"tenants {name}: different limits"


# --- The meet


def intersect_states(old: State, new: State) -> State:
    """Return the state that allows only what both allow.

    Its routes are those of `old`; they are combined with those of `new` for each request, on
    intake. Objects that do not differ are shared with `old`.
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
    """Return the microseconds of a duration in a state's text format."""
    for unit, scale in _MICROSECONDS_PER_UNIT:
        digits = duration.removesuffix(unit)
        if duration.endswith(unit) and digits.isdigit():
            return int(digits) * scale
    raise ValueError(f"not a duration: {duration!r}")


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

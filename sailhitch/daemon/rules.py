"""What two states contradict each other in, rule by rule, and what both of them allow.

Pure functions of states. A change *contradicts* where it forbids what was allowed, or allows what
was forbidden: a node sent to or not; an effect, dedup group or window; the route of a class that
may not be repeated at will; a tenant's limit. Weights, aims, worths and time-outs merely differ.

The *meet* of two states is what a member acts by while a change is pending:

- Nodes: those that both have, at the same address and cell, and neither bans. One that a state is
  about to lose, or has elsewhere, is held as if it were banned, so that it is still there, warm,
  if the change is withdrawn; one that is new is not there yet.
- Effects lie in a line, as what they let a gateway repeat: safe, by the request, keyed, unsafe. The
  meet is the lower. The pool as dedup group takes in all others; a zone and a cell do not take in
  each other, so between them a class is unsafe for the while. Windows and limits: the shorter, the
  lower; no limit is above all limits.
- Routes are met for each request: it goes where both send it, and one that may not be repeated at
  will is refused where they differ (`daemon/intake.py`).
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from typing import Any, Final

from .state import KINDS, Object, State, differing

HELD: Final[Object] = {"by": "tier", "when": 0, "why": "a change is pending"}
_EFFECTS: Final = ("unsafe", "keyed", None, "safe")  # what may be repeated: from least to most


def contradictions(
    old: State, new: State, changed: Mapping[str, Collection[str]] | None = None
) -> list[str]:
    """Return what of two states contradicts, a line each; empty where they merely differ.

    `changed` has the names of all objects that differ, by kind, and may have others; None: they are
    found by comparing. An object that is the same in both contradicts nothing, whatever else
    changes: so only those are looked at.
    """
    if changed is None:
        changed = differences(old, new)
    return [
        *_nodes(old, new, changed),
        *_classes(old, new, changed),
        *_routes(old, new, changed),
        *_tenants(old, new, changed),
    ]


def differences(old: State, new: State) -> dict[str, list[str]]:
    """Return the names of the objects that differ between two states, by kind."""
    return {kind: differing(old[kind], new[kind]) for kind in KINDS}


def _nodes(old: State, new: State, changed: Mapping[str, Collection[str]]) -> Iterator[str]:
    by_zone = _by_zone(old, new)
    for key in sorted(changed["nodes"]):
        if not _same_node(old, new, key, by_zone):
            yield f"nodes {key}: sent to at one place or not"
    for key in sorted(changed["bans"]):
        if (key in old["bans"]) != (key in new["bans"]):
            yield f"bans {key}: banned or sent to"


def _same_node(old: State, new: State, key: str, by_zone: bool) -> bool:
    a = old["nodes"].get(key)
    b = new["nodes"].get(key)
    if a is None or b is None:
        return a is b
    same = a["address"] == b["address"] and a["cell"] == b["cell"]
    return bool(same and (a["zone"] == b["zone"] or not by_zone))


def _by_zone(*states: State) -> bool:
    """Return whether the zone of a node tells which keys it remembers."""
    return any(cls["dedup"] == "zone" for state in states for cls in state["classes"].values())


def _window(cls: Object) -> str:
    window = cls["window"]
    return str(cls["deadline"] if window is None else window)


def _classes(old: State, new: State, changed: Mapping[str, Collection[str]]) -> Iterator[str]:
    for name in sorted(changed["classes"]):
        a = old["classes"].get(name)
        b = new["classes"].get(name)
        if a is None or b is None:
            continue  # no route that holds in both leads to it: a request of it is one that differs
        for field, x, y in (
            ("effect", a["effect"], b["effect"]),
            ("dedup", a["dedup"], b["dedup"]),
            ("window", _window(a), _window(b)),
        ):
            if x != y and (field == "effect" or _may_be_keyed(a) or _may_be_keyed(b)):
                yield f"classes {name}.{field}: {x} or {y}"


def _may_be_keyed(cls: Object) -> bool:
    return cls["effect"] in (None, "keyed")


def _routes(old: State, new: State, changed: Mapping[str, Collection[str]]) -> Iterator[str]:
    """Any route that differs, unless all requests may be repeated at will.

    One that is new or gone changes what another matches, whatever its own class is.
    """
    if not changed["routes"] or all(_is_safe(state) for state in (old, new)):
        return
    for name in sorted(changed["routes"]):
        if old["routes"].get(name) != new["routes"].get(name):
            yield f"routes {name}: where requests go that may not be repeated at will"


def _is_safe(state: State) -> bool:
    used = {route["class"] for route in state["routes"].values()}
    return all(state["classes"][name]["effect"] == "safe" for name in used)


def _tenants(old: State, new: State, changed: Mapping[str, Collection[str]]) -> Iterator[str]:
    for name in sorted(changed["tenants"]):
        a = old["tenants"].get(name)
        b = new["tenants"].get(name)
        if a != b:
            yield f"tenants {name}: the limit"


# --- The meet


def meet(old: State, new: State) -> State:
    """Return what both states allow, routes aside: those are `old`'s, and met for each request.

    What does not differ is shared with `old`.
    """
    changed = differences(old, new)
    bans: dict[str, Object] = {**new["bans"], **old["bans"]}
    by_zone = _by_zone(old, new)
    for key in changed["nodes"]:
        if key in old["nodes"] and not _same_node(old, new, key, by_zone):
            bans.setdefault(key, HELD)
    return {
        **old,
        "bans": bans,
        "classes": _meet_classes(old, new, changed["classes"]),
        "tenants": _meet_tenants(old, new, changed["tenants"]),
    }


def _meet_classes(old: State, new: State, changed: Collection[str]) -> Mapping[str, Object]:
    if not changed:
        return old["classes"]
    made = dict(old["classes"])
    for name in changed:
        if name in made:
            made[name] = _meet_class(made[name], new["classes"].get(name))
    return made


def _meet_class(old: Object, new: Object | None) -> Object:
    if new is None:
        return old
    made: dict[str, Any] = dict(old)
    made["effect"] = min(old["effect"], new["effect"], key=_EFFECTS.index)
    if old["dedup"] != new["dedup"]:
        narrow = {old["dedup"], new["dedup"]} - {"pool"}
        if len(narrow) == 1:
            made["dedup"] = narrow.pop()
        else:
            made["effect"] = "unsafe"
    made["window"] = min(_window(old), _window(new), key=_time)
    return made if made["window"] != _window(old) else {**made, "window": old["window"]}


def _time(said: str) -> float:
    """Microseconds of a duration as the state has it."""
    for unit, scale in (("us", 1), ("ms", 1000), ("s", 1_000_000)):
        if said.endswith(unit) and said.removesuffix(unit).isdigit():
            return int(said.removesuffix(unit)) * scale
    raise ValueError(f"not a duration of a state: {said!r}")


def _meet_tenants(old: State, new: State, changed: Collection[str]) -> Mapping[str, Object]:
    if not changed:
        return old["tenants"]
    made = dict(old["tenants"])
    for name in changed:
        found = [t for t in (old["tenants"].get(name), new["tenants"].get(name)) if t is not None]
        made[name] = min(found, key=lambda tenant: float(tenant["share"]))
    return made

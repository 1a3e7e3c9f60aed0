"""Contradictions between two states, and their meet: the state that allows what both allow."""

from __future__ import annotations

import copy
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sailhitch.daemon.rules import contradictions, differences, intersect_states
from sailhitch.daemon.schema import parse_text, parse_value
from sailhitch.daemon.state import KINDS, State, from_file, to_file
from sailhitch.daemon.state_tree import changed_names, changed_state, to_tree
from sailhitch.daemon.tables import EFFECTS, request_idempotency
from tests.operator_files import FILE, values
from tests.page_sources import Pages

BASE = from_file(parse_text(FILE))
RANK = {effect: i for i, effect in enumerate(reversed(EFFECTS))}  # greater: more may be retried
GATEWAY = {"name": "g1"}
Change = tuple[str, str, dict[str, Any] | None]  # kind, name, fields; None removes the object


def changed(state: State, *changes: Change) -> State:
    result: dict[str, dict[str, Any]] = copy.deepcopy({k: dict(v) for k, v in state.items()})
    for kind, name, fields in changes:
        if fields is None:
            del result[kind][name]
        else:
            result[kind][name] = {**result[kind].get(name, {}), **fields}
    return result


BAN = {"by": "t", "when": 1, "why": ""}
NODE = {"address": "127.0.0.1:9003", "zone": "", "cell": "", "weight": 1.0}


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (("nodes", "claims/n2", None), ["nodes claims/n2"]),
        (("nodes", "claims/n3", NODE), ["nodes claims/n3"]),
        (("nodes", "claims/n2", {"address": "127.0.0.1:9004"}), ["nodes claims/n2"]),
        (("nodes", "claims/n2", {"cell": "c"}), ["nodes claims/n2"]),
        (("nodes", "claims/n2", {"weight": 2.0}), []),
        (("nodes", "claims/n2", {"zone": "b"}), []),
        (("bans", "claims/n2", BAN), ["bans claims/n2"]),
        (("classes", "payout", {"effect": "keyed"}), ["classes payout.effect"]),
        (("classes", "payout", {"aim": "1s", "worth": 9.0, "deadline": "6s"}), []),
        (("classes", "page", {"window": "60s"}), ["classes page.window"]),
        (("classes", "page", {"dedup": "pool"}), ["classes page.dedup"]),
        (("classes", "payout", {"dedup": "pool"}), []),
        (("routes", "payouts", {"pools": {"claims": 1.0}}), ["routes payouts"]),
        (("tenants", "kano-grain", {"share": 0.1}), ["tenants kano-grain"]),
        (("tenants", "new", {"share": 0.1}), ["tenants new"]),
        (("pools", "claims", {"idle_timeout": "9s"}), []),
    ],
)
def test_what_contradicts_and_what_merely_differs(change: Change, expected: list[str]) -> None:
    other = changed(BASE, change)
    for a, b in ((BASE, other), (other, BASE)):
        lines = contradictions(a, b)
        assert [line.split(":")[0] for line in lines] == expected, lines


def test_a_zone_change_contradicts_only_if_a_class_deduplicates_by_zone() -> None:
    by_zone = changed(BASE, ("classes", "page", {"dedup": "zone"}))
    moved = changed(by_zone, ("nodes", "claims/n2", {"zone": "b"}))
    assert [line.split(":")[0] for line in contradictions(by_zone, moved)] == ["nodes claims/n2"]


def test_route_changes_merely_differ_if_all_requests_are_safe() -> None:
    safe = changed(
        BASE, ("classes", "page", {"effect": "safe"}), ("classes", "payout", {"effect": "safe"})
    )
    assert not contradictions(safe, changed(safe, ("routes", "payouts", None)))


def _sent_to(state: State) -> dict[str, tuple[str, str]]:
    """Return the nodes in use, each with the values that identify it."""
    return {
        key: (node["address"], node["cell"])
        for key, node in state["nodes"].items()
        if key not in state["bans"]
    }


def _may_repeat(state: State, name: str, method: bytes, keyed: bool) -> int:
    return RANK[request_idempotency(state["classes"][name]["effect"], method, keyed)]


@st.composite
def states(draw: Any) -> State:
    """A state with bans, of nodes that it has and of one that it does not have."""
    state = from_file(parse_value(draw(values())))
    keys = [*sorted(state["nodes"]), "p0/none"]
    bans = draw(st.sets(st.sampled_from(keys)))
    dedup = st.sampled_from(["pool", "zone", "cell"])
    window = st.sampled_from([None, "1s", "250ms", "60s"])
    classes = {
        name: {**cls, "dedup": draw(dedup), "window": draw(window)}
        for name, cls in state["classes"].items()
    }
    return {**state, "classes": classes, "bans": dict.fromkeys(sorted(bans), BAN)}


@settings(max_examples=200)
@given(states(), states())
def test_the_meet_allows_what_both_allow_and_no_more(old: State, new: State) -> None:
    for a, b in ((old, new), (new, old)):
        met = intersect_states(a, b)
        to_file({**met, "listeners": {}}, GATEWAY)  # it is a valid state
        both = {k: v for k, v in _sent_to(a).items() if _sent_to(b).get(k) == v}
        by_zone = any(c["dedup"] == "zone" for s in (a, b) for c in s["classes"].values())
        same = {k for k in both if not by_zone or _zone(a, k) == _zone(b, k)}
        assert _sent_to(met).keys() == same
        for name in a["classes"].keys() & b["classes"].keys():
            for method, keyed in ((b"GET", False), (b"POST", True), (b"POST", False)):
                least = min(_may_repeat(one, name, method, keyed) for one in (a, b))
                actual = _may_repeat(met, name, method, keyed)
                assert actual == least or (actual == 0 and _dedups(a, b, name) == {"zone", "cell"})
        for name in a["tenants"].keys() & b["tenants"].keys():
            shares = [one["tenants"][name]["share"] for one in (a, b)]
            assert met["tenants"][name]["share"] == min(shares)
        assert met["tenants"].keys() == a["tenants"].keys() | b["tenants"].keys()
    assert (
        _sent_to(intersect_states(old, new)).keys() == _sent_to(intersect_states(new, old)).keys()
    )
    assert intersect_states(old, old) == old


def _all_names(old: State, new: State) -> dict[str, set[str]]:
    """Return the names of all objects in both states, for a full comparison."""
    return {kind: {*old[kind], *new[kind]} for kind in KINDS}


@settings(max_examples=200)
@given(states(), states())
def test_contradictions_by_difference_are_those_of_the_full_comparison(
    old: State, new: State
) -> None:
    """Compare all objects, only the differing pages, and states that share objects."""
    all_lines = contradictions(old, new, _all_names(old, new))
    assert contradictions(old, new) == all_lines
    before, after = to_tree(old), to_tree(new)
    source = Pages({**before.pages, **after.pages})
    changed = changed_names(source, before.root, after.root)
    assert {kind: sorted(names) for kind, names in changed.items()} == differences(old, new)
    assert contradictions(old, new, changed) == all_lines
    sharing = changed_state(old, before.root, source, after.root)
    assert contradictions(old, sharing, changed) == all_lines
    assert intersect_states(old, sharing) == intersect_states(old, new)


@settings(max_examples=100)
@given(states())
def test_a_class_that_deduplicates_by_zone_makes_no_unchanged_node_contradict(state: State) -> None:
    zoned = {name: {**cls, "dedup": "zone"} for name, cls in state["classes"].items()}
    other = {**state, "classes": zoned}
    lines = contradictions(state, other, _all_names(state, other))
    assert not [line for line in lines if line.startswith("nodes ")]
    assert lines == contradictions(state, other)


def _zone(state: State, key: str) -> str:
    return str(state["nodes"][key]["zone"])


def _dedups(a: State, b: State, name: str) -> set[str]:
    return {str(one["classes"][name]["dedup"]) for one in (a, b)}

"""States as page trees: equal states have equal roots, and are read whole or as differences."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sailhitch.daemon.schema import parse_text
from sailhitch.daemon.state import (
    EMPTY,
    KINDS,
    State,
    differing_names,
    digest,
    from_file,
    unshared_names,
)
from sailhitch.daemon.state_tree import (
    StateTreeError,
    changed_names,
    changed_state,
    key_of,
    state_from,
    to_tree,
    update_tree,
)
from sailhitch.pages import Key, build
from tests.operator_files import FILE
from tests.page_sources import Pages
from tests.test_tier_rules import states

BASE = from_file(parse_text(FILE))


def _shuffled(draw: Any, state: State) -> State:
    """Return an equal state with every mapping in another order, and no shared objects."""
    return {
        kind: {
            name: copy.deepcopy(dict(state[kind][name]))
            for name in draw(st.permutations(sorted(state[kind])))
        }
        for kind in draw(st.permutations(KINDS))
    }


@settings(max_examples=100)
@given(states(), st.data())
def test_equal_states_have_equal_roots_and_are_read_back(state: State, data: Any) -> None:
    tree = to_tree(state)
    assert to_tree(_shuffled(data.draw, state)).root == tree.root
    assert state_from(Pages(tree.pages), tree.root) == state


@settings(max_examples=150)
@given(states(), states(), st.booleans())
def test_an_update_equals_the_full_tree_and_a_difference_equals_the_full_read(
    old: State, new: State, share: bool
) -> None:
    before, whole = to_tree(old), to_tree(new)
    assert (before.root == whole.root) == (digest(old) == digest(new))
    if share:
        new = _sharing(old, new)
    source = Pages(before.pages)
    updated = update_tree(source, before.root, old, new)
    assert updated.root == whole.root
    source.add(updated.pages)
    read = changed_state(old, before.root, source, updated.root)
    assert read == state_from(source, updated.root) == new
    names = changed_names(source, before.root, updated.root)
    for kind in KINDS:
        assert names[kind] == {n for n in {*old[kind], *new[kind]} if _differs(old, new, kind, n)}
        for name in old[kind].keys() & new[kind].keys() - names[kind]:
            assert read[kind][name] is old[kind][name]  # shared, not copied


def _sharing(old: State, new: State) -> State:
    """Return `new` with the objects of `old` where they are equal."""
    return {
        kind: {
            name: old[kind][name] if old[kind].get(name) == value else value
            for name, value in new[kind].items()
        }
        for kind in KINDS
    }


def _differs(old: State, new: State, kind: str, name: str) -> bool:
    return old[kind].get(name) != new[kind].get(name)


def _large() -> State:
    nodes = {
        f"p{i // 100}/n{i}": {
            "address": f"10.0.{i // 250}.{i % 250}:80",
            "cell": "",
            "weight": 1.0,
            "zone": "z",
        }
        for i in range(3000)
    }
    tenants = {f"t{i}": {"share": 0.001} for i in range(3000)}
    return {**EMPTY, "nodes": nodes, "tenants": tenants}


def test_a_changed_weight_touches_few_pages_and_so_does_a_whole_pool() -> None:
    state = _large()
    tree = to_tree(state)
    node = state["nodes"]["p7/n700"]
    other = {**state, "nodes": {**state["nodes"], "p7/n700": {**node, "weight": 2.0}}}
    source = Pages(tree.pages)
    updated = update_tree(source, tree.root, state, other)
    assert len(source.requested) <= 8
    assert 0 < len(updated.pages) <= 8
    assert updated.root == to_tree(other).root
    source.add(updated.pages)
    source.requested.clear()
    read = changed_state(state, tree.root, source, updated.root)
    assert read == other
    assert len(source.requested) <= 16
    assert read["tenants"] is state["tenants"]
    # All hundred nodes of one pool: they are adjacent, and need far fewer than a hundred pages.
    pool = {k: {**n, "weight": 3.0} for k, n in state["nodes"].items() if k.startswith("p7/")}
    moved = {**state, "nodes": {**state["nodes"], **pool}}
    assert len(update_tree(source, tree.root, state, moved).pages) <= 24


@settings(max_examples=300)
@given(
    st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 2)),
    st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 2)),
    st.booleans(),
)
def test_differences_are_found_in_any_order_and_with_any_sharing(
    old: dict[str, int], more: dict[str, int], copied: bool
) -> None:
    """Compares copies with names changed, added or removed, and unrelated mappings."""
    a: dict[str, Any] = {name: {"v": value} for name, value in old.items()}
    b: dict[str, Any] = {**a} if copied else {}
    b |= {name: {"v": value} for name, value in more.items()}
    nothing = object()
    for one, other in ((a, b), (b, a)):
        names = {*one, *other}
        wanted = {n for n in names if one.get(n, nothing) is not other.get(n, nothing)}
        found = list(unshared_names(one, other))
        assert sorted(found) == sorted(wanted)
        differ = sorted(n for n in names if one.get(n) != other.get(n))
        assert differing_names(one, other) == differ


def test_an_integer_and_an_equal_float_give_different_roots() -> None:
    state = {**EMPTY, "tenants": {"t": {"share": 1.0}}}
    other = {**EMPTY, "tenants": {"t": {"share": 1}}}
    tree = to_tree(state)
    assert update_tree(Pages(tree.pages), tree.root, state, other).root == to_tree(other).root
    assert to_tree(other).root != tree.root


def test_a_node_that_is_not_named_by_pool_and_id_has_no_key() -> None:
    for name in ("n1", "/n1", "p/", ""):
        with pytest.raises(StateTreeError, match=r"nodes .*not named `pool/id`"):
            key_of("nodes", name)


@pytest.mark.parametrize(
    ("key", "value", "expected"),
    [
        (Key("robots", "r1"), b"{}", r"'robots'.*'robots' is not a kind"),
        (Key("", "r1"), b"{}", "is not a kind"),
        (Key("routes", "r1"), b"{", r"entry 'routes' 'r1': not JSON"),
        (Key("routes", "r1"), b"\xff", "not JSON"),
        (Key("routes", "r1"), b'{"a":NaN}', "not JSON"),
        (Key("routes", "r1"), b"[" * 100_000, "not JSON"),
        (Key("routes", "r1"), b"[1]", "not an object"),
        (Key("routes/r1", "r1"), b"{}", "not the key of any object of 'routes'"),
        (Key("nodes/p/q", "n"), b"{}", "not the key of any object of 'nodes'"),
        (Key("nodes", "n"), b"{}", "not the key of any object of 'nodes'"),
    ],
)
def test_an_invalid_entry_is_named(key: Key, value: bytes, expected: str) -> None:
    entries = {key_of(k, n): json.dumps(v).encode() for k in KINDS for n, v in BASE[k].items()}
    good, bad = build(entries), build({**entries, key: value})
    source = Pages({**good.pages, **bad.pages})
    base = state_from(source, good.root)
    with pytest.raises(StateTreeError, match=expected):
        state_from(source, bad.root)
    with pytest.raises(StateTreeError, match=expected):
        changed_state(base, good.root, source, bad.root)

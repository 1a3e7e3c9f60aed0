"""Plans: the difference between two states, and how damaged or outdated plans are refused."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings

from sailhitch.daemon.plan import (
    Plan,
    PlanError,
    StaleBaseError,
    apply_changes,
    compute_plan_result,
    describe,
    diff,
    identity,
    load_plan,
    make_format_1_plan,
    make_plan,
    summary,
)
from sailhitch.daemon.schema import parse_text, parse_value
from sailhitch.daemon.state import EMPTY, State, digest, from_file
from tests.operator_files import FILE, values


def state_of(value: dict[str, Any]) -> State:
    return from_file(parse_value(value))


A = from_file(parse_text(FILE))
B = from_file(parse_text(FILE.replace("claims = 0.95, next = 0.05", "claims = 0.5, next = 0.5")))


@settings(max_examples=150)
@given(values(), values())
def test_plans_lead_from_any_state_to_any_other_and_back(
    one: dict[str, Any], other: dict[str, Any]
) -> None:
    a, b = state_of(one), state_of(other)
    forward = load_plan(make_plan("g1", 4, a, b).dump())
    assert apply_changes(a, forward.changes) == b
    assert compute_plan_result(forward, "g1", 4, a) == b
    back = load_plan(make_plan("g1", 5, b, a).dump())
    assert compute_plan_result(back, "g1", 5, b) == a
    assert diff(a, a) == diff(b, b) == ()
    assert (digest(a) == digest(b)) == (not forward.changes)


def test_a_plan_shows_old_and_new_values() -> None:
    lines = describe(diff(A, B))
    assert lines == [
        "~ routes payouts",
        '    pools: {"claims": 0.95, "next": 0.05} -> {"claims": 0.5, "next": 0.5}',
    ]
    assert summary(diff(A, B)) == "0 to add, 0 to remove, 1 to alter"
    added = describe(diff(EMPTY, A))
    assert "+ nodes claims/n1" in added
    assert '    address: "127.0.0.1:9001"' in added
    assert "- nodes claims/n1" in describe(diff(A, EMPTY))


def plan() -> dict[str, Any]:
    return dict(json.loads(make_plan("g1", 7, A, B).dump()))


def test_a_plan_edited_by_hand_is_refused() -> None:
    value = plan()
    value["changes"][0]["fields"]["pools"][1] = {"claims": 0.1, "next": 0.9}
    with pytest.raises(PlanError, match="changed after it was made"):
        load_plan(json.dumps(value))


def test_a_truncated_plan_is_refused_at_any_length() -> None:
    text = make_plan("g1", 7, A, B).dump()
    for end in range(len(text) - 2):
        with pytest.raises(PlanError):
            load_plan(text[:end])


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[]", "not a plan"),
        ("{}", "not a plan"),
        ('{"format": 3, "changes": []}', "format 3 is not 2"),
        ('{"format": 1, "x": NaN}', "numbers that a plan can't contain"),
        ("[" * 100_000, "not a plan"),
    ],
)
def test_text_that_is_not_a_plan_is_refused_with_the_next_step(text: str, message: str) -> None:
    with pytest.raises(PlanError, match=message):
        load_plan(text)


@pytest.mark.parametrize(
    "change",
    [{"kind": "nonsense"}, {"action": "explode"}, {"fields": {"a": [1]}}, {"fields": 3}],
)
def test_a_plan_with_a_valid_digest_and_invalid_changes_is_refused(change: dict[str, Any]) -> None:
    value = plan()
    value.pop("digest")
    value["changes"][0] |= change
    with pytest.raises(PlanError, match="not a plan"):
        load_plan(json.dumps({**value, "digest": digest(value)}))


def test_a_plan_for_another_gateway_is_refused() -> None:
    with pytest.raises(PlanError, match="made for gateway 'g1', but this is 'g2'"):
        compute_plan_result(load_plan(json.dumps(plan())), "g2", 7, A)


def test_a_plan_is_refused_once_the_state_has_changed() -> None:
    loaded_plan = load_plan(json.dumps(plan()))
    with pytest.raises(StaleBaseError, match="serial 7, and the live state is 8"):
        compute_plan_result(loaded_plan, "g1", 8, A)
    with pytest.raises(StaleBaseError):
        compute_plan_result(loaded_plan, "g1", 7, B)


def test_changes_that_do_not_fit_are_named() -> None:
    changes = diff(A, B)
    with pytest.raises(PlanError, match="routes payouts: does not exist"):
        apply_changes(EMPTY, changes)
    with pytest.raises(PlanError, match=r"routes payouts\.pools: is "):
        apply_changes(B, changes)
    with pytest.raises(PlanError, match="listeners web: already exists"):
        apply_changes(A, diff(EMPTY, A))


def test_a_plan_whose_changes_do_not_lead_to_its_result_is_refused() -> None:
    original_plan = make_plan("g1", 7, A, B)
    wrong_result = Plan(
        original_plan.gateway,
        original_plan.serial,
        original_plan.base,
        digest(A),
        original_plan.changes,
    )
    with pytest.raises(PlanError, match="do not lead to the result that it states"):
        compute_plan_result(wrong_result, "g1", 7, A)
    full_state_plan = make_format_1_plan("g1", 7, A, B)
    wrong_result = replace(full_state_plan, result=digest(A))
    with pytest.raises(PlanError, match="do not lead to the result that it states"):
        compute_plan_result(wrong_result, "g1", 7, A)


def test_a_format_1_plan_is_checked_by_digests_of_full_states() -> None:
    text = make_format_1_plan("g1", 7, A, B).dump()
    assert json.loads(text)["format"] == 1
    loaded_plan = load_plan(text)
    assert (loaded_plan.base, loaded_plan.result) == (digest(A), digest(B))
    assert compute_plan_result(loaded_plan, "g1", 7, A) == B
    with pytest.raises(StaleBaseError):
        compute_plan_result(loaded_plan, "g1", 7, B)
    with pytest.raises(StaleBaseError):
        compute_plan_result(loaded_plan, "g1", 8, A)


def test_a_plan_is_the_same_with_the_gateways_identity_and_a_computed_one() -> None:
    plan_with_identity = make_plan("g1", 7, A, B, identity(A))
    assert plan_with_identity == make_plan("g1", 7, A, B)
    assert compute_plan_result(plan_with_identity, "g1", 7, A, identity(A)) == B
    with pytest.raises(StaleBaseError):
        compute_plan_result(plan_with_identity, "g1", 7, A, identity(B))


def test_objects_that_a_plan_does_not_change_are_shared_with_the_live_state() -> None:
    result = compute_plan_result(make_plan("g1", 7, A, B), "g1", 7, A)
    assert result["nodes"] is A["nodes"]
    assert result["routes"]["payouts"] is not A["routes"]["payouts"]
    assert all(
        result["routes"][name] is A["routes"][name] for name in A["routes"].keys() - {"payouts"}
    )

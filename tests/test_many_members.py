"""A tier with as many members as a file may list."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from sailhitch.daemon.schema import MAX_MEMBERS, FileError, parse_value
from tests.daemons import file_value, pool

FULL_SIZE = 1_700


def _value(count: int) -> dict[str, Any]:
    members = [
        {"name": f"g{i}", "address": f"10.0.{i // 250}.{i % 250}:7000"} for i in range(count)
    ]
    tier = {"name": "t", "key_file": "keys", "voters": ["g0", "g1", "g2"], "members": members}
    value = file_value([pool("p", {})], 8080, {"name": "g0", "state_dir": "state"})
    return copy.deepcopy({**value, "tier": tier})


@pytest.mark.parametrize("count", [FULL_SIZE, MAX_MEMBERS])
def test_a_file_may_list_as_many_members_as_a_full_size_tier_has(count: int) -> None:
    made = parse_value(_value(count))
    assert made.tier is not None
    assert len(made.tier.members) == count


def test_one_member_too_many_is_rejected_with_the_field_and_the_limit() -> None:
    with pytest.raises(FileError, match=rf"tier\.members: .*{MAX_MEMBERS}"):
        parse_value(_value(MAX_MEMBERS + 1))


def test_a_duplicate_member_among_many_is_named() -> None:
    value = _value(FULL_SIZE)
    value["tier"]["members"][1_699]["name"] = "g7"
    with pytest.raises(
        FileError, match=r"tier\.members\[1699\]\.name: 'g7' is already used by .*\[7\]"
    ):
        parse_value(value)

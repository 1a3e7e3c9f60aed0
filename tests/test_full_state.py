"""The generator of states for the full-size measurements."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.scale import full_state
from sailhitch.daemon.schema import load_file, parse_value
from sailhitch.daemon.state import digest

MEMBERS = [("g1", "127.0.0.1:7101"), ("g2", "127.0.0.1:7102"), ("g3", "127.0.0.1:7103")]


def test_a_state_of_a_hundredth_has_a_hundredth_of_all_objects() -> None:
    state = full_state.state(0.01)
    counts = {kind: len(state[kind]) for kind in ("nodes", "pools", "routes", "tenants")}
    assert counts == {"nodes": 160, "pools": 3, "routes": 75, "tenants": 1500}
    assert len({node["address"] for node in state["nodes"].values()}) == 160
    assert len({node["zone"] for node in state["nodes"].values()}) == full_state.ZONES
    assert {cls["effect"] for cls in state["classes"].values()} == {
        None,
        "safe",
        "keyed",
        "unsafe",
    }
    used = {route["class"] for route in state["routes"].values()}
    assert used == set(state["classes"])


def test_the_same_fraction_is_the_same_state() -> None:
    assert digest(full_state.state(0.005)) == digest(full_state.state(0.005))
    assert digest(full_state.state(0.005)) != digest(full_state.state(0.006))


def test_a_file_with_a_tier_is_the_same_after_a_round_trip(tmp_path: Path) -> None:
    value = full_state.operator_file(
        0.002, MEMBERS, ["g1", "g2", "g3"], "g2", str(tmp_path), str(tmp_path / "key")
    )
    path = tmp_path / "g2.toml"
    full_state.write_toml(value, path)
    read = load_file(path)
    assert read == parse_value(value)
    assert read.tier is not None
    assert [(one.name, one.address) for one in read.tier.members] == MEMBERS
    assert read.gateway.number == 1
    assert read.gateway.zone == "central-1"


def test_members_files_differ_only_in_the_gateway() -> None:
    one, other = (
        full_state.operator_file(0.002, MEMBERS, ["g1"], name, "state", "key")
        for name in ("g1", "g3")
    )
    assert one.pop("gateway") != other.pop("gateway")
    assert one == other


@pytest.mark.parametrize("fraction", [0.0, -0.1, 1.5])
def test_a_fraction_out_of_range_is_rejected(fraction: float) -> None:
    with pytest.raises(full_state.FractionError, match="fraction: "):
        full_state.state(fraction)


def test_fewer_zones_than_regions_are_rejected() -> None:
    with pytest.raises(ValueError, match="zones: 2 are fewer than 3 regions"):
        full_state.operator_file(0.01, (), (), "g1", "state", "key", regions=3, zones=2)

"""Builds the operator file of a lab daemon as a plain value, to be written as TOML."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from .scenario import Scenario

MEMORY_MB: Final = 64
CLASSES: Final[list[dict[str, Any]]] = [
    {"name": "page", "aim": "1s", "deadline": "2s"},
    {"name": "payout", "effect": "unsafe", "aim": "1s", "deadline": "2s"},
    {
        "name": "filing",
        "effect": "keyed",
        "aim": "1s",
        "deadline": "2s",
        "dedup": "pool",
        "window": "60s",
    },
]
ROUTES: Final[list[dict[str, Any]]] = [
    {
        "name": "payouts",
        "match": {"path_prefix": "/payouts"},
        "class": "payout",
        "pools": {"claims": 1.0},
    },
    {
        "name": "filings",
        "match": {"path_prefix": "/claims", "methods": ["POST"]},
        "class": "filing",
        "pools": {"claims": 1.0},
    },
    {"name": "rest", "class": "page", "pools": {"claims": 1.0}},
]


def operator_file(
    scenario: Scenario,
    name: str,
    folder: Path,
    port: int,
    key_file: Path,
    member_ports: Mapping[str, int],
    node_addresses: Mapping[str, str],
) -> dict[str, Any]:
    """Return a daemon's operator file.

    Args:
        scenario: The scenario to play.
        name: The daemon's name.
        folder: The folder of its state and its admin socket.
        port: The port for its clients.
        key_file: The file with the tier's keys.
        member_ports: The port at which it reaches each member, and its own.
        node_addresses: The nodes' addresses by name, those of the spare pool last.
    """
    zones = {"mode": scenario.mode, "step": scenario.step}
    return {
        "version": 1,
        "gateway": {
            "name": name,
            "state_dir": str(folder / "state"),
            "admin": str(folder / "admin.sock"),
            "memory_mb": MEMORY_MB,
            "cold_time": scenario.cold_time,
            "zone": scenario.zone_of(name),
        },
        "tier": _tier(scenario, key_file, member_ports),
        **({"zones": zones} if scenario.zones else {}),
        "listeners": [{"name": "web", "address": f"127.0.0.1:{port}"}],
        "classes": CLASSES,
        "pools": _pools(scenario, node_addresses),
        "routes": ROUTES,
    }


def _tier(scenario: Scenario, key_file: Path, member_ports: Mapping[str, int]) -> dict[str, Any]:
    tier: dict[str, Any] = {
        "name": "lab",
        "key_file": str(key_file),
        "agree_within": scenario.agree_within,
        "members": [
            {"name": member, "address": f"127.0.0.1:{port}"}
            for member, port in member_ports.items()
        ],
        "voters": scenario.names()[: scenario.voters],
    }
    if scenario.lease is not None:
        tier["lease"] = scenario.lease
    return tier


def _pools(scenario: Scenario, node_addresses: Mapping[str, str]) -> list[dict[str, Any]]:
    nodes = [
        {"id": name, "address": address, "zone": scenario.zone_of(name)}
        for name, address in node_addresses.items()
    ]
    count = len(nodes) - scenario.spare
    pools = [{"name": "claims", "nodes": nodes[:count]}]
    if scenario.spare:
        pools.append({"name": "spare", "nodes": nodes[count:]})
    return pools

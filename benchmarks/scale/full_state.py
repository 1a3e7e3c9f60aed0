"""Generates operator files and states of any fraction of the full size, deterministically.

The full size is that of issue 44: 16,000 hosts in 280 services (one pool each), 7,500 routes and
150,000 tenants, in three regions with eight zones in all. Hosts have addresses in 127.0.0.0/8, so
that a daemon with such a file sends nothing beyond the machine.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final

from sailhitch.daemon.schema import parse_value
from sailhitch.daemon.state import State, from_file
from sailhitch.lab.files import toml_text

HOSTS: Final = 16_000
SERVICES: Final = 280
ROUTES: Final = 7_500
TENANTS: Final = 150_000
REGIONS: Final = 3
ZONES: Final = 8  # in all regions together

RATE: Final = 190_000.0  # requests a second, over the whole tier
HOST_PORT: Final = 9000
HOSTS_PER_NETWORK: Final = 250  # last octets 1 to 250
TENANT_ROUTE_EVERY: Final = 100  # one route in 100 is for a single tenant
SPLIT_ROUTE_EVERY: Final = 50  # one route in 50 splits its traffic over two pools

_REGION_NAMES: Final = ("west", "central", "east", "north", "south")
_SERVICE_NAMES: Final = (
    "claims",
    "orders",
    "billing",
    "search",
    "catalog",
    "identity",
    "payouts",
    "reports",
    "uploads",
    "messages",
    "quotes",
    "ledger",
    "notices",
    "profiles",
)
_RESOURCES: Final = (
    "items",
    "accounts",
    "documents",
    "events",
    "history",
    "statements",
    "contacts",
    "settings",
)
_TENANT_NAMES: Final = ("grain", "cotton", "timber", "freight", "marine", "dairy", "textile")
_CLASSES: Final[tuple[dict[str, Any], ...]] = (
    {"name": "page", "effect": "safe", "aim": "1s", "deadline": "3s"},
    {"name": "search", "effect": "safe", "aim": "500ms", "deadline": "2s"},
    {
        "name": "filing",
        "effect": "keyed",
        "aim": "2s",
        "deadline": "4s",
        "worth": 2.0,
        "dedup": "pool",
        "window": "60s",
    },
    {
        "name": "upload",
        "effect": "keyed",
        "aim": "4s",
        "deadline": "10s",
        "worth": 2.0,
        "dedup": "zone",
        "window": "30s",
    },
    {"name": "payout", "effect": "unsafe", "aim": "2500ms", "deadline": "5s", "worth": 3.0},
    {"name": "report", "aim": "5s", "deadline": "30s", "worth": 0.5},
)
# Classes and methods that a service's routes cycle through.
_ROUTE_KINDS: Final[tuple[tuple[str, tuple[str, ...]], ...]] = (
    ("page", ("GET", "HEAD")),
    ("filing", ("POST", "PUT")),
    ("search", ("GET",)),
    ("payout", ("POST",)),
    ("upload", ("PUT",)),
    ("report", ()),
)


class FractionError(ValueError):
    """A fraction that is out of range."""


def operator_file(
    fraction: float,
    members: Sequence[tuple[str, str]],
    voters: Sequence[str],
    gateway: str,
    state_dir: str,
    key_file: str,
    regions: int = REGIONS,
    zones: int = ZONES,
) -> dict[str, Any]:
    """Return the operator file of gateway `gateway`, as a value for `parse_value`.

    `members` are the names and UDP addresses of the whole tier; without any there is no `[tier]`.
    Raises FractionError, or ValueError for an invalid number of regions or zones.
    """
    zone_names = _zone_names(regions, zones)
    names = [name for name, _ in members]
    number = names.index(gateway) if gateway in names else 0
    value: dict[str, Any] = {
        "version": 1,
        "gateway": {
            "name": gateway,
            "state_dir": state_dir,
            "zone": zone_names[number % len(zone_names)],
            "gateways": max(1, len(members)),
            "number": number,
            "rate": RATE,
        },
    }
    if members:
        value["tier"] = {
            "name": "full",
            "members": [{"name": name, "address": address} for name, address in members],
            "voters": list(voters),
            "key_file": key_file,
        }
    return {**value, **_shared_parts(fraction, zone_names)}


def state(fraction: float) -> State:
    """Return the state that the operator file of this fraction describes."""
    return from_file(parse_value(operator_file(fraction, (), (), "g1", "state", "tier.key")))


def write_toml(value: Mapping[str, Any], path: str | Path) -> None:
    """Write an operator file's value as TOML."""
    Path(path).write_text(toml_text(value), encoding="utf-8")


def scaled(full: int, fraction: float) -> int:
    """Return a fraction of a full count, at least one. Raises FractionError."""
    if not 0 < fraction <= 1:
        raise FractionError(f"fraction: {fraction} is not above 0 and up to 1")
    return max(1, round(full * fraction))


def _shared_parts(fraction: float, zone_names: Sequence[str]) -> dict[str, Any]:
    """Return the sections that are the same in all gateways' files."""
    services = [_service_name(i) for i in range(scaled(SERVICES, fraction))]
    tenants = _tenants(scaled(TENANTS, fraction))
    return {
        "listeners": [{"name": "web", "address": "127.0.0.1:8080"}],
        "classes": [dict(one) for one in _CLASSES],
        "tenants": tenants,
        "pools": _pools(services, scaled(HOSTS, fraction), zone_names),
        "routes": _routes(services, scaled(ROUTES, fraction), tenants),
    }


def _zone_names(regions: int, zones: int) -> list[str]:
    """Return all zone names, cycling through the regions: west-1, central-1, east-1, west-2, ..."""
    if not 1 <= regions <= len(_REGION_NAMES):
        raise ValueError(f"regions: {regions} is not from 1 to {len(_REGION_NAMES)}")
    if zones < regions:
        raise ValueError(f"zones: {zones} are fewer than {regions} regions")
    return [f"{_REGION_NAMES[i % regions]}-{i // regions + 1}" for i in range(zones)]


def _service_name(i: int) -> str:
    return f"{_SERVICE_NAMES[i % len(_SERVICE_NAMES)]}-{i // len(_SERVICE_NAMES):02d}"


def _tenants(count: int) -> list[dict[str, Any]]:
    """Return tenants whose shares fall with their rank by Zipf's law, down to a floor."""
    return [
        {
            "name": f"{_TENANT_NAMES[i % len(_TENANT_NAMES)]}-{i:06d}",
            "share": round(max(0.05 / (i + 1), 1e-6), 9),
        }
        for i in range(count)
    ]


def _pools(services: Sequence[str], hosts: int, zone_names: Sequence[str]) -> list[dict[str, Any]]:
    """Return pools whose hosts are spread over all zones in turn."""
    pools: list[dict[str, Any]] = [{"name": name, "nodes": []} for name in services]
    for i in range(hosts):
        pool = pools[i % len(pools)]
        number = i // len(pools)
        pool["nodes"].append(
            {
                "id": f"{pool['name']}-{number:04d}",
                "address": _host_address(i),
                "zone": zone_names[number % len(zone_names)],
                "weight": 2.0 if number % 5 == 4 else 1.0,
            }
        )
    return pools


def _host_address(i: int) -> str:
    network, last = divmod(i, HOSTS_PER_NETWORK)
    second, third = divmod(network, 256)
    return f"127.{16 + second}.{third}.{last + 1}:{HOST_PORT}"


def _routes(
    services: Sequence[str], count: int, tenants: Sequence[Mapping[str, Any]]
) -> list[dict[str, Any]]:
    """Return routes by host, path and method, some for one tenant and some over two pools."""
    routes = []
    for i in range(count):
        service = services[i % len(services)]
        number = i // len(services)
        cls, methods = _ROUTE_KINDS[number % len(_ROUTE_KINDS)]
        resource = _RESOURCES[number % len(_RESOURCES)]
        match: dict[str, Any] = {
            "host": f"{service}.example.org",
            "path_prefix": f"/v{1 + number // len(_RESOURCES)}/{resource}",
            "methods": list(methods),
        }
        if i % TENANT_ROUTE_EVERY == TENANT_ROUTE_EVERY - 1:
            match["tenant"] = tenants[i * len(tenants) // count]["name"]
        pools = {service: 1.0}
        if i % SPLIT_ROUTE_EVERY == SPLIT_ROUTE_EVERY - 1 and len(services) > 1:
            pools = {service: 0.95, services[(i + 1) % len(services)]: 0.05}
        routes.append(
            {
                "name": f"{service}-{resource}-{number:03d}",
                "match": match,
                "class": cls,
                "pools": pools,
            }
        )
    return routes

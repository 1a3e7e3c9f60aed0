"""Checks across fields of the operator file: names, addresses and references."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from .routes import Match, Route, find_ambiguous_routes
from .schema_errors import suggest_name
from .schema_fields import format_duration
from .schema_models import GatewaySection, OperatorFile, RouteSection, TierSection, ZonesSection

MIN_LEASE: Final = 1_000_000  # microseconds; allows several reads of the voters, and a slow disk


def find_contradictions(operator_file: OperatorFile) -> Iterator[str]:
    """Yield a line for each contradiction between fields that are valid on their own."""
    for kind in ("listeners", "classes", "tenants", "pools", "routes"):
        yield from _duplicates(kind, "name", [part.name for part in getattr(operator_file, kind)])
    yield from _duplicates(
        "listeners", "address", [listener.address for listener in operator_file.listeners]
    )
    yield from _node_contradictions(operator_file)
    if operator_file.tier is not None:
        yield from _tier_contradictions(operator_file.gateway, operator_file.tier)
    if operator_file.zones is not None:
        yield from _zones_contradictions(
            operator_file.gateway, operator_file.tier, operator_file.zones
        )
    for i, cls in enumerate(operator_file.classes):
        if cls.aim > cls.deadline:
            yield f"classes[{i}].aim: longer than the deadline"
    yield from _route_contradictions(operator_file)


def _duplicates(kind: str, field: str, values: list[str]) -> Iterator[str]:
    first_index: dict[str, int] = {}
    for i, value in enumerate(values):
        if value in first_index:
            yield f"{kind}[{i}].{field}: {value!r} is already used by {kind}[{first_index[value]}]"
        first_index.setdefault(value, i)


def _node_contradictions(operator_file: OperatorFile) -> Iterator[str]:
    """Yield a line for each node id or address that occurs twice in all pools.

    Pools do not coordinate: a node in two pools would be sent its full rate by each.
    """
    ids: dict[str, str] = {}
    addresses: dict[str, str] = {}
    for i, pool in enumerate(operator_file.pools):
        for j, node in enumerate(pool.nodes):
            path = f"pools[{i}].nodes[{j}]"
            if node.id in ids:
                yield f"{path}.id: {node.id!r} is already used by {ids[node.id]}"
            if node.address in addresses:
                yield (
                    f"{path}.address: {node.address!r} is already used by {addresses[node.address]}"
                )
            ids.setdefault(node.id, path)
            addresses.setdefault(node.address, path)


def _zones_contradictions(
    gateway: GatewaySection, tier: TierSection | None, zones: ZonesSection
) -> Iterator[str]:
    if tier is None:
        yield "zones: requires [tier]: zones are left by a whole tier, not by a single gateway"
    min_step = gateway.cold_time * 3 // 2  # by then all gateways treat the nodes of a step as warm
    if zones.step is not None and zones.step < min_step:
        yield (
            f"zones.step: {format_duration(zones.step)} is less than "
            f"{format_duration(min_step)}, one and a half times gateway.cold_time: nodes of a step "
            "would not be warm at its end"
        )


def _tier_contradictions(gateway: GatewaySection, tier: TierSection) -> Iterator[str]:
    names = [member.name for member in tier.members]
    yield from _duplicates("tier.members", "name", names)
    yield from _duplicates("tier.members", "address", [member.address for member in tier.members])
    if gateway.name not in names:
        yield f"tier.members: this gateway, {gateway.name!r}, is not one of them"
    if gateway.state_dir is None:
        yield "gateway.state_dir: required in a tier: a member must persist what it has told others"
    for i, name in enumerate(tier.voters):
        yield from _unknown_reference(f"tier.voters[{i}]", "member", name, names)
        if name in tier.voters[:i]:
            yield f"tier.voters[{i}]: {name!r} is listed already"
    if len(tier.voters) % 2 == 0:
        yield (
            f"tier.voters: {len(tier.voters)} voters tolerate no more failures than "
            f"{len(tier.voters) - 1}: use an odd number, 3 or 5 in different zones"
        )
    if tier.lease is not None and not MIN_LEASE <= tier.lease <= tier.agree_within // 2:
        yield (
            f"tier.lease: {format_duration(tier.lease)} is not between "
            f"{format_duration(MIN_LEASE)} and half of agree_within"
        )


def _route_contradictions(operator_file: OperatorFile) -> Iterator[str]:
    classes = [cls.name for cls in operator_file.classes]
    pools = [pool.name for pool in operator_file.pools]
    tenants = [tenant.name for tenant in operator_file.tenants]
    for i, route in enumerate(operator_file.routes):
        path = f"routes[{i}]"
        yield from _unknown_reference(f"{path}.class", "class", route.class_, classes)
        if route.match.class_ is not None:
            yield from _unknown_reference(
                f"{path}.match.class", "class", route.match.class_, classes
            )
        if route.match.tenant is not None:
            yield from _unknown_reference(
                f"{path}.match.tenant", "tenant", route.match.tenant, tenants
            )
        for pool in route.pools:
            yield from _unknown_reference(f"{path}.pools", "pool", pool, pools)
        if sum(route.pools.values()) <= 0:
            yield f"{path}.pools: no pool has a weight above 0"
    indices = {route.name: i for i, route in enumerate(operator_file.routes)}
    for first, second in find_ambiguous_routes([to_route(route) for route in operator_file.routes]):
        yield (
            f"routes[{indices[second.name]}].match: a request can match it and "
            f"routes[{indices[first.name]}] ({first.name!r}) equally well; make one more specific"
        )


def _unknown_reference(path: str, kind: str, name: str, known: list[str]) -> Iterator[str]:
    if name not in known:
        yield f"{path}: no {kind} is called {name!r}{suggest_name(name, known)}"


def to_route(part: RouteSection) -> Route:
    """Return a route of the file in the form that the route lookup uses."""
    match = part.match
    return Route(
        part.name,
        Match(
            path_prefix=match.path_prefix,
            host=match.host,
            methods=frozenset(match.methods),
            header=tuple(sorted((name.lower(), value) for name, value in match.header.items())),
            cls=match.class_,
            tenant=match.tenant,
        ),
        part.class_,
        tuple(sorted(part.pools.items())),
    )

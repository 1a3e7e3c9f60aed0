"""Which part of each zone is in use: values, and pure functions of them.

A zone's share is a part of its *nodes*, not of its requests. Active nodes are selected as any
others; the rest get no new requests, like banned nodes. So a step of a recovery adds nodes that are
in slow start, whose limits all gateways share. Which nodes a share covers depends on their names
alone: all gateways use the same ones, and a larger share includes those of a smaller one.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from typing import Literal

import msgspec

Phase = Literal["out", "returning"]


class ZoneOrder(msgspec.Struct, frozen=True):
    """What all gateways do about a zone; a zone that is completely in use has no order."""

    share: float  # of its nodes, 0 to below 1
    phase: Phase
    # Minimum duration of a step of the recovery, in microseconds.
    step_duration: int = msgspec.field(name="dwell")
    failed_recoveries: int = msgspec.field(name="relapses")
    ordered_by: str = msgspec.field(name="by")  # for operators
    reason: str = msgspec.field(name="why")
    step: int = 0  # number of changes of the share; evidence belongs to one step
    # How often the nodes of this step have been retried.
    attempt: int = msgspec.field(default=0, name="round")


class TrafficPolicy(msgspec.Struct, frozen=True):
    """What all gateways do about zones."""

    zones: dict[str, ZoneOrder] = {}
    # Why only operators may change the policy; empty if automation may too.
    hold_reason: str = msgspec.field(default="", name="held")

    def encode(self) -> bytes:
        """Return the canonical JSON: equal policies have equal texts."""
        zones = dict(sorted(self.zones.items()))
        return msgspec.json.encode(msgspec.structs.replace(self, zones=zones))

    def with_zone(self, zone: str, order: ZoneOrder | None) -> TrafficPolicy:
        """Return the policy with another order for a zone; None: the zone is completely in use."""
        zones = {name: other for name, other in self.zones.items() if name != zone}
        if order is not None:
            zones[zone] = order
        return msgspec.structs.replace(self, zones=zones)


EMPTY_POLICY = TrafficPolicy()
MIN_SHARE_IN_USE = 0.5  # a zone of which less is in use counts as out


class TrafficPolicyError(ValueError):
    """A traffic policy is invalid; the text says why and what to do."""


def decode(content: bytes) -> TrafficPolicy:
    """Return a traffic policy from its JSON; raises TrafficPolicyError."""
    try:
        policy = msgspec.json.decode(content, type=TrafficPolicy)
    except msgspec.DecodeError as error:
        raise TrafficPolicyError(f"the traffic policy can't be read: {error}") from None
    for name, order in policy.zones.items():
        if not 0 <= order.share < 1:
            raise TrafficPolicyError(f"zone {name!r}: share {order.share} is not from 0 to below 1")
    return policy


def active_node_count(share: float, nodes: int) -> int:
    """Return how many of a zone's nodes a share covers: at least one for any share above 0."""
    return min(nodes, math.ceil(share * nodes - 1e-9))


def retried_zones(old: TrafficPolicy, new: TrafficPolicy) -> list[str]:
    """Return the zones whose active nodes are to be retried, with what was learned dropped."""
    return [
        name
        for name, order in new.zones.items()
        if name in old.zones
        and order.step == old.zones[name].step
        and order.attempt > old.zones[name].attempt
    ]


def inactive_nodes(traffic_policy: TrafficPolicy, nodes: Mapping[str, str]) -> set[str]:
    """Return those of `nodes` that get no new requests; `nodes` has the zone of each."""
    inactive: set[str] = set()
    for zone, order in traffic_policy.zones.items():
        ranked = sorted((name for name, of_zone in nodes.items() if of_zone == zone), key=_rank)
        inactive.update(ranked[active_node_count(order.share, len(ranked)) :])
    return inactive


def _rank(name: str) -> tuple[bytes, str]:
    return hashlib.blake2b(name.encode(), digest_size=8).digest(), name


def validate(traffic_policy: TrafficPolicy, zones: Iterable[str], max_out: int) -> None:
    """Raise TrafficPolicyError if too many zones would be out, or none completely in use."""
    known = set(zones)
    for name in traffic_policy.zones:
        if name not in known:
            raise TrafficPolicyError(f"no node is in a zone called {name!r}")
    out = sorted(
        name for name, order in traffic_policy.zones.items() if order.share < MIN_SHARE_IN_USE
    )
    if known and set(traffic_policy.zones) >= known:
        raise TrafficPolicyError(
            f"no zone would be completely in use: {', '.join(sorted(traffic_policy.zones))} are "
            "left or returning; complete the return of one first"
        )
    if len(out) > max_out:
        raise TrafficPolicyError(
            f"{len(out)} zones would be out ({', '.join(out)}), and `zones.max_out` is {max_out}"
        )

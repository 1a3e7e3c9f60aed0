"""Which part of each zone is in use: values, and pure functions of them.

A zone's share is a part of its *nodes*, not of the requests: what is in use there is used as any
other node is, by C3, and what is not gets nothing new, as a banned node does. So a step back into
a zone starts nodes that count as cold, within their slices, which all gateways fill together. Which
nodes a share means follows from their names alone: all gateways use the same ones, and a larger
share has all those of a smaller one.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from typing import Literal

import msgspec

Phase = Literal["out", "returning"]


class ZoneOrder(msgspec.Struct, frozen=True):
    """What all are to do about one zone. One that is in use as a whole has none."""

    share: float  # of its nodes, 0 to below 1
    phase: Phase
    # The least time in microseconds that a step of the recovery lasts.
    step_duration: int = msgspec.field(name="dwell")
    failed_recoveries: int = msgspec.field(name="relapses")
    ordered_by: str = msgspec.field(name="by")  # for operators
    reason: str = msgspec.field(name="why")
    step: int = 0  # counts the shares that the way back has had; evidence belongs to one
    # How often the nodes of this step have been retried.
    attempt: int = msgspec.field(default=0, name="round")


class TrafficPolicy(msgspec.Struct, frozen=True):
    """What all are to do about zones."""

    zones: dict[str, ZoneOrder] = {}
    # Why only operators change it; empty if automation may.
    hold_reason: str = msgspec.field(default="", name="held")

    def encode(self) -> bytes:
        """One text for one posture."""
        zones = dict(sorted(self.zones.items()))
        return msgspec.json.encode(msgspec.structs.replace(self, zones=zones))

    def with_zone(self, zone: str, order: ZoneOrder | None) -> TrafficPolicy:
        """Another order for a zone; None: it is in use as a whole."""
        rest = {name: one for name, one in self.zones.items() if name != zone}
        return msgspec.structs.replace(self, zones=rest if order is None else {**rest, zone: order})


EMPTY_POLICY = TrafficPolicy()
MIN_SHARE_IN_USE = 0.5  # a zone of which less is in use counts as out


class TrafficPolicyError(ValueError):
    """What was asked for can't be; the text says why and what to do."""


def decode(content: bytes) -> TrafficPolicy:
    """Return a posture from its text; raises PostureError."""
    try:
        made = msgspec.json.decode(content, type=TrafficPolicy)
    except msgspec.DecodeError as error:
        raise TrafficPolicyError(f"a posture that can't be read: {error}") from None
    for name, order in made.zones.items():
        if not 0 <= order.share < 1:
            raise TrafficPolicyError(f"zone {name!r}: share {order.share} is not from 0 to below 1")
    return made


def active_node_count(share: float, nodes: int) -> int:
    """Return how many of a zone's nodes a share means; any share above 0 means one at least."""
    return min(nodes, math.ceil(share * nodes - 1e-9))


def retried_zones(old: TrafficPolicy, new: TrafficPolicy) -> list[str]:
    """Zones whose nodes in use are tried anew, and nothing learned of them believed."""
    return [
        name
        for name, order in new.zones.items()
        if name in old.zones
        and order.step == old.zones[name].step
        and order.attempt > old.zones[name].attempt
    ]


def inactive_nodes(posture: TrafficPolicy, nodes: Mapping[str, str]) -> set[str]:
    """Return the nodes that get nothing new, of `nodes`, which has the zone of each."""
    found: set[str] = set()
    for zone, order in posture.zones.items():
        here = sorted((name for name, its in nodes.items() if its == zone), key=_rank)
        found.update(here[active_node_count(order.share, len(here)) :])
    return found


def _rank(name: str) -> tuple[bytes, str]:
    return hashlib.blake2b(name.encode(), digest_size=8).digest(), name


def validate(posture: TrafficPolicy, zones: Iterable[str], most_out: int) -> None:
    """Raises PostureError where too many zones would be out, or all of them."""
    all_ = set(zones)
    for name in posture.zones:
        if name not in all_:
            raise TrafficPolicyError(f"no node is in a zone called {name!r}")
    out = sorted(name for name, one in posture.zones.items() if one.share < MIN_SHARE_IN_USE)
    if all_ and set(posture.zones) >= all_:
        raise TrafficPolicyError(
            f"no zone would be in use as a whole: {', '.join(sorted(posture.zones))} are left or "
            "on the way back; end one's return first"
        )
    if len(out) > most_out:
        raise TrafficPolicyError(
            f"{len(out)} zones would be out ({', '.join(out)}), and `zones.max_out` is {most_out}"
        )

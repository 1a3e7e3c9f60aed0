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
    dwell: int  # us for which a step of the way back lasts, at least
    relapses: int
    by: str  # who said so, for people
    why: str
    step: int = 0  # counts the shares that the way back has had; evidence belongs to one
    round: int = 0  # how often the nodes of this step have been tried anew


class Posture(msgspec.Struct, frozen=True):
    """What all are to do about zones."""

    zones: dict[str, ZoneOrder] = {}
    held: str = ""  # why nothing but an operator's word changes any of it

    def content(self) -> bytes:
        """One text for one posture."""
        zones = dict(sorted(self.zones.items()))
        return msgspec.json.encode(msgspec.structs.replace(self, zones=zones))

    def with_zone(self, zone: str, order: ZoneOrder | None) -> Posture:
        """Another order for a zone; None: it is in use as a whole."""
        rest = {name: one for name, one in self.zones.items() if name != zone}
        return msgspec.structs.replace(self, zones=rest if order is None else {**rest, zone: order})


NOTHING = Posture()
HALF = 0.5  # a zone of which less is in use counts as out


class PostureError(ValueError):
    """What was asked for can't be; the text says why and what to do."""


def read(content: bytes) -> Posture:
    """A posture from its text; raises PostureError."""
    try:
        made = msgspec.json.decode(content, type=Posture)
    except msgspec.DecodeError as error:
        raise PostureError(f"a posture that can't be read: {error}") from None
    for name, order in made.zones.items():
        if not 0 <= order.share < 1:
            raise PostureError(f"zone {name!r}: share {order.share} is not from 0 to below 1")
    return made


def in_use(share: float, nodes: int) -> int:
    """How many of a zone's nodes a share means; any share above 0 means one at least."""
    return min(nodes, math.ceil(share * nodes - 1e-9))


def renewed(old: Posture, new: Posture) -> list[str]:
    """Zones whose nodes in use are tried anew, and nothing learned of them believed."""
    return [
        name
        for name, order in new.zones.items()
        if name in old.zones
        and order.step == old.zones[name].step
        and order.round > old.zones[name].round
    ]


def unused(posture: Posture, nodes: Mapping[str, str]) -> set[str]:
    """The nodes that get nothing new, of `nodes`, which has the zone of each."""
    found: set[str] = set()
    for zone, order in posture.zones.items():
        here = sorted((name for name, its in nodes.items() if its == zone), key=_rank)
        found.update(here[in_use(order.share, len(here)) :])
    return found


def _rank(name: str) -> tuple[bytes, str]:
    return hashlib.blake2b(name.encode(), digest_size=8).digest(), name


def check(posture: Posture, zones: Iterable[str], most_out: int) -> None:
    """Raises PostureError where too many zones would be out, or all of them."""
    all_ = set(zones)
    for name in posture.zones:
        if name not in all_:
            raise PostureError(f"no node is in a zone called {name!r}")
    out = sorted(name for name, one in posture.zones.items() if one.share < HALF)
    if all_ and set(posture.zones) >= all_:
        raise PostureError(
            f"no zone would be in use as a whole: {', '.join(sorted(posture.zones))} are left or "
            "on the way back; end one's return first"
        )
    if len(out) > most_out:
        raise PostureError(
            f"{len(out)} zones would be out ({', '.join(out)}), and `zones.max_out` is {most_out}"
        )

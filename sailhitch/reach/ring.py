"""A gateway's position on the ring of servers."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Sequence
from typing import Final, Protocol, TypeVar

# Base of the radical inverse. A zone often has every n-th gateway. If n and the base are coprime,
# the zone's positions are as evenly spread as those of all gateways. Few sites have 7 zones.
BASE: Final = 7
# Ranks in a list of n servers that changes at random drift by about sqrt(n). An anchor may drift
# from its ideal rank by sqrt(n) / DRIFT, and by at least 1. A larger divisor makes gateways move
# often; a smaller one puts servers in very different numbers of subsets.
DRIFT: Final = 4


class SubsetServer(Protocol):
    """The interface of a server that subsetting needs."""

    @property
    def hash(self) -> int:
        """Order of servers on the ring; the same at every gateway."""

    def is_available(self, now: int) -> bool:
        """Return whether it accepts requests now, as far as known."""

    def is_responding(self) -> bool:
        """Return whether it is not failing, as far as known."""


def ring_position(index: int) -> float:
    """Return a gateway's position on a ring of length 1: the radical inverse of its index.

    For any number of gateways, and any run of indices whose step is coprime to 7, the number of
    gateways on an arc is proportional to its length, give or take a few (van der Corput sequence).
    So a gateway need not know how many gateways there are, or which of them are in its zone.
    """
    position = 0.0
    digit = 1.0 / BASE
    while index > 0:
        index, remainder = divmod(index, BASE)
        position += remainder * digit
        digit /= BASE
    return position


T = TypeVar("T", bound=SubsetServer)


class Ring:
    """The order of servers for a gateway: by hash, starting at its anchor.

    The anchor is chosen by rank and not by hash. Gaps between hashes vary widely, but each server
    should be in as many subsets as any other. If only the rank counted, the removal of one server
    would shift half of all gateways by one, so a gateway keeps its anchor until that has drifted
    too far from the ideal rank.
    """

    def __init__(self, position: float) -> None:
        self.position = position
        self.anchor: int | None = None  # hash of the first server

    def rotate(self, servers: Sequence[T]) -> list[T]:
        """Return all servers in the order of their hashes, starting at the anchor."""
        size = len(servers)
        if not size:
            return []
        ordered = sorted(servers, key=lambda server: server.hash)
        ideal = int(self.position * size)
        start = ideal
        if self.anchor is not None:
            start = bisect_left(ordered, self.anchor, key=lambda server: server.hash) % size
            drift = abs(start - ideal)
            if min(drift, size - drift) > max(1, math.isqrt(size) // DRIFT):
                start = ideal
        self.anchor = ordered[start].hash
        return [*ordered[start:], *ordered[:start]]

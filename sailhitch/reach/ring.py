"""A gateway's position on the ring of all servers."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Sequence
from typing import Final, Protocol, TypeVar

# Of the radical inverse: zones often take every n-th gateway, and any n that shares no factor with
# the base leaves their places as evenly spread as all of them are. Few sites have 7 zones.
BASE: Final = 7
# A gateway may be off its place by the root of the servers over this, and by 1 at the least: ranks
# in a list that changes at random wander by about its root. Less moves gateways often, more makes
# cover uneven.
DRIFT: Final = 4


class Ranked(Protocol):
    """A server, as far as subsetting needs it."""

    @property
    def hash(self) -> int:
        """Order servers; the same at every gateway."""

    def is_available(self, now: int) -> bool:
        """Return whether it takes requests now, as far as known."""

    def is_responding(self) -> bool:
        """Return whether it is not failing, as far as known."""


def ring_position(number: int) -> float:
    """Return a gateway's position on a ring of length 1: the radical inverse of its number.

    For any number of gateways, and any run of numbers with a step that is prime to 7, an arc has as
    many of them as its length says, give or take a few (van der Corput). So no gateway needs to
    know how many there are, or which are in its zone.
    """
    place = 0.0
    digit = 1.0 / BASE
    while number > 0:
        number, rest = divmod(number, BASE)
        place += rest * digit
        digit /= BASE
    return place


T = TypeVar("T", bound=Ranked)


class Ring:
    """The server with which a gateway's subset begins, in the order of hashes.

    It is chosen by rank and not by hash: gaps between hashes differ much, and each server is to be
    in as many subsets as any other. By rank alone the removal of one server would shift half of all
    gateways by one, so a gateway keeps its first server until that has drifted too far.
    """

    def __init__(self, place: float) -> None:
        self.place = place
        self.anchor: int | None = None  # hash of the server that it begins with

    def rotate(self, servers: Sequence[T]) -> list[T]:
        """Return all servers in the order of their hashes, from this gateway's first on."""
        size = len(servers)
        if not size:
            return []
        ordered = sorted(servers, key=lambda server: server.hash)
        ideal = int(self.place * size)
        start = ideal
        if self.anchor is not None:
            start = bisect_left(ordered, self.anchor, key=lambda server: server.hash) % size
            away = abs(start - ideal)
            if min(away, size - away) > max(1, math.isqrt(size) // DRIFT):
                start = ideal
        self.anchor = ordered[start].hash
        return [*ordered[start:], *ordered[:start]]

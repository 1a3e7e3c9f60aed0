"""A gateway's place among servers that all gateways have in one order."""

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
    """A server, as reach knows it."""

    @property
    def hash(self) -> int:
        """The same at every gateway; the order of all servers."""

    def able(self, now: int) -> bool:
        """Whether it takes requests now, as far as is known."""

    def alive(self) -> bool:
        """Whether it does anything at all, as far as is known."""


def lot(number: int) -> float:
    """A gateway's place on a ring of length 1: the radical inverse (van der Corput) of its number.

    Whatever the number of gateways, and for any run of numbers with a step that is prime to 7, so
    many of them fall into an arc as its length says, give or take a few: no gateway needs to know
    how many there are, or which are of its zone.
    """
    place, digit = 0.0, 1.0 / BASE
    while number > 0:
        number, rest = divmod(number, BASE)
        place += rest * digit
        digit /= BASE
    return place


T = TypeVar("T", bound=Ranked)


class Ring:
    """Where a gateway begins among servers in the order of their hashes.

    By rank, not by hash: gaps between hashes differ by much, and each server is to be in the reach
    of as many gateways as any other. By rank alone one server that goes moves half of all gateways
    on by one. So a gateway keeps to the server that it began with until that has drifted.
    """

    def __init__(self, place: float) -> None:
        self.place = place
        self.anchor: int | None = None  # hash of the server that it begins with

    def turn(self, servers: Sequence[T]) -> list[T]:
        """All of them in the order of their hashes, from this gateway's first on."""
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

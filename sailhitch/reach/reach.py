"""The servers in a gateway's reach, while they come, go, fill up and fail."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Final, Generic, TypeVar

from .ring import Hashed, Ring, lot
from .width import Width

T = TypeVar("T", bound=Hashed)

OWN: Final = 11 / 16  # share of the reach that is in the own zone; the rest can take what spills
REVIEW: Final = 500_000  # us after which the reach is looked at again, if nothing happens


class Reach(Generic[T]):
    """A part of the servers that this gateway uses, and whom it takes in place of those that fail.

    `able` tells of a server whether it can take requests now, `alive` whether it does anything at
    all. What is dead is replaced one for one, however much of it there is. What is full is replaced
    up to the reach's own width: where all are full, more of them would only mean more connections.
    """

    def __init__(
        self, me: int, gateways: int, able: Callable[[T, int], bool], alive: Callable[[T], bool]
    ) -> None:
        self.able, self.alive = able, alive
        self.adopt(me, gateways)
        self.own: list[T] = []  # all, as this gateway goes through them
        self.others: list[T] = []
        self.near: tuple[list[T], list[T]] = ([], [])  # those in reach: own zone, then others
        self.review_at = 0
        self.changes = self.wide = 0  # servers that came into reach; times it was wider than wanted

    def adopt(self, me: int, gateways: int) -> None:
        """The gateway's number among so many; -1 where it has none, which gives the full view."""
        self.whole = not 0 <= me < gateways
        self.width = Width(gateways)
        place = lot(max(0, me))
        self.rings = Ring(place), Ring(place)

    def sort(self, own: list[T], others: list[T]) -> None:
        """The servers that there are from now on, in any order."""
        self.own, self.others = (
            ring.turn(sorted(servers, key=lambda server: server.hash))
            for ring, servers in zip(self.rings, (own, others), strict=True)
        )
        if self.whole or self.width.wanted(len(own) + len(others)) >= len(own) + len(others):
            # As they came: with a view of all of them nothing is to differ from having no reach.
            self.own, self.others = own, others
        self.review_at = 0

    def look(self, now: int) -> tuple[list[T], list[T]]:
        """Those in reach now."""
        if now >= self.review_at:
            self._review(now)
        return self.near

    def told(self) -> dict[str, int]:
        """Figures for the log: how many are in reach, and what has changed so far."""
        return {"reach": sum(map(len, self.near)), "wide": self.wide, "changes": self.changes}

    def _review(self, now: int) -> None:
        self.review_at = now + REVIEW
        own, others = self.own, self.others
        size = len(own) + len(others)
        wanted = size if self.whole else self.width.wanted(size)
        if wanted >= size:
            self.near = own, others
            return
        quota = max(math.ceil(wanted * OWN), wanted - len(others))
        mine, found = self._take(own, quota, now)
        rest, more = self._take(others, wanted - found, now)
        if found + more < wanted and found >= quota:
            mine, _ = self._take(own, wanted - more, now)
        before = {server.hash for part in self.near for server in part}
        self.changes += sum(server.hash not in before for server in [*mine, *rest])
        self.wide += len(mine) + len(rest) > wanted
        self.near = mine, rest

    def _take(self, servers: Iterable[T], quota: int, now: int) -> tuple[list[T], int]:
        """The first of them, so many that `quota` are able; and how many are."""
        taken: list[T] = []
        able = full = 0
        for server in servers:
            if able >= quota or full >= quota:
                break
            taken.append(server)
            if self.able(server, now):
                able += 1
            elif self.alive(server):
                full += 1
        return taken, able

"""The servers in a gateway's reach, while they come, go, fill up and fail."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final, Generic, TypeVar

from .ring import Ranked, Ring, lot
from .width import Width

T = TypeVar("T", bound=Ranked)

OWN: Final = 11 / 16  # share of the reach that is in the own zone; the rest can take what spills
REVIEW: Final = 500_000  # us after which the reach is looked at again, if nothing happens


class Reach(Generic[T]):
    """A part of the servers that this gateway uses, and whom it takes in place of those that fail.

    What is dead is replaced one for one, however much of it there is. What is full is replaced
    up to the reach's own width: where all are full, more of them would only mean more connections.
    """

    def __init__(self, me: int, gateways: int) -> None:
        self.adopt(me, gateways)
        self.servers: tuple[list[T], list[T]] = ([], [])  # all: own zone, then others, as they came
        self.turned: tuple[list[T], list[T]] | None = None  # as this gateway goes through them
        self.near = self.servers  # those in reach
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
        self.servers, self.turned = (own, others), None
        self.review_at = 0

    def look(self, now: int) -> tuple[list[T], list[T]]:
        """Those in reach now."""
        if now >= self.review_at:
            self._review(now)
        return self.near

    def size(self) -> int:
        """How many are in reach."""
        return len(self.near[0]) + len(self.near[1])

    def told(self) -> dict[str, int]:
        """Figures for the log: how many are in reach, and what has changed so far."""
        return {"reach": self.size(), "wide": self.wide, "changes": self.changes}

    def _review(self, now: int) -> None:
        self.review_at = now + REVIEW
        size = sum(map(len, self.servers))
        wanted = size if self.whole else self.width.wanted(size)
        if wanted >= size:
            # As they came: with a view of all of them nothing is to differ from having no reach.
            self.near = self.turned or self.servers
            return
        if self.turned is None:
            own, others = self.servers
            self.turned = self.rings[0].turn(own), self.rings[1].turn(others)
        own, others = self.turned
        quota = max(math.ceil(wanted * OWN), wanted - len(others))
        mine, found = self._take(own, quota, now)
        rest, more = self._take(others, wanted - found, now)
        if found + more < wanted and found >= quota:
            mine, _ = self._take(own, wanted - more, now)
        before = {server.hash for part in self.near for server in part}
        self.changes += sum(server.hash not in before for server in [*mine, *rest])
        self.near = mine, rest
        self.wide += self.size() > wanted

    def _take(self, servers: Iterable[T], quota: int, now: int) -> tuple[list[T], int]:
        """The first of them, so many that `quota` are able; and how many are."""
        taken: list[T] = []
        able = full = 0
        for server in servers:
            if able >= quota or full >= quota:
                break
            taken.append(server)
            if server.able(now):
                able += 1
            elif server.alive():
                full += 1
        return taken, able

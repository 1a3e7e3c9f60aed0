"""The subset of the servers that a gateway uses, while servers come, go, fill up and fail."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final, Generic, TypeVar

from .ring import Ranked, Ring, ring_position
from .width import Width

T = TypeVar("T", bound=Ranked)

OWN_ZONE_SHARE: Final = (
    11 / 16
)  # share of the reach that is in the own zone; the rest can take what spills
REVIEW: Final = 500_000  # us after which the reach is looked at again, if nothing happens


class Reach(Generic[T]):
    """The subset of the servers that this gateway uses, and replacements for those that fail.

    Dead servers are replaced one for one, however many there are. Full ones are replaced up to the
    subset's own width: where all are full, more of them would only mean more connections.
    """

    def __init__(self, me: int, gateways: int) -> None:
        self.adopt(me, gateways)
        self.servers: tuple[list[T], list[T]] = ([], [])  # own zone, others; in order of arrival
        self.rotated: tuple[list[T], list[T]] | None = None  # in this gateway's order
        self.subset = self.servers  # the subset
        self.review_at = 0
        self.changes = 0  # servers that were added to the subset
        self.wide = 0  # reviews after which it was wider than wanted

    def adopt(self, me: int, gateways: int) -> None:
        """Set this gateway's index; with -1 it has none, and uses all servers."""
        self.uses_all = not 0 <= me < gateways
        self.width = Width(gateways)
        place = ring_position(max(0, me))
        self.rings = Ring(place), Ring(place)

    def sort(self, own: list[T], others: list[T]) -> None:
        """Set the servers, in any order."""
        self.servers = (own, others)
        self.rotated = None
        self.review_at = 0

    def select(self, now: int) -> tuple[list[T], list[T]]:
        """Return the subset: servers of the own zone, and others."""
        if now >= self.review_at:
            self._review(now)
        return self.subset

    def size(self) -> int:
        """Return the size of the subset."""
        return len(self.subset[0]) + len(self.subset[1])

    def summary(self) -> dict[str, int]:
        """Return counters for the log."""
        return {"reach": self.size(), "wide": self.wide, "changes": self.changes}

    def _review(self, now: int) -> None:
        self.review_at = now + REVIEW
        size = sum(map(len, self.servers))
        wanted = size if self.uses_all else self.width.wanted(size)
        if wanted >= size:
            # In order of arrival, so that using all servers equals having no subset.
            self.subset = self.rotated or self.servers
            return
        if self.rotated is None:
            own, others = self.servers
            self.rotated = self.rings[0].rotate(own), self.rings[1].rotate(others)
        own, others = self.rotated
        quota = max(math.ceil(wanted * OWN_ZONE_SHARE), wanted - len(others))
        mine, found = self._take(own, quota, now)
        rest, more = self._take(others, wanted - found, now)
        if found + more < wanted and found >= quota:
            mine, _ = self._take(own, wanted - more, now)
        before = {server.hash for part in self.subset for server in part}
        self.changes += sum(server.hash not in before for server in [*mine, *rest])
        self.subset = mine, rest
        self.wide += self.size() > wanted

    def _take(self, servers: Iterable[T], quota: int, now: int) -> tuple[list[T], int]:
        """Return the first servers, so many that `quota` are available, and how many are."""
        taken: list[T] = []
        able = full = 0
        for server in servers:
            if able >= quota or full >= quota:
                break
            taken.append(server)
            if server.is_available(now):
                able += 1
            elif server.is_responding():
                full += 1
        return taken, able

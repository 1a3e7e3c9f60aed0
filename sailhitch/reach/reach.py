"""Maintains a gateway's subset while servers are added, removed, become full, or fail."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final, Generic, TypeVar

from .ring import Ring, SubsetServer, ring_position
from .width import SubsetSizer

T = TypeVar("T", bound=SubsetServer)

# Share of the subset that is in the own zone; the rest takes the load that the own zone can't.
OWN_ZONE_SHARE: Final = 11 / 16
REVIEW_INTERVAL: Final = 500_000  # us between reviews of the subset, if nothing else causes one


class Subsetter(Generic[T]):
    """The subset of servers that this gateway uses, with replacements for those that fail.

    Failing servers are replaced one for one, however many there are. Full servers are replaced
    only up to the subset's target size: if all are full, more of them would only mean more
    connections.
    """

    def __init__(self, index: int, gateway_count: int) -> None:
        self.configure(index, gateway_count)
        self.servers: tuple[list[T], list[T]] = ([], [])  # own zone, other zones; as listed
        self.ordered: tuple[list[T], list[T]] | None = None  # ordered by the ring
        self.subset = self.servers
        self.review_at = 0
        self.changes = 0  # number of servers added to the subset so far
        self.oversized_reviews = 0  # number of reviews that left the subset above its target size

    def configure(self, index: int, gateway_count: int) -> None:
        """Set this gateway's index. With an invalid one, such as -1, it uses all servers."""
        self.uses_all = not 0 <= index < gateway_count
        self.sizer = SubsetSizer(gateway_count)
        position = ring_position(max(0, index))
        self.rings = Ring(position), Ring(position)

    def set_servers(self, own: list[T], others: list[T]) -> None:
        """Set the ready servers of the own zone and of other zones, in any order."""
        self.servers = (own, others)
        self.ordered = None
        self.review_at = 0

    def select(self, now: int) -> tuple[list[T], list[T]]:
        """Return the subset: servers of the own zone, and of other zones."""
        if now >= self.review_at:
            self._review(now)
        return self.subset

    def size(self) -> int:
        """Return the number of servers in the subset."""
        return len(self.subset[0]) + len(self.subset[1])

    def summary(self) -> dict[str, int]:
        """Return counters for the log."""
        return {"reach": self.size(), "wide": self.oversized_reviews, "changes": self.changes}

    def _review(self, now: int) -> None:
        self.review_at = now + REVIEW_INTERVAL
        size = sum(map(len, self.servers))
        target = size if self.uses_all else self.sizer.target_size(size)
        if target >= size:
            # Keep the listed order if possible, so that a full subset behaves as no subset at all.
            self.subset = self.ordered or self.servers
            return
        if self.ordered is None:
            own, others = self.servers
            self.ordered = self.rings[0].rotate(own), self.rings[1].rotate(others)
        own, others = self.ordered
        quota = max(math.ceil(target * OWN_ZONE_SHARE), target - len(others))
        own_taken, own_available = self._take(own, quota, now)
        other_taken, other_available = self._take(others, target - own_available, now)
        if own_available + other_available < target and own_available >= quota:
            own_taken, _ = self._take(own, target - other_available, now)
        before = {server.hash for servers in self.subset for server in servers}
        self.changes += sum(server.hash not in before for server in [*own_taken, *other_taken])
        self.subset = own_taken, other_taken
        self.oversized_reviews += self.size() > target

    def _take(self, servers: Iterable[T], quota: int, now: int) -> tuple[list[T], int]:
        """Return leading servers until `quota` are available, and the number of available ones.

        Stop earlier once `quota` servers are full.
        """
        taken: list[T] = []
        available = full = 0
        for server in servers:
            if available >= quota or full >= quota:
                break
            taken.append(server)
            if server.is_available(now):
                available += 1
            elif server.is_responding():
                full += 1
        return taken, available

"""Slow start: the share of requests that servers get which have just started."""

from __future__ import annotations

import math
from typing import Final

from ..settings import Rules
from .server import Server

KINDS: Final = 8  # kinds of server that are told apart; those beyond it share one
KIND_PRIOR: Final = 5.0  # requests after which a kind's measured speed counts
KIND_WINDOW: Final = 1000.0  # requests after which the counts of kinds are halved
DRAW_SPENT: Final = math.inf  # a draw that selects no warming server
MAX_SHARE_OF_LIMIT: Final = 0.8  # of the overload rule's multiple, used at the most
NEVER: Final = 1 << 62  # us


class SlowStartShares:
    """The servers that are warming up, the speeds of kinds, and which server a draw selects.

    Every request draws one number, and a warming server owns a slice of the range: its part of
    what all ready servers can surely do, and never more than a multiple of its part if all were
    warm. If all gateways act alike, a warming server gets its part of the load in any period, from
    the first request on, with no memory that a restart would lose. Token buckets would do that for
    one gateway, but two hundred full buckets are a burst.

    A draw counts only in the moment it is made. Slices grow, so draws beyond all of them would fall
    into the last one later, and draws of a server in cooldown into its slice once that is over:
    the held requests of all gateways would reach one server together.
    """

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.servers: list[Server] = []
        self.next_warm = 0  # when the first of them has warmed up
        self.warm_by_kind = [0] * KINDS
        # The prior keeps the first requests from deciding.
        self.sent_by_kind = [KIND_PRIOR] * KINDS
        self.expected_by_kind = [KIND_PRIOR] * KINDS

    def clear(self) -> None:
        """Forget all servers; the speeds of kinds are kept."""
        self.servers = []
        self.next_warm = NEVER
        self.warm_by_kind = [0] * KINDS

    def sort(self, now: int, server: Server) -> bool:
        """Add a ready server, or count it as warm; return whether it is warming up."""
        if not self.is_cold(now, server):
            self.warm_by_kind[server.kind & 7] += 1
            return False
        self.servers.append(server)
        self.next_warm = min(self.next_warm, self._ends_at(server))
        return True

    def pick(self, now: int, draw: float) -> Server | None:
        """Return the warming server whose slice the draw falls into, or None."""
        speeds = [
            sent / expected
            for sent, expected in zip(self.sent_by_kind, self.expected_by_kind, strict=True)
        ]
        slices = [speeds[server.kind & 7] * self._warmth(now, server) for server in self.servers]
        warm = sum([speed * n for speed, n in zip(speeds, self.warm_by_kind, strict=True)])
        # Where all are warming up, shares of the remaining range would add up to all requests,
        # however many there are.
        multiple = self.rules.overload_multiple * MAX_SHARE_OF_LIMIT
        if_all_were_warm = warm + sum([speeds[server.kind & 7] for server in self.servers])
        draw *= max(warm + sum(slices), if_all_were_warm / max(1.0, multiple))
        for server, part in zip(self.servers, slices, strict=True):
            draw -= part
            if draw < 0.0:
                return server
        return None

    def capacity(self, now: int) -> float:
        """Return how many warm servers the warming ones are surely worth together."""
        return sum([self._warmth(now, server) for server in self.servers])

    def _warmth(self, now: int, server: Server) -> float:
        """Return the part of its capacity that a warming server surely has."""
        age = min(1.0, max(0, now - server.started_at) / self.rules.slow_start_time)
        return self.rules.slow_start_share + (1.0 - self.rules.slow_start_share) * age

    def is_cold(self, now: int, server: Server) -> bool:
        """Return whether a server gets its slice and no more.

        It does until it is warm, and for a while after that which differs between gateways.
        Servers that started together would otherwise turn warm at every gateway in one moment:
        each gateway would rank them as unmeasured and unlimited and try them, which together is a
        multiple of their part.
        """
        return server.started_at > 0 and now < self._ends_at(server)

    def _ends_at(self, server: Server) -> int:
        """Return when this gateway ends a server's slow start."""
        return server.started_at + int(self.rules.slow_start_time * server.slow_start_multiple)

    def count(self, server: Server) -> None:
        """Count a request to a warm server, and what its kind would get if all kinds were alike.

        Their ratio is the speed of a kind relative to the others, whatever the number of its
        servers. Requests alone would reflect the servers of the last minute at a gateway with
        little traffic: once half of them are gone, the rest would look twice as fast.
        """
        self.sent_by_kind[server.kind & 7] += 1.0
        warm = max(1, sum(self.warm_by_kind))
        self.expected_by_kind = [
            expected + n / warm
            for expected, n in zip(self.expected_by_kind, self.warm_by_kind, strict=True)
        ]
        if sum(self.sent_by_kind) > KIND_WINDOW:
            self.sent_by_kind = [0.5 * count for count in self.sent_by_kind]
            self.expected_by_kind = [0.5 * count for count in self.expected_by_kind]

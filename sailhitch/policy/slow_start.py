"""Slow start: limits the share of requests that recently started servers get."""

from __future__ import annotations

import math
from typing import Final

from ..settings import Rules
from .server import Server

KINDS: Final = 8  # kinds of server that are distinguished; higher numbers wrap around
KIND_PRIOR: Final = 5.0  # requests that each kind's counts start with
KIND_WINDOW: Final = 1000.0  # requests after which the counts of kinds are halved
NO_DRAW: Final = math.inf  # a draw that selects no server in slow start
MAX_SHARE_OF_LIMIT: Final = 0.8  # share of the overload rule's multiple that may be used
NEVER: Final = 1 << 62  # us


class SlowStartShares:
    """The servers in slow start, the relative speeds of kinds, and the selection by a random draw.

    Each request draws one random number, and each server in slow start owns a slice of the range:
    its part of the capacity that all ready servers have for sure, limited to a multiple of the part
    that it would have if all servers were warm. If all gateways do the same, a server in slow start
    gets its part of the load over any period, from the first request on, and without any state that
    a restart would lose. Token buckets would achieve that for one gateway, but two hundred full
    buckets add up to a burst.

    A draw is valid only at the time it is made. Slices grow, so a draw beyond all slices would
    later fall into the last one, and a draw for a server in cooldown would still select it after
    the cooldown. The held requests of all gateways would then reach one server together.
    """

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.servers: list[Server] = []
        self.next_warm = 0  # when the first of them leaves slow start
        self.warm_by_kind = [0] * KINDS
        # The prior keeps the first few requests from dominating the speeds.
        self.sent_by_kind = [KIND_PRIOR] * KINDS
        self.expected_by_kind = [KIND_PRIOR] * KINDS

    def clear(self) -> None:
        """Remove all servers, but keep the speeds of kinds."""
        self.servers = []
        self.next_warm = NEVER
        self.warm_by_kind = [0] * KINDS

    def classify(self, now: int, server: Server) -> bool:
        """Add a ready server, or count it as warm; return whether it is in slow start."""
        if not self.is_cold(now, server):
            self.warm_by_kind[server.kind & 7] += 1
            return False
        self.servers.append(server)
        self.next_warm = min(self.next_warm, self._slow_start_end(server))
        return True

    def pick(self, now: int, draw: float) -> Server | None:
        """Return the server in slow start whose slice the draw falls into, or None."""
        speeds = [
            sent / expected
            for sent, expected in zip(self.sent_by_kind, self.expected_by_kind, strict=True)
        ]
        slices = [
            speeds[server.kind & 7] * self._capacity_share(now, server) for server in self.servers
        ]
        warm_speed = sum([speed * n for speed, n in zip(speeds, self.warm_by_kind, strict=True)])
        # If all servers are in slow start, their slices would cover the whole range however high
        # the load is. The limit leaves a part of it uncovered.
        multiple = self.rules.overload_multiple * MAX_SHARE_OF_LIMIT
        speed_if_all_warm = warm_speed + sum([speeds[server.kind & 7] for server in self.servers])
        draw *= max(warm_speed + sum(slices), speed_if_all_warm / max(1.0, multiple))
        for server, slice_width in zip(self.servers, slices, strict=True):
            draw -= slice_width
            if draw < 0.0:
                return server
        return None

    def capacity(self, now: int) -> float:
        """Return the lower bound of the capacity of servers in slow start, in warm servers."""
        return sum([self._capacity_share(now, server) for server in self.servers])

    def _capacity_share(self, now: int, server: Server) -> float:
        """Return the lower bound of a server's capacity, as a share of its warm capacity."""
        age = min(1.0, max(0, now - server.started_at) / self.rules.slow_start_time)
        return self.rules.slow_start_share + (1.0 - self.rules.slow_start_share) * age

    def is_cold(self, now: int, server: Server) -> bool:
        """Return whether a server is in slow start and gets no more than its slice.

        Slow start lasts until the server is warm, plus a time that differs between gateways.
        Otherwise servers that started together would leave slow start at every gateway at once.
        Each gateway would rank them as unmeasured and without a rate limit and try them, which
        adds up to a multiple of their part of the load.
        """
        return server.started_at > 0 and now < self._slow_start_end(server)

    def _slow_start_end(self, server: Server) -> int:
        """Return when a server's slow start ends at this gateway."""
        return server.started_at + int(self.rules.slow_start_time * server.slow_start_multiple)

    def count_request(self, server: Server) -> None:
        """Count a request to a warm server, and the requests expected if all kinds were equal.

        The ratio of both is the speed of a kind relative to the others, and does not depend on the
        number of its servers. Counts of requests alone would: at a gateway with little traffic they
        still reflect the servers of the last minute, and if half of them are removed the rest would
        look twice as fast.
        """
        self.sent_by_kind[server.kind & 7] += 1.0
        warm_count = max(1, sum(self.warm_by_kind))
        self.expected_by_kind = [
            expected + n / warm_count
            for expected, n in zip(self.expected_by_kind, self.warm_by_kind, strict=True)
        ]
        if sum(self.sent_by_kind) > KIND_WINDOW:
            self.sent_by_kind = [0.5 * count for count in self.sent_by_kind]
            self.expected_by_kind = [0.5 * count for count in self.expected_by_kind]

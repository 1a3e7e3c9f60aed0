"""Cold servers' slices: the budget of the rule on servers that have just started."""

from __future__ import annotations

import math

from ..settings import Rules
from .server import Server

KINDS = 8  # kinds of server that are told apart; those past the last share one
KIND_PRIOR = 5.0  # sends by which every kind counts as fast as the others at first
KIND_WINDOW = 1000.0  # sends after which the counts of kinds are halved
COIN_SPENT = math.inf  # a coin that falls into no slice
COLD_SPARE = 0.8  # of the rule's multiple is what a cold server gets at the most


class Slices:
    """The cold servers, the speeds of kinds, and who gets a request by its coin.

    Every request draws one coin, and a cold server owns a slice of its range: its part of what all
    ready servers surely can do, and never more than a multiple of its part where all were warm. If
    every gateway acts alike, a cold server gets its part of the load in any span, from the first
    request on: no memory is needed that a restart would lose. Danger: token buckets would do that
    for one gateway, but two hundred full buckets are a burst.

    A coin counts in the moment it is drawn. Danger: the slices grow, so coins that had fallen
    beyond all of them fall into the last one later, and coins of a server that rests into its
    slice once the rest is over. Held requests of all gateways would come to one server together.
    """

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.servers: list[Server] = []
        self.next_warm = 0  # when the first of them leaves its slice
        self.warm_kind = [0] * KINDS
        # A prior of some sends keeps the first from deciding.
        self.sent_kind, self.due_kind = [KIND_PRIOR] * KINDS, [KIND_PRIOR] * KINDS

    def clear(self) -> None:
        self.servers, self.next_warm, self.warm_kind = [], 1 << 62, [0] * KINDS

    def sort(self, now: int, server: Server) -> bool:
        """Take a ready server in, or count it with the warm ones; whether it is cold."""
        if not self.is_cold(now, server):
            self.warm_kind[server.kind & 7] += 1
            return False
        self.servers.append(server)
        self.next_warm = min(self.next_warm, self._leaves(server))
        return True

    def pick(self, now: int, coin: float) -> Server | None:
        """The cold server whose slice the coin falls into, if any."""
        speeds = [s / e for s, e in zip(self.sent_kind, self.due_kind, strict=True)]
        slices = [speeds[server.kind & 7] * self._warmth(now, server) for server in self.servers]
        warm = sum([speed * n for speed, n in zip(speeds, self.warm_kind, strict=True)])
        # Danger: shares of what is left add up to everything where all are cold, whatever comes.
        spare = self.rules.fall_multiple * COLD_SPARE
        whole = warm + sum([speeds[server.kind & 7] for server in self.servers])
        coin *= max(warm + sum(slices), whole / max(1.0, spare))
        for server, part in zip(self.servers, slices, strict=True):
            coin -= part
            if coin < 0.0:
                return server
        return None

    def worth(self, now: int) -> float:
        """How many warm servers the cold ones are as good as, for sure."""
        return sum([self._warmth(now, server) for server in self.servers])

    def _warmth(self, now: int, server: Server) -> float:
        """The part of its capacity that a cold server surely has."""
        age = min(1.0, max(0, now - server.boot) / self.rules.cold_time)
        return self.rules.cold_share + (1.0 - self.rules.cold_share) * age

    def is_cold(self, now: int, server: Server) -> bool:
        """Whether it gets its slice and no more: until it is warm, and a while of its own after.

        Guards against the moment at which what started together turns warm at every gateway: each
        then ranks it, finds one of which it has seen little and that has no limit yet, and tries
        it; all of them at once are a multiple of its part. Until its turn it gets just that part.
        It could harm where a server slows down in that while: the slice does not follow it.
        """
        return server.boot > 0 and now < self._leaves(server)

    def _leaves(self, server: Server) -> int:
        """When this gateway lets a server out of its slice."""
        return server.boot + int(self.rules.cold_time * server.leave)

    def count(self, server: Server) -> None:
        """Count a send to a warm server beside what its kind would get if all kinds were alike.

        The two give the speed of a kind as the others see it, whatever number of its servers is
        there. Danger: a count of sends alone goes by the servers of the last minute at a gateway to
        which little comes, and where half of them have gone the rest look twice as fast.
        """
        self.sent_kind[server.kind & 7] += 1.0
        warm = max(1, sum(self.warm_kind))
        self.due_kind = [
            due + n / warm for due, n in zip(self.due_kind, self.warm_kind, strict=True)
        ]
        if sum(self.sent_kind) > KIND_WINDOW:
            self.sent_kind = [0.5 * x for x in self.sent_kind]
            self.due_kind = [0.5 * x for x in self.due_kind]

"""Which servers there are, by zone and warmth, and which of them are looked at for a request."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Sequence

from ..interface import FULL, GONE, READY, RESTORED, Listed
from ..reach import Reach
from ..settings import Settings
from .cold import Slices
from .request import Request
from .server import Server

CANDIDATES = 16  # servers ranked for a request; more costs CPU and herds
REMOTE_CANDIDATES = 5  # of them from other zones, so that an overloaded zone can spill
SPILL = 3  # servers ranked beside a key's replicas, so that a hot key does not jam these
REPLICAS = 3  # rendezvous servers of a key that are ranked where keys warm...
REPLICAS_MOST = 32  # ...out of so many for a hot one
HOT_WIDTH = 1.5  # a key is spread over this multiple of the servers that its share of traffic fills
KEY_WINDOW = 2000  # requests after which the counts of keys are halved
CLOCKS_DIFFER = 2.0  # from this multiple of the cold time on it is clocks that differ
LEAVE_SPREAD = 0.5  # of the cold time; gateways let a warm server out of its slice over this


class Roster:
    """The servers as the list has them, with what this gateway knows of each."""

    def __init__(self, settings: Settings, draws: random.Random) -> None:
        self.settings, self.random = settings, draws
        self.servers: dict[str, Server] = {}
        self.warm: list[list[Server]] = []  # ready and warm: own zone, then the others
        self.cold = Slices(settings.rules)
        self.reach: Reach[Server] = Reach(settings.me, settings.gateways)
        self.key_count: dict[int, int] = {}
        self.key_total = 0
        self.keyed: dict[int, list[Server]] = {}  # rendezvous candidates, until the list changes
        self.clock_ahead = 0  # by how much this machine's wall clock surely is ahead of a host's

    def adopt(self, settings: Settings) -> None:
        if (settings.me, settings.gateways) != (self.settings.me, self.settings.gateways):
            self.reach.adopt(settings.me, settings.gateways)
        self.settings, self.cold.rules = settings, settings.rules

    def news(self, now: int, mode: str, entries: Sequence[Listed], since: int = 0) -> None:
        """What the list says from now on; until `since` it surely held as it was before."""
        if mode in (FULL, RESTORED):
            listed = {e.server for e in entries}
            for server in self.servers.values():
                if server.name not in listed:
                    server.state = GONE
        for entry in entries:
            known = self.servers.get(entry.server)
            if known is None:
                leave = 1.0 + LEAVE_SPREAD * self.random.random()
                self.servers[entry.server] = Server(entry, leave, now, self.clock_ahead)
            else:
                restarted = entry.boot != known.listed_boot
                if restarted:
                    self._compare_clocks(entry, since)
                known.list_as(entry, now, self.clock_ahead)
                if restarted:
                    known.forget()
        self.regroup(now)

    def _compare_clocks(self, entry: Listed, since: int) -> None:
        """Learn from a restart whether hosts' wall clocks are behind this machine's.

        A host that was listed with another start at `since` can't have run for much longer. Danger:
        by a clock that is ahead one that has just started looks warm, and is pushed over. Little
        more than the cold time may be a list that came late, and says nothing of clocks.
        """
        ahead = since - entry.boot
        if entry.boot and ahead > CLOCKS_DIFFER * self.settings.rules.cold_time:
            self.clock_ahead = max(self.clock_ahead, ahead)

    def regroup(self, now: int) -> None:
        """Sort the ready servers by zone and warmth; after list news and as cold ones warm up."""
        zone = self.settings.zone
        own: list[Server] = []
        others: list[Server] = []
        self.cold.clear()
        gone = [s for s in self.servers.values() if s.state == GONE]
        for server in [s for s in gone if not (s.flight or s.filling)]:
            del self.servers[server.name]
        for server in self.servers.values():
            # The rule on drains: what is not ready is no candidate, from the news of it on.
            if server.state == READY and not self.cold.sort(now, server):
                (own if server.zone == zone else others).append(server)
        self.warm = [own, others]
        self.reach.sort(own, others)
        self.keyed.clear()

    def warm_count(self) -> int:
        return len(self.warm[0]) + len(self.warm[1])

    def capacity(self, now: int) -> float:
        """How many warm servers the ready ones are as good as, for sure."""
        return self.warm_count() + self.cold.worth(now)

    def cold_pick(self, now: int, request: Request) -> Server | None:
        """The cold server that may take this request, if any."""
        if not self.cold.servers:
            return None
        if now >= self.cold.next_warm:
            self.regroup(now)
        server = self.cold.pick(now, request.coin)
        if server is None or not request.may_send(now, server, self.settings.limits):
            return None
        return None if max(server.shun_until, server.rest_until) > now else server

    def candidates(self, now: int, request: Request) -> list[Server]:
        """The servers to rank: a key's replica group where keys warm, else of those in reach.

        Danger: ranking the whole fleet costs CPU that grows with it, and sends all gateways
        to the one server that looks idle.
        """
        own, others = self.reach.look(now)
        if request.key is not None and self.settings.warm_keys and not request.attempts:
            found = self._replicas(request.key)
            width = min(self._width(request.key), len(found))
            request.rank = min(width, REPLICAS)
            # Danger: gateways that each see little send a hot key to one server together.
            hot = width > REPLICAS
            found = self._sample(found[:width], REPLICAS) if hot else found[:REPLICAS]
            return found + self._sample(own or others, SPILL)
        few = CANDIDATES if not others else CANDIDATES - REMOTE_CANDIDATES
        found = own if len(own) <= few else self._sample(own, few)
        if others:
            more = CANDIDATES - len(found)
            found = found + (others if len(others) <= more else self._sample(others, more))
        return found

    def _width(self, key: int) -> int:
        """How many servers a key's traffic fills, by its share of what comes to this gateway."""
        counts = self.key_count
        count = counts[key] = counts.get(key, 0) + 1
        self.key_total += 1
        if self.key_total > KEY_WINDOW:
            self.key_count = {k: n // 2 for k, n in counts.items() if n > 1}
            self.key_total = sum(self.key_count.values())
        return 1 + int(HOT_WIDTH * (count - 1) / max(self.key_total, 50) * self.warm_count())

    def _sample(self, pool: list[Server], k: int) -> list[Server]:
        # Repeats are harmless and cheaper than avoiding them.
        rnd, size = self.random.random, len(pool)
        return [pool[int(rnd() * size)] for _ in range(k if size else 0)]

    def _replicas(self, key: int) -> list[Server]:
        """A key's servers by weighted rendezvous hashing: the same at every gateway, untold."""
        found = self.keyed.get(key)
        if found is None:
            if len(self.keyed) > 5000:
                self.keyed.clear()
            ranked = []
            for pool in self.warm:
                for server in pool:
                    x = ((key ^ server.hash) * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
                    x = ((x ^ (x >> 32)) * 0xD6E8FEB86659FD93) & 0xFFFFFFFFFFFFFFFF
                    x ^= x >> 32
                    ranked.append((-math.log((x + 1) / 2.0**64) / server.weight, server))
            found = [s for _, s in heapq.nsmallest(REPLICAS_MOST, ranked, key=lambda t: t[0])]
            self.keyed[key] = found
        return found

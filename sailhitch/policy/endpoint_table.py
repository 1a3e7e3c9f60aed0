"""The table of servers, and which of them are candidates for a request."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Sequence
from typing import Final

from ..policy_interface import Endpoint, EndpointState, WatchEventKind
from ..reach import Reach
from ..settings import Settings
from .request import Request
from .server import Server
from .slow_start import SlowStartShares

CANDIDATES: Final = 16  # servers ranked for a request
REMOTE_CANDIDATES: Final = 5  # of them from other zones, for the load of an overloaded zone
SPILL: Final = 3  # servers ranked beside a key's replicas, for the load of a hot key
REPLICAS: Final = 3  # rendezvous servers of a key that are ranked, with key affinity...
MAX_REPLICAS: Final = 32  # ...out of so many for a hot key
HOT_KEY_SPREAD: Final = 1.5  # of the servers that a key's share of the traffic fills
MIN_KEY_TOTAL: Final = 50  # requests; a key's share is not measured on fewer
KEY_WINDOW: Final = 2000  # requests after which the counts of keys are halved
MAX_CACHED_KEYS: Final = 5000  # whose replicas are cached
CLOCK_SKEW_MULTIPLE: Final = 2.0  # of the slow start time, from which clocks must differ
SLOW_START_SPREAD: Final = 0.5  # of the slow start time, over which gateways end it
# Multipliers of the 64-bit finalizer that mixes key and server.
MIX_FIRST: Final = 0x9E3779B97F4A7C15
MIX_SECOND: Final = 0xD6E8FEB86659FD93
MASK_64: Final = 0xFFFFFFFFFFFFFFFF

READY: Final = EndpointState.READY  # bound once for the loop over all servers


class EndpointTable:
    """The servers of the endpoint list, with what this gateway knows of each."""

    def __init__(self, settings: Settings, draws: random.Random) -> None:
        self.settings = settings
        self.random = draws
        self.servers: dict[str, Server] = {}
        self.warm: list[list[Server]] = []  # ready and warm: own zone, then the others
        self.slow_start = SlowStartShares(settings.rules)
        self.reach: Reach[Server] = Reach(settings.gateway_index, settings.gateway_count)
        self.key_count: dict[int, int] = {}
        self.key_total = 0
        self.replicas_by_key: dict[int, list[Server]] = {}  # until the list changes
        self.clock_ahead = 0  # by how much this machine's wall clock surely is ahead of a host's

    def adopt(self, settings: Settings) -> None:
        """Use new settings."""
        if (settings.gateway_index, settings.gateway_count) != (
            self.settings.gateway_index,
            self.settings.gateway_count,
        ):
            self.reach.adopt(settings.gateway_index, settings.gateway_count)
        self.settings = settings
        self.slow_start.rules = settings.rules

    def on_watch_event(
        self, now: int, mode: WatchEventKind, entries: Sequence[Endpoint], since: int = 0
    ) -> None:
        """Take in an event of the endpoint list.

        Up to `since` the list surely held as it was before; 0 if that is not known.
        """
        if mode in (WatchEventKind.SNAPSHOT, WatchEventKind.RESTORED):
            listed = {e.name for e in entries}
            for server in self.servers.values():
                if server.name not in listed:
                    server.state = EndpointState.GONE
        for entry in entries:
            known = self.servers.get(entry.name)
            if known is None:
                leave = 1.0 + SLOW_START_SPREAD * self.random.random()
                self.servers[entry.name] = Server(entry, leave, now, self.clock_ahead)
            else:
                restarted = entry.started_at != known.listed_started_at
                if restarted:
                    self._compare_clocks(entry, since)
                known.update(entry, now, self.clock_ahead)
                if restarted:
                    known.reset()
        self.regroup(now)

    def _compare_clocks(self, entry: Endpoint, since: int) -> None:
        """Learn from a restart whether servers' wall clocks are behind this machine's.

        A server that was listed with another start at `since` can't have run for much longer. By a
        clock that is ahead it would look warm and be overloaded. A difference of little more than
        the slow start time may come from a late list, and says nothing of clocks.
        """
        ahead = since - entry.started_at
        if entry.started_at and ahead > CLOCK_SKEW_MULTIPLE * self.settings.rules.slow_start_time:
            self.clock_ahead = max(self.clock_ahead, ahead)

    def regroup(self, now: int) -> None:
        """Sort the ready servers by zone and warmth."""
        zone = self.settings.zone
        own: list[Server] = []
        others: list[Server] = []
        self.slow_start.clear()
        gone = [s for s in self.servers.values() if s.state == EndpointState.GONE]
        for server in [s for s in gone if not (s.in_flight or s.uploading)]:
            del self.servers[server.name]
        for server in self.servers.values():
            # A draining server is no candidate from the event on that says so.
            if server.state == READY and not self.slow_start.sort(now, server):
                (own if server.zone == zone else others).append(server)
        self.warm = [own, others]
        self.reach.sort(own, others)
        self.replicas_by_key.clear()

    def warm_count(self) -> int:
        """Return the number of ready and warm servers."""
        return len(self.warm[0]) + len(self.warm[1])

    def capacity(self, now: int) -> float:
        """Return how many warm servers the ready ones are surely worth together."""
        return self.warm_count() + self.slow_start.capacity(now)

    def cold_pick(self, now: int, request: Request) -> Server | None:
        """Return the warming server that the request's draw selects, if it may have the request."""
        if not self.slow_start.servers:
            return None
        if now >= self.slow_start.next_warm:
            self.regroup(now)
        server = self.slow_start.pick(now, request.selection_draw)
        if server is None or not request.may_send(now, server, self.settings.limits):
            return None
        return None if max(server.ejected_until, server.cooldown_until) > now else server

    def candidates(self, now: int, request: Request) -> list[Server]:
        """Return the servers to rank: a key's replicas with key affinity, else some in reach.

        Ranking the whole fleet would cost CPU that grows with it, and send all gateways to the one
        server that looks idle.
        """
        own, others = self.reach.select(now)
        if request.key is not None and self.settings.has_key_affinity and not request.attempts:
            found = self._replicas(request.key)
            width = min(self._width(request.key), len(found))
            request.rank = min(width, REPLICAS)
            # Gateways with little traffic each would send a hot key to one server together.
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
        """Return how many servers a key's traffic fills, by its share of the requests."""
        counts = self.key_count
        count = counts[key] = counts.get(key, 0) + 1
        self.key_total += 1
        if self.key_total > KEY_WINDOW:
            self.key_count = {k: n // 2 for k, n in counts.items() if n > 1}
            self.key_total = sum(self.key_count.values())
        return 1 + int(
            HOT_KEY_SPREAD * (count - 1) / max(self.key_total, MIN_KEY_TOTAL) * self.warm_count()
        )

    def _sample(self, pool: list[Server], k: int) -> list[Server]:
        """Return `k` servers at random; a server may be drawn twice, which is harmless."""
        rnd = self.random.random
        size = len(pool)
        return [pool[int(rnd() * size)] for _ in range(k if size else 0)]

    def _replicas(self, key: int) -> list[Server]:
        """Return a key's servers by weighted rendezvous hashing, the same at every gateway."""
        found = self.replicas_by_key.get(key)
        if found is None:
            if len(self.replicas_by_key) > MAX_CACHED_KEYS:
                self.replicas_by_key.clear()
            ranked = []
            for pool in self.warm:
                for server in pool:
                    x = ((key ^ server.hash) * MIX_FIRST) & MASK_64
                    x = ((x ^ (x >> 32)) * MIX_SECOND) & MASK_64
                    x ^= x >> 32
                    ranked.append((-math.log((x + 1) / 2.0**64) / server.weight, server))
            found = [s for _, s in heapq.nsmallest(MAX_REPLICAS, ranked, key=lambda t: t[0])]
            self.replicas_by_key[key] = found
        return found

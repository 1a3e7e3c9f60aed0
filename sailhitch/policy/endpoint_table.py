"""The table of servers, and the selection of candidates for a request."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Sequence
from typing import Final

from ..policy_interface import Endpoint, EndpointState, WatchEventKind
from ..reach import Subsetter
from ..settings import Settings
from .request import Request
from .server import Server
from .slow_start import SlowStartShares

CANDIDATES: Final = 16  # servers ranked for a request
REMOTE_CANDIDATES: Final = 5  # of which from other zones, to offload an overloaded zone
EXTRA_CANDIDATES: Final = 3  # ranked in addition to a key's replicas, to offload a hot key
REPLICAS: Final = 3  # replicas of a key that are ranked, with key affinity...
MAX_REPLICAS: Final = 32  # ...chosen among up to this many for a hot key
HOT_KEY_SPREAD: Final = 1.5  # replicas, as a multiple of the servers that the key's load fills
MIN_KEY_TOTAL: Final = 50  # requests assumed at least when a key's share is computed
KEY_WINDOW: Final = 2000  # requests after which the counts by key are halved
MAX_CACHED_KEYS: Final = 5000  # keys whose replicas are cached
CLOCK_SKEW_MULTIPLE: Final = 2.0  # a larger lag, in slow start times, is taken for clock skew
SLOW_START_SPREAD: Final = 0.5  # slow start lasts up to this share longer, random by gateway
# Multipliers of the 64-bit hash finalizer that mixes a key's and a server's hash.
MIX_FIRST: Final = 0x9E3779B97F4A7C15
MIX_SECOND: Final = 0xD6E8FEB86659FD93
MASK_64: Final = 0xFFFFFFFFFFFFFFFF

READY: Final = EndpointState.READY  # avoids an attribute lookup per server in hot loops


class EndpointTable:
    """The servers of the endpoint list, with this gateway's state for each of them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.random = rng
        self.servers: dict[str, Server] = {}
        self.warm: list[list[Server]] = []  # ready and warm servers: own zone, other zones
        self.slow_start = SlowStartShares(settings.rules)
        self.subsetter: Subsetter[Server] = Subsetter(
            settings.gateway_index, settings.gateway_count
        )
        self.key_count: dict[int, int] = {}
        self.key_total = 0
        self.replicas_by_key: dict[int, list[Server]] = {}  # cache; cleared when the list changes
        # Lower bound of how far this machine's wall clock is ahead of the hosts' clocks, in us.
        self.clock_offset = 0

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings."""
        if (settings.gateway_index, settings.gateway_count) != (
            self.settings.gateway_index,
            self.settings.gateway_count,
        ):
            self.subsetter.configure(settings.gateway_index, settings.gateway_count)
        self.settings = settings
        self.slow_start.rules = settings.rules

    def on_watch_event(
        self, now: int, mode: WatchEventKind, entries: Sequence[Endpoint], since: int = 0
    ) -> None:
        """Apply an event of the endpoint list.

        `since` is the latest time at which the previous list is known to have been current; 0 if
        that is unknown.
        """
        if mode in (WatchEventKind.SNAPSHOT, WatchEventKind.RESTORED):
            listed = {e.name for e in entries}
            for server in self.servers.values():
                if server.name not in listed:
                    server.state = EndpointState.GONE
        for entry in entries:
            known = self.servers.get(entry.name)
            if known is None:
                multiple = 1.0 + SLOW_START_SPREAD * self.random.random()
                self.servers[entry.name] = Server(entry, multiple, now, self.clock_offset)
            else:
                restarted = entry.started_at != known.listed_started_at
                if restarted:
                    self._estimate_clock_offset(entry, since)
                known.update(entry, now, self.clock_offset)
                if restarted:
                    known.reset()
        self.regroup(now)

    def _estimate_clock_offset(self, entry: Endpoint, since: int) -> None:
        """Estimate from a restart how far the servers' wall clocks are behind this machine's.

        A server that was listed with an earlier start time at `since` can't have been restarted
        much before that. If this machine's clock is ahead, the server would look warm and be
        overloaded. A difference of little more than the slow start time may come from a delayed
        list, and is no evidence of clock skew.
        """
        lag = since - entry.started_at
        if entry.started_at and lag > CLOCK_SKEW_MULTIPLE * self.settings.rules.slow_start_time:
            self.clock_offset = max(self.clock_offset, lag)

    def regroup(self, now: int) -> None:
        """Drop removed servers, and regroup the ready ones by zone and slow start state."""
        zone = self.settings.zone
        own: list[Server] = []
        others: list[Server] = []
        self.slow_start.clear()
        gone = [s for s in self.servers.values() if s.state == EndpointState.GONE]
        for server in [s for s in gone if not (s.in_flight or s.uploading)]:
            del self.servers[server.name]
        for server in self.servers.values():
            # A draining server stops being a candidate as soon as the list says that it drains.
            if server.state == READY and not self.slow_start.classify(now, server):
                (own if server.zone == zone else others).append(server)
        self.warm = [own, others]
        self.subsetter.set_servers(own, others)
        self.replicas_by_key.clear()

    def warm_count(self) -> int:
        """Return the number of ready and warm servers."""
        return len(self.warm[0]) + len(self.warm[1])

    def capacity(self, now: int) -> float:
        """Return the lower bound of the ready servers' capacity, in warm servers."""
        return self.warm_count() + self.slow_start.capacity(now)

    def pick_cold(self, now: int, request: Request) -> Server | None:
        """Return the server in slow start that the request's draw selects, if it is eligible."""
        if not self.slow_start.servers:
            return None
        if now >= self.slow_start.next_warm:
            self.regroup(now)
        server = self.slow_start.pick(now, request.selection_draw)
        if server is None or not request.may_send(now, server, self.settings.limits):
            return None
        return None if max(server.ejected_until, server.cooldown_until) > now else server

    def candidates(self, now: int, request: Request) -> list[Server]:
        """Return the servers to rank: the key's replicas, or a sample of this gateway's subset.

        Ranking the whole fleet would cost CPU in proportion to its size, and all gateways would
        pick the same server that looks idle.
        """
        own, others = self.subsetter.select(now)
        if request.key is not None and self.settings.has_key_affinity and not request.attempts:
            found = self._replicas(request.key)
            count = min(self._replica_count(request.key), len(found))
            request.affinity_count = min(count, REPLICAS)
            # Sampling keeps many low-traffic gateways from all sending a hot key to one server.
            is_hot = count > REPLICAS
            found = self._sample(found[:count], REPLICAS) if is_hot else found[:REPLICAS]
            return found + self._sample(own or others, EXTRA_CANDIDATES)
        own_count = CANDIDATES if not others else CANDIDATES - REMOTE_CANDIDATES
        found = own if len(own) <= own_count else self._sample(own, own_count)
        if others:
            remote_count = CANDIDATES - len(found)
            found = found + (
                others if len(others) <= remote_count else self._sample(others, remote_count)
            )
        return found

    def _replica_count(self, key: int) -> int:
        """Count a request with this key, and return the number of replicas that its load needs."""
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
        """Return `k` random servers, drawn with replacement; duplicates are harmless."""
        draw = self.random.random
        size = len(pool)
        return [pool[int(draw() * size)] for _ in range(k if size else 0)]

    def _replicas(self, key: int) -> list[Server]:
        """Return a key's replicas by weighted rendezvous hashing; the same at every gateway."""
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

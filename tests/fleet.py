"""Many module instances and the hosts they share, in virtual time: no sockets, fixed seeds.

A host is one core with a waiting room: what it holds it works off in turn, slower while it is
cold, and it turns away what comes beyond. One answer in fifty is spoilt; the request has run.
Requests are spread over the gateways at random; one in five may not be repeated.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import count

from sailhitch.policy import Gateway
from sailhitch.policy_interface import (
    AttemptOutcome,
    Endpoint,
    EndpointState,
    LoadReport,
    WatchEventKind,
)
from sailhitch.settings import parse_settings
from tests.fake import MS, SAFE, UNSAFE, S, settings_value

WORK = 40 * MS  # mean of a request on a warm host
COLD = 4 * S
COLD_SHARE = 0.33


class Host:
    """One core, with room for so many requests; `boot` is 0 for long ago."""

    def __init__(self, name: str, boot: int = 0, room: int = 12) -> None:
        self.name, self.boot, self.room = name, boot, room
        self.held, self.free_at = 0, 0
        self.draining = False
        self.came: list[int] = []  # when requests were sent here, turned away or not
        self.turned_away = 0

    def capacity(self, now: int) -> float:
        """The share of its speed that it has."""
        age = min(1.0, (now - self.boot) / COLD) if self.boot else 1.0
        return COLD_SHARE + (1.0 - COLD_SHARE) * age

    def listed(self) -> Endpoint:
        return Endpoint(
            self.name,
            1.0,
            0,
            0,
            EndpointState.DRAINING if self.draining else EndpointState.READY,
            self.boot,
            0,
        )


class Member:
    """One gateway of the fleet: a `Port` that carries sends to the hosts."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number = fleet, number
        self.attempts: dict[int, int] = {}
        me = number if fleet.numbered else fleet.size
        value = settings_value(balancers=fleet.size, me=me, rules=fleet.rules)
        self.gateway = Gateway(self, parse_settings(value), seed=1000 + number)

    def send(self, req: int, server: str, timeout: int) -> None:
        attempt = self.attempts.get(req, 0)
        self.attempts[req] = attempt + 1
        self.fleet.arrive(self, req, attempt, self.fleet.hosts[server], timeout)

    def refuse(self, req: int, retry_after: int) -> None:
        self.fleet.ends[req] += 1

    def fail(self, req: int) -> None:
        self.fleet.ends[req] += 1

    def cancel(self, req: int, attempt: int) -> None: ...

    def set_timer(self, token: int, at: int) -> None:
        self.fleet.at(at, lambda: self.gateway.timer(self.fleet.now, token))

    def watch(self, on: bool) -> None: ...

    def log(self, text: str) -> None: ...


class Fleet:
    """`size` gateways in front of `hosts`, with the clock of all of them.

    Gateways that are not numbered have all hosts in reach.
    """

    def __init__(
        self, size: int, hosts: Iterable[Host], seed: int = 7, numbered: bool = True
    ) -> None:
        self.size, self.numbered, self.now = size, numbered, 100 * S
        self.pairs: Counter[tuple[int, str]] = Counter()  # sends, by gateway and host
        self.rules = {"cold": COLD, "coldShare": COLD_SHARE}
        self.random = random.Random(seed)
        self.hosts = {host.name: host for host in hosts}
        self.ends: Counter[int] = Counter()  # final answers to each request
        self.effects: Counter[int] = Counter()  # how often each that may not be repeated has run
        self.unsafe: set[int] = set()
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._order, self._requests = count(), count(1)
        self.members = [Member(self, number) for number in range(size)]
        entries = [host.listed() for host in self.hosts.values()]
        for member in self.members:
            member.gateway.start(self.now)
            member.gateway.on_watch_event(self.now, WatchEventKind.RESTORED, entries)

    def at(self, when: int, what: Callable[[], None]) -> None:
        heapq.heappush(self._due, (max(when, self.now), next(self._order), what))

    def add(self, hosts: Iterable[Host]) -> None:
        """New hosts, which every gateway hears of now."""
        fresh = list(hosts)
        self.hosts |= {host.name: host for host in fresh}
        self.tell(fresh)

    def tell(self, hosts: Iterable[Host]) -> None:
        entries = [host.listed() for host in hosts]
        for member in self.members:
            member.gateway.on_watch_event(self.now, WatchEventKind.CHANGES, entries)

    def arrive(self, member: Member, req: int, attempt: int, host: Host, timeout: int) -> None:
        sent = self.now
        host.came.append(sent)
        self.pairs[member.number, host.name] += 1
        full = host.draining or host.held >= host.room
        queue = 0.0 if host.draining else float(max(0, host.held - 8))
        if full:
            host.turned_away += 1
            done, status = sent + MS, AttemptOutcome.BUSY
        else:
            host.held += 1
            self.effects[req] += req in self.unsafe
            work = self.random.expovariate(1.0 / WORK) / host.capacity(sent)
            host.free_at = max(host.free_at, sent) + int(work)
            done, status = (
                host.free_at + MS,
                AttemptOutcome.OK if self.random.random() < 0.98 else AttemptOutcome.ERROR,
            )

        def leave() -> None:
            host.held -= not full

        def end() -> None:
            gateway = member.gateway
            self.ends[req] += status == AttemptOutcome.OK and req in gateway.open_requests
            closed = status == AttemptOutcome.OK or req not in gateway.open_requests
            gateway.outcome(
                self.now,
                req,
                attempt,
                status,
                closed,
                self.now - sent,
                host.name,
                LoadReport(queue, float(WORK), float(host.held)),
            )

        self.at(done, leave)
        if timeout and done > sent + timeout:
            done, status = sent + timeout, AttemptOutcome.TIMEOUT
        self.at(done, end)

    def run(self, seconds: float, rate: float) -> None:
        """So many requests a second come to the fleet, for so long."""
        end = self.now + int(seconds * S)
        arrival = self.now + int(self.random.expovariate(rate) * S)
        while True:
            due = self._due[0][0] if self._due else end
            if min(due, arrival) >= end:
                break
            if arrival < due:
                self.now = arrival
                member = self.random.choice(self.members)
                req = next(self._requests)
                kind = SAFE if self.random.random() < 0.8 else UNSAFE
                self.ends[req] = 0
                if kind == UNSAFE:
                    self.unsafe.add(req)
                member.gateway.request(self.now, req, kind, self.now + 3 * S, 0, None, 0)
                arrival += int(self.random.expovariate(rate) * S)
            else:
                self.now, _, what = heapq.heappop(self._due)
                what()
        self.now = end

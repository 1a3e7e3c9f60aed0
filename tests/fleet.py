"""A simulation of many gateways and the hosts they share, in virtual time and with fixed seeds.

A host has one core and a bounded queue. It serves requests in order, more slowly while it is in
slow start, and rejects requests when the queue is full. One response in fifty is an error although
the request has run. Requests are distributed over the gateways at random; one in five is unsafe to
repeat.
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

WORK = 40 * MS  # mean service time of a request on a warm host
COLD = 4 * S
COLD_SHARE = 0.33


class Host:
    """A host with one core that holds up to `max_held` requests. `boot` 0 means long ago."""

    def __init__(self, name: str, boot: int = 0, max_held: int = 12) -> None:
        self.name, self.boot, self.max_held = name, boot, max_held
        self.held, self.free_at = 0, 0
        self.draining = False
        self.arrivals: list[int] = []  # times of all requests sent here, rejected ones included
        self.rejections = 0

    def capacity(self, now: int) -> float:
        """The share of its full speed that it currently has."""
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
    """One gateway of the fleet: a `Port` that passes requests to the hosts."""

    def __init__(self, fleet: Fleet, index: int) -> None:
        self.fleet, self.index = fleet, index
        self.attempts: dict[int, int] = {}
        me = index if fleet.is_indexed else fleet.size
        settings = settings_value(balancers=fleet.size, me=me, rules=fleet.rules)
        self.gateway = Gateway(self, parse_settings(settings), seed=1000 + index)

    def send(self, req: int, server: str, timeout: int) -> None:
        attempt = self.attempts.get(req, 0)
        self.attempts[req] = attempt + 1
        self.fleet.arrive(self, req, attempt, self.fleet.hosts[server], timeout)

    def refuse(self, req: int, retry_after: int) -> None:
        self.fleet.responses[req] += 1

    def fail(self, req: int) -> None:
        self.fleet.responses[req] += 1

    def cancel(self, req: int, attempt: int) -> None: ...

    def set_timer(self, token: int, at: int) -> None:
        self.fleet.schedule(at, lambda: self.gateway.timer(self.fleet.now, token))

    def watch(self, on: bool) -> None: ...

    def log(self, text: str) -> None: ...


class Fleet:
    """`size` gateways in front of `hosts`, with a common virtual clock.

    If the gateways are not indexed, each of them uses all hosts.
    """

    def __init__(
        self, size: int, hosts: Iterable[Host], seed: int = 7, is_indexed: bool = True
    ) -> None:
        self.size, self.is_indexed, self.now = size, is_indexed, 100 * S
        self.sends_by_pair: Counter[tuple[int, str]] = Counter()  # attempts by gateway and host
        self.rules = {"cold": COLD, "coldShare": COLD_SHARE}
        self.random = random.Random(seed)
        self.hosts = {host.name: host for host in hosts}
        self.responses: Counter[int] = Counter()  # number of final responses, by request
        self.executions: Counter[int] = Counter()  # number of executions, by unsafe request
        self.unsafe: set[int] = set()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order, self._requests = count(), count(1)
        self.members = [Member(self, index) for index in range(size)]
        entries = [host.listed() for host in self.hosts.values()]
        for member in self.members:
            member.gateway.start(self.now)
            member.gateway.on_watch_event(self.now, WatchEventKind.RESTORED, entries)

    def schedule(self, time: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (max(time, self.now), next(self._order), callback))

    def add(self, hosts: Iterable[Host]) -> None:
        """Add hosts and announce them to all gateways."""
        new_hosts = list(hosts)
        self.hosts |= {host.name: host for host in new_hosts}
        self.announce(new_hosts)

    def announce(self, hosts: Iterable[Host]) -> None:
        entries = [host.listed() for host in hosts]
        for member in self.members:
            member.gateway.on_watch_event(self.now, WatchEventKind.CHANGES, entries)

    def arrive(self, member: Member, req: int, attempt: int, host: Host, timeout: int) -> None:
        sent = self.now
        host.arrivals.append(sent)
        self.sends_by_pair[member.index, host.name] += 1
        full = host.draining or host.held >= host.max_held
        queue = 0.0 if host.draining else float(max(0, host.held - 8))
        if full:
            host.rejections += 1
            done, status = sent + MS, AttemptOutcome.BUSY
        else:
            host.held += 1
            self.executions[req] += req in self.unsafe
            work = self.random.expovariate(1.0 / WORK) / host.capacity(sent)
            host.free_at = max(host.free_at, sent) + int(work)
            done, status = (
                host.free_at + MS,
                AttemptOutcome.OK if self.random.random() < 0.98 else AttemptOutcome.ERROR,
            )

        def finish_work() -> None:
            host.held -= not full

        def report_outcome() -> None:
            gateway = member.gateway
            self.responses[req] += status == AttemptOutcome.OK and req in gateway.open_requests
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

        self.schedule(done, finish_work)
        if timeout and done > sent + timeout:
            done, status = sent + timeout, AttemptOutcome.TIMEOUT
        self.schedule(done, report_outcome)

    def run(self, seconds: float, rate: float) -> None:
        """Send `rate` requests per second to the fleet for `seconds`."""
        end = self.now + int(seconds * S)
        arrival = self.now + int(self.random.expovariate(rate) * S)
        while True:
            due = self._events[0][0] if self._events else end
            if min(due, arrival) >= end:
                break
            if arrival < due:
                self.now = arrival
                member = self.random.choice(self.members)
                req = next(self._requests)
                class_index = SAFE if self.random.random() < 0.8 else UNSAFE
                self.responses[req] = 0
                if class_index == UNSAFE:
                    self.unsafe.add(req)
                member.gateway.request(self.now, req, class_index, self.now + 3 * S, 0, None, 0)
                arrival += int(self.random.expovariate(rate) * S)
            else:
                self.now, _, callback = heapq.heappop(self._events)
                callback()
        self.now = end

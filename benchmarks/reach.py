"""How evenly subsetting assigns servers, what churn changes, and the cost of a decision.

    python -m benchmarks.reach [--json]

For each number of gateways and servers: the number of gateways whose subset contains a server
(least, mean, most); the ratio of subset changes to the necessary ones while up to half of the
servers are replaced one by one; the CPU of a request and its response at one gateway, with a subset
and with all servers (microseconds, best of three).
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass

from sailhitch.policy import Gateway
from sailhitch.policy_interface import (
    AttemptOutcome,
    Endpoint,
    EndpointState,
    LoadReport,
    WatchEventKind,
)
from sailhitch.reach import Subsetter
from sailhitch.settings import parse_settings

SIZES = [(5, 12), (40, 60), (214, 12), (214, 145), (1000, 145), (1000, 1000)]
RATE = 9.0  # requests per second at a gateway
SETTINGS = {
    "zone": 0,
    "granularity": 1000,
    "classes": [
        {
            "name": "page",
            "importance": 1.0,
            "goalTime": 1_000_000,
            "deadline": 3_000_000,
            "repeat": "pure",
        }
    ],
    "limits": {"attemptsCap": 3},
    "rules": {
        "graceToAnswer": 20_000,
        "drainGrace": 1_000_000,
        "coldShare": 0.3,
        "cold": 5_000_000,
        "fallMultiple": 3.0,
        "overloadFor": 2_000_000,
    },
    "discovery": "automatic",
}


@dataclass(eq=False)
class ServerStub:
    """A server as the subsetter sees it, always usable."""

    hash: int

    def is_available(self, now: int) -> bool:
        return True

    def is_responding(self) -> bool:
        return True


class RecordingPort:
    """A port that only records the server of the last request sent."""

    server = ""

    def send(self, req: int, server: str, timeout: int) -> None:
        self.server = server

    def refuse(self, req: int, retry_after: int) -> None: ...
    def fail(self, req: int) -> None: ...
    def cancel(self, req: int, attempt: int) -> None: ...
    def set_timer(self, token: int, at: int) -> None: ...
    def watch(self, on: bool) -> None: ...
    def log(self, text: str) -> None: ...


def subsets_per_server(subsetters: list[Subsetter[ServerStub]]) -> Counter[int]:
    """Return the number of subsets that contain each server, by its hash."""
    return Counter(s.hash for one in subsetters for part in one.subset for s in part)


def measure_coverage(gateways: int, servers: int) -> dict[str, float]:
    """Return the coverage at the start, and the changes while servers are replaced."""
    rng = random.Random(1)
    current = [ServerStub(rng.getrandbits(64)) for _ in range(servers)]
    subsetters = [Subsetter[ServerStub](me, gateways) for me in range(gateways)]

    def update_all() -> None:
        for one in subsetters:
            one.set_servers(current, [])
            one.select(0)

    update_all()
    counts = subsets_per_server(subsetters)
    for one in subsetters:
        one.changes = 0
    due = 0
    for old in rng.sample(current, min(50, servers // 2)):
        due += subsets_per_server(subsetters)[old.hash]
        current.remove(old)
        current.append(ServerStub(rng.getrandbits(64)))
        update_all()
        due += subsets_per_server(subsetters)[current[-1].hash]
    return {
        "least": min(counts[s] for s in counts),
        "mean": sum(counts.values()) / servers,
        "most": max(counts.values()),
        "changes_by_due": sum(r.changes for r in subsetters) / due,
    }


def measure_cost(gateways: int, servers: int, with_subset: bool, count: int = 4000) -> float:
    """Return the microseconds of CPU for a request and its response."""
    best = float("inf")
    for _ in range(3):
        port = RecordingPort()
        value = SETTINGS | {"balancers": gateways, "me": 3 if with_subset else gateways}
        gateway = Gateway(port, parse_settings(value), seed=1)
        now = 100_000_000
        gateway.start(now)
        names = [f"10.0.{i // 250}.{i % 250}:80" for i in range(servers)]
        gateway.on_watch_event(
            now,
            WatchEventKind.RESTORED,
            [Endpoint(n, 1.0, 0, 0, EndpointState.READY, 0, 0) for n in names],
        )
        start = time.process_time()
        for req in range(count):
            now += int(1e6 / RATE)
            gateway.request(now, req, 0, now + 3_000_000, 0, None, 0)
            report = LoadReport(0.0, 40_000.0)
            gateway.outcome(
                now + 50_000, req, 0, AttemptOutcome.OK, True, 50_000, port.server, report
            )
        best = min(best, (time.process_time() - start) / count * 1e6)
    return best


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(
        description="How evenly subsetting assigns servers, and its cost."
    )
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    rows = []
    for gateways, servers in SIZES:
        row: dict[str, float] = {"gateways": gateways, "servers": servers}
        row |= measure_coverage(gateways, servers)
        row["us"] = measure_cost(gateways, servers, True)
        row["us_whole"] = measure_cost(gateways, servers, False)
        rows.append(row)
    if options.json:
        print(json.dumps(rows))
        return 0
    print(
        "| gateways | servers | gateways per server, least mean most | changes / necessary "
        "| us | us, all servers |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for r in rows:
        print(
            f"| {r['gateways']:.0f} | {r['servers']:.0f} | {r['least']:.0f} {r['mean']:.1f} "
            f"{r['most']:.0f} | {r['changes_by_due']:.2f} | {r['us']:.1f} | {r['us_whole']:.1f} |"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""How evenly reach shares servers out, what churn moves, and what a decision costs.

    python -m benchmarks.reach [--json]

For each size of tier: gateways that have a server in reach (least, mean, most); changes a gateway
makes beside those that are due while half of the servers are replaced one by one; CPU of a request
and its answer at one gateway, with reach and with all servers in it (microseconds, best of three).
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
RATE = 9.0  # requests a second at a gateway
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
class Spot:
    """A server as reach knows it."""

    hash: int

    def able(self, now: int) -> bool:
        return True

    def alive(self) -> bool:
        return True


class Nobody:
    """A port that does nothing but note where the last request went."""

    server = ""

    def send(self, req: int, server: str, timeout: int) -> None:
        self.server = server

    def refuse(self, req: int, retry_after: int) -> None: ...
    def fail(self, req: int) -> None: ...
    def cancel(self, req: int, attempt: int) -> None: ...
    def set_timer(self, token: int, at: int) -> None: ...
    def watch(self, on: bool) -> None: ...
    def log(self, text: str) -> None: ...


def cover(reaches: list[Subsetter[Spot]]) -> Counter[int]:
    """In whose reach each server is, by its hash."""
    return Counter(s.hash for one in reaches for part in one.subset for s in part)


def sharing(gateways: int, servers: int) -> dict[str, float]:
    """Cover at the start, and changes while half of the servers are replaced."""
    draws = random.Random(1)
    there = [Spot(draws.getrandbits(64)) for _ in range(servers)]
    reaches = [Subsetter[Spot](me, gateways) for me in range(gateways)]

    def tell() -> None:
        for one in reaches:
            one.set_servers(there, [])
            one.select(0)

    tell()
    counts = cover(reaches)
    for one in reaches:
        one.changes = 0
    due = 0
    for old in draws.sample(there, min(50, servers // 2)):
        due += cover(reaches)[old.hash]
        there.remove(old)
        there.append(Spot(draws.getrandbits(64)))
        tell()
        due += cover(reaches)[there[-1].hash]
    return {
        "least": min(counts[s] for s in counts),
        "mean": sum(counts.values()) / servers,
        "most": max(counts.values()),
        "changes_by_due": sum(r.changes for r in reaches) / due,
    }


def cost(gateways: int, servers: int, numbered: bool, count: int = 4000) -> float:
    """Microseconds of CPU for a request and its answer."""
    best = float("inf")
    for _ in range(3):
        port = Nobody()
        value = SETTINGS | {"balancers": gateways, "me": 3 if numbered else gateways}
        gateway = Gateway(port, parse_settings(value), seed=1)
        now = 100_000_000
        gateway.start(now)
        names = [f"10.0.{i // 250}.{i % 250}:80" for i in range(servers)]
        gateway.on_watch_event(
            now,
            WatchEventKind.RESTORED,
            [Endpoint(n, 1.0, 0, 0, EndpointState.READY, 0, 0) for n in names],
        )
        begun = time.process_time()
        for req in range(count):
            now += int(1e6 / RATE)
            gateway.request(now, req, 0, now + 3_000_000, 0, None, 0)
            report = LoadReport(0.0, 40_000.0)
            gateway.outcome(
                now + 50_000, req, 0, AttemptOutcome.OK, True, 50_000, port.server, report
            )
        best = min(best, (time.process_time() - begun) / count * 1e6)
    return best


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(description="How evenly reach shares, and what it costs.")
    parser.add_argument("--json", action="store_true")
    chosen = parser.parse_args(arguments)
    rows = []
    for gateways, servers in SIZES:
        row: dict[str, float] = {"gateways": gateways, "servers": servers}
        row |= sharing(gateways, servers)
        row["us"] = cost(gateways, servers, True)
        row["us_whole"] = cost(gateways, servers, False)
        rows.append(row)
    if chosen.json:
        print(json.dumps(rows))
        return 0
    print(
        "| gateways | servers | cover, least mean most | changes by due | us | us, all in reach |"
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

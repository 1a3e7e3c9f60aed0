"""The cost of a route lookup by the number of routes.

    python benchmarks/routes.py [--json]

Three tables of each size: by path, by host, and by a header's value at one path. Prints
microseconds per lookup and the time to build the table and to find ties. Exit code 0.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from sailhitch.daemon.routes import Match, Route, RouteQuery, Routes, find_ambiguous_routes

SIZES = (10, 1_000, 10_000)
LOOKUPS = 20_000


def by_path(i: int) -> tuple[Match, RouteQuery]:
    return Match(path_prefix=f"/a/r{i}"), RouteQuery("GET", f"/a/r{i}/claims/7", "h.example.org")


def by_host(i: int) -> tuple[Match, RouteQuery]:
    return Match(host=f"h{i}.example.org"), RouteQuery("GET", "/claims/7", f"h{i}.example.org")


def by_header(i: int) -> tuple[Match, RouteQuery]:
    match = Match(path_prefix="/a", header=(("x-region", str(i)),))
    return match, RouteQuery("GET", "/a/claims/7", "h.example.org", {"x-region": str(i)})


def measure(make: Callable[[int], tuple[Match, RouteQuery]], size: int) -> dict[str, float]:
    pairs = [make(i) for i in range(size)]
    routes = [Route(f"r{i}", match, "c", (("p", 1.0),)) for i, (match, _) in enumerate(pairs)]
    started_at = time.perf_counter()
    table = Routes(routes)
    built_at = time.perf_counter()
    assert not list(find_ambiguous_routes(routes))
    ties_found_at = time.perf_counter()
    queries = [pair[1] for pair in random.Random(1).choices(pairs, k=LOOKUPS)]
    lookups_started_at = time.perf_counter()
    for one in queries:
        table.find(one)
    lookups_ended_at = time.perf_counter()
    return {
        "lookup_us": (lookups_ended_at - lookups_started_at) / LOOKUPS * 1e6,
        "build_ms": (built_at - started_at) * 1e3,
        "ties_ms": (ties_found_at - built_at) * 1e3,
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    results = {
        f"{make.__name__} {size}": measure(make, size)
        for make in (by_path, by_host, by_header)
        for size in SIZES
    }
    if options.json:
        print(json.dumps(results))
        return 0
    for name, values in results.items():
        print(f"{name:18}", "  ".join(f"{k}={v:.2f}" for k, v in values.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main())

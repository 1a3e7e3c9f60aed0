"""Page trees by leaf size: bytes stored, bytes per change, time to build, update and compare.

    python benchmarks/pages.py [--scale 0.1 0.25 0.5 1] [--leaf-size 16384 32768] [--json]

A state of scale 1 has 16,000 nodes in 280 services, 7,500 routes and 150,000 tenants, each an
entry with its JSON as the operator file's models dump them. Three changes are made to it: the
weight of one node, the weight of all nodes of one service, and the limits of one tenant. Bytes are
those of packed pages. Times are processor time, the shortest of a few runs (`--runs`), and include
reading the unpacked pages from a dict. `--memory` adds the peak memory of a build, without that of
the entries.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
import tracemalloc
import zlib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from sailhitch.daemon.schema import NodeSection, RouteSection, TenantSection  # noqa: E402
from sailhitch.pages import Key, build, compress, difference, read_entries, update  # noqa: E402

NODES = 16_000
SERVICES = 280
ROUTES = 7_500
TENANTS = 150_000
ZONES = 24  # 3 regions with 8 zones
CELLS = 4
SEED = 44
CHANGED_SERVICE = 0
Entries = dict[Key, bytes]
Result = TypeVar("Result")


class CountingSource:
    """A page source in memory that counts reads."""

    def __init__(self, pages: Mapping[str, bytes]) -> None:
        self.pages = dict(pages)
        self.reads = 0

    def page(self, digest: str) -> bytes:
        self.reads += 1
        return self.pages[digest]


def dump(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def node_value(number: int, weight: float) -> bytes:
    zone = number % ZONES
    part = NodeSection(
        id=f"node-{number:05}",
        address=f"10.{zone}.{number >> 8 & 255}.{number & 255}:{8000 + number % 10}",
        zone=f"region-{zone // 8}-zone-{zone % 8}",
        cell=f"cell-{number % CELLS}",
        weight=weight,
    )
    return dump(part.model_dump(mode="json"))


def route_value(number: int, services: int, chance: random.Random) -> bytes:
    service = chance.randrange(services)
    match: dict[str, Any] = {"path_prefix": f"/api/v{number % 3 + 1}/resource-{number:05}"}
    if number % 2:
        match["host"] = f"app-{chance.randrange(400)}.example.org"
    if number % 5 == 0:
        match["methods"] = ["GET", "HEAD"]
    pools = {f"service-{service:03}": 1.0}
    if number % 20 == 0:
        pools[f"service-{(service + 1) % services:03}"] = round(chance.random(), 2)
    value = {
        "name": f"route-{number:05}",
        "match": match,
        "class": f"class-{number % 12}",
        "pools": pools,
    }
    return dump(RouteSection.model_validate(value).model_dump(mode="json", by_alias=True))


def tenant_value(number: int, rate: int) -> bytes:
    """Return a tenant as the file has it today, plus the limits that it is to have."""
    part = TenantSection(name=f"tenant-{number:06}", share=round(1 / (number + 1), 9) or 1e-9)
    limits = {"rate": rate, "burst": rate * 2, "concurrency": 8 + number % 57}
    return dump(part.model_dump(mode="json") | {"limits": limits})


def make_entries(scale: float) -> Entries:
    chance = random.Random(SEED)
    services = max(1, round(SERVICES * scale))
    entries: Entries = {}
    for number in range(round(NODES * scale)):
        weight = round(chance.uniform(0.5, 2), 2)
        entries[node_key(number, services)] = node_value(number, weight)
    for number in range(round(ROUTES * scale)):
        entries[Key("routes", f"route-{number:05}")] = route_value(number, services, chance)
    for number in range(round(TENANTS * scale)):
        rate = chance.choice((10, 20, 50, 100, 250, 1000))
        entries[Key("tenants", f"tenant-{number:06}")] = tenant_value(number, rate)
    return entries


def node_key(number: int, services: int) -> Key:
    return Key(f"pool/service-{number % services:03}", f"node-{number:05}")


def make_changes(scale: float) -> dict[str, Entries]:
    services = max(1, round(SERVICES * scale))
    numbers = range(CHANGED_SERVICE, round(NODES * scale), services)
    service = {node_key(number, services): node_value(number, 2.5) for number in numbers}
    first = next(iter(service))
    return {
        "one node": {first: service[first]},
        "one service": service,
        "one tenant": {Key("tenants", "tenant-000700"): tenant_value(700, 75)},
    }


def least_time(runs: int, act: Callable[[], Result]) -> tuple[float, Result]:
    """Return the shortest processor time in milliseconds, and the last result."""
    times = []
    for _ in range(runs):
        start = time.process_time()
        result = act()
        times.append(time.process_time() - start)
    return min(times) * 1000, result


def packed_size(pages: Mapping[str, bytes]) -> int:
    return sum(len(compress(raw)) for raw in pages.values())


def measure(scale: float, leaf_size: int, runs: int, memory: bool) -> dict[str, Any]:
    entries = make_entries(scale)
    build_time, tree = least_time(runs, lambda: build(entries, leaf_size))
    source = CountingSource(tree.pages)
    read_time, _ = least_time(1, lambda: sum(1 for _ in read_entries(source, tree.root)))
    whole = dump({f"{key.group}\0{key.name}": value.decode() for key, value in entries.items()})
    figures: dict[str, Any] = {
        "scale": scale,
        "leaf_size": leaf_size,
        "entries": len(entries),
        "pages": len(tree.pages),
        "raw_bytes": sum(len(raw) for raw in tree.pages.values()),
        "packed_bytes": packed_size(tree.pages),
        "whole_packed_bytes": len(zlib.compress(whole)),
        "build_ms": round(build_time, 1),
        "read_ms": round(read_time, 1),
        "changes": {},
    }
    if memory:
        tracemalloc.start()
        build(entries, leaf_size)
        figures["build_peak_bytes"] = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    for name, changes in make_changes(scale).items():
        figures["changes"][name] = measure_change(tree.root, tree.pages, changes, leaf_size, runs)
    return figures


def measure_change(
    root: str, pages: Mapping[str, bytes], changes: Entries, leaf_size: int, runs: int
) -> dict[str, Any]:
    source = CountingSource(pages)
    update_time, updated = least_time(runs, lambda: update(source, root, changes, leaf_size))
    update_reads = source.reads // runs
    source.pages.update(updated.pages)
    source.reads = 0
    difference_time, differing = least_time(
        runs, lambda: list(difference(source, root, updated.root))
    )
    if {change.key for change in differing} != changes.keys():
        raise AssertionError("the difference does not match the changes made")
    return {
        "entries": len(changes),
        "new_pages": len(updated.pages),
        "packed_bytes": packed_size(updated.pages),
        "update_reads": update_reads,
        "update_ms": round(update_time, 2),
        "difference_reads": source.reads // runs,
        "difference_ms": round(difference_time, 2),
    }


def print_figures(figures: dict[str, Any]) -> None:
    print(
        f"scale {figures['scale']}, leaf size {figures['leaf_size']}: "
        f"{figures['entries']} entries, {figures['pages']} pages, "
        f"{figures['raw_bytes']} bytes raw, {figures['packed_bytes']} packed "
        f"(whole content packed {figures['whole_packed_bytes']}), build {figures['build_ms']} ms, "
        f"read and verify {figures['read_ms']} ms"
        + (f", peak {figures['build_peak_bytes']} bytes" if "build_peak_bytes" in figures else "")
    )
    for name, change in figures["changes"].items():
        print(
            f"  {name}: {change['entries']} entries, {change['new_pages']} pages, "
            f"{change['packed_bytes']} bytes packed; update {change['update_ms']} ms, "
            f"{change['update_reads']} reads; difference {change['difference_ms']} ms, "
            f"{change['difference_reads']} reads",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--scale", type=float, nargs="+", default=[0.1, 0.25, 0.5, 1])
    parser.add_argument("--leaf-size", type=int, nargs="+", default=[16384, 32768], metavar="BYTES")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--memory", action="store_true")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    results = []
    for scale in options.scale:
        for leaf_size in options.leaf_size:
            results.append(measure(scale, leaf_size, options.runs, options.memory))
            if not options.json:
                print_figures(results[-1])
    if options.json:
        print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()

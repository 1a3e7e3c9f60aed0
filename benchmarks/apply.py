"""The cost of plan and apply by the number of nodes, and their effect on live requests.

    python benchmarks/apply.py [--sizes 100 1000 10000] [--json]

For each size: the time to read the file, to make a plan that changes a tenth of the nodes and to
apply it, and the daemon's memory. Then p50 and p99 of live requests to five real nodes, with a
hundred configured nodes that don't exist beside them, while an apply runs every 100 ms, and with
none running. Exit code 0.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from sailhitch.daemon.plan import make_plan
from sailhitch.daemon.schema import load_file
from sailhitch.daemon.state import from_file
from sailhitch.lab.files import toml_text
from sailhitch.lab.load import Load
from sailhitch.lab.node import Memory, Node
from sailhitch.lab.ports import free_port
from tests.daemons import DaemonProcess, file_value, node_entry

SECONDS = 8.0


def missing_nodes(count: int, weight: float) -> list[dict[str, Any]]:
    """Return the configuration of nodes that don't exist; every tenth has this weight."""
    return [
        node_entry(
            f"x{i}",
            f"127.{1 + i // 60_000}.{i // 250 % 250}.{1 + i % 250}:9000",
            weight=weight if i % 10 == 0 else 1.0,
        )
        for i in range(count)
    ]


def memory_of(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


async def measure_size(folder: Path, count: int) -> dict[str, float]:
    port = free_port()
    value = file_value(
        [{"name": "p", "nodes": missing_nodes(count, 1.0)}], port, {"memory_mb": 512}
    )
    value["gateway"] |= {"state_dir": str(folder / "state"), "admin": str(folder / "g1.sock")}
    daemon = DaemonProcess(folder, value)
    other = folder / "other.toml"
    other.write_text(
        toml_text({**value, "pools": [{"name": "p", "nodes": missing_nodes(count, 2.0)}]})
    )
    starting_at = time.perf_counter()
    await daemon.start()
    assert daemon.program is not None
    try:
        started_at = time.perf_counter()
        memory_before = memory_of(daemon.program.pid)
        wanted = from_file(load_file(other))
        read_at = time.perf_counter()
        current = await daemon.ask({"op": "state"})
        state_at = time.perf_counter()
        plan = make_plan(
            "g1", current["serial"], current["state"], wanted, current["identity"]
        ).dump()
        planned_at = time.perf_counter()
        answer = await daemon.ask({"op": "apply", "plan": plan})
        applied_at = time.perf_counter()
        assert answer["ok"], answer
        return {
            "start_s": started_at - starting_at,
            "read_s": read_at - started_at,
            "state_s": state_at - read_at,
            "plan_s": planned_at - state_at,
            "apply_s": applied_at - planned_at,
            "plan_kb": len(plan) / 1e3,
            "memory_mb": memory_before,
            "memory_after_mb": memory_of(daemon.program.pid),
        }
    finally:
        await daemon.stop()


async def measure_requests(folder: Path, applies: bool) -> dict[str, float]:
    memory = Memory()
    nodes = [Node(0.01, memory=memory, reports=True) for _ in range(5)]
    for node in nodes:
        await node.start()
    port = free_port()

    def value(weight: float) -> dict[str, Any]:
        real = [node_entry(f"n{i}", node.addr, weight=weight) for i, node in enumerate(nodes)]
        # The absent nodes are in a pool of their own, so that no request is sent to them.
        pools = [{"name": "p", "nodes": real}, {"name": "q", "nodes": missing_nodes(100, weight)}]
        config = file_value(pools, port)
        config["gateway"] |= {"state_dir": str(folder / "state"), "admin": str(folder / "g1.sock")}
        return config

    daemon = DaemonProcess(folder, value(1.0))
    await daemon.start()
    count = 0
    try:
        async with Load(f"127.0.0.1:{port}", 16, pause=0.03) as load:
            ends = time.monotonic() + SECONDS
            while time.monotonic() < ends:
                await asyncio.sleep(0.1)
                if applies:
                    plan = await daemon.plan(value(1.0 + count % 2))
                    assert (await daemon.ask({"op": "apply", "plan": plan}))["ok"]
                    count += 1
            await load.finish()
        return {
            "p50_ms": load.quantile(0.5) * 1e3,
            "p99_ms": load.quantile(0.99) * 1e3,
            "served": load.ends["served"],
            "asked": load.asked,
            "applies": count,
        }
    finally:
        await daemon.stop()
        for node in nodes:
            node.stop()


async def run(sizes: list[int]) -> dict[str, dict[str, float]]:
    results: dict[str, dict[str, float]] = {}
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            results[f"{size} nodes"] = await measure_size(Path(folder), size)
    for applies in (False, True):
        with tempfile.TemporaryDirectory() as folder:
            name = "live, applies every 100 ms" if applies else "live, none"
            results[name] = await measure_requests(Path(folder), applies)
    return results


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=[100, 1_000, 10_000])
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    results = asyncio.run(run(options.sizes))
    if options.json:
        print(json.dumps(results))
        return 0
    for name, values in results.items():
        print(f"{name:28}", "  ".join(f"{k}={v:.3g}" for k, v in values.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main())

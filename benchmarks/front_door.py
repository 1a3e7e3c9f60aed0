"""The share of honest requests served beside each crowd, the CPU used, and the cost of admission.

    python benchmarks/front_door.py [--tree DIR] [--sockets 256 384] [--only CROWD] [--json]

Runs each crowd for 8 s against the real program over loopback, beside 320 honest requests a second
through a front that uses at most a third of the descriptors; 12 nodes respond after 30 ms. `--tree`
names another checkout, such as the previous commit, whose program is measured with the same crowds.
Takes some 10 s per crowd and number of sockets; exits 0, or 2 for bad arguments.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from sailhitch.front import ConnectionAdmission, ConnectionBudget  # noqa: E402
from sailhitch.lab.crowd import Crowd, Front, Tally  # noqa: E402
from sailhitch.lab.message import platform  # noqa: E402
from sailhitch.lab.node import Node  # noqa: E402
from tests.sockets import DiscoveryServer, config_value, process  # noqa: E402

RATE, SECONDS, NODES, DELAY = 320.0, 8, 12, 0.03
SAFE = "pure-all"
CrowdFactory = Callable[[Crowd, Front, Tally], list[Coroutine[Any, Any, None]]]


def _hoarders(count: int) -> CrowdFactory:
    return lambda crowd, front, crowd_tally: [
        crowd.hoarders(front, crowd_tally, count / SECONDS, count)
    ]


def _returning_clients(
    crowd: Crowd, front: Front, crowd_tally: Tally
) -> list[Coroutine[Any, Any, None]]:
    gaps = [1.0] * 30 + [3.0] * 60 + [10.0] * 100
    return [crowd.returner(front, crowd_tally, gap, 100) for gap in gaps]


def _trickling_clients(
    crowd: Crowd, front: Front, crowd_tally: Tally
) -> list[Coroutine[Any, Any, None]]:
    data = platform("slow", "side_effect-all", 3000, b"b" * 3000)

    async def trickle_repeatedly(i: int) -> None:
        while True:
            await crowd.trickle(data, 0.02, f"127.0.0.{20 + i % 9}")

    return [trickle_repeatedly(i) for i in range(200)]


def _slow_readers(
    crowd: Crowd, front: Front, crowd_tally: Tally
) -> list[Coroutine[Any, Any, None]]:
    return [crowd.slow_reader(platform(f"s{i}", SAFE, 3000)) for i in range(60)]


def _reconnecting_clients(
    crowd: Crowd, front: Front, crowd_tally: Tally
) -> list[Coroutine[Any, Any, None]]:
    return [crowd.come_back("127.0.0.66") for _ in range(400)]


CROWDS: dict[str, CrowdFactory] = {
    "none": lambda crowd, front, crowd_tally: [],
    "hoard 50": _hoarders(50),
    "hoard 500": _hoarders(500),
    "hoard 5000": _hoarders(5000),
    "return 1 s, 3 s, 10 s": _returning_clients,
    "trickle 200": _trickling_clients,
    "slow readers 60": _slow_readers,
    "silent 50/s": lambda crowd, front, crowd_tally: [crowd.silent(50, 50 * SECONDS)],
    "silent 2000/s": lambda crowd, front, crowd_tally: [crowd.silent(2000, 2000 * SECONDS)],
    "come back 400": _reconnecting_clients,
}


def cpu_seconds(pid: int) -> float:
    """Return the seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def run_crowd(tree: Path, python: str, sockets: int, work: CrowdFactory) -> dict[str, Any]:
    """Run a crowd against a program; return the results of honest requests, and the CPU used."""
    async with AsyncExitStack() as stack:
        nodes = [await stack.enter_async_context(Node(DELAY)) for _ in range(NODES)]
        hosts = [(f"s{i}", node.addr) for i, node in enumerate(nodes)]
        registry = await stack.enter_async_context(DiscoveryServer(*hosts))
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        limits = {"cores": 1.0, "memory_mb": 80, "sockets": sockets}
        value = config_value(registry.addr, *hosts, limits=limits)
        path = Path(folder) / "config.json"
        program, addr = await stack.enter_async_context(process(path, value, tree, python))
        front, honest, crowd_tally = Front(addr, sockets // 3, SAFE), Tally(), Tally()
        crowd = await stack.enter_async_context(Crowd(addr))
        for one in work(crowd, front, crowd_tally):
            crowd.start(one)
        before, started = cpu_seconds(program.pid), time.monotonic()
        await crowd.honest(front, honest, RATE, int(RATE * SECONDS))
        used, took = cpu_seconds(program.pid) - before, time.monotonic() - started
        return {
            "share": honest.share,
            "crowd": crowd_tally.share if crowd_tally.asked else None,
            "ends": dict(honest.ends),
            "twice": honest.answered_twice,
            "cpu": used / took,
            "cpu_us_a_request": used / max(1, honest.ends["served"]) * 1e6,
        }


def admission_cost(count: int = 200_000) -> float:
    """Return the microseconds of admission control per request on a retained connection."""
    admission = ConnectionAdmission(ConnectionBudget(220, 85), 0)
    slots = [admission.on_opened(0, "10.0.0.1") for _ in range(40)]
    started = time.perf_counter()
    for i in range(count):
        slot = slots[i % 40]
        admission.on_request(slot, i * 100, "1")
        admission.is_retained(slot, i * 100)
        admission.on_response(slot, i * 100)
    return (time.perf_counter() - started) / count * 1e6


def pressure_check_cost(held: int, count: int = 300) -> float:
    """Return the microseconds of a check of all connections under pressure."""
    admission = ConnectionAdmission(ConnectionBudget(held + 100, held), 0)
    for i in range(held):
        slot = admission.on_opened(i, f"10.0.{i % 7}.1")
        admission.on_request(slot, i, str(i % 7))
        admission.on_response(slot, i)
    started = time.perf_counter()
    for i in range(count):
        admission.update_pressure(i * 25_000, 50, 0.1)
        admission.low_value_slots(i * 25_000)
    return (time.perf_counter() - started) / count * 1e6


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--tree", type=Path, default=ROOT, help="the checkout to measure")
    parser.add_argument("--python", default=sys.executable, help="the interpreter for it")
    parser.add_argument("--sockets", type=int, nargs="+", default=[256, 384])
    parser.add_argument("--only", choices=sorted(CROWDS), help="run this crowd only")
    parser.add_argument("--json", action="store_true", help="print JSON")
    options = parser.parse_args()
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard_limit, 65_536), hard_limit))
    results: dict[str, Any] = {}
    for sockets in options.sockets:
        for name, work in CROWDS.items():
            if options.only in (None, name):
                result = asyncio.run(run_crowd(options.tree, options.python, sockets, work))
                results[f"{name}, {sockets}"] = result
                if not options.json:
                    crowd = "  -  " if result["crowd"] is None else f"{result['crowd']:.3f}"
                    print(
                        f"{sockets:5} {name:24} served {result['share']:.3f}, crowd {crowd}"
                        f"  cpu {result['cpu']:.2f}  "
                        f"{result['cpu_us_a_request']:.0f} us per request",
                        flush=True,
                    )
    costs = {"event_us": admission_cost()}
    costs |= {f"look_us_at_{held}": pressure_check_cost(held) for held in (85, 341)}
    if options.json:
        print(json.dumps({"crowds": results, "door": costs}, indent=1))
    else:
        print("door:", " ".join(f"{name}={cost:.1f}" for name, cost in costs.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main())

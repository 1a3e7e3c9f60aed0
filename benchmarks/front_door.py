"""Served share of honest requests beside each crowd, CPU, and the cost of a connection event.

    python benchmarks/front_door.py [--tree DIR] [--sockets 256 384] [--only CROWD] [--json]

Plays each crowd against the real program over loopback: 320 honest requests a second through a
front that keeps to a third of the descriptors, 12 nodes that take 30 ms, 8 s each. `--tree` names
another checkout (the commit before, say), whose program is measured with the same crowds. Takes
some 10 s a crowd and size; exit code 0, or 2 for bad arguments.
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
from tests.sockets import Registry, config_value, process  # noqa: E402

RATE, SECONDS, NODES, DELAY = 320.0, 8, 12, 0.03
SAFE = "pure-all"
Work = Callable[[Crowd, Front, Tally], list[Coroutine[Any, Any, None]]]


def _hoard(count: int) -> Work:
    return lambda crowd, front, other: [crowd.hoarders(front, other, count / SECONDS, count)]


def _return(crowd: Crowd, front: Front, other: Tally) -> list[Coroutine[Any, Any, None]]:
    gaps = [1.0] * 30 + [3.0] * 60 + [10.0] * 100
    return [crowd.returner(front, other, gap, 100) for gap in gaps]


def _trickle(crowd: Crowd, front: Front, other: Tally) -> list[Coroutine[Any, Any, None]]:
    data = platform("slow", "side_effect-all", 3000, b"b" * 3000)

    async def again(i: int) -> None:
        while True:
            await crowd.trickle(data, 0.02, f"127.0.0.{20 + i % 9}")

    return [again(i) for i in range(200)]


def _slow(crowd: Crowd, front: Front, other: Tally) -> list[Coroutine[Any, Any, None]]:
    return [crowd.slow_reader(platform(f"s{i}", SAFE, 3000)) for i in range(60)]


def _back(crowd: Crowd, front: Front, other: Tally) -> list[Coroutine[Any, Any, None]]:
    return [crowd.come_back("127.0.0.66") for _ in range(400)]


CROWDS: dict[str, Work] = {
    "none": lambda crowd, front, other: [],
    "hoard 50": _hoard(50),
    "hoard 500": _hoard(500),
    "hoard 5000": _hoard(5000),
    "return 1 s, 3 s, 10 s": _return,
    "trickle 200": _trickle,
    "slow readers 60": _slow,
    "silent 50/s": lambda crowd, front, other: [crowd.silent(50, 50 * SECONDS)],
    "silent 2000/s": lambda crowd, front, other: [crowd.silent(2000, 2000 * SECONDS)],
    "come back 400": _back,
}


def cpu_of(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def play(tree: Path, python: str, sockets: int, work: Work) -> dict[str, Any]:
    """One crowd against one program; what became of the honest requests, and the program's CPU."""
    async with AsyncExitStack() as stack:
        nodes = [await stack.enter_async_context(Node(DELAY)) for _ in range(NODES)]
        hosts = [(f"s{i}", node.addr) for i, node in enumerate(nodes)]
        registry = await stack.enter_async_context(Registry(*hosts))
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        limits = {"cores": 1.0, "memory_mb": 80, "sockets": sockets}
        value = config_value(registry.addr, *hosts, limits=limits)
        path = Path(folder) / "config.json"
        program, addr = await stack.enter_async_context(process(path, value, tree, python))
        front, honest, other = Front(addr, sockets // 3, SAFE), Tally(), Tally()
        crowd = await stack.enter_async_context(Crowd(addr))
        for one in work(crowd, front, other):
            crowd.start(one)
        before, started = cpu_of(program.pid), time.monotonic()
        await crowd.honest(front, honest, RATE, int(RATE * SECONDS))
        used, took = cpu_of(program.pid) - before, time.monotonic() - started
        return {
            "share": honest.share,
            "crowd": other.share if other.asked else None,
            "ends": dict(honest.ends),
            "twice": honest.answered_twice,
            "cpu": used / took,
            "cpu_us_a_request": used / max(1, honest.ends["served"]) * 1e6,
        }


def event_cost(count: int = 200_000) -> float:
    """Microseconds of admission control per request on a kept connection."""
    admission = ConnectionAdmission(ConnectionBudget(220, 85), 0)
    slots = [admission.on_opened(0, "10.0.0.1") for _ in range(40)]
    started = time.perf_counter()
    for i in range(count):
        slot = slots[i % 40]
        admission.on_request(slot, i * 100, "1")
        admission.is_retained(slot, i * 100)
        admission.on_response(slot, i * 100)
    return (time.perf_counter() - started) / count * 1e6


def sense_cost(held: int, count: int = 300) -> float:
    """Microseconds of a look at all that is held, under pressure."""
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
    parser.add_argument("--only", choices=sorted(CROWDS), help="one crowd")
    parser.add_argument("--json", action="store_true", help="for machines")
    given = parser.parse_args()
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(most, 65_536), most))
    results: dict[str, Any] = {}
    for sockets in given.sockets:
        for name, work in CROWDS.items():
            if given.only in (None, name):
                found = asyncio.run(play(given.tree, given.python, sockets, work))
                results[f"{name}, {sockets}"] = found
                if not given.json:
                    crowd = "  -  " if found["crowd"] is None else f"{found['crowd']:.3f}"
                    print(
                        f"{sockets:5} {name:24} served {found['share']:.3f}, its own {crowd}"
                        f"  cpu {found['cpu']:.2f}  {found['cpu_us_a_request']:.0f} us a request",
                        flush=True,
                    )
    costs = {"event_us": event_cost()}
    costs |= {f"look_us_at_{held}": sense_cost(held) for held in (85, 341)}
    if given.json:
        print(json.dumps({"crowds": results, "door": costs}, indent=1))
    else:
        print("door:", " ".join(f"{name}={cost:.1f}" for name, cost in costs.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main())

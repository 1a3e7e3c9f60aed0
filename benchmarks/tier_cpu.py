"""The CPU cost of a tier: of idle daemons, and of a request compared with a standalone daemon.

    python -m benchmarks.tier_cpu [--members 5,25] [--seconds 20] [--requests 6000] [--turns 5]
        [--json]

Idle: the CPU use of each of so many real daemons without clients, from /proc. Requests: one client
sends sequential requests to a member of a tier of three and to a standalone daemon in turn; the
microseconds of the daemon's CPU per request, less what it uses when idle.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import tempfile
from pathlib import Path

from sailhitch.lab.crowd import dial
from sailhitch.lab.gateway_process import GatewayProcess
from sailhitch.lab.message import build
from sailhitch.lab.ports import free_port
from sailhitch.lab.scenario import Scenario
from sailhitch.lab.tier import Lab


def cpu_seconds(gateway: GatewayProcess) -> float:
    """Return the seconds of CPU that all threads of a daemon have used.

    From the scheduler's accounting (schedstat in proc(5)): `stat` is sampled at the system's ticks,
    with which the daemon's own timers coincide.
    """
    assert gateway.program is not None
    tasks = Path(f"/proc/{gateway.program.pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


async def idle(members: int, seconds: float) -> list[float]:
    """Return the share of a core that each daemon of an idle tier uses."""
    scenario = Scenario(name="idle", gateways=members, clients=0, voters=min(5, members))
    with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
        lab = Lab(scenario, Path(folder), lambda text: None)
        try:
            await lab.start()
            await asyncio.sleep(2.0)
            before = [cpu_seconds(one) for one in lab.gateways.values()]
            await asyncio.sleep(seconds)
            after = [cpu_seconds(one) for one in lab.gateways.values()]
        finally:
            await lab.stop()
    return [(b - a) / seconds for a, b in zip(before, after, strict=True)]


async def measure_requests(gateway: GatewayProcess, requests: int) -> float:
    """Send sequential requests; return the microseconds of CPU per request."""
    loop = asyncio.get_running_loop()
    line = await dial(gateway.addr)
    before, began = cpu_seconds(gateway), loop.time()
    for i in range(requests):
        await line.ask(build("POST", "/payouts/new", [("Req-Id", f"b{i}-{began}")], b"x"), 5.0)
    used, took = cpu_seconds(gateway) - before, loop.time() - began
    line.close()
    before = cpu_seconds(gateway)
    await asyncio.sleep(took)
    return (used - (cpu_seconds(gateway) - before)) / requests * 1e6


async def requests(count: int, turns: int) -> dict[str, list[float]]:
    """Return the CPU per request of a member of a tier and of a standalone daemon, in turn."""
    scenario = Scenario(name="requests", gateways=3, clients=0)
    with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
        lab = Lab(scenario, Path(folder), lambda text: None)
        alone = None
        try:
            await lab.start()
            member = lab.gateways["g1"]
            value = {k: v for k, v in member.value.items() if k != "tier"}
            folder_alone = Path(folder) / "alone"
            folder_alone.mkdir()
            port = free_port()
            value["gateway"] = {
                **value["gateway"],
                "state_dir": str(folder_alone / "s"),
                "admin": str(folder_alone / "admin.sock"),
            }
            value["listeners"] = [{"name": "web", "address": f"127.0.0.1:{port}"}]
            alone = GatewayProcess("alone", folder_alone, value, port)
            await alone.start()
            await asyncio.sleep(2.0)
            found: dict[str, list[float]] = {"alone": [], "tier": []}
            for _ in range(turns):
                found["alone"].append(await measure_requests(alone, count))
                found["tier"].append(await measure_requests(member, count))
            return found
        finally:
            if alone is not None:
                await alone.end()
            await lab.stop()


def main() -> None:
    """Print the CPU use of idle daemons, and that of requests."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", default="5,25")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--requests", type=int, default=6000)
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    found: dict[str, object] = {}
    for members in map(int, options.members.split(",")):
        parts = asyncio.run(idle(members, options.seconds))
        found[f"idle {members}"] = parts
        if not options.json:
            mean, most = statistics.mean(parts), max(parts)
            print(f"{members} idle: {mean:.2%} of a core each, at most {most:.2%}", flush=True)
    by_daemon = asyncio.run(requests(options.requests, options.turns))
    if options.json:
        print(json.dumps({**found, **by_daemon}))
        return
    for name, values in by_daemon.items():
        text = ", ".join(f"{one:.0f}" for one in values)
        print(f"{name}: {statistics.median(values):.0f} us per request ({text})")


if __name__ == "__main__":
    main()

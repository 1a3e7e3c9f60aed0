"""What being in a tier costs: CPU of idle daemons, and of a request beside a daemon that is alone.

    python -m benchmarks.tier_cpu [--members 5,25] [--seconds 20] [--requests 6000] [--turns 5]
        [--json]

Idle: so many real daemons with nobody asking, their CPU over the time, by /proc. Requests: one
client that asks one after the other, at a member of a tier of three and at a daemon that is alone,
in turns; microseconds of the daemon's CPU a request, with what it uses when idle taken off.
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


def cpu(gateway: GatewayProcess) -> float:
    """Seconds of CPU that a daemon has used so far, of all its threads.

    By the scheduler's own count (proc(5), schedstat): what `stat` tells is sampled at the system's
    ticks, which timers of the daemon's own fall together with.
    """
    assert gateway.program is not None
    tasks = Path(f"/proc/{gateway.program.pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


async def idle(members: int, seconds: float) -> list[float]:
    """Return the part of a core that each daemon of an idle tier uses."""
    scenario = Scenario(name="idle", gateways=members, clients=0, voters=min(5, members))
    with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
        lab = Lab(scenario, Path(folder), lambda text: None)
        try:
            await lab.start()
            await asyncio.sleep(2.0)
            before = [cpu(one) for one in lab.gateways.values()]
            await asyncio.sleep(seconds)
            after = [cpu(one) for one in lab.gateways.values()]
        finally:
            await lab.stop()
    return [(b - a) / seconds for a, b in zip(before, after, strict=True)]


async def asked(gateway: GatewayProcess, requests: int) -> float:
    """Microseconds of CPU a request, one after the other."""
    loop = asyncio.get_running_loop()
    line = await dial(gateway.addr)
    before, began = cpu(gateway), loop.time()
    for i in range(requests):
        await line.ask(build("POST", "/payouts/new", [("Req-Id", f"b{i}-{began}")], b"x"), 5.0)
    used, took = cpu(gateway) - before, loop.time() - began
    line.close()
    before = cpu(gateway)
    await asyncio.sleep(took)
    return (used - (cpu(gateway) - before)) / requests * 1e6


async def requests(count: int, turns: int) -> dict[str, list[float]]:
    """CPU a request at a member of a tier and at a daemon that is alone, in turns."""
    scenario = Scenario(name="requests", gateways=3, clients=0)
    with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
        lab = Lab(scenario, Path(folder), lambda text: None)
        alone = None
        try:
            await lab.start()
            member = lab.gateways["g1"]
            value = {k: v for k, v in member.value.items() if k != "tier"}
            here = Path(folder) / "alone"
            here.mkdir()
            port = free_port()
            value["gateway"] = {
                **value["gateway"],
                "state_dir": str(here / "s"),
                "admin": str(here / "admin.sock"),
            }
            value["listeners"] = [{"name": "web", "address": f"127.0.0.1:{port}"}]
            alone = GatewayProcess("alone", here, value, port)
            await alone.start()
            await asyncio.sleep(2.0)
            found: dict[str, list[float]] = {"alone": [], "tier": []}
            for _ in range(turns):
                found["alone"].append(await asked(alone, count))
                found["tier"].append(await asked(member, count))
            return found
        finally:
            if alone is not None:
                await alone.end()
            await lab.stop()


def main() -> None:
    """Print both."""
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
            print(f"{members} idle: {mean:.2%} of a core each, {most:.2%} at the most", flush=True)
    said = asyncio.run(requests(options.requests, options.turns))
    if options.json:
        print(json.dumps({**found, **said}))
        return
    for name, values in said.items():
        text = ", ".join(f"{one:.0f}" for one in values)
        print(f"{name}: {statistics.median(values):.0f} us a request ({text})")


if __name__ == "__main__":
    main()

"""A process that runs many hollow gateways.

The rig sends commands as lines of JSON on its standard input and reads answers from its standard
output. The process exits at the end of its input, so that it never outlives the rig.

    python -m benchmarks.scale.host PLAN.json
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import statistics
import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any, Final

import uvloop

from sailhitch.pages import Tree
from sailhitch.tier.wire import load_keys

from .hollow import GOSSIP, DiskWrites, HollowGateway, TierPlan, disk_items_of, read_content

MAX_LINE_BYTES: Final = 1 << 24  # of a command
START_BATCH: Final = 50  # gateways started in one iteration of the event loop


class Host:
    """The hollow gateways of this process, and the commands that control them."""

    def __init__(self, plan: TierPlan, names: list[str]) -> None:
        self.plan = plan
        self.gateways = {name: HollowGateway(name, plan) for name in names}
        self.prepared: dict[str, Tree] = {}  # contents to propose, by file
        self.commands: dict[str, Callable[[dict[str, Any]], Awaitable[Any]]] = {
            "start": self.start,
            "kill": self.kill,
            "restart": self.restart,
            "faults": self.faults,
            "prepare": self.prepare,
            "propose": self.propose,
            "force": self.force,
            "state": self.state,
            "gossip": self.gossip,
            "figures": self.figures,
        }

    def local_gateways(self, request: dict[str, Any]) -> list[HollowGateway]:
        """Return the gateways of this process among a command's members."""
        return [self.gateways[name] for name in request["who"] if name in self.gateways]

    def running(self) -> list[HollowGateway]:
        """Return the gateways that run."""
        return [one for one in self.gateways.values() if one.member is not None]

    async def start(self, request: dict[str, Any]) -> None:
        """Start gateways; `wiped`: with an empty disk."""
        for number, one in enumerate(self.local_gateways(request)):
            if request.get("wiped"):
                one.wipe()
            if one.member is None:
                await one.start()
            if number % START_BATCH == START_BATCH - 1:
                await asyncio.sleep(0)

    async def kill(self, request: dict[str, Any]) -> None:
        """Kill gateways without notice to their peers."""
        for one in self.local_gateways(request):
            one.kill()

    async def restart(self, request: dict[str, Any]) -> None:
        """Let gateways leave as a drain does, and start them again `down` seconds later."""

        async def again(one: HollowGateway) -> None:
            await one.leave()
            await asyncio.sleep(request["down"])
            await one.start()

        await asyncio.gather(*(again(one) for one in self.local_gateways(request)))

    async def faults(self, request: dict[str, Any]) -> None:
        """Set the loss of datagrams and the partitions between members."""
        self.plan.faults.loss = request["loss"]
        self.plan.faults.sides = request["sides"]

    async def prepare(self, request: dict[str, Any]) -> None:
        """Read a state ahead of its proposal, so that reading it is not timed."""
        self.prepared[request["file"]] = read_content(Path(request["file"]))

    async def propose(self, request: dict[str, Any]) -> dict[str, Any]:
        """Let a member propose the state of a file."""
        one = self.gateways[request["who"][0]]
        content = self.prepared.pop(request["file"])
        async with asyncio.timeout(request["within"]):
            end, serial = await one.propose(content, request["base"], request["waits"])
        return {"end": end, "serial": serial}

    async def force(self, request: dict[str, Any]) -> dict[str, float]:
        """Return when a serial came into force, for each running gateway where it has."""
        found = {one.name: one.in_force_at(request["serial"]) for one in self.running()}
        return {name: at for name, at in found.items() if at is not None}

    async def state(self, request: dict[str, Any]) -> dict[str, Any]:
        """Return how many run, which are not active, the latest serial, and the disk sizes."""
        running = self.running()
        return {
            "running": len(running),
            "out": [one.name for one in running if not one.is_active()],
            "serial": max((one.active_serial() for one in running), default=0),
            "held": [one.disk_size() for one in running],
        }

    async def gossip(self, request: dict[str, Any]) -> int:
        """Return how many gossip datagrams were sent so far."""
        counts = self.plan.traffic.datagrams
        return sum(n for (_, way, _, kind), n in counts.items() if (way, kind) == ("sent", GOSSIP))

    async def figures(self, request: dict[str, Any]) -> dict[str, Any]:
        """Return all counts so far, and how late ticks were since the previous call."""
        late = sorted(self.plan.tick_delays)
        self.plan.tick_delays.clear()
        return {
            "traffic": self.plan.traffic.rows(),
            "kept": self.disk_writes(),
            "late_median": statistics.median(late) if late else 0.0,
            "late_worst": late[-1] if late else 0.0,
            "late_p99": late[len(late) * 99 // 100] if late else 0.0,
        }

    def disk_writes(self) -> dict[str, int]:
        """Return the totals of what was written to disks so far."""
        totals = sum((one.disk_writes for one in self.gateways.values()), DiskWrites())
        return asdict(totals)

    async def answer(self, line: bytes) -> dict[str, Any]:
        """Execute one command; return its answer."""
        request = json.loads(line)
        try:
            return {"ok": True, "value": await self.commands[request["do"]](request)}
        except Exception as error:  # reported to the rig, which ends the run
            return {"ok": False, "error": f"{request['do']}: {type(error).__name__}: {error}"}


def read_plan(path: Path) -> tuple[TierPlan, list[str]]:
    """Read a plan written by the rig: the shared configuration, and this process's members."""
    value = json.loads(path.read_text())
    founding = read_content(Path(value["founding"]))
    plan = TierPlan(
        {name: (host, port) for name, host, port in value["members"]},
        tuple(value["voters"]),
        frozenset(value["real"]),
        load_keys(value["key_file"]),
        value["lease"],
        founding,
        disk_items_of(founding) if value["seeded"] else {},
    )
    return plan, value["mine"]


async def serve(path: Path) -> None:
    """Execute commands until the end of input."""
    plan, names = read_plan(path)
    host = Host(plan, names)
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        answer = await host.answer(line)
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
    for one in host.running():
        one.kill()


def main() -> None:
    """Serve the plan named on the command line."""
    with contextlib.suppress(KeyboardInterrupt, BrokenPipeError):
        uvloop.run(serve(Path(sys.argv[1])))
    # Exits without cleanup: nothing outlives the process, and the kernel closes its sockets.
    os._exit(0)


if __name__ == "__main__":
    main()

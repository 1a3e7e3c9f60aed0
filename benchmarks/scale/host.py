"""A process of many hollow gateways.

The rig speaks with it in lines of JSON on its standard input and output; it ends when its input
does, so that none outlives the rig.

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

from .hollow import GOSSIP, HollowGateway, Kept, TierPlan, disk_of, read_content

LINE: Final = 1 << 24  # bytes of a command at most
AT_ONCE: Final = 50  # gateways started in one turn of the loop


class Host:
    """The hollow gateways of this process, and the commands about them."""

    def __init__(self, plan: TierPlan, names: list[str]) -> None:
        self.plan = plan
        self.gateways = {name: HollowGateway(name, plan) for name in names}
        self.prepared: dict[str, Tree] = {}  # states to be proposed, by file
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

    def mine(self, request: dict[str, Any]) -> list[HollowGateway]:
        """Return those of a command's members that are of this process."""
        return [self.gateways[name] for name in request["who"] if name in self.gateways]

    def running(self) -> list[HollowGateway]:
        """Return those that are not killed."""
        return [one for one in self.gateways.values() if one.member is not None]

    async def start(self, request: dict[str, Any]) -> None:
        """Start some; `wiped`: with a disk that was lost."""
        for number, one in enumerate(self.mine(request)):
            if request.get("wiped"):
                one.wipe()
            if one.member is None:
                await one.start()
            if number % AT_ONCE == AT_ONCE - 1:
                await asyncio.sleep(0)

    async def kill(self, request: dict[str, Any]) -> None:
        """Kill some; nobody is told."""
        for one in self.mine(request):
            one.kill()

    async def restart(self, request: dict[str, Any]) -> None:
        """Have some leave as a drain does, and start again `down` seconds later."""

        async def again(one: HollowGateway) -> None:
            await one.leave()
            await asyncio.sleep(request["down"])
            await one.start()

        await asyncio.gather(*(again(one) for one in self.mine(request)))

    async def faults(self, request: dict[str, Any]) -> None:
        """Have datagrams be lost, and members parted."""
        self.plan.faults.loss = request["loss"]
        self.plan.faults.sides = request["sides"]

    async def prepare(self, request: dict[str, Any]) -> None:
        """Read a state that is to be proposed, so that this is no part of how long that takes."""
        self.prepared[request["file"]] = read_content(Path(request["file"]))

    async def propose(self, request: dict[str, Any]) -> dict[str, Any]:
        """Have a member offer the state of a file."""
        one = self.gateways[request["who"][0]]
        content = self.prepared.pop(request["file"])
        async with asyncio.timeout(request["within"]):
            end, serial = await one.propose(content, request["base"], request["waits"])
        return {"end": end, "serial": serial}

    async def force(self, request: dict[str, Any]) -> dict[str, float]:
        """Return those that run and act by a serial, and when they came to."""
        found = {one.name: one.in_force_at(request["serial"]) for one in self.running()}
        return {name: at for name, at in found.items() if at is not None}

    async def state(self, request: dict[str, Any]) -> dict[str, Any]:
        """Return how many run, how many may act, by what, and what they keep."""
        running = self.running()
        return {
            "running": len(running),
            "out": [one.name for one in running if not one.is_in()],
            "serial": max((one.active() for one in running), default=0),
            "held": [one.disk_held() for one in running],
        }

    async def gossip(self, request: dict[str, Any]) -> int:
        """Datagrams of gossip sent so far."""
        counts = self.plan.traffic.datagrams
        return sum(n for (_, way, _, kind), n in counts.items() if (way, kind) == ("sent", GOSSIP))

    async def figures(self, request: dict[str, Any]) -> dict[str, Any]:
        """Return all counts so far, and how late beats came since the last time that was asked."""
        late = sorted(self.plan.lateness)
        self.plan.lateness.clear()
        return {
            "traffic": self.plan.traffic.rows(),
            "kept": self.kept(),
            "late_median": statistics.median(late) if late else 0.0,
            "late_worst": late[-1] if late else 0.0,
            "late_p99": late[len(late) * 99 // 100] if late else 0.0,
        }

    def kept(self) -> dict[str, int]:
        """Return what all have written to their disks so far."""
        whole = sum((one.kept for one in self.gateways.values()), Kept())
        return asdict(whole)

    async def answer(self, line: bytes) -> dict[str, Any]:
        """Carry out one command."""
        request = json.loads(line)
        try:
            return {"ok": True, "value": await self.commands[request["do"]](request)}
        except Exception as error:  # said to the rig, which ends the run
            return {"ok": False, "error": f"{request['do']}: {type(error).__name__}: {error}"}


def read_plan(path: Path) -> tuple[TierPlan, list[str]]:
    """A plan that the rig has written."""
    value = json.loads(path.read_text())
    founding = read_content(Path(value["founding"]))
    plan = TierPlan(
        {name: (host, port) for name, host, port in value["members"]},
        tuple(value["voters"]),
        frozenset(value["real"]),
        load_keys(value["key_file"]),
        value["lease"],
        founding,
        disk_of(founding) if value["seeded"] else {},
    )
    return plan, value["mine"]


async def serve(path: Path) -> None:
    """Carry out commands until there are no more."""
    plan, names = read_plan(path)
    host = Host(plan, names)
    reader = asyncio.StreamReader(limit=LINE)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        answer = await host.answer(line)
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
    for one in host.running():
        one.kill()


def main() -> None:
    """Serve the plan that the command line names."""
    with contextlib.suppress(KeyboardInterrupt, BrokenPipeError):
        uvloop.run(serve(Path(sys.argv[1])))
    # Threads and sockets go with the process; nothing of it is kept.
    os._exit(0)


if __name__ == "__main__":
    main()

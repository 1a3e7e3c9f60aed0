"""A tier of real processes on loopback, with scripted faults.

Each daemon is a process of its own; simulated nodes run in this process, with a relay on each link
between two daemons, and clients at each daemon. `play` runs a scenario (`deploy/lab/*.toml`) and
checks its result.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import secrets
import shutil
import signal
import socket
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, NamedTuple

from ..daemon.admin import AdminError
from ..daemon.plan import make_plan
from ..daemon.schema import parse_value
from .gateway_process import GatewayProcess
from .judge import CommandResult, Result, ResultChecker
from .load import MIX, Load
from .node import Fault, Memory, Node
from .operator_file import operator_file
from .ports import free_port
from .relay import Relay
from .scenario import Scenario, ScenarioError, ScenarioStep

TRACEBACK: Final = "Traceback (most recent call last)"
START_TIMEOUT: Final = 20.0  # s until all members are in
# Steps that configure all relays, and the relay attribute that each sets.
RELAY_ATTRIBUTES: Final = {
    "loss": "loss",
    "delay": "delay",
    "double": "duplication",
    "garble": "corruption",
    "replay": "replay",
}
ZONES: Final = ("leave", "return", "hold", "release")  # commands about zones
COMMANDS: Final = (
    "ban",
    "unban",
    "drop",
    "weigh",
    "withdraw",
    "gone",
    "join",
    "reroute",
    *ZONES,
)
ProgressCallback = Callable[[str], None]


class DaemonPorts(NamedTuple):
    """The daemons' ports, by daemon name."""

    datagrams: dict[str, int]  # for the tier's datagrams
    clients: dict[str, int]


class Lab:
    """Runs the processes, nodes, relays and clients of a scenario."""

    def __init__(self, scenario: Scenario, folder: Path, say: ProgressCallback) -> None:
        self.scenario = scenario
        self.folder = folder
        self.say = say
        self.names = scenario.names()
        self.nodes = {f"n{i + 1}": Node(0.002) for i in range(scenario.nodes)}
        self.gateways: dict[str, GatewayProcess] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.loads: dict[str, Load] = {}
        self.result = Result(scenario)
        self._disk_copies: dict[str, Path] = {}
        self._commands: list[asyncio.Task[None]] = []

    # --- Setup

    async def start(self) -> None:
        """Start everything, and wait until all members are active."""
        scenario = self.scenario
        memory = Memory()
        for node in self.nodes.values():
            node.memory = memory
            node.compares = scenario.compares
            await node.start()
        ports = DaemonPorts(
            {name: free_port(socket.SOCK_DGRAM) for name in self.names},
            {name: free_port() for name in self.names},
        )
        for i, a in enumerate(self.names):
            for j, b in enumerate(self.names):
                if a != b:
                    target = ("127.0.0.1", ports.datagrams[b])
                    relay = Relay(target, scenario.seed * 1000 + i * 30 + j)
                    await relay.start()
                    self.relays[a, b] = relay
        keys = self.folder / "keys"
        keys.write_text(f"1 {secrets.token_hex(32)}\n")
        for name in self.names:
            folder = self.folder / name
            folder.mkdir()
            value = self._operator_file(name, ports, keys)
            parse_value(value)  # an invalid file fails here rather than in each daemon's log
            self.gateways[name] = GatewayProcess(name, folder, value, ports.clients[name])
        first = [one for name, one in self.gateways.items() if name not in scenario.late]
        await asyncio.gather(*(one.start() for one in first))
        await self._wait_until("all members are in", self._all_active)
        now = asyncio.get_running_loop().time()
        for gateway in first:
            gateway.mark_up(now)

    def _operator_file(self, name: str, ports: DaemonPorts, keys: Path) -> dict[str, Any]:
        """Return a member's operator file; it reaches other members through relays."""
        members = {
            other: ports.datagrams[other] if other == name else self.relays[name, other].port
            for other in self.names
            if other == name or other not in self.scenario.late
        }
        nodes = {node_name: node.addr for node_name, node in self.nodes.items()}
        folder = self.folder / name
        return operator_file(self.scenario, name, folder, ports.clients[name], keys, members, nodes)

    async def _all_active(self) -> bool:
        running = [one for one in self.gateways.values() if one.runs()]
        replies = await asyncio.gather(*(one.status() for one in running))
        return all(one.get("standing") == "in" for one in replies)

    async def _zone_statuses(self, step: ScenarioStep) -> list[dict[str, Any]]:
        """Return the status of the step's zone from each gateway in `who`."""
        asked = (self.gateways[name].ask({"op": "zones", "act": "status"}) for name in step.who)
        return [one["zones"][step.node] for one in await asyncio.gather(*asked)]

    async def _is_back(self, step: ScenarioStep) -> bool:
        return all(one["phase"] == "in use" for one in await self._zone_statuses(step))

    async def _is_left(self, step: ScenarioStep) -> bool:
        return all(not one["in_use"] for one in await self._zone_statuses(step))

    async def _all_report_dead(self, step: ScenarioStep) -> bool:
        replies = await asyncio.gather(*(self.gateways[name].status() for name in step.who))
        dead = [
            {m["name"] for m in one.get("members", ()) if m["health"] == "dead"} for one in replies
        ]
        return all(set(step.to) <= one for one in dead)

    async def _all_agree(self, names: list[str]) -> bool:
        running = [self.gateways[name] for name in names if self.gateways[name].runs()]
        replies = await asyncio.gather(*(one.status() for one in running))
        turns = {one.get("turn") for one in replies}
        settled = all(
            one.get("standing") == "in"
            and one["pending"] is None
            and one["voter"] in (None, "voting")
            for one in replies
        )
        confirmed = all(
            member["confirmed"] == one["turn"]
            for one in replies
            for member in one.get("members", ())
            if member["name"] == one["name"]
        )
        return settled and confirmed and len(turns) == 1

    async def _wait_until(
        self, what: str, condition: Callable[[], Any], patience: float = START_TIMEOUT
    ) -> None:
        try:
            async with asyncio.timeout(patience):
                while not await condition():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            logs = "\n".join(
                f"--- {name}\n{one.log.read_text()[-1500:]}" for name, one in self.gateways.items()
            )
            raise ScenarioError(f"timed out after {patience:g} s: {what}\n{logs}") from None

    async def stop(self) -> None:
        """Stop everything that was started."""
        for task in self._commands:
            task.cancel()
        await asyncio.gather(*(one.end() for one in self.gateways.values()))
        for relay in self.relays.values():
            relay.stop()
        for node in self.nodes.values():
            if node.addr:
                node.stop()

    # --- Playing

    async def play(self) -> Result:
        """Play all steps, then check the result."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for gateway in self.gateways.values():
            if gateway.name not in self.scenario.late:
                await self.start_load(gateway)
        for step in self.scenario.steps:
            await asyncio.sleep(max(0.0, started_at + step.at - loop.time()))
            self.say(f"{step.at:6.2f} s  {step.do} {' '.join(step.who)} {step.node}".rstrip())
            await self.do(step)
        await asyncio.sleep(max(0.0, started_at + self.scenario.seconds - loop.time()))
        await asyncio.gather(*self._commands)
        ended = loop.time()
        for gateway in self.gateways.values():
            gateway.send(signal.SIGCONT)
        await asyncio.gather(*(load.finish() for load in self.loads.values()))
        ResultChecker(self.result, self.nodes, self.gateways, self.loads).check(started_at, ended)
        self._report_tracebacks()
        return self.result

    def _report_tracebacks(self) -> None:
        """Report gateways whose log has tracebacks, of unhandled exceptions, as broken."""
        for name, gateway in self.gateways.items():
            count = gateway.log.read_text().count(TRACEBACK) if gateway.log.exists() else 0
            if count:
                self.result.broken.append(f"{name}: {count} tracebacks in its log")

    async def start_load(self, gateway: GatewayProcess) -> None:
        """Start clients that send requests to a gateway until the play ends."""
        seed = self.scenario.seed + self.names.index(gateway.name)
        name = gateway.name
        load = Load(gateway.addr, self.scenario.clients, MIX, 0.02, seed, f"{name}-")
        self.loads[name] = await load.__aenter__()

    async def do(self, step: ScenarioStep) -> None:
        """Carry out a step; raises ScenarioError if a condition is not met in time."""
        chosen = [self.gateways[name] for name in step.who]
        now = asyncio.get_running_loop().time()
        if step.do in COMMANDS:
            loop = asyncio.get_running_loop()
            self._commands += [loop.create_task(self._issue_command(step, one)) for one in chosen]
        elif step.do == "await":
            await asyncio.gather(*self._commands)
        elif step.do == "agree":
            await self._wait_until("all agree", lambda: self._all_agree(step.who or self.names))
        elif step.do == "dead":
            await self._wait_until(f"{step.to} declared dead", lambda: self._all_report_dead(step))
        elif step.do == "back":
            await self._wait_until(f"{step.node} is back", lambda: self._is_back(step))
        elif step.do == "left":
            await self._wait_until(f"{step.node} is left", lambda: self._is_left(step))
            took = asyncio.get_running_loop().time() - now
            if took > step.value:
                self.result.broken.append(f"{step.node} was left after {took:.2f} s")
        elif step.do in ("freeze", "thaw"):
            script = (lambda name: Fault.SILENT) if step.do == "freeze" else None
            for name, node in self.nodes.items():
                if self.scenario.zone_of(name) == step.node:
                    node.script = script
        elif step.do in ("cut", "heal"):
            self._set_cuts(step)
        elif step.do in RELAY_ATTRIBUTES:
            for relay in self.relays.values():
                setattr(relay, RELAY_ATTRIBUTES[step.do], step.value)
        else:
            for one in chosen:
                await self._inject_fault(step, one, now)

    async def _inject_fault(self, step: ScenarioStep, one: GatewayProcess, now: float) -> None:
        state = one.folder / "state"
        if step.do == "pause":
            one.mark_down(now)
            one.send(signal.SIGSTOP)
        elif step.do == "wake":
            one.send(signal.SIGCONT)
            one.mark_up(now + 0.5)
        elif step.do in ("kill", "stop"):
            one.mark_down(now)
            one.restarted = True
            await one.end(signal.SIGKILL if step.do == "kill" else signal.SIGTERM)
        elif step.do == "full_disk":
            assert one.program is not None
            # The process can't grow any file from now on; a restarted one can.
            resource.prlimit(one.program.pid, resource.RLIMIT_FSIZE, (0, 0))
        elif step.do == "copy_disk":
            self._disk_copies[one.name] = copy = self.folder / f"{one.name}-copy"
            shutil.copytree(state, copy)
        elif step.do in ("old_disk", "lost_disk"):
            shutil.rmtree(state)
            if step.do == "old_disk":
                shutil.copytree(self._disk_copies[one.name], state)
        elif step.do == "start":
            await one.start()
            one.mark_up(now + 2.0)
            if one.name not in self.loads:
                await self.start_load(one)

    def _set_cuts(self, step: ScenarioStep) -> None:
        for (a, b), relay in self.relays.items():
            if a in step.who and (not step.to or b in step.to):
                relay.cut = step.do == "cut"
            elif step.do == "heal" and not step.who:
                relay.cut = False

    async def _issue_command(self, step: ScenarioStep, gateway: GatewayProcess) -> None:
        loop = asyncio.get_running_loop()
        asked = loop.time()
        try:
            answer = await self._run_command(step, gateway)
        except AdminError as error:
            answer = {"ok": False, "code": "unreachable", "error": str(error)}
        end = "refused"
        if answer.get("ok"):
            end = "pending" if answer.get("pending") else "active"
        elif answer.get("code") == "moved":
            end = "stale"
        text = str(answer.get("error", ""))
        command_result = CommandResult(step, gateway.name, asked, loop.time(), end, text)
        self.result.command_results.append(command_result)
        self.say(f"          {step.do} {step.node} at {gateway.name}: {end} {text}".rstrip())

    async def _join(self, step: ScenarioStep, gateway: GatewayProcess) -> dict[str, Any]:
        """Admit members at new addresses: new ones, or ones that moved to another machine."""
        answer: dict[str, Any] = {}
        for name in step.to:
            port = free_port(socket.SOCK_DGRAM)
            one = self.gateways[name]
            for member in one.value["tier"]["members"]:
                if member["name"] == name:
                    member["address"] = f"127.0.0.1:{port}"
            place = {"op": "tier", "act": "join", "name": name, "place": f"127.0.0.1:{port}"}
            answer = await gateway.ask(place)
        return answer

    async def _run_command(self, step: ScenarioStep, gateway: GatewayProcess) -> dict[str, Any]:
        if step.do in ("ban", "unban"):
            return await gateway.ask(
                {"op": "ban", "node": f"claims/{step.node}", "out": step.do == "ban", "why": "lab"}
            )
        if step.do in ("withdraw", "gone"):
            return await gateway.ask({"op": "tier", "act": step.do, "name": step.node})
        if step.do in ZONES:
            zone = {"op": "zones", "act": step.do, "zone": step.node, "why": "lab"}
            return await gateway.ask(zone)
        if step.do == "join":
            return await self._join(step, gateway)
        live = await gateway.ask({"op": "state"})
        nodes = dict(live["state"]["nodes"])
        key = f"claims/{step.node}"
        routes = dict(live["state"]["routes"])
        if step.do == "reroute":
            pool = "spare" if step.value else "claims"
            routes["payouts"] = {**routes["payouts"], "pools": {pool: 1.0}}
        elif step.do == "drop":
            nodes.pop(key, None)
        elif key in nodes:
            nodes[key] = {**nodes[key], "weight": step.value or 2.0}
        wanted = {**live["state"], "nodes": nodes, "routes": routes}
        plan = make_plan(live["gateway"], live["serial"], live["state"], wanted)
        return await gateway.ask({"op": "apply", "plan": plan.dump()})


async def play(scenario: Scenario, say: ProgressCallback = lambda text: None) -> Result:
    """Play a scenario; raises ScenarioError if it can't be carried out."""
    with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
        lab = Lab(scenario, Path(folder), say)
        try:
            await lab.start()
            return await lab.play()
        finally:
            await lab.stop()
            keep = os.environ.get("SAILHITCH_LAB_LOGS")
            if keep:
                for name, gateway in lab.gateways.items():
                    with contextlib.suppress(OSError):
                        Path(keep).mkdir(parents=True, exist_ok=True)
                        shutil.copy(gateway.log, Path(keep) / f"{int(time.time())}-{name}.log")

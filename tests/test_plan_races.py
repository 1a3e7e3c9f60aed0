"""Plans and bans of operators at a tier of daemon processes, whose races are forced.

A daemon holds at a point of a change for as long as a file of that name exists; another operator's
change becomes active meanwhile. `test_stale_plans` plays such races in one process.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from sailhitch.daemon.admin import AdminError
from sailhitch.daemon.plan import make_plan
from sailhitch.lab.files import toml_text
from sailhitch.lab.gateway_process import GatewayProcess
from sailhitch.lab.operator_file import operator_file
from sailhitch.lab.ports import free_port
from sailhitch.lab.scenario import Scenario

PLAY_TIMEOUT = 60.0  # s
AGREE_WITHIN = 4.0  # s
SCENARIO = Scenario(name="races", nodes=4, agree_within=f"{AGREE_WITHIN:g}s")
NODE = "claims/n1"  # the one that is banned; plans change the others

HELD_DAEMON = """
import os, sys, time
from pathlib import Path
from sailhitch.daemon import tier_source
from sailhitch.daemon.process import run_daemon
from sailhitch.daemon.state_applier import StateApplier
from sailhitch.daemon.version_states import VersionStates

folder = Path(sys.argv[2])

def held(owner, name, point):
    real = getattr(owner, name)
    def call(*arguments):
        result = real(*arguments)
        if (folder / point).exists():
            (folder / f"{point}.reached").touch()
            while (folder / point).exists():
                time.sleep(0.005)
        return result
    setattr(owner, name, call)

held(tier_source, "load_plan", "load")
held(tier_source, "compute_plan_result", "compute")
held(VersionStates, "tree", "tree")
held(StateApplier, "_next_applied", "switch")
sys.exit(run_daemon(sys.argv[1]))
"""


class HeldDaemon(GatewayProcess):
    """A daemon that can be held in the thread that works for a change."""

    async def start(self) -> None:
        """Write the operator file and start the daemon."""
        file = self.folder / "g.toml"
        file.write_text(toml_text(self.value))
        with open(self.log, "ab") as log:
            self.program = await asyncio.create_subprocess_exec(
                sys.executable, "-c", HELD_DAEMON, str(file), str(self.folder), stderr=log
            )

    def hold(self, point: str) -> None:
        (self.folder / f"{point}.reached").unlink(missing_ok=True)
        (self.folder / point).touch()

    async def reached(self, point: str) -> None:
        while not (self.folder / f"{point}.reached").exists():
            await asyncio.sleep(0.01)

    def release(self, point: str) -> None:
        (self.folder / point).unlink()

    async def live(self) -> dict[str, Any]:
        return await self.ask({"op": "state"})

    async def until_live(self, serial: int) -> None:
        """Wait until this gateway has applied a serial as active."""
        while (await self.live())["serial"] < serial:
            await asyncio.sleep(0.02)

    async def until_active(self) -> None:
        while (await self.status()).get("standing") != "in":
            assert self.runs(), self.log.read_text()
            await asyncio.sleep(0.05)

    async def plan(self, node: str, weight: float) -> str:
        """Return the text of a plan, made by this gateway's live state, that changes one weight."""
        live = await self.live()
        nodes = live["state"]["nodes"]
        wanted = {**live["state"], "nodes": {**nodes, node: {**nodes[node], "weight": weight}}}
        base = live["gateway"], live["serial"], live["state"], wanted, live["identity"]
        return make_plan(*base).dump()

    async def apply(self, plan: str) -> dict[str, Any]:
        return await self.ask({"op": "apply", "plan": plan})

    async def ban(self, out: bool) -> dict[str, Any]:
        return await self.ask({"op": "ban", "node": NODE, "out": out, "why": "repair"})


@contextlib.asynccontextmanager
async def tier_of_processes(tmp_path: Path) -> AsyncIterator[list[HeldDaemon]]:
    """Yield three daemons that are active members and voters of a tier."""
    keys = tmp_path / "keys"
    keys.write_text(f"1 {secrets.token_hex(32)}\n")
    members = {name: free_port(socket.SOCK_DGRAM) for name in SCENARIO.names()}
    nodes = {f"n{i + 1}": f"127.0.0.1:{free_port()}" for i in range(SCENARIO.nodes)}
    daemons = []
    for name in members:
        folder = tmp_path / name
        folder.mkdir()
        port = free_port()
        value = operator_file(SCENARIO, name, folder, port, keys, members, nodes)
        daemons.append(HeldDaemon(name, folder, value, port))
    try:
        async with asyncio.timeout(PLAY_TIMEOUT):
            await asyncio.gather(*(one.start() for one in daemons))
            await asyncio.gather(*(one.until_active() for one in daemons))
            yield daemons
    finally:
        await asyncio.gather(*(one.end() for one in daemons))


async def _assert_moved(reply: dict[str, Any], plan: str, live_serial: int) -> None:
    made = json.loads(plan)["serial"]
    assert reply.get("code") == "moved", reply
    assert f"against serial {made}, and the live state is {live_serial}" in reply["error"]


async def _assert_live(daemons: list[HeldDaemon], serial: int, weights: dict[str, float]) -> None:
    """Check that all gateways have a serial, with the node banned and these weights alone."""
    for one in daemons:
        await one.until_live(serial)
        live = await one.live()
        assert live["serial"] == serial
        assert list(live["state"]["bans"]) == [NODE]
        found = {name: node["weight"] for name, node in live["state"]["nodes"].items()}
        assert {name: weight for name, weight in found.items() if weight != 1.0} == weights


@pytest.mark.parametrize("point", ["load", "compute", "tree"])
def test_plans_that_a_ban_overtakes_are_refused_and_the_ban_holds(
    point: str, tmp_path: Path
) -> None:
    """Guards against a plan that undoes a ban that became active while the plan was read."""

    async def run() -> None:
        async with tier_of_processes(tmp_path) as daemons:
            first, second, third = daemons
            # A ban makes a tree too, so the held gateway can't take one at that point.
            banned_at_gateways = (second, third) if point == "tree" else (first, second)
            for banned_at in banned_at_gateways:
                plans = [await first.plan(f"claims/n{2 + i}", 2.0 + i) for i in range(2)]
                serial = json.loads(plans[0])["serial"]
                first.hold(point)
                applying = [asyncio.create_task(first.apply(plan)) for plan in plans]
                await first.reached(point)
                banned = await banned_at.ban(True)
                assert banned["ok"], banned
                assert "pending" not in banned
                assert banned["serial"] == serial + 1
                await first.until_live(serial + 1)
                first.release(point)
                for plan, task in zip(plans, applying, strict=True):
                    await _assert_moved(await task, plan, serial + 1)
                await _assert_live(daemons, serial + 1, {})
                assert (await banned_at.ban(False))["ok"]
                await first.until_live(serial + 2)

    asyncio.run(run())


def test_a_plan_beside_a_ban_that_is_not_applied_here_yet_is_refused_and_the_ban_holds(
    tmp_path: Path,
) -> None:
    """Guards against a plan that wins over a ban which waits for the plan's own gateway."""

    async def run() -> None:
        async with tier_of_processes(tmp_path) as daemons:
            first, second, _ = daemons
            plan = await first.plan("claims/n2", 2.0)
            serial = json.loads(plan)["serial"]
            first.hold("switch")
            banning = asyncio.create_task(second.ban(True))
            await first.reached("switch")
            reply = await first.apply(plan)
            assert reply["code"] == "moved", reply
            assert f"serial {serial + 1} is pending" in reply["error"]
            first.release("switch")
            banned = await banning
            assert banned["ok"]
            assert banned["serial"] == serial + 1
            await _assert_live(daemons, serial + 1, {})
            await _assert_moved(await first.apply(plan), plan, serial + 1)

    asyncio.run(run())


def test_plans_of_two_versions_at_a_gateway_that_is_a_version_behind(tmp_path: Path) -> None:
    """Guards against a yes to the old one, and against a refusal of the new one."""

    async def run() -> None:
        async with tier_of_processes(tmp_path) as daemons:
            first, second, _ = daemons
            assert (await second.ban(True))["ok"]
            await asyncio.gather(*(one.until_live(2) for one in daemons))
            old = await first.plan("claims/n2", 2.0)
            first.hold("switch")
            assert (await second.apply(await second.plan("claims/n3", 3.0)))["serial"] == 3
            await first.reached("switch")
            await _assert_moved(await first.apply(old), old, 3)
            new = await second.plan("claims/n4", 4.0)
            applying = asyncio.create_task(first.apply(new))
            await asyncio.sleep(0.5)
            assert not applying.done()
            first.release("switch")
            applied = await applying
            assert applied["ok"], applied
            assert applied["serial"] == 4
            await _assert_live(daemons, 4, {"claims/n3": 3.0, "claims/n4": 4.0})

    asyncio.run(run())


def test_a_plan_that_is_repeated_after_its_gateway_was_killed_undoes_no_ban(
    tmp_path: Path,
) -> None:
    """Guards against a plan of an earlier version at a gateway that has just been started."""

    async def run() -> None:
        async with tier_of_processes(tmp_path) as daemons:
            first, second, _ = daemons
            plan = await first.plan("claims/n2", 2.0)
            serial = json.loads(plan)["serial"]
            first.hold("compute")
            applying = asyncio.create_task(first.apply(plan))
            await first.reached("compute")
            await first.end()
            with pytest.raises(AdminError):
                await applying
            first.release("compute")
            banning = asyncio.create_task(second.ban(True))
            await first.start()
            await first.until_active()
            assert (await banning)["ok"]
            await first.until_live(serial + 1)
            await _assert_moved(await first.apply(plan), plan, serial + 1)
            await _assert_live(daemons, serial + 1, {})

    asyncio.run(run())

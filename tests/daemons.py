"""The daemon for tests: in this process, or in a process of its own that can be killed."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from collections.abc import AsyncIterator, Mapping, Sequence
from pathlib import Path
from typing import Any

from sailhitch.core.core import GatewayCore
from sailhitch.core.log import Log
from sailhitch.daemon.admin import AdminServer, ask
from sailhitch.daemon.plan import make_plan
from sailhitch.daemon.schema import OperatorFile, parse_value
from sailhitch.daemon.source import LocalStateSource
from sailhitch.daemon.state import from_file
from sailhitch.daemon.state_applier import StateApplier, resource_limits
from sailhitch.daemon.store import StepCallback, Store
from sailhitch.lab.files import toml_text
from sailhitch.lab.node import Node
from sailhitch.lab.ports import free_port
from tests.sockets import TEST_TIMEOUT, Client, dial

CLASSES = [
    {"name": "page", "aim": "1s", "deadline": "3s"},
    {"name": "payout", "effect": "unsafe", "aim": "2s", "deadline": "3s", "worth": 3.0},
    {
        "name": "filing",
        "effect": "keyed",
        "aim": "2s",
        "deadline": "3s",
        "dedup": "pool",
        "window": "60s",
    },
]
ROUTES: list[dict[str, Any]] = [
    {"name": "payouts", "match": {"path_prefix": "/payouts"}, "class": "payout"},
    {
        "name": "filings",
        "match": {"path_prefix": "/claims", "methods": ["POST"]},
        "class": "filing",
    },
    {"name": "rest", "class": "page"},
]


def node_entry(name: str, addr: str, **more: Any) -> dict[str, Any]:
    return {"id": name, "address": addr, **more}


def pool(name: str, nodes: Mapping[str, str | Node], **more: Any) -> dict[str, Any]:
    node_values = [node_entry(i, n.addr if isinstance(n, Node) else n) for i, n in nodes.items()]
    return {"name": name, "nodes": node_values, **more}


def file_value(
    pools: Sequence[dict[str, Any]], port: int, gateway: Mapping[str, Any] = {}, **changes: Any
) -> dict[str, Any]:
    """The decoded value of a file with one listener, three classes and routes to the first pool."""
    first_pool = pools[0]["name"] if pools else "none"
    routes = [{"pools": {first_pool: 1.0}, **route} for route in ROUTES]
    return {
        "version": 1,
        "gateway": {"name": "g1", "cold_time": "500ms", "memory_mb": 128, **gateway},
        "listeners": [{"name": "web", "address": f"127.0.0.1:{port}"}],
        "classes": CLASSES,
        "pools": list(pools),
        "routes": routes,
        **changes,
    }


class InProcessDaemon:
    """A daemon in this process."""

    def __init__(
        self, live: StateApplier, source: LocalStateSource, port: int, admin: AdminServer
    ) -> None:
        self.live, self.source, self.port, self.admin = live, source, port, admin
        self.addr = f"127.0.0.1:{port}"

    async def client(self) -> Client:
        return await dial(self.addr)

    def plan(self, value: Mapping[str, Any]) -> str:
        """Return the text of a plan from the live state to a file's state."""
        wanted = from_file(checked_file(value))
        live = self.live
        plan = make_plan(live.gateway.name, live.applied.serial, live.applied.state, wanted)
        return plan.dump()

    async def plan_and_apply(self, value: Mapping[str, Any]) -> None:
        # In a thread: an operator makes plans in another process, and here it would block the loop.
        plan = await asyncio.to_thread(self.plan, value)
        await self.source.apply_plan(plan, "test")


def checked_file(value: Mapping[str, Any]) -> OperatorFile:
    return parse_value(json.loads(json.dumps(value)))


@contextlib.asynccontextmanager
async def in_process_daemon(
    tmp_path: Path,
    value: Mapping[str, Any],
    step: StepCallback = lambda step: None,
    stored: bool = False,
) -> AsyncIterator[InProcessDaemon]:
    """Run a daemon in this process that is configured by this file's value."""
    operator_file = checked_file(value)
    gateway = operator_file.gateway
    core = GatewayCore(resource_limits(gateway, 1_000_000), asyncio.get_running_loop(), Log("g1"))
    store = Store(tmp_path / "state", gateway.name) if stored else None
    live = StateApplier(core, gateway, store, step)
    core.start()
    source = LocalStateSource(live)
    admin = AdminServer(live, source, tmp_path / "g1.sock")
    try:
        await source.start(operator_file)
        await admin.start()
        core.ready = True
        port = int(operator_file.listeners[0].address.rpartition(":")[2])
        yield InProcessDaemon(live, source, port, admin)
    finally:
        admin.close()
        live.stop_listening()
        core.stop()
        if store is not None:
            store.close()
    assert core.counters.panics == core.counters.faults == 0


SELF_KILLING_DAEMON = """
import os, signal, sys
from sailhitch.daemon.process import run_daemon
kill_step = sys.argv[2]
armed = os.environ["ARMED"]
def step(name):
    if name == kill_step and os.path.exists(armed):
        os.kill(os.getpid(), getattr(signal, sys.argv[3]))
sys.exit(run_daemon(sys.argv[1], step))
"""


class DaemonProcess:
    """A daemon in a process of its own."""

    def __init__(self, path: Path, value: Mapping[str, Any]) -> None:
        self.path, self.value = path, value
        self.admin = path / "g1.sock"
        self.file = path / "g1.toml"
        self.armed = path / "armed"
        self.log = path / "log"
        self.program: asyncio.subprocess.Process | None = None

    async def start(self, kill_at: str = "", number: str = "SIGKILL") -> None:
        """Start and wait for a reply; at step `kill_at` it kills itself if `armed` exists."""
        self.file.write_text(toml_text(self.value))
        self.armed.unlink(missing_ok=True)
        with open(self.log, "ab") as log:
            self.program = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                SELF_KILLING_DAEMON,
                str(self.file),
                kill_at or "never",
                number,
                env=os.environ | {"ARMED": str(self.armed)},
                stderr=log,
            )
        async with asyncio.timeout(TEST_TIMEOUT):
            while not await self._is_ready():
                assert self.program.returncode is None, self.log.read_text()
                await asyncio.sleep(0.02)

    async def _is_ready(self) -> bool:
        try:
            return bool((await self.ask({"op": "state"}))["ok"])
        except Exception:
            return False

    async def ask(self, request: Mapping[str, Any]) -> dict[str, Any]:
        return await asyncio.to_thread(ask, self.admin, request, TEST_TIMEOUT)

    async def plan(self, value: Mapping[str, Any]) -> str:
        live = await self.ask({"op": "state"})
        wanted = from_file(checked_file(value))
        base = live["serial"], live["state"], wanted, live["identity"]
        return make_plan("g1", *base).dump()

    async def wait(self) -> int:
        assert self.program is not None
        async with asyncio.timeout(TEST_TIMEOUT):
            return await self.program.wait()

    async def stop(self) -> None:
        if self.program is not None and self.program.returncode is None:
            self.program.kill()
            await self.program.wait()


@contextlib.asynccontextmanager
async def daemon_process(tmp_path: Path, value: Mapping[str, Any]) -> AsyncIterator[DaemonProcess]:
    gateway = value["gateway"] | {
        "state_dir": str(tmp_path / "state"),
        "admin": str(tmp_path / "g1.sock"),
    }
    daemon = DaemonProcess(tmp_path, {**value, "gateway": gateway})
    try:
        yield daemon
    finally:
        await daemon.stop()


__all__ = ["free_port"]

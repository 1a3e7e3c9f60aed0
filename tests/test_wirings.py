"""The four rules over sockets, tested alike for the platform's gateway and the daemon."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from sailhitch.core.core import GatewayCore
from sailhitch.lab.message import build
from sailhitch.lab.node import Fault, Memory, Node, executed_twice
from sailhitch.lab.ports import free_port
from tests.daemons import InProcessDaemon, file_value, in_process_daemon, pool
from tests.sockets import (
    TEST_TIMEOUT,
    Client,
    DiscoveryServer,
    RunningGateway,
    dial,
    entry,
    running_gateway,
    until,
)

# For each kind of request: its class on the platform, and its path in the routes of the daemon.
KINDS = {
    "safe": ("pure-all", "/x"),
    "unsafe": ("side_effect-all", "/payouts"),
    "keyed": ("token-all", "/claims"),
}
COLD = 3.0  # s that a new node is warming up


def message(kind: str, name: str, wait_ms: int = 2500) -> bytes:
    """Return a request that both wirings treat the same."""
    class_name, path = KINDS[kind]
    fields = [("Req-Id", name), ("Req-Kind", class_name), ("Req-Deadline-Ms", str(wait_ms))]
    if kind == "keyed":
        fields.append(("Idempotency-Key", f"key-{name}"))
    if kind == "safe":
        return build("GET", path, fields)
    return build("POST", path, fields, b"b")


class Wiring:
    """A gateway whose nodes can be drained and added."""

    core: GatewayCore
    addr: str

    async def client(self) -> Client:
        return await dial(self.addr)

    async def drain(self, name: str) -> None:
        raise NotImplementedError

    async def add(self, name: str, node: Node) -> None:
        raise NotImplementedError


class PlatformWiring(Wiring):
    def __init__(self, gateway: RunningGateway, registry: DiscoveryServer) -> None:
        self.core, self.addr, self.gateway, self.registry = (
            gateway.core,
            gateway.addr,
            gateway,
            registry,
        )

    def _update(self, *entries: dict[str, Any]) -> None:
        names = {entry["id"] for entry in entries}
        kept = [old for old in self.registry.entries if old["id"] not in names]
        self.registry.entries = [*kept, *entries]
        self.registry.version += 1

    async def drain(self, name: str) -> None:
        (current,) = [old for old in self.registry.entries if old["id"] == name]
        self._update({**current, "state": "leaving"})
        await until(lambda: self.gateway.pool.endpoints[name].endpoint.state == "draining")

    async def add(self, name: str, node: Node) -> None:
        self._update(entry(name, node.addr) | {"started_ms": int(time.time() * 1000)})
        await until(lambda: name in self.gateway.pool.endpoints)


class DaemonWiring(Wiring):
    def __init__(
        self, gateway: InProcessDaemon, nodes: dict[str, Node], value: Callable[..., Any]
    ) -> None:
        self.core, self.addr, self.gateway, self.nodes = (
            gateway.live.core,
            gateway.addr,
            gateway,
            dict(nodes),
        )
        self.value = value

    async def drain(self, name: str) -> None:
        del self.nodes[name]
        await self.gateway.plan_and_apply(self.value(self.nodes))

    async def add(self, name: str, node: Node) -> None:
        self.nodes[name] = node
        await self.gateway.plan_and_apply(self.value(self.nodes))


@contextlib.asynccontextmanager
async def platform(tmp_path: Path, nodes: dict[str, Node]) -> AsyncIterator[Wiring]:
    rules = {"cold": int(COLD * 1e6), "coldShare": 0.3}
    async with (
        DiscoveryServer(*((name, node.addr) for name, node in nodes.items())) as registry,
        running_gateway(discovery=registry.addr, settings={"rules": rules}) as gateway,
    ):
        await until(lambda: set(gateway.pool.endpoints) == set(nodes))
        yield PlatformWiring(gateway, registry)


@contextlib.asynccontextmanager
async def daemon(tmp_path: Path, nodes: dict[str, Node]) -> AsyncIterator[Wiring]:
    port = free_port()

    def value(current: dict[str, Node]) -> dict[str, Any]:
        gateway_table = {"cold_time": f"{int(COLD * 1000)}ms", "cold_share": 0.3}
        return file_value([pool("p", current)], port, gateway_table)

    async with in_process_daemon(tmp_path, value(nodes)) as gateway:
        yield DaemonWiring(gateway, nodes, value)


both_wirings = pytest.mark.parametrize("wiring", [platform, daemon])
Scenario = Callable[[Wiring], Awaitable[None]]


def run_scenario(wiring: Any, tmp_path: Path, nodes: dict[str, Node], scenario: Scenario) -> None:
    async def run() -> None:
        async with contextlib.AsyncExitStack() as stack:
            for node in nodes.values():
                await stack.enter_async_context(node)
            async with asyncio.timeout(4 * TEST_TIMEOUT), wiring(tmp_path, nodes) as gateway:
                await scenario(gateway)

    asyncio.run(run())


@both_wirings
@pytest.mark.parametrize("kind", list(KINDS))
@pytest.mark.parametrize("fault", list(Fault))
def test_one_answer_in_time_and_no_effect_twice_whatever_a_node_does(
    wiring: Any, fault: Fault, kind: str, tmp_path: Path
) -> None:
    memory = Memory()
    seen: list[bytes] = []

    def script(name: bytes) -> Fault | None:
        seen.append(name)
        return fault if len(seen) % 2 else None  # every second attempt succeeds

    nodes = {n: Node(0.01, memory=memory, slow=0.4, script=script) for n in ("a", "b", "c")}

    async def scenario(gateway: Wiring) -> None:
        clients = [await gateway.client() for _ in range(6)]
        started = time.monotonic()
        for i, client in enumerate(clients):
            client.send(message(kind, f"r{i}", 800))
        answers = [await client.answer() for client in clients]
        assert time.monotonic() - started < 5.0
        await until(lambda: not gateway.core.open_requests)
        for client in clients:
            client.writer.write_eof()
            assert await client.read_to_end() == b""  # no second answer
        assert {status for status, _ in answers} <= {200, 500, 502, 503, 504}
        for i, (status, body) in enumerate(answers):
            if status == 200:
                assert body.split(b" ")[0] == b"r%d" % i
            if status == 503 and kind == "unsafe":
                # Refused: it must not have run.
                assert not any(node.effects[b"r%d" % i] for node in nodes.values())
        assert not executed_twice(list(nodes.values()))
        if fault in (Fault.REFUSE, Fault.RESET_BEFORE) and kind == "safe":
            assert [status for status, _ in answers].count(200) >= 3

    run_scenario(wiring, tmp_path, nodes, scenario)


@both_wirings
def test_a_node_that_never_answers_costs_no_request_its_answer(wiring: Any, tmp_path: Path) -> None:
    nodes = {"a": Node(script=lambda name: Fault.SILENT)}

    async def scenario(gateway: Wiring) -> None:
        client = await gateway.client()
        for kind in KINDS:
            started = time.monotonic()
            status, _ = await client.ask(message(kind, kind, 300))
            assert status in (502, 503, 504)
            assert time.monotonic() - started < 3.0
        assert gateway.core.counters.overdue == 0

    run_scenario(wiring, tmp_path, nodes, scenario)


@both_wirings
def test_nothing_new_goes_to_a_drained_node(wiring: Any, tmp_path: Path) -> None:
    memory = Memory()
    nodes = {n: Node(0.005, memory=memory) for n in ("a", "b", "c")}

    async def scenario(gateway: Wiring) -> None:
        clients = [await gateway.client() for _ in range(6)]
        count = 0

        async def ask(client: Client) -> None:
            nonlocal count
            for kind in ("safe", "unsafe", "keyed"):
                count += 1
                assert (await client.ask(message(kind, f"r{count}")))[0] == 200

        for _ in range(10):
            await asyncio.gather(*(ask(client) for client in clients))
        assert nodes["a"].seen > 0
        await gateway.drain("a")
        nodes["a"].drain()
        for _ in range(20):
            await asyncio.gather(*(ask(client) for client in clients))
        assert nodes["a"].late == []
        assert not executed_twice(list(nodes.values()))

    run_scenario(wiring, tmp_path, nodes, scenario)


@both_wirings
def test_a_node_that_has_just_started_gets_no_more_than_its_share(
    wiring: Any, tmp_path: Path
) -> None:
    memory = Memory()
    nodes = {n: Node(0.005, workers=4, memory=memory) for n in ("a", "b", "c")}

    async def scenario(gateway: Wiring) -> None:
        clients = [await gateway.client() for _ in range(12)]
        asked = 0
        running = True

        async def ask(client: Client) -> None:
            nonlocal asked
            while running:
                asked += 1
                assert (await client.ask(message("safe", f"r{asked}")))[0] == 200

        async with asyncio.TaskGroup() as group:
            for client in clients:
                group.create_task(ask(client))
            await until(lambda: asked > 300)
            async with Node(0.005, workers=4, memory=memory, cold=COLD, fails_above=6) as new:
                await gateway.add("new", new)
                seen_before, others = new.seen, [node.seen for node in nodes.values()]
                await until(lambda: sum(n.seen for n in nodes.values()) > sum(others) + 600)
                each = (sum(node.seen for node in nodes.values()) - sum(others)) / 3
                # At first it may get 0.3 of the load of another node, and by now little more.
                assert 0 < new.seen - seen_before < 0.7 * each
                assert not new.has_failed
                running = False
                await asyncio.sleep(0.1)

    run_scenario(wiring, tmp_path, nodes, scenario)

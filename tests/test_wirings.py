"""The four rules over sockets, one set for the platform's wiring and the daemon's alike."""

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
from sailhitch.lab.node import Fault, Memory, Node, doubled
from sailhitch.lab.ports import free_port
from tests.daemons import InProcessDaemon, file_value, in_process_daemon, pool
from tests.sockets import PATIENCE, Client, Gate, Registry, dial, entry, gate, until

# What each kind is called on the platform, and by which path the daemon's routes know it.
KINDS = {
    "safe": ("pure-all", "/x"),
    "unsafe": ("side_effect-all", "/payouts"),
    "keyed": ("token-all", "/claims"),
}
COLD = 3.0  # s


def message(kind: str, name: str, wait_ms: int = 2500) -> bytes:
    """A request that both wirings take for the same."""
    called, path = KINDS[kind]
    fields = [("Req-Id", name), ("Req-Kind", called), ("Req-Deadline-Ms", str(wait_ms))]
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


class Platform(Wiring):
    def __init__(self, it: Gate, registry: Registry) -> None:
        self.core, self.addr, self.it, self.registry = it.core, it.addr, it, registry

    def _news(self, *entries: dict[str, Any]) -> None:
        names = {one["id"] for one in entries}
        kept = [one for one in self.registry.entries if one["id"] not in names]
        self.registry.entries = [*kept, *entries]
        self.registry.version += 1

    async def drain(self, name: str) -> None:
        (old,) = [one for one in self.registry.entries if one["id"] == name]
        self._news({**old, "state": "leaving"})
        await until(lambda: self.it.pool.endpoints[name].endpoint.state == "draining")

    async def add(self, name: str, node: Node) -> None:
        self._news(entry(name, node.addr) | {"started_ms": int(time.time() * 1000)})
        await until(lambda: name in self.it.pool.endpoints)


class Daemon(Wiring):
    def __init__(
        self, it: InProcessDaemon, nodes: dict[str, Node], value: Callable[..., Any]
    ) -> None:
        self.core, self.addr, self.it, self.nodes = it.live.core, it.addr, it, dict(nodes)
        self.value = value

    async def drain(self, name: str) -> None:
        del self.nodes[name]
        await self.it.plan_and_apply(self.value(self.nodes))

    async def add(self, name: str, node: Node) -> None:
        self.nodes[name] = node
        await self.it.plan_and_apply(self.value(self.nodes))


@contextlib.asynccontextmanager
async def platform(tmp_path: Path, nodes: dict[str, Node]) -> AsyncIterator[Wiring]:
    rules = {"cold": int(COLD * 1e6), "coldShare": 0.3}
    async with (
        Registry(*((name, node.addr) for name, node in nodes.items())) as registry,
        gate(discovery=registry.addr, settings={"rules": rules}) as it,
    ):
        await until(lambda: set(it.pool.endpoints) == set(nodes))
        yield Platform(it, registry)


@contextlib.asynccontextmanager
async def daemon(tmp_path: Path, nodes: dict[str, Node]) -> AsyncIterator[Wiring]:
    port = free_port()

    def value(some: dict[str, Node]) -> dict[str, Any]:
        gateway = {"cold_time": f"{int(COLD * 1000)}ms", "cold_share": 0.3}
        return file_value([pool("p", some)], port, gateway)

    async with in_process_daemon(tmp_path, value(nodes)) as it:
        yield Daemon(it, nodes, value)


both = pytest.mark.parametrize("wiring", [platform, daemon])
Act = Callable[[Wiring], Awaitable[None]]


def play(wiring: Any, tmp_path: Path, nodes: dict[str, Node], act: Act) -> None:
    async def run() -> None:
        async with contextlib.AsyncExitStack() as stack:
            for node in nodes.values():
                await stack.enter_async_context(node)
            async with asyncio.timeout(4 * PATIENCE), wiring(tmp_path, nodes) as it:
                await act(it)

    asyncio.run(run())


@both
@pytest.mark.parametrize("kind", list(KINDS))
@pytest.mark.parametrize("fault", list(Fault))
def test_one_answer_in_time_and_no_effect_twice_whatever_a_node_does(
    wiring: Any, fault: Fault, kind: str, tmp_path: Path
) -> None:
    memory = Memory()
    seen: list[bytes] = []

    def script(name: bytes) -> Fault | None:
        seen.append(name)
        return fault if len(seen) % 2 else None  # each second attempt goes well

    nodes = {n: Node(0.01, memory=memory, slow=0.4, script=script) for n in ("a", "b", "c")}

    async def act(it: Wiring) -> None:
        clients = [await it.client() for _ in range(6)]
        started = time.monotonic()
        for i, client in enumerate(clients):
            client.send(message(kind, f"r{i}", 800))
        answers = [await client.answer() for client in clients]
        assert time.monotonic() - started < 5.0
        await until(lambda: not it.core.open_requests)
        for client in clients:
            client.writer.write_eof()
            assert await client.rest() == b""  # no second answer
        assert {status for status, _ in answers} <= {200, 500, 502, 503, 504}
        for i, (status, body) in enumerate(answers):
            if status == 200:
                assert body.split(b" ")[0] == b"r%d" % i
            if status == 503 and kind == "unsafe":
                # Turned away: it must not have run.
                assert not any(node.effects[b"r%d" % i] for node in nodes.values())
        assert not doubled(list(nodes.values()))
        if fault in (Fault.REFUSE, Fault.RESET_BEFORE) and kind == "safe":
            assert [status for status, _ in answers].count(200) >= 3

    play(wiring, tmp_path, nodes, act)


@both
def test_a_node_that_never_answers_costs_no_request_its_answer(wiring: Any, tmp_path: Path) -> None:
    nodes = {"a": Node(script=lambda name: Fault.SILENT)}

    async def act(it: Wiring) -> None:
        client = await it.client()
        for kind in KINDS:
            started = time.monotonic()
            status, _ = await client.ask(message(kind, kind, 300))
            assert status in (502, 503, 504)
            assert time.monotonic() - started < 3.0
        assert it.core.counters.overdue == 0

    play(wiring, tmp_path, nodes, act)


@both
def test_nothing_new_goes_to_a_drained_node(wiring: Any, tmp_path: Path) -> None:
    memory = Memory()
    nodes = {n: Node(0.005, memory=memory) for n in ("a", "b", "c")}

    async def act(it: Wiring) -> None:
        clients = [await it.client() for _ in range(6)]
        count = 0

        async def ask(client: Client) -> None:
            nonlocal count
            for kind in ("safe", "unsafe", "keyed"):
                count += 1
                assert (await client.ask(message(kind, f"r{count}")))[0] == 200

        for _ in range(10):
            await asyncio.gather(*(ask(client) for client in clients))
        assert nodes["a"].seen > 0
        await it.drain("a")
        nodes["a"].drain()
        for _ in range(20):
            await asyncio.gather(*(ask(client) for client in clients))
        assert nodes["a"].late == []
        assert not doubled(list(nodes.values()))

    play(wiring, tmp_path, nodes, act)


@both
def test_a_node_that_has_just_started_gets_no_more_than_its_share(
    wiring: Any, tmp_path: Path
) -> None:
    memory = Memory()
    nodes = {n: Node(0.005, workers=4, memory=memory) for n in ("a", "b", "c")}

    async def act(it: Wiring) -> None:
        clients = [await it.client() for _ in range(12)]
        asked = 0
        going = True

        async def ask(client: Client) -> None:
            nonlocal asked
            while going:
                asked += 1
                assert (await client.ask(message("safe", f"r{asked}")))[0] == 200

        async with asyncio.TaskGroup() as group:
            for client in clients:
                group.create_task(ask(client))
            await until(lambda: asked > 300)
            async with Node(0.005, workers=4, memory=memory, cold=COLD, breaks_at=6) as new:
                await it.add("new", new)
                began, others = new.seen, [node.seen for node in nodes.values()]
                await until(lambda: sum(n.seen for n in nodes.values()) > sum(others) + 600)
                each = (sum(node.seen for node in nodes.values()) - sum(others)) / 3
                # At first it may have 0.3 of what one of the others has, and by now little more.
                assert 0 < new.seen - began < 0.7 * each
                assert not new.overloaded_at
                going = False
                await asyncio.sleep(0.1)

    play(wiring, tmp_path, nodes, act)

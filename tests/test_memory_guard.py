"""What is given up when all connections together hold too much, and what is not."""

from __future__ import annotations

import asyncio

import pytest

from sailhitch.core.budget import MB
from sailhitch.front import Reason
from sailhitch.net.client_connection import BODY, CLOSING, HEAD
from tests.sockets import (
    TEST_TIMEOUT,
    Client,
    RunningGateway,
    Server,
    Writer,
    answer,
    request,
    running_gateway,
    until,
)

KB = 1024
COSTLY = 20 * KB  # bytes of a large head that stops before its end
CHEAP = 2 * KB
LIMITS = {"memory_mb": 1000}  # far above what the process of the tests holds itself


def _head(size: int) -> bytes:
    """Return the start of a request, of about `size` bytes."""
    line = b"X-Field: " + b"v" * 100 + b"\r\n"
    return request("unfinished", fields=line * (size // len(line)))[:-2]


def _leave_uncounted(monkeypatch: pytest.MonkeyPatch, gateway: RunningGateway, share: float) -> int:
    """Let nothing explain that share of the limit; return the resident size that is told."""
    limit = gateway.core.limits.memory_mb * MB
    monkeypatch.setattr(gateway.core.memory, "uncounted", lambda _: int(share * limit))
    return limit


async def _send_heads(gateway: RunningGateway, sizes: list[int]) -> list[Client]:
    """Return clients that have sent a part of a head of each size, which has arrived."""
    clients = []
    for size in sizes:
        client = await gateway.client()
        client.send(_head(size))
        clients.append(client)
    await until(lambda: len(gateway.core.clients) >= len(sizes))
    return clients


# Guards against: heads that are each within the limit for one connection, and that exceed memory
# together (report 365795, picture a).
def test_costliest_unfinished_heads_are_given_up_first() -> None:
    async def run() -> None:
        async with Server() as host, running_gateway(("a", host.addr), limits=LIMITS) as gateway:
            budget = gateway.core.budget
            budget.total_limit = 100 * KB
            cheap = await _send_heads(gateway, [CHEAP] * 10)
            costly = await _send_heads(gateway, [COSTLY] * 8)
            refused = await costly[0].read_to_end()
            assert refused.startswith(b"HTTP/1.1 503 ")
            await until(lambda: budget.excess() <= 0)
            await until(lambda: gateway.core.memory_guard.given_up >= 4)
            assert gateway.core.memory_guard.given_up <= 8
            for client in cheap:
                assert (await client.ask(b"\r\n"))[0] == 200
            assert gateway.core.counters.bad_requests == 0
            for client in (*cheap, *costly):
                client.writer.close()
            counters = gateway.core.admission.counters
            await until(
                lambda: counters.closed[Reason.MEMORY] == gateway.core.memory_guard.given_up
            )

    asyncio.run(run())


def test_request_that_was_taken_is_not_given_up_for_counted_memory() -> None:
    async def late(message: bytes, writer: Writer) -> None:
        await release.wait()
        writer.write(answer(b"served"))

    async def run() -> None:
        async with (
            Server(late) as host,
            running_gateway(("a", host.addr), limits=LIMITS) as gateway,
        ):
            taken = await gateway.client()
            taken.send(request("taken", b"b" * 50 * KB) + _head(COSTLY))
            await until(lambda: len(gateway.core.open_requests) == 1)
            gateway.core.budget.total_limit = 60 * KB
            others = await _send_heads(gateway, [COSTLY] * 3)
            for other in others:
                assert (await other.read_to_end()).startswith(b"HTTP/1.1 503 ")
                other.writer.close()
            release.set()
            assert await taken.answer() == (200, b"served")
            taken.writer.close()

    release = asyncio.Event()
    asyncio.run(run())


# Guards against: what no count foresees: the process itself nears its limit.
def test_large_process_gives_up_what_it_counts() -> None:
    async def run() -> None:
        async with Server() as host, running_gateway(("a", host.addr), limits=LIMITS) as gateway:
            core = gateway.core
            core.budget.total_limit = 400 * KB
            clients = await _send_heads(gateway, [COSTLY] * 8)
            await until(lambda: core.budget.heads > 8 * COSTLY * 0.9)
            assert not core.budget.is_tight()
            core.memory_guard.on_resident(core.limits.memory_mb * MB)
            assert core.budget.is_tight()
            given_up = core.memory_guard.given_up
            assert 3 <= given_up < 8
            # Little is left that is counted: it isn't given up, and requests are served on.
            core.memory_guard.on_resident(core.limits.memory_mb * MB)
            client = await gateway.client()
            async with asyncio.timeout(TEST_TIMEOUT):
                assert (await client.ask(request("small")))[0] == 200
            assert core.memory_guard.given_up == given_up
            for one in (*clients, client):
                one.writer.close()
            core.memory_guard.on_resident(MB)
            assert not core.budget.is_tight()

    asyncio.run(run())


def test_request_that_was_taken_is_given_up_only_at_the_limit() -> None:
    async def silent(_: bytes, writer: Writer) -> None:
        await asyncio.sleep(TEST_TIMEOUT)

    async def run() -> None:
        async with (
            Server(silent) as host,
            running_gateway(("a", host.addr), limits=LIMITS) as gateway,
        ):
            core = gateway.core
            client = await gateway.client()
            client.send(request("taken", b"b" * 50 * KB) + _head(COSTLY))
            await until(lambda: core.budget.heads > COSTLY * 0.9)
            core.budget.total_limit = 40 * KB
            limit = core.limits.memory_mb * MB
            core.memory_guard.on_resident(int(0.9 * limit))
            assert core.memory_guard.given_up == 0
            core.memory_guard.on_resident(limit)
            assert core.memory_guard.given_up == 1
            client.writer.close()

    asyncio.run(run())


async def _keep_taken(_: bytes, writer: Writer) -> None:
    await asyncio.sleep(0.5)
    writer.write(answer(b"served"))


# Guards against: a process that is killed for memory that no count knows, while the guard that is
# there for it looks at the counts alone (report 63c1a8).
def test_uncounted_memory_is_taken_from_unfinished_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        async with (
            Server(_keep_taken) as host,
            running_gateway(("a", host.addr), limits=LIMITS) as gateway,
        ):
            core = gateway.core
            idle = await gateway.client()
            assert (await idle.ask(request("idle")))[0] == 200
            taken = await gateway.client()
            taken.send(request("taken", b"effect"))
            await until(lambda: len(core.open_requests) == 1)
            small = await _send_heads(gateway, [CHEAP] * 6)
            large = await _send_heads(gateway, [COSTLY] * 2)
            await until(lambda: sum(c.phase == HEAD for c in gateway.clients()) == 8)
            limit = _leave_uncounted(monkeypatch, gateway, 0.3)
            core.memory_guard.on_resident(int(0.59 * limit))
            assert core.memory_guard.given_up == 0
            # Not all of them at once, and those that were read the most from first.
            core.memory_guard.on_resident(int(0.61 * limit))
            assert core.memory_guard.given_up == 4
            for client in large:
                assert (await client.read_to_end()).startswith(b"HTTP/1.1 503 ")
            # No more before the process tells what that has brought, unless it grows on.
            core.memory_guard.on_resident(int(0.61 * limit))
            assert core.memory_guard.given_up == 4
            assert core.read_scheduler.is_held
            core.memory_guard.on_resident(int(0.9 * limit))
            assert not [c for c in gateway.clients() if c.phase in (HEAD, BODY)]
            core.memory_guard.on_resident(limit)
            assert await taken.answer() == (200, b"served")
            assert (await idle.ask(request("again")))[0] == 200
            for client in (*small, *large, idle, taken):
                client.writer.close()

    asyncio.run(run())


def test_rejected_connections_are_given_up_as_well(monkeypatch: pytest.MonkeyPatch) -> None:
    async def run() -> None:
        async with running_gateway(limits=LIMITS) as gateway:
            client = await gateway.client()
            client.send(b"NONSENSE / HTTP/9\r\n\r\n")
            await until(lambda: [c.phase for c in gateway.clients()] == [CLOSING])
            client.send(b"x" * COSTLY)
            limit = _leave_uncounted(monkeypatch, gateway, 0.3)
            gateway.core.memory_guard.on_resident(int(0.9 * limit))
            await until(lambda: not gateway.core.clients)
            assert (await client.read_to_end()).startswith(b"HTTP/1.1 400 ")
            client.writer.close()

    asyncio.run(run())


# Guards against: requests that are given up as a process is large for a reason of its own: a large
# list, or the other process of an upgrade.
def test_process_that_is_large_for_its_own_reasons_gives_up_nothing() -> None:
    async def run() -> None:
        async with Server() as host, running_gateway(("a", host.addr), limits=LIMITS) as gateway:
            core = gateway.core
            clients = await _send_heads(gateway, [CHEAP] * 4)
            await until(lambda: sum(c.phase == HEAD for c in gateway.clients()) == 4)
            limit = core.limits.memory_mb * MB
            core.memory.baseline.size = int(0.97 * limit)
            core.memory_guard.on_resident(int(0.99 * limit))
            assert core.memory_guard.given_up == 0
            assert not core.budget.is_tight()
            for client in clients:
                assert (await client.ask(b"\r\n"))[0] == 200
                client.writer.close()

    asyncio.run(run())


# Guards against: a host that is ejected, or a request without an answer, as memory is given up on
# the hosts' side.
def test_response_that_is_given_up_ends_its_attempt_and_is_not_held_against_its_host() -> None:
    async def half(message: bytes, writer: Writer) -> None:
        if b"side_effect" in message or not given_up.is_set():
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
        else:
            writer.write(answer(b"served"))

    async def run() -> None:
        async with (
            Server(half) as host,
            running_gateway(("a", host.addr), limits=LIMITS) as gateway,
        ):
            safe, unsafe = await gateway.client(), await gateway.client()
            safe.send(request("safe"))
            unsafe.send(request("unsafe", b"effect"))
            connections = gateway.hosts.connections
            await until(lambda: sum(bool(c.unfinished) for c in connections) == 2)
            given_up.set()
            assert gateway.hosts.give_up_responses(1.0) == 2
            assert (await unsafe.answer())[0] == 502
            assert await safe.answer() == (200, b"served")
            assert gateway.core.counters.malformed == 0
            assert not gateway.pool.failing
            for client in (safe, unsafe):
                client.writer.close()

    given_up = asyncio.Event()
    asyncio.run(run())


# Guards against: a final answer that is cut off on its way, as its connection is to close after it.
def test_last_answer_of_a_connection_is_not_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    async def run() -> None:
        async with Server() as host, running_gateway(("a", host.addr), limits=LIMITS) as gateway:
            client = await gateway.client()
            assert (await client.ask(request("first")))[0] == 200
            (connection,) = gateway.clients()
            connection.phase, connection.unsent = CLOSING, 10 * KB
            limit = _leave_uncounted(monkeypatch, gateway, 0.3)
            gateway.core.memory_guard.on_resident(int(0.9 * limit))
            assert gateway.core.memory_guard.given_up == 0
            connection.unsent = 0  # the system has it, and what still comes is discarded
            gateway.core.memory_guard.on_resident(int(0.9 * limit))
            assert gateway.core.memory_guard.given_up == 1
            client.writer.close()

    asyncio.run(run())

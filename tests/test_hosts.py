"""Valid and invalid responses of hosts and discovery, over loopback sockets."""

from __future__ import annotations

import asyncio
import json

import pytest

from sailhitch.core.request_context import Attempt
from sailhitch.net.config import parse_endpoint_update
from tests import virtual
from tests.crossings import gateway_with_delayed_connects
from tests.sockets import (
    DiscoveryServer,
    RunningGateway,
    Server,
    Writer,
    answer,
    entry,
    request,
    running_gateway,
    until,
)
from tests.virtual import eventually

HEAD = b"HTTP/1.1 200 OK\r\n"
MALFORMED_RESPONSES = {
    "noise": b"\x02\xff\x17 what is this\r\n\r\n",
    "no status": b"HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nhi",
    "bad status": b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nhi",
    "other protocol": b"ICY 200 OK\r\nContent-Length: 2\r\n\r\nhi",
    "no colon": HEAD + b"no colon here\r\nContent-Length: 2\r\n\r\nhi",
    "negative length": HEAD + b"Content-Length: -2\r\n\r\nhi",
    "two lengths": HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nhi",
    "length and coding": HEAD
    + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    "unknown coding": HEAD + b"Transfer-Encoding: gzip\r\n\r\nhi",
    "bad chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n",
    "endless head": HEAD + b"X-Pad: pppppppppppppp\r\n" * 10_000,
    "endless field": HEAD + b"X-Pad: " + b"p" * 200_000,
    "3 GB": HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
    "another protocol": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nhi",
}


@pytest.mark.parametrize("kind", list(MALFORMED_RESPONSES))
def test_a_malformed_answer_is_a_failed_attempt_that_may_have_run(kind: str) -> None:
    """The host keeps the connection open; no part of its answer reaches the client."""
    malformed = [True]

    async def reply(message: bytes, writer: Writer) -> None:
        writer.write(MALFORMED_RESPONSES[kind] if malformed[0] else answer(b"served"))

    async def scenario() -> None:
        async with Server(reply) as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            assert await client.ask(request("once", b"effect")) == (502, b"")
            assert len(host.seen) == 1  # it may have run, so it is not retried
            malformed[0] = False
            assert (await client.ask(request("next")))[1] == b"served"
            assert len(host.writers) == 2  # the first connection is not reused
            await until(
                lambda: not gateway.core.request_by_name and len(gateway.hosts.connections) == 1
            )
            assert gateway.core.budget.reserved == 0

    asyncio.run(scenario())


TRAILING_BYTES = {
    "a second copy": answer(b"served"),
    "another answer": answer(b"not yours"),
    "noise": b"\x00\xff\x01 noise",
    "an endless head": HEAD + b"X-Pad: pp\r\n" * 20_000,
}


@pytest.mark.parametrize("kind", list(TRAILING_BYTES))
@pytest.mark.parametrize("fields", [b"", b"Connection: close\r\n"])
def test_bytes_behind_a_whole_answer_cost_the_connection_only(kind: str, fields: bytes) -> None:
    async def reply(message: bytes, writer: Writer) -> None:
        name = message.partition(b"Req-Id: ")[2].partition(b"\r\n")[0]
        writer.write(answer(name, fields) + TRAILING_BYTES[kind])

    async def scenario() -> None:
        async with Server(reply) as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            for i in range(5):
                response = await client.ask(request(f"r{i}", b"effect"))
                assert response == (200, b"r%d" % i)
            await until(lambda: not gateway.hosts.connections)

    asyncio.run(scenario())


@pytest.mark.parametrize("body", [None, b"pay"])
def test_a_second_answer_that_comes_late_is_not_the_next_requests(body: bytes | None) -> None:
    """It arrives when the next request would already be on its way."""

    async def reply(message: bytes, writer: Writer) -> None:
        first = len(server.seen) == 1
        writer.write(answer(b"first" if first else b"second"))
        if first:
            await asyncio.sleep(0.004)
            writer.write(answer(b"first"))

    server = Server(reply)

    async def scenario() -> None:
        async with server as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            assert await client.ask(request("r1", body)) == (200, b"first")
            assert await client.ask(request("r2", body)) == (200, b"second")
            assert len(host.seen) == len(host.writers) == 2

    virtual.play(scenario())


def test_a_connection_is_reused_after_the_reuse_delay() -> None:
    async def scenario() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            for i in range(4):
                assert await client.ask(request(f"r{i}")) == (200, b"served")
            assert len(host.writers) == 1

    virtual.play(scenario())


def test_an_attempt_cancelled_in_the_turn_it_was_made_in_leaves_nothing_behind() -> None:
    """It was about to wait for a new connection, then for one in its reuse delay."""

    async def scenario() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as gateway:
            client, start = await gateway.client(), gateway.hosts.start

            def start_and_cancel(attempt: Attempt, now: int) -> None:
                start(attempt, now)
                gateway.pool.port.cancel(attempt.request.id, attempt.number)

            for name in ("r1", "r2"):
                gateway.hosts.start = start_and_cancel  # type: ignore[method-assign]
                assert (await client.ask(request(name)))[0] in (502, 503)
                gateway.hosts.start = start  # type: ignore[method-assign]
                await until(lambda: gateway.hosts.size() == len(gateway.hosts.hosts["a"].idle))
                assert gateway.hosts.hosts["a"].open_count == len(gateway.hosts.connections)
                assert await client.ask(request(f"{name}-after")) == (200, b"served")

    asyncio.run(scenario())


@pytest.mark.parametrize("in_time", [True, False])
def test_a_connection_in_its_reuse_delay_is_not_used_once_its_host_has_moved(in_time: bool) -> None:
    """A request waits for it, and reaches its deadline meanwhile or not."""

    async def scenario() -> None:
        async with Server() as old, Server() as new, running_gateway(("a", old.addr)) as gateway:
            client = await gateway.client()
            assert await client.ask(request("r1")) == (200, b"served")
            client.send(request("r2", wait_ms=3000 if in_time else 4))
            while not gateway.core.open_requests:
                await asyncio.sleep(0)  # the virtual clock does not advance
            moved = parse_endpoint_update(
                {"version": 1, "full": True, "servers": [entry("a", new.addr)]},
                gateway.platform.config.names,
            )
            gateway.pool.on_endpoint_update(moved)
            assert (await client.answer())[0] == (200 if in_time else 503)
            assert await client.ask(request("r3")) == (200, b"served")
            assert len(old.seen) == 1
            await eventually(lambda: len(gateway.hosts.connections) == 1)

    virtual.play(scenario())


def test_interim_answers_ahead_are_passed_over() -> None:
    async def reply(message: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
        await asyncio.sleep(0.01)
        writer.write(answer(b"served"))

    async def scenario() -> None:
        async with Server(reply) as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            for i in range(3):
                assert await client.ask(request(f"r{i}", b"effect")) == (200, b"served")
            assert len(host.writers) == 1

    asyncio.run(scenario())


def test_an_answer_of_the_largest_body_goes_through_whole() -> None:
    body = bytes(range(256)) * 256  # 64 KiB; responses may be larger than requests

    async def reply(message: bytes, writer: Writer) -> None:
        writer.write(answer(message.partition(b"\r\n\r\n")[2] * 6))

    async def scenario() -> None:
        async with Server(reply) as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            for i in range(3):
                assert await client.ask(request(f"big{i}", body)) == (200, body * 6)
            assert len(host.writers) == 1
            assert gateway.core.budget.reserved == 0

    asyncio.run(scenario())


def test_half_an_answer_and_a_close_reaches_no_client() -> None:
    async def reply(message: bytes, writer: Writer) -> None:
        writer.write(answer(b"served")[:-3])
        writer.close()

    async def scenario() -> None:
        async with Server(reply) as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            assert (await client.ask(request("once", b"effect")))[0] == 502

    asyncio.run(scenario())


def test_a_silent_host_costs_a_request_no_more_than_its_time() -> None:
    async def silent(message: bytes, writer: Writer) -> None:
        await asyncio.sleep(30)

    async def scenario() -> None:
        async with Server(silent) as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            status, _ = await client.ask(request("once", b"effect", wait_ms=300))
            assert status in (502, 504)
            await until(lambda: not gateway.core.request_by_name and not gateway.hosts.connections)

    asyncio.run(scenario())


@pytest.mark.parametrize("body", [None, b"pay"])
def test_a_request_not_written_before_its_deadline_is_refused_and_not_failed(
    body: bytes | None,
) -> None:
    """Its connect does not complete. A 502 or 504 would mean that a payout may have run."""

    async def scenario() -> None:
        async with gateway_with_delayed_connects() as (host, gateway, held):
            client = await gateway.client()
            assert await client.ask(request("r1", body, wait_ms=200)) == (503, b"")
            assert held.waiting == 1
            assert gateway.core.counters.statuses == {"expired": 1}
            assert host.seen == []

    asyncio.run(scenario())


@pytest.mark.parametrize("wait_ms", [1, 2, 3, 5, 8, 12, 40])
@pytest.mark.parametrize("body", [None, b"pay"])
def test_a_client_with_a_short_deadline_is_answered_within_it(
    wait_ms: int, body: bytes | None
) -> None:
    """Timers count in milliseconds, and the answer needs time on its way back."""

    async def silent(message: bytes, writer: Writer) -> None:
        await asyncio.Event().wait()

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with Server(silent) as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            await eventually(lambda: len(gateway.core.clients) == 1)
            started = loop.time()
            assert (await client.ask(request("r1", body, wait_ms)))[0] in (502, 503, 504)
            assert loop.time() - started <= (wait_ms - 1) / 1000

    virtual.play(scenario())


def test_a_lack_of_descriptors_does_not_count_against_hosts() -> None:
    async def check(gateway: RunningGateway) -> None:
        gateway.core.free_descriptor = lambda: False  # type: ignore[method-assign]
        client = await gateway.client()
        assert (await client.ask(request("r1")))[0] == 503
        assert gateway.pool.policy.endpoint_table.servers["a"].ejected_until == 0

    async def scenario() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as gateway:
            await check(gateway)

    asyncio.run(scenario())


def test_a_new_host_at_an_old_address_is_not_taken_for_the_old_one() -> None:
    async def scenario() -> None:
        async with Server() as host, Server() as other:
            hosts = [("old", host.addr), ("other", other.addr)]
            async with (
                DiscoveryServer(*hosts) as registry,
                running_gateway(*hosts, discovery=registry.addr) as gateway,
            ):
                client = await gateway.client()
                for i in range(10):
                    assert (await client.ask(request(f"a{i}")))[0] == 200
                assert host.seen
                # The host was replaced, but discovery still lists the old one.
                registry.version = 2
                registry.entries.append(entry("new", host.addr, "leaving"))
                await until(lambda: "new" in gateway.hosts.hosts)
                before = len(host.seen)
                for i in range(20):
                    assert (await client.ask(request(f"b{i}")))[0] == 200
                assert len(host.seen) == before

    asyncio.run(scenario())


MALFORMED_LISTS = {
    "noise": b"\x00\xff\r\n\r\n",
    "not JSON": answer(b"{"),
    "deep": answer(b"[" * 100_000),
    "not a list": answer(b'{"version":9,"full":true,"servers":{}}'),
    "no version": answer(b'{"full":true,"servers":[]}'),
    "bad version": answer(b'{"version":-1,"full":true,"servers":[]}'),
    "endless": b"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n" + b"x" * 3_000_000,
    "an error": b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n",
    "half": answer(b'{"version":9}')[:-5],
    "silence": b"",
    "an answer and noise": answer(b'{"version":1,"full":false,"servers":[]}') + b"\x00noise",
}


@pytest.mark.parametrize("kind", list(MALFORMED_LISTS))
def test_a_malformed_list_leaves_the_hosts_and_the_watch_continues(kind: str) -> None:
    async def scenario() -> None:
        async with (
            Server() as host,
            DiscoveryServer(("a", host.addr)) as registry,
            running_gateway(("a", host.addr), discovery=registry.addr) as gateway,
        ):
            await until(lambda: len(registry.seen) > 1)
            registry.raw_response = MALFORMED_LISTS[kind]
            await until(lambda: registry.raw_response is None)
            client = await gateway.client()
            assert (await client.ask(request("r1")))[0] == 200
            registry.entries.append(entry("b", host.addr.replace(".0.1", ".0.2")))
            registry.version = 2
            await until(lambda: "b" in gateway.hosts.hosts)
            assert set(gateway.hosts.hosts) == {"a", "b"}
            assert gateway.core.counters.panics == 0

    asyncio.run(scenario())


def test_a_malformed_entry_does_not_remove_other_hosts() -> None:
    async def scenario() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as gateway:
            malformed = [
                None,
                {},
                {"id": "b", "addr": "x:1", "state": "active"},
                entry("", host.addr),
            ]
            malformed += [entry("c", host.addr) | {"weight": float("nan")}]
            value = {"version": 2, "full": True, "servers": [entry("a", host.addr), *malformed]}
            from sailhitch.net.config import parse_endpoint_update

            update = parse_endpoint_update(
                json.loads(json.dumps(value)), gateway.platform.config.names
            )
            gateway.pool.on_endpoint_update(update)
            client = await gateway.client()
            assert (await client.ask(request("r1")))[0] == 200
            assert set(gateway.hosts.hosts) == {"a"}

    asyncio.run(scenario())

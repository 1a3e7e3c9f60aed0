"""A request whose client has left while it waited reaches no host.

Each story holds the request where it waits, ends its client's connection without the loop having
read that, and lets the request go on. A second client's request, which comes after, shows that the
gateway had the time to send the first.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from sailhitch.core.budget import MAX_BUFFERED_BODY
from sailhitch.core.endpoints import EndpointUpdate
from sailhitch.net import connection_pool
from tests.crossings import (
    LONG_CONNECT_TIMEOUT,
    disconnect,
    gateway_with_delayed_connects,
    pause_client,
    reset_at_close,
    wait_for_close,
)
from tests.sockets import (
    Client,
    RunningGateway,
    Server,
    Writer,
    answer,
    open_socket,
    request,
    running_gateway,
    until,
)

HOW = ("end", "reset", "bytes before")
pytestmark = pytest.mark.parametrize("how", HOW)


async def gone(it: RunningGateway, client: Client, how: str) -> None:
    """Its connection ends, and the loop has read nothing of that."""
    conn = pause_client(it)
    disconnect(client, how)
    await wait_for_close(conn)


async def later_one(it: RunningGateway) -> None:
    """Another client's request is served."""
    client = await it.client()
    assert await client.ask(request("later")) == (200, b"served")


def sent(*hosts: Server) -> list[bytes]:
    """What has reached hosts but for the later one's request."""
    return [m for host in hosts for m in host.seen if b"Req-Id: later" not in m]


@pytest.mark.parametrize("body", [None, b"pay"])
def test_held_for_a_host(how: str, body: bytes | None) -> None:
    async def play() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as it:
            known = it.pool.endpoints["a"]
            it.pool.on_endpoint_update(EndpointUpdate(1, True, (), 0, frozenset()))
            client = await it.client()
            client.send(request("r1", body))
            await until(lambda: bool(it.pool.policy.backlog.held))
            await gone(it, client, how)
            it.pool.on_endpoint_update(EndpointUpdate(2, True, (known,), 0, frozenset()))
            await later_one(it)
            assert sent(host) == []
            assert it.core.counters.disconnected == 1
            assert it.core.counters.refused == 0
            assert not it.core.open_requests
            assert not it.pool.policy.open_requests

    asyncio.run(play())


@pytest.mark.parametrize("body", [None, b"pay"])
def test_waiting_for_a_connection(how: str, body: bytes | None) -> None:
    async def play() -> None:
        async with gateway_with_delayed_connects() as (host, it, held):
            client = await it.client()
            client.send(request("r1", body))
            await until(lambda: held.waiting == 1)
            await gone(it, client, how)
            held.go.set()
            await later_one(it)
            assert sent(host) == []
            assert it.core.counters.disconnected == 1
            assert not it.core.open_requests

    asyncio.run(play())


@pytest.mark.parametrize("body", [None, b"pay"])
def test_waiting_for_a_connection_that_rests(
    how: str, body: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its connection has just had an answer, and rests before it is used again."""
    monkeypatch.setattr(connection_pool, "REUSE_DELAY", 300_000)

    async def play() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as it:
            first = await it.client()
            assert await first.ask(request("r0")) == (200, b"served")
            first.writer.close()
            await until(lambda: not it.clients())
            client = await it.client()
            client.send(request("r1", body))
            await until(lambda: bool(it.core.open_requests))
            (exchange,) = it.core.open_requests.values()
            (attempt,) = exchange.open_attempts
            assert attempt.pending_connect is not None
            assert not it.hosts.connecting
            await gone(it, client, how)
            await until(lambda: not it.core.open_requests)
            await later_one(it)
            assert len(sent(host)) == 1
            assert it.core.counters.disconnected == 1

    asyncio.run(play())


@pytest.mark.parametrize("body", [None, b"pay"])
def test_between_two_attempts(how: str, body: bytes | None) -> None:
    asked, go = asyncio.Event(), asyncio.Event()

    async def turn_away(message: bytes, writer: Writer) -> None:
        if b"Req-Id: later" in message:
            writer.write(answer(b"served"))
            return
        asked.set()
        await go.wait()
        writer.write(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")

    async def play() -> None:
        async with (
            Server(turn_away) as one,
            Server(turn_away) as two,
            running_gateway(("a", one.addr), ("b", two.addr)) as it,
        ):
            client = await it.client()
            client.send(request("r1", body))
            await asked.wait()
            await gone(it, client, how)
            go.set()
            await until(lambda: "full" in it.core.counters.statuses)
            await later_one(it)
            assert len(sent(one, two)) == 1
            assert it.core.counters.disconnected == 1
            assert not it.core.open_requests

    asyncio.run(play())


def test_a_second_copy_beside_a_silent_first(how: str) -> None:
    asked = asyncio.Event()

    async def silent(message: bytes, writer: Writer) -> None:
        if b"Req-Id: later" in message:
            writer.write(answer(b"served"))
        asked.set()

    async def play() -> None:
        async with (
            Server(silent) as one,
            Server(silent) as two,
            running_gateway(("a", one.addr), ("b", two.addr)) as it,
        ):
            client = await it.client()
            client.send(request("r1"))
            await asked.wait()
            await gone(it, client, how)
            (req,) = it.core.open_requests
            other = "b" if one.seen else "a"
            it.pool.notify_policy(
                None, lambda: it.pool.port.send(req, other, 0)
            )  # as the module's hedge does
            await later_one(it)
            assert len(sent(one, two)) == 1
            assert it.core.counters.disconnected == 1

    asyncio.run(play())


def test_behind_another_on_its_connection(how: str) -> None:
    asked, go = asyncio.Event(), asyncio.Event()

    async def wait(message: bytes, writer: Writer) -> None:
        asked.set()
        await go.wait()
        writer.write(answer(b"served"))

    async def play() -> None:
        async with Server(wait) as host, running_gateway(("a", host.addr)) as it:
            client = await it.client()
            client.send(request("r1") + request("r2", b"pay"))
            await asked.wait()
            await gone(it, client, how)
            go.set()
            await later_one(it)
            assert len(sent(host)) == 1

    asyncio.run(play())


def _long(name: str, size: int) -> tuple[bytes, bytes]:
    """A long request in two parts: with as much of its body as is held, and the rest."""
    whole = request(name, b"~" * size, wait_ms=20_000)
    first = whole.index(b"\r\n\r\n") + 4 + MAX_BUFFERED_BODY + 1000
    return whole[:first], whole[first:]


def test_with_half_a_body_and_no_connection_yet(how: str) -> None:
    async def play() -> None:
        async with gateway_with_delayed_connects() as (host, it, held):
            client = await it.client()
            first, rest = _long("r1", MAX_BUFFERED_BODY + 9000)
            client.send(first)
            await until(lambda: held.waiting == 1)
            client.send(rest)  # which is not read: the body is held
            await client.writer.drain()
            (conn,) = it.clients()
            disconnect(client, how)
            await wait_for_close(conn)
            held.go.set()
            await later_one(it)
            assert sent(host) == []
            await until(lambda: not it.core.open_requests)
            await until(lambda: len(it.clients()) == 1)

    asyncio.run(play())


def test_with_the_rest_of_a_body_unread(how: str) -> None:
    """Its host has the start; with the last byte it would begin."""
    begun = asyncio.Event()

    async def play() -> None:
        async def read(reader: asyncio.StreamReader, writer: Writer) -> None:
            got[writer] = b""
            while data := await reader.read(65536):
                got[writer] += data
                begun.set()

        got: dict[Writer, bytes] = {}
        server = await asyncio.start_server(read, "127.0.0.1", 0)
        addr = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with server, running_gateway(("a", addr), settings=LONG_CONNECT_TIMEOUT) as it:
            client = await it.client()
            first, rest = _long("r1", MAX_BUFFERED_BODY + 9000)
            client.send(first)
            await begun.wait()
            conn = pause_client(it)
            client.send(rest)
            await client.writer.drain()
            disconnect(client, how)
            await wait_for_close(conn)
            conn.resume_reading()  # the host has taken what there was
            await until(lambda: not it.core.open_requests)
            await until(lambda: not it.clients())
            await until(
                lambda: all(writer.is_closing() for writer in got) or not it.hosts.connections
            )
            assert (
                MAX_BUFFERED_BODY
                <= sum(one.count(b"~") for one in got.values())
                < MAX_BUFFERED_BODY + 9000
            )

    asyncio.run(play())


def test_with_its_last_byte_read_in_the_same_turn(how: str) -> None:
    """The rest of its body and the end are there before the loop has another turn."""

    async def play() -> None:
        async def read(reader: asyncio.StreamReader, writer: Writer) -> None:
            while data := await reader.read(65536):
                got.append(data.count(b"~"))

        got: list[int] = []
        server = await asyncio.start_server(read, "127.0.0.1", 0)
        addr = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with server, running_gateway(("a", addr), settings=LONG_CONNECT_TIMEOUT) as it:
            first, rest = _long("r1", MAX_BUFFERED_BODY + 9000)
            with open_socket(it.addr) as client:
                client.setblocking(False)
                await asyncio.get_running_loop().sock_sendall(client, first)
                await until(lambda: sum(got) >= MAX_BUFFERED_BODY)
                if how == "reset":
                    reset_at_close(client)
                more = b"GET /more HTTP/1.1\r\n" if how == "bytes before" else b""
                assert client.send(rest + more) == len(rest + more)
            await until(
                lambda: not it.core.open_requests and not it.clients() and not it.hosts.connections
            )
            assert MAX_BUFFERED_BODY <= sum(got) < MAX_BUFFERED_BODY + 9000

    asyncio.run(play())


def test_with_its_last_bytes_still_here(how: str) -> None:
    """The host reads slowly, and has not been given all of it."""

    async def play() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as it:
            client = await it.client()
            assert await client.ask(request("r0")) == (200, b"served")
            (conn,) = it.hosts.connections
            (far,) = host.writers
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            far.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            far.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(request("r1", b"x" * 60_000, wait_ms=20_000))
            await until(lambda: bool(conn.attempt))
            assert conn.has_unsent_bytes()
            disconnect(client, how)
            await until(lambda: it.core.counters.disconnected == 1)
            far.transport.resume_reading()  # type: ignore[attr-defined]
            await until(lambda: not it.hosts.connections or len(host.seen) > 1)
            await later_one(it)
            assert len(sent(host)) == 1
            assert not it.core.open_requests

    asyncio.run(play())

"""A request whose client disconnects while it waits is not sent to a host.

Each test holds a request where it waits, ends its client's connection without the event loop
reading that, and lets the request continue. A later request of a second client shows that the
gateway would have had time to send the first.
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

DISCONNECTS = ("end", "reset", "bytes before")
pytestmark = pytest.mark.parametrize("method", DISCONNECTS)


async def disconnect_unread(gateway: RunningGateway, client: Client, method: str) -> None:
    """End the client's connection without the event loop reading that."""
    conn = pause_client(gateway)
    disconnect(client, method)
    await wait_for_close(conn)


async def serve_later_request(gateway: RunningGateway) -> None:
    """Serve another client's request."""
    client = await gateway.client()
    assert await client.ask(request("later")) == (200, b"served")


def received(*hosts: Server) -> list[bytes]:
    """Return the messages that reached hosts, without those of the later request."""
    return [m for host in hosts for m in host.seen if b"Req-Id: later" not in m]


@pytest.mark.parametrize("body", [None, b"pay"])
def test_queued_without_a_host(method: str, body: bytes | None) -> None:
    async def run() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as gateway:
            known = gateway.pool.endpoints["a"]
            gateway.pool.on_endpoint_update(EndpointUpdate(1, True, (), 0, frozenset()))
            client = await gateway.client()
            client.send(request("r1", body))
            await until(lambda: bool(gateway.pool.policy.backlog.held))
            await disconnect_unread(gateway, client, method)
            gateway.pool.on_endpoint_update(EndpointUpdate(2, True, (known,), 0, frozenset()))
            await serve_later_request(gateway)
            assert received(host) == []
            assert gateway.core.counters.disconnected == 1
            assert gateway.core.counters.refused == 0
            assert not gateway.core.open_requests
            assert not gateway.pool.policy.open_requests

    asyncio.run(run())


@pytest.mark.parametrize("body", [None, b"pay"])
def test_waiting_for_a_connection(method: str, body: bytes | None) -> None:
    async def run() -> None:
        async with gateway_with_delayed_connects() as (host, gateway, pending_connects):
            client = await gateway.client()
            client.send(request("r1", body))
            await until(lambda: pending_connects.waiting == 1)
            await disconnect_unread(gateway, client, method)
            pending_connects.go.set()
            await serve_later_request(gateway)
            assert received(host) == []
            assert gateway.core.counters.disconnected == 1
            assert not gateway.core.open_requests

    asyncio.run(run())


@pytest.mark.parametrize("body", [None, b"pay"])
def test_waiting_for_the_reuse_delay_of_a_connection(
    method: str, body: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection waits for REUSE_DELAY after a response before it is used again."""
    monkeypatch.setattr(connection_pool, "REUSE_DELAY", 300_000)

    async def run() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as gateway:
            first = await gateway.client()
            assert await first.ask(request("r0")) == (200, b"served")
            first.writer.close()
            await until(lambda: not gateway.clients())
            client = await gateway.client()
            client.send(request("r1", body))
            await until(lambda: bool(gateway.core.open_requests))
            (request_context,) = gateway.core.open_requests.values()
            (attempt,) = request_context.open_attempts
            assert attempt.pending_connect is not None
            assert not gateway.hosts.connecting
            await disconnect_unread(gateway, client, method)
            await until(lambda: not gateway.core.open_requests)
            await serve_later_request(gateway)
            assert len(received(host)) == 1
            assert gateway.core.counters.disconnected == 1

    asyncio.run(run())


@pytest.mark.parametrize("body", [None, b"pay"])
def test_between_two_attempts(method: str, body: bytes | None) -> None:
    asked, go = asyncio.Event(), asyncio.Event()

    async def reject(message: bytes, writer: Writer) -> None:
        if b"Req-Id: later" in message:
            writer.write(answer(b"served"))
            return
        asked.set()
        await go.wait()
        writer.write(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")

    async def run() -> None:
        async with (
            Server(reject) as one,
            Server(reject) as two,
            running_gateway(("a", one.addr), ("b", two.addr)) as gateway,
        ):
            client = await gateway.client()
            client.send(request("r1", body))
            await asked.wait()
            await disconnect_unread(gateway, client, method)
            go.set()
            await until(lambda: "full" in gateway.core.counters.statuses)
            await serve_later_request(gateway)
            assert len(received(one, two)) == 1
            assert gateway.core.counters.disconnected == 1
            assert not gateway.core.open_requests

    asyncio.run(run())


def test_hedge_beside_an_open_attempt(method: str) -> None:
    asked = asyncio.Event()

    async def silent(message: bytes, writer: Writer) -> None:
        if b"Req-Id: later" in message:
            writer.write(answer(b"served"))
        asked.set()

    async def run() -> None:
        async with (
            Server(silent) as one,
            Server(silent) as two,
            running_gateway(("a", one.addr), ("b", two.addr)) as gateway,
        ):
            client = await gateway.client()
            client.send(request("r1"))
            await asked.wait()
            await disconnect_unread(gateway, client, method)
            (req,) = gateway.core.open_requests
            other = "b" if one.seen else "a"
            gateway.pool.notify_policy(
                None, lambda: gateway.pool.port.send(req, other, 0)
            )  # as a hedge of the decision module does
            await serve_later_request(gateway)
            assert len(received(one, two)) == 1
            assert gateway.core.counters.disconnected == 1

    asyncio.run(run())


def test_queued_behind_a_pipelined_request(method: str) -> None:
    asked, go = asyncio.Event(), asyncio.Event()

    async def wait(message: bytes, writer: Writer) -> None:
        asked.set()
        await go.wait()
        writer.write(answer(b"served"))

    async def run() -> None:
        async with Server(wait) as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            client.send(request("r1") + request("r2", b"pay"))
            await asked.wait()
            await disconnect_unread(gateway, client, method)
            go.set()
            await serve_later_request(gateway)
            assert len(received(host)) == 1

    asyncio.run(run())


def _split_long_request(name: str, size: int) -> tuple[bytes, bytes]:
    """Return a long request in two parts: with as much body as is buffered, and the rest."""
    whole = request(name, b"~" * size, wait_ms=20_000)
    first = whole.index(b"\r\n\r\n") + 4 + MAX_BUFFERED_BODY + 1000
    return whole[:first], whole[first:]


def test_with_half_a_body_and_no_connection_yet(method: str) -> None:
    async def run() -> None:
        async with gateway_with_delayed_connects() as (host, gateway, pending_connects):
            client = await gateway.client()
            first, rest = _split_long_request("r1", MAX_BUFFERED_BODY + 9000)
            client.send(first)
            await until(lambda: pending_connects.waiting == 1)
            client.send(rest)  # is not read, as the buffer for the body is full
            await client.writer.drain()
            (conn,) = gateway.clients()
            disconnect(client, method)
            await wait_for_close(conn)
            pending_connects.go.set()
            await serve_later_request(gateway)
            assert received(host) == []
            await until(lambda: not gateway.core.open_requests)
            await until(lambda: len(gateway.clients()) == 1)

    asyncio.run(run())


def test_with_the_rest_of_a_body_unread(method: str) -> None:
    """The host has the start of the body, and would run the request after its last byte."""
    begun = asyncio.Event()

    async def run() -> None:
        async def read(reader: asyncio.StreamReader, writer: Writer) -> None:
            got[writer] = b""
            while data := await reader.read(65536):
                got[writer] += data
                begun.set()

        got: dict[Writer, bytes] = {}
        server = await asyncio.start_server(read, "127.0.0.1", 0)
        addr = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with server, running_gateway(("a", addr), settings=LONG_CONNECT_TIMEOUT) as gateway:
            client = await gateway.client()
            first, rest = _split_long_request("r1", MAX_BUFFERED_BODY + 9000)
            client.send(first)
            await begun.wait()
            conn = pause_client(gateway)
            client.send(rest)
            await client.writer.drain()
            disconnect(client, method)
            await wait_for_close(conn)
            conn.resume_reading()  # as if the host had taken all that was sent
            await until(lambda: not gateway.core.open_requests)
            await until(lambda: not gateway.clients())
            await until(
                lambda: all(writer.is_closing() for writer in got) or not gateway.hosts.connections
            )
            assert (
                MAX_BUFFERED_BODY
                <= sum(one.count(b"~") for one in got.values())
                < MAX_BUFFERED_BODY + 9000
            )

    asyncio.run(run())


def test_with_its_last_byte_read_in_the_same_loop_iteration(method: str) -> None:
    """The rest of the body and the end of the connection arrive in one loop iteration."""

    async def run() -> None:
        async def read(reader: asyncio.StreamReader, writer: Writer) -> None:
            while data := await reader.read(65536):
                got.append(data.count(b"~"))

        got: list[int] = []
        server = await asyncio.start_server(read, "127.0.0.1", 0)
        addr = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with server, running_gateway(("a", addr), settings=LONG_CONNECT_TIMEOUT) as gateway:
            first, rest = _split_long_request("r1", MAX_BUFFERED_BODY + 9000)
            with open_socket(gateway.addr) as client:
                client.setblocking(False)
                await asyncio.get_running_loop().sock_sendall(client, first)
                await until(lambda: sum(got) >= MAX_BUFFERED_BODY)
                if method == "reset":
                    reset_at_close(client)
                more = b"GET /more HTTP/1.1\r\n" if method == "bytes before" else b""
                assert client.send(rest + more) == len(rest + more)
            await until(
                lambda: (
                    not gateway.core.open_requests
                    and not gateway.clients()
                    and not gateway.hosts.connections
                )
            )
            assert MAX_BUFFERED_BODY <= sum(got) < MAX_BUFFERED_BODY + 9000

    asyncio.run(run())


def test_with_its_last_bytes_unsent(method: str) -> None:
    """The host reads slowly, so the last bytes wait in the gateway."""

    async def run() -> None:
        async with Server() as host, running_gateway(("a", host.addr)) as gateway:
            client = await gateway.client()
            assert await client.ask(request("r0")) == (200, b"served")
            (conn,) = gateway.hosts.connections
            (host_writer,) = host.writers
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            host_writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
            )
            host_writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(request("r1", b"x" * 60_000, wait_ms=20_000))
            await until(lambda: bool(conn.attempt))
            assert conn.has_unsent_bytes()
            disconnect(client, method)
            await until(lambda: gateway.core.counters.disconnected == 1)
            host_writer.transport.resume_reading()  # type: ignore[attr-defined]
            await until(lambda: not gateway.hosts.connections or len(host.seen) > 1)
            await serve_later_request(gateway)
            assert len(received(host)) == 1
            assert not gateway.core.open_requests

    asyncio.run(run())

"""Aids to delay connects and disconnects, so that a test controls the order of events."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from collections.abc import AsyncIterator
from typing import Any

from sailhitch.net.downstream import Downstream
from tests.sockets import TEST_TIMEOUT, Client, RunningGateway, Server, running_gateway, until

# Long enough that no connect timeout ends an attempt that a test delays.
LONG_CONNECT_TIMEOUT: dict[str, Any] = {"limits": {"connectTimeout": 20_000_000}}


class Barrier:
    """Counts the tasks that wait for it, and lets them continue once `go` is set."""

    def __init__(self) -> None:
        self.waiting = 0
        self.go = asyncio.Event()

    async def wait(self) -> None:
        self.waiting += 1
        async with asyncio.timeout(TEST_TIMEOUT):
            await self.go.wait()


@contextlib.asynccontextmanager
async def delayed_connects(to: str) -> AsyncIterator[Barrier]:
    """Delay connects to an address until the test releases the barrier."""
    loop: Any = asyncio.get_running_loop()
    connect, barrier = loop.sock_connect, Barrier()
    host, _, port = to.rpartition(":")

    async def wait(sock: Any, addr: Any) -> None:
        if addr == (host, int(port)):
            await barrier.wait()
        await connect(sock, addr)

    loop.sock_connect = wait
    try:
        yield barrier
    finally:
        barrier.go.set()
        loop.sock_connect = connect


@contextlib.asynccontextmanager
async def gateway_with_delayed_connects() -> AsyncIterator[tuple[Server, RunningGateway, Barrier]]:
    """Run a gateway with one host; connects to it wait until the test releases the barrier."""
    async with (
        Server() as host,
        running_gateway(("a", host.addr), settings=LONG_CONNECT_TIMEOUT) as gateway,
        delayed_connects(host.addr) as barrier,
    ):
        yield host, gateway, barrier


def reset_at_close(sock: Any) -> None:
    """Have close(2) reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def disconnect(client: Client, how: str) -> None:
    """Close a client connection: orderly, with a reset, or right after sending more bytes."""
    sock = client.writer.get_extra_info("socket")
    if how == "reset":
        reset_at_close(sock)
    elif how == "bytes before":
        client.send(b"GET /more HTTP/1.1\r\nHost: h\r\n")
    client.writer.transport.abort()


def pause_client(gateway: RunningGateway) -> Downstream:
    """Pause reading the only client connection, as if the loop were busy; return it."""
    (conn,) = gateway.clients()
    assert conn.transport is not None
    conn.transport.pause_reading()
    return conn


async def wait_for_close(conn: Downstream) -> None:
    """Wait until the client's close has reached the socket, read or not."""
    poll = select.poll()
    poll.register(conn.sock, select.POLLRDHUP)
    await until(lambda: bool(poll.poll(0)))

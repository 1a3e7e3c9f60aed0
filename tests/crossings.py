"""Ways to hold a moment open, so that a test decides what crosses what."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from collections.abc import AsyncIterator
from typing import Any

from sailhitch.net.downstream import Downstream
from tests.sockets import PATIENCE, Client, Gate, Server, gate, until

# No time-out of ours decides a race that a test holds open.
PATIENT: dict[str, Any] = {"limits": {"connectTimeout": 20_000_000}}


class Held:
    """What waits at a door of the loop, and the key to it."""

    def __init__(self) -> None:
        self.waiting = 0
        self.go = asyncio.Event()

    async def wait(self) -> None:
        self.waiting += 1
        async with asyncio.timeout(PATIENCE):
            await self.go.wait()


@contextlib.asynccontextmanager
async def held_connects(to: str) -> AsyncIterator[Held]:
    """Connections to an address come up when the test says so."""
    loop: Any = asyncio.get_running_loop()
    connect, held = loop.sock_connect, Held()
    host, _, port = to.rpartition(":")

    async def wait(sock: Any, addr: Any) -> None:
        if addr == (host, int(port)):
            await held.wait()
        await connect(sock, addr)

    loop.sock_connect = wait
    try:
        yield held
    finally:
        held.go.set()
        loop.sock_connect = connect


@contextlib.asynccontextmanager
async def waiting_gate() -> AsyncIterator[tuple[Server, Gate, Held]]:
    """A gateway with one host, whose connections come up when the test says so."""
    async with (
        Server() as host,
        gate(("a", host.addr), settings=PATIENT) as it,
        held_connects(host.addr) as held,
    ):
        yield host, it, held


def reset_at_close(sock: Any) -> None:
    """Closing it resets the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def leave(client: Client, how: str) -> None:
    """A client closes its connection: in the ordinary way, with a reset, or with more behind."""
    sock = client.writer.get_extra_info("socket")
    if how == "reset":
        reset_at_close(sock)
    elif how == "bytes before":
        client.send(b"GET /more HTTP/1.1\r\nHost: h\r\n")
    client.writer.transport.abort()


def unread(it: Gate) -> Downstream:
    """A client's connection that the loop has no time to read."""
    (conn,) = it.clients()
    assert conn.transport is not None
    conn.transport.pause_reading()
    return conn


async def ended(conn: Downstream) -> None:
    """The end of a client's connection has come, whoever has read it."""
    look = select.poll()
    look.register(conn.sock, select.POLLRDHUP)
    await until(lambda: bool(look.poll(0)))

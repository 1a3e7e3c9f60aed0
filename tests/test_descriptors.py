"""Idle clients hold the descriptors while discovery is down: the watch still gets its socket.

The real program, with so few descriptors that a handful of clients takes them all.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from sailhitch.lab.ports import free_port
from tests.sockets import (
    DiscoveryServer,
    Server,
    Writer,
    config_value,
    dial,
    open_socket,
    process,
    request,
    until,
)

FEW = 64
CROWDED = 24  # held where all clients are in that may be; the rest is hosts' and the reserve
SOON = 10.0  # s in which a restarted process has to be ready, and the watch to be back


def descriptors(pid: int) -> int:
    """How many a process holds."""
    return len(os.listdir(f"/proc/{pid}/fd"))


async def take_the_rest(pid: int) -> None:
    """The system gives a process no descriptor more than it holds between two calls for a list."""
    free = []
    for _ in range(20):
        held = {int(name) for name in os.listdir(f"/proc/{pid}/fd")}
        free.append(min(set(range(len(held) + 1)) - held))
        await asyncio.sleep(0.01)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (min(free), min(free)))


@contextlib.contextmanager
def crowd() -> Iterator[list[socket.socket]]:
    """Clients that are let go of at the end."""
    clients: list[socket.socket] = []
    try:
        yield clients
    finally:
        for client in clients:
            client.close()


async def asked_again(registry: Server) -> None:
    """The watch comes back, and a call is read."""
    async with asyncio.timeout(SOON):
        while not registry.seen:
            await asyncio.sleep(0.02)


async def listen_again(registry: Server, addr: str) -> None:
    """Discovery is back where it was."""
    port = int(addr.rpartition(":")[2])
    registry.server = await asyncio.start_server(registry._serve, "127.0.0.1", port)


def test_the_watch_comes_back_though_clients_rest_on_every_descriptor(tmp_path: Path) -> None:
    """The system has fewer than the settings promise, and nobody new asks to be let in."""

    async def play() -> None:
        away = f"127.0.0.1:{free_port()}"
        async with Server() as host:
            value = config_value(away, ("a", host.addr))
            async with process(tmp_path / "config.json", value) as (program, addr):
                with crowd() as clients:
                    loop = asyncio.get_running_loop()
                    for number in range(20):
                        clients.append(open_socket(addr))
                        clients[-1].setblocking(False)
                        await loop.sock_sendall(clients[-1], request(f"r{number}"))
                        assert await loop.sock_recv(clients[-1], 1000)
                    await take_the_rest(program.pid)
                    registry = DiscoveryServer(("a", host.addr))
                    await listen_again(registry, away)
                    await asked_again(registry)
                    registry.stop()
                    assert program.returncode is None

    asyncio.run(play())


def test_a_crowd_at_a_start_without_discovery_keeps_neither_readiness_nor_the_watch(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def silent(message: bytes, writer: Writer) -> None:
        await asyncio.Event().wait()

    async def play() -> None:
        port = free_port()
        monkeypatch.setattr("tests.sockets.free_port", lambda: port)
        address = ("127.0.0.1", port)

        async def knock() -> None:
            while True:
                for _ in range(20):
                    client = socket.socket()
                    client.setblocking(False)
                    client.connect_ex(address)
                    clients.append(client)
                await asyncio.sleep(0.05)
                for client in clients[:-200]:
                    client.close()
                del clients[:-200]

        with crowd() as clients:
            async with Server() as host, Server(silent) as registry:
                value = config_value(registry.addr, ("a", host.addr), limits={"sockets": FEW})
                knocking = asyncio.create_task(knock())
                async with (
                    asyncio.timeout(SOON) as limit,
                    process(tmp_path / "config.json", value, crowded=True) as (program, addr),
                ):
                    limit.reschedule(None)  # it is ready
                    resource.prlimit(program.pid, resource.RLIMIT_NOFILE, (FEW, FEW))
                    registry.stop()
                    registry.seen.clear()
                    await until(lambda: descriptors(program.pid) >= CROWDED)
                    registry.handler = DiscoveryServer(("a", host.addr)).reply
                    await listen_again(registry, registry.addr)
                    await asked_again(registry)
                    assert descriptors(program.pid) <= FEW
                    knocking.cancel()
                    client = await dial(addr)
                    assert await client.ask(request("after")) == (200, b"served")

    asyncio.run(play())

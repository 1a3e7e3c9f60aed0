"""The discovery watch gets its socket even if idle clients hold the descriptors.

Runs the real program with so few descriptors that a few clients use them all while discovery is
down.
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

DESCRIPTORS = 64
DESCRIPTORS_IN_USE = 24  # with as many clients as are admitted beside hosts and the reserve
RECOVERY_TIMEOUT = 10.0  # s until the process must be ready, or the watch reconnected


def descriptor_count(pid: int) -> int:
    """Return the number of descriptors that a process holds."""
    return len(os.listdir(f"/proc/{pid}/fd"))


async def exhaust_descriptors(pid: int) -> None:
    """Limit a process to the descriptors that it holds between two watch calls."""
    free = []
    for _ in range(20):
        held = {int(name) for name in os.listdir(f"/proc/{pid}/fd")}
        free.append(min(set(range(len(held) + 1)) - held))
        await asyncio.sleep(0.01)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (min(free), min(free)))


@contextlib.contextmanager
def open_clients() -> Iterator[list[socket.socket]]:
    """Yield a list of clients, which are closed at the end."""
    clients: list[socket.socket] = []
    try:
        yield clients
    finally:
        for client in clients:
            client.close()


async def wait_for_watch(registry: Server) -> None:
    """Wait until the watch has reconnected and sent a call."""
    async with asyncio.timeout(RECOVERY_TIMEOUT):
        while not registry.seen:
            await asyncio.sleep(0.02)


async def restart_discovery(registry: Server, addr: str) -> None:
    """Listen again at discovery's former address."""
    port = int(addr.rpartition(":")[2])
    registry.server = await asyncio.start_server(registry._serve, "127.0.0.1", port)


def test_the_watch_reconnects_while_idle_clients_hold_every_descriptor(tmp_path: Path) -> None:
    """The system has fewer descriptors than the settings allow, and no new client connects."""

    async def run() -> None:
        discovery_address = f"127.0.0.1:{free_port()}"
        async with Server() as host:
            value = config_value(discovery_address, ("a", host.addr))
            async with process(tmp_path / "config.json", value) as (program, addr):
                with open_clients() as clients:
                    loop = asyncio.get_running_loop()
                    for number in range(20):
                        clients.append(open_socket(addr))
                        clients[-1].setblocking(False)
                        await loop.sock_sendall(clients[-1], request(f"r{number}"))
                        assert await loop.sock_recv(clients[-1], 1000)
                    await exhaust_descriptors(program.pid)
                    registry = DiscoveryServer(("a", host.addr))
                    await restart_discovery(registry, discovery_address)
                    await wait_for_watch(registry)
                    registry.stop()
                    assert program.returncode is None

    asyncio.run(run())


def test_a_burst_of_clients_at_start_blocks_neither_readiness_nor_the_watch(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def silent(message: bytes, writer: Writer) -> None:
        await asyncio.Event().wait()

    async def run() -> None:
        port = free_port()
        monkeypatch.setattr("tests.sockets.free_port", lambda: port)
        address = ("127.0.0.1", port)

        async def connect_repeatedly() -> None:
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

        with open_clients() as clients:
            async with Server() as host, Server(silent) as registry:
                value = config_value(
                    registry.addr, ("a", host.addr), limits={"sockets": DESCRIPTORS}
                )
                connecting = asyncio.create_task(connect_repeatedly())
                async with (
                    asyncio.timeout(RECOVERY_TIMEOUT) as limit,
                    process(tmp_path / "config.json", value, crowded=True) as (program, addr),
                ):
                    limit.reschedule(None)  # it is ready
                    resource.prlimit(
                        program.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)
                    )
                    registry.stop()
                    registry.seen.clear()
                    await until(lambda: descriptor_count(program.pid) >= DESCRIPTORS_IN_USE)
                    registry.handler = DiscoveryServer(("a", host.addr)).reply
                    await restart_discovery(registry, registry.addr)
                    await wait_for_watch(registry)
                    assert descriptor_count(program.pid) <= DESCRIPTORS
                    connecting.cancel()
                    client = await dial(addr)
                    assert await client.ask(request("after")) == (200, b"served")

    asyncio.run(run())

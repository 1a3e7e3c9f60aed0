"""A platform that holds clients' socket and starts one process of a gateway beside another."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from sailhitch.lab.ports import free_port
from tests.sockets import (
    TEST_TIMEOUT,
    Client,
    DiscoveryServer,
    Server,
    config_value,
    dial,
    until,
)


async def call(addr: str, path: str, method: str = "POST") -> int:
    """One call to an operators' door: the status it is answered with."""
    client = await dial(addr)
    client.send(f"{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    answer = await client.read_to_end()
    client.writer.close()
    return int(answer.split(b" ")[1])


class Generation:
    """One process."""

    def __init__(self, program: asyncio.subprocess.Process, operator: str, log: Path) -> None:
        self.program, self.operator, self.log = program, operator, log

    async def serving(self) -> bool:
        with contextlib.suppress(OSError, IndexError):
            return await call(self.operator, "/status", "GET") == 200
        return False

    async def out(self, host: str) -> int:
        return await call(self.operator, f"/maintenance/enter?target={host}")

    async def back(self, host: str) -> int:
        return await call(self.operator, f"/maintenance/exit?target={host}")

    async def until_serving(self) -> None:
        async with asyncio.timeout(TEST_TIMEOUT):
            while not await self.serving():
                assert self.program.returncode is None, self.log.read_text()
                await asyncio.sleep(0.02)

    async def end(self, number: signal.Signals = signal.SIGTERM) -> int:
        self.program.send_signal(number)
        async with asyncio.timeout(TEST_TIMEOUT):
            return await self.program.wait()


class ConfigPipe:
    """A named pipe in place of a configuration file: its reader waits until it is written."""

    def __init__(self, path: Path) -> None:
        self.path = path
        os.mkfifo(path)
        self._descriptor = -1

    async def until_read(self) -> None:
        """Wait until a process has opened it."""
        async with asyncio.timeout(TEST_TIMEOUT):
            while self._descriptor < 0:
                with contextlib.suppress(OSError):  # ENXIO: nobody has
                    self._descriptor = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
                await asyncio.sleep(0.01)

    def write(self, config: bytes) -> None:
        """Write the whole configuration."""
        assert os.write(self._descriptor, config) == len(config)
        os.close(self._descriptor)


class Site:
    """Holds the socket; `start` starts the next process beside those that live."""

    def __init__(self, folder: Path, value: dict[str, Any]) -> None:
        self.folder, self.path = folder, folder / "config.json"
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(256)
        self.addr = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.path.write_text(json.dumps(value | {"listen": self.addr}))
        self.discovery = str(value["discovery"])
        self.all: list[Generation] = []

    async def start(self, **env: str) -> Generation:
        """One more process, not waited for."""
        operator = f"127.0.0.1:{free_port()}"
        told = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        told |= {
            "EDGE_CONFIG": str(self.path),
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": self.addr,
            "EDGE_DISCOVERY": self.discovery,
            "EDGE_OPERATOR": operator,
            "EDGE_SOCKET_FD": str(self.sock.fileno()),
            "TMPDIR": str(self.folder),
        }
        log = self.folder / f"log{len(self.all)}"
        with log.open("wb") as file:
            program = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                "sailhitch",
                env=told | env,
                stderr=file,
                pass_fds=(self.sock.fileno(),),
            )
        made = Generation(program, operator, log)
        self.all.append(made)
        return made

    async def ready(self, **env: str) -> Generation:
        """One more process, once it serves."""
        made = await self.start(**env)
        await made.until_serving()
        return made

    async def client(self) -> Client:
        return await dial(self.addr)


@contextlib.asynccontextmanager
async def site(folder: Path, value: dict[str, Any]) -> AsyncIterator[Site]:
    """A site whose processes end with it."""
    it = Site(folder, value)
    try:
        yield it
    finally:
        for one in it.all:
            if one.program.returncode is None:
                one.program.kill()
            await one.program.wait()
        it.sock.close()


@contextlib.asynccontextmanager
async def hosted(folder: Path, **hosts: Server) -> AsyncIterator[Site]:
    """A site with these hosts behind it."""
    async with contextlib.AsyncExitStack() as stack:
        for host in hosts.values():
            await stack.enter_async_context(host)
        named = [(name, host.addr) for name, host in hosts.items()]
        registry = await stack.enter_async_context(DiscoveryServer(*named))
        value = config_value(registry.addr, *named)
        yield await stack.enter_async_context(site(folder, value))


async def told(generation: Generation, text: str) -> None:
    """Wait until its log says so."""
    await until(lambda: text in generation.log.read_text())

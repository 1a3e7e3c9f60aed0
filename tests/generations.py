"""A supervisor that owns the listening socket and starts successive processes of a gateway."""

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


async def call_operator(addr: str, path: str, method: str = "POST") -> int:
    """Send a request to the operator interface; return the status of the response."""
    client = await dial(addr)
    client.send(f"{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    answer = await client.read_to_end()
    client.writer.close()
    return int(answer.split(b" ")[1])


class ProcessHandle:
    """One process of the gateway."""

    def __init__(self, program: asyncio.subprocess.Process, operator: str, log: Path) -> None:
        self.program, self.operator, self.log = program, operator, log

    async def serving(self) -> bool:
        with contextlib.suppress(OSError, IndexError):
            return await call_operator(self.operator, "/status", "GET") == 200
        return False

    async def enter_maintenance(self, host: str) -> int:
        return await call_operator(self.operator, f"/maintenance/enter?target={host}")

    async def exit_maintenance(self, host: str) -> int:
        return await call_operator(self.operator, f"/maintenance/exit?target={host}")

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
    """A named pipe in place of a configuration file; its reader blocks until it is written."""

    def __init__(self, path: Path) -> None:
        self.path = path
        os.mkfifo(path)
        self._descriptor = -1

    async def until_read(self) -> None:
        """Wait until a process has opened it."""
        async with asyncio.timeout(TEST_TIMEOUT):
            while self._descriptor < 0:
                with contextlib.suppress(OSError):  # ENXIO: not opened yet
                    self._descriptor = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
                await asyncio.sleep(0.01)

    def write(self, config: bytes) -> None:
        """Write the whole configuration."""
        assert os.write(self._descriptor, config) == len(config)
        os.close(self._descriptor)


class Supervisor:
    """Owns the listening socket; `start` starts the next process beside those running."""

    def __init__(self, folder: Path, value: dict[str, Any]) -> None:
        self.folder, self.path = folder, folder / "config.json"
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(256)
        self.addr = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.path.write_text(json.dumps(value | {"listen": self.addr}))
        self.discovery = str(value["discovery"])
        self.processes: list[ProcessHandle] = []

    async def start(self, **env: str) -> ProcessHandle:
        """Start one more process, without waiting until it serves."""
        operator = f"127.0.0.1:{free_port()}"
        child_env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        child_env |= {
            "EDGE_CONFIG": str(self.path),
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": self.addr,
            "EDGE_DISCOVERY": self.discovery,
            "EDGE_OPERATOR": operator,
            "EDGE_SOCKET_FD": str(self.sock.fileno()),
            "TMPDIR": str(self.folder),
        }
        log = self.folder / f"log{len(self.processes)}"
        with log.open("wb") as file:
            program = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                "sailhitch",
                env=child_env | env,
                stderr=file,
                pass_fds=(self.sock.fileno(),),
            )
        process = ProcessHandle(program, operator, log)
        self.processes.append(process)
        return process

    async def ready(self, **env: str) -> ProcessHandle:
        """Start one more process, and wait until it serves."""
        process = await self.start(**env)
        await process.until_serving()
        return process

    async def client(self) -> Client:
        return await dial(self.addr)


@contextlib.asynccontextmanager
async def supervisor(folder: Path, value: dict[str, Any]) -> AsyncIterator[Supervisor]:
    """Yield a supervisor whose processes are killed at the end."""
    it = Supervisor(folder, value)
    try:
        yield it
    finally:
        for one in it.processes:
            if one.program.returncode is None:
                one.program.kill()
            await one.program.wait()
        it.sock.close()


@contextlib.asynccontextmanager
async def supervisor_with_hosts(folder: Path, **hosts: Server) -> AsyncIterator[Supervisor]:
    """Yield a supervisor whose gateway uses these hosts."""
    async with contextlib.AsyncExitStack() as stack:
        for host in hosts.values():
            await stack.enter_async_context(host)
        addresses = [(name, host.addr) for name, host in hosts.items()]
        registry = await stack.enter_async_context(DiscoveryServer(*addresses))
        value = config_value(registry.addr, *addresses)
        yield await stack.enter_async_context(supervisor(folder, value))


async def wait_for_log(process: ProcessHandle, text: str) -> None:
    """Wait until the process's log contains a text."""
    await until(lambda: text in process.log.read_text())

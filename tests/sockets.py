"""Peers on loopback sockets for tests of the real gateway: hosts, discovery and clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any, Self, cast

from sailhitch.core.log import Log
from sailhitch.core.memory_baseline import MemoryBaseline
from sailhitch.lab.message import platform
from sailhitch.lab.ports import free_port
from sailhitch.net.config import parse_config
from sailhitch.net.connection_pool import ConnectionPool
from sailhitch.net.discovery import Discovery
from sailhitch.net.downstream import Downstream
from sailhitch.net.listener import Listener
from sailhitch.net.platform import Platform
from tests.fake import settings_value

TEST_TIMEOUT = 30.0  # s; an upper limit, so that no test waits forever
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
Handler = Callable[[bytes, Writer], Awaitable[None]]


def _address(server: asyncio.Server) -> str:
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; raises TimeoutError after TEST_TIMEOUT."""
    async with asyncio.timeout(TEST_TIMEOUT):
        while not condition():
            await asyncio.sleep(0.005)


async def read_message(reader: Reader) -> bytes:
    """Read a complete message and join its chunks; raises IncompleteReadError at an early end."""
    return await read_rest(reader, await reader.readuntil(b"\r\n\r\n"))


async def read_rest(reader: Reader, head: bytes) -> bytes:
    """Read the body that follows a head; return both."""
    if b"\r\ntransfer-encoding: chunked" in head.lower():
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return head + body
    size = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            size = int(line.partition(b":")[2])
    return head + (await reader.readexactly(size) if size else b"")


def answer(body: bytes, fields: bytes = b"") -> bytes:
    """Return a response with status 200."""
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (fields, len(body), body)


def request(
    name: str, body: bytes | None = None, wait_ms: int = 3000, fields: bytes = b"", kind: str = ""
) -> bytes:
    """Return a request of the safe class, or of the unsafe one if it has a body."""
    kind = kind or ("pure-all" if body is None else "side_effect-all")
    head, gap, rest = platform(name, kind, wait_ms, body).partition(b"\r\n\r\n")
    return head + b"\r\n" + fields + gap[2:] + rest


class Server:
    """Listens on loopback and passes each complete request to its handler."""

    def __init__(self, handler: Handler | None = None) -> None:
        self.handler = handler
        self.seen: list[bytes] = []
        self.writers: list[Writer] = []
        self.server: asyncio.Server | None = None
        self.addr = ""

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addr = _address(self.server)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.writers.append(writer)
        # Cancellation at the end of a test is no error either.
        expected = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*expected):
            while True:
                message = await read_message(reader)
                self.seen.append(message)
                await self.reply(message, writer)

    async def reply(self, message: bytes, writer: Writer) -> None:
        if self.handler is not None:
            await self.handler(message, writer)
        else:
            writer.write(answer(b"served"))


class DiscoveryServer(Server):
    """Discovery: sends the full list whenever the caller's version is not the current one."""

    def __init__(self, *hosts: tuple[str, str], version: int = 1) -> None:
        super().__init__()
        self.version = version
        self.entries = [entry(name, addr) for name, addr in hosts]
        self.raw_response: bytes | None = None  # sent once instead of a response

    async def reply(self, message: bytes, writer: Writer) -> None:
        target = message.split(b" ")[1]
        after = int(target.partition(b"after=")[2].partition(b"&")[0] or b"-1")
        if self.raw_response is not None:
            raw, self.raw_response = self.raw_response, None
            writer.write(raw)
            return
        if after == self.version:
            await asyncio.sleep(0.05)  # no update arrives during its wait
            update: dict[str, Any] = {"version": after, "full": False, "servers": []}
        else:
            update = {"version": self.version, "full": True, "servers": self.entries}
        writer.write(answer(json.dumps(update).encode()))


def entry(name: str, addr: str, state: str = "active") -> dict[str, Any]:
    """Return an entry of discovery's list."""
    return {
        "id": name,
        "addr": addr,
        "zone": "z",
        "kind": "k",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


def config_value(discovery: str, *hosts: tuple[str, str], **changes: Any) -> dict[str, Any]:
    """Return a configuration as the platform writes it, with `limits` and `settings` merged in."""
    settings = settings_value(dcs=["z"], shapes=["k"], **changes.pop("settings", {}))
    limits = {"cores": 1.0, "memory_mb": 80, "sockets": 256} | changes.pop("limits", {})
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": discovery,
        "seed": "1",
        "limits": limits,
        "known": {"version": 0, "full": True, "servers": [entry(n, a) for n, a in hosts]},
        "settings": settings,
    } | changes


class Client:
    """A client connection."""

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self) -> tuple[int, bytes]:
        """Read the next response; return its status and body."""
        async with asyncio.timeout(TEST_TIMEOUT):
            message = await read_message(self.reader)
        return int(message.split(b" ")[1]), message.partition(b"\r\n\r\n")[2]

    async def read_to_end(self) -> bytes:
        """Read until the gateway closes the connection; a reset counts as a close."""
        received = b""
        async with asyncio.timeout(TEST_TIMEOUT):
            with contextlib.suppress(OSError):
                while data := await self.reader.read(65536):
                    received += data
        return received

    async def reconnect(self) -> Client:
        """Close this connection and open a new one to the same address."""
        host, port = self.writer.get_extra_info("peername")
        self.writer.close()
        return await dial(f"{host}:{port}")

    async def ask(self, data: bytes) -> tuple[int, bytes]:
        self.send(data)
        return await self.answer()


def open_socket(addr: str) -> socket.socket:
    """Open a blocking connection, for use without the event loop."""
    host, _, port = addr.rpartition(":")
    return socket.create_connection((host, int(port)))


async def dial(addr: str) -> Client:
    host, _, port = addr.rpartition(":")
    return Client(*await asyncio.open_connection(host, int(port)))


class RunningGateway:
    """A gateway that runs in this process and listens on loopback."""

    def __init__(self, platform: Platform, listener: Listener) -> None:
        self.platform, self.listener = platform, listener
        self.addr = f"127.0.0.1:{listener.sock.getsockname()[1]}"
        self.core, self.pool = platform.core, platform.pool

    @property
    def discovery(self) -> Discovery:
        return self.platform.discovery

    @property
    def hosts(self) -> ConnectionPool:
        return cast(ConnectionPool, self.pool.transport)

    async def client(self) -> Client:
        return await dial(self.addr)

    def clients(self) -> list[Downstream]:
        """Return the open client connections, oldest first."""
        return [cast(Downstream, client) for client in self.core.clients]


class SharedProcessBaseline(MemoryBaseline):
    """The baseline in a process that is the tests' as well: what it holds is not the gateway's."""

    def __init__(self) -> None:
        super().__init__(lambda: 0)
        self.size = 1 << 40

    def update(self, now: int, explained: int, is_calm: bool) -> None:
        """Do nothing: the size explains all."""


@contextlib.asynccontextmanager
async def running_gateway(
    *hosts: tuple[str, str], discovery: str = "", **changes: Any
) -> AsyncIterator[RunningGateway]:
    """Run a gateway that knows these hosts; it watches discovery if an address is given."""
    loop = asyncio.get_running_loop()
    value = config_value(discovery or "127.0.0.1:9", *hosts, **changes)
    platform = Platform(parse_config(value, {}), loop, Log("n0"))
    platform.core.memory.baseline = SharedProcessBaseline()
    platform.begin()
    watch = loop.create_task(platform.discovery.run()) if discovery else None
    listener = platform.listen(("127.0.0.1", 0), 100)
    listener.start()
    platform.core.ready = True
    try:
        yield RunningGateway(platform, listener)
    finally:
        if listener.sock.fileno() >= 0:
            listener.close()
        platform.core.stop()
        if watch is not None:
            watch.cancel()


async def start_requests(gateway: RunningGateway, count: int) -> list[Client]:
    """Return `count` clients that have each sent a request."""
    clients = []
    for i in range(count):
        client = await gateway.client()
        client.send(request(f"busy{i}"))
        clients.append(client)
    return clients


@contextlib.asynccontextmanager
async def process(
    path: Path,
    value: dict[str, Any],
    tree: Path | None = None,
    python: str = sys.executable,
    crowded: bool = False,
    log: Path = Path(os.devnull),
    package: str = "",
) -> AsyncIterator[tuple[asyncio.subprocess.Process, str]]:
    """Run the real program with its configuration in a file, and wait until it is ready.

    It is that of this checkout, or of the one at `tree`. `crowded`: idle clients use up its
    descriptors, so a readiness check may be closed unanswered, and is repeated. `log` gets what it
    logs. `package` is run in place of the program.
    """
    addr = f"127.0.0.1:{free_port()}"
    path.write_text(json.dumps(value | {"listen": addr}))
    env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    env |= {"EDGE_CONFIG": str(path), "EDGE_NAME": "n0", "EDGE_LISTEN": addr}
    env |= {"EDGE_DISCOVERY": str(value["discovery"])}
    # Checkouts to compare with may have the package under its older name.
    is_renamed = tree is None or (tree / "sailhitch").exists()
    package = package or ("sailhitch" if is_renamed else "sillusher")
    with log.open("ab") as file:
        program = await asyncio.create_subprocess_exec(
            python, "-B", "-m", package, env=env, cwd=tree, stderr=file
        )
    try:
        async with asyncio.timeout(TEST_TIMEOUT):
            while not await _ready(addr, crowded):
                await asyncio.sleep(0.02)
        yield program, addr
    finally:
        if program.returncode is None:
            program.kill()
        await program.wait()


@contextlib.asynccontextmanager
async def hosted_process(
    path: Path, host: Server
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Client]]:
    """Run the real program with one host, and connect a client."""
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(host)
        registry = await stack.enter_async_context(DiscoveryServer(("a", host.addr)))
        value = config_value(registry.addr, ("a", host.addr))
        program, addr = await stack.enter_async_context(process(path, value))
        yield program, await dial(addr)


async def _ready(addr: str, crowded: bool) -> bool:
    try:
        client = await dial(addr)
    except OSError:
        return False
    try:
        status, _ = await client.ask(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    except (OSError, asyncio.IncompleteReadError):
        if not crowded:
            raise
        return False
    finally:
        client.writer.close()
    return status == 200

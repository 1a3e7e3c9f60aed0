"""Peers over loopback sockets for tests of the real gateway: a host, discovery, a plain client."""

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
from sailhitch.lab.message import platform
from sailhitch.lab.ports import free_port
from sailhitch.net.config import parse_config
from sailhitch.net.connection_pool import ConnectionPool
from sailhitch.net.discovery import Discovery
from sailhitch.net.downstream import Downstream
from sailhitch.net.listener import Listener
from sailhitch.net.platform import Platform
from tests.fake import settings_value

PATIENCE = 30.0  # s; no test measures time, but none waits forever
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
Answerer = Callable[[bytes, Writer], Awaitable[None]]


def _name(server: asyncio.Server) -> str:
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, however long it takes within reason."""
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.005)


async def read_message(reader: Reader) -> bytes:
    """A whole message, its chunks put together; raises IncompleteReadError at an early end."""
    head = await reader.readuntil(b"\r\n\r\n")
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
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (fields, len(body), body)


def request(
    name: str, body: bytes | None = None, wait_ms: int = 3000, fields: bytes = b"", kind: str = ""
) -> bytes:
    """A client's request of the safe class, or of the unsafe one where it has a body."""
    kind = kind or ("pure-all" if body is None else "side_effect-all")
    head, gap, rest = platform(name, kind, wait_ms, body).partition(b"\r\n\r\n")
    return head + b"\r\n" + fields + gap[2:] + rest


class Server:
    """Listens on loopback and hands each whole request to its answerer."""

    def __init__(self, answerer: Answerer | None = None) -> None:
        self.answerer = answerer
        self.seen: list[bytes] = []
        self.writers: list[Writer] = []
        self.server: asyncio.Server | None = None
        self.addr = ""

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addr = _name(self.server)
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
        # One that is cancelled with the test is no error either.
        ends = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while True:
                message = await read_message(reader)
                self.seen.append(message)
                await self.reply(message, writer)

    async def reply(self, message: bytes, writer: Writer) -> None:
        if self.answerer is not None:
            await self.answerer(message, writer)
        else:
            writer.write(answer(b"served"))


class Registry(Server):
    """Discovery: the whole list at first, then what the test says has changed."""

    def __init__(self, *hosts: tuple[str, str], version: int = 1) -> None:
        super().__init__()
        self.version = version
        self.entries = [entry(name, addr) for name, addr in hosts]
        self.raw: bytes | None = None  # said in place of an answer, once

    async def reply(self, message: bytes, writer: Writer) -> None:
        target = message.split(b" ")[1]
        after = int(target.partition(b"after=")[2].partition(b"&")[0] or b"-1")
        if self.raw is not None:
            raw, self.raw = self.raw, None
            writer.write(raw)
            return
        if after == self.version:
            await asyncio.sleep(0.05)  # nothing new comes while it waits
            text: dict[str, Any] = {"version": after, "full": False, "servers": []}
        else:
            text = {"version": self.version, "full": True, "servers": self.entries}
        writer.write(answer(json.dumps(text).encode()))


def entry(name: str, addr: str, state: str = "active") -> dict[str, Any]:
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
    """A configuration as the platform writes it; `limits` and `settings` are merged in."""
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
    """A client's connection."""

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self) -> tuple[int, bytes]:
        """The next answer: its status and body."""
        async with asyncio.timeout(PATIENCE):
            message = await read_message(self.reader)
        return int(message.split(b" ")[1]), message.partition(b"\r\n\r\n")[2]

    async def rest(self) -> bytes:
        """All that still comes until the gateway closes; a reset counts as an end."""
        got = b""
        async with asyncio.timeout(PATIENCE):
            with contextlib.suppress(OSError):
                while data := await self.reader.read(65536):
                    got += data
        return got

    async def again(self) -> Client:
        """A new connection to where this one went."""
        host, port = self.writer.get_extra_info("peername")
        self.writer.close()
        return await dial(f"{host}:{port}")

    async def ask(self, data: bytes) -> tuple[int, bytes]:
        self.send(data)
        return await self.answer()


def plain(addr: str) -> socket.socket:
    """A connection that the test uses without the loop."""
    host, _, port = addr.rpartition(":")
    return socket.create_connection((host, int(port)))


async def dial(addr: str) -> Client:
    host, _, port = addr.rpartition(":")
    return Client(*await asyncio.open_connection(host, int(port)))


class Gate:
    """A gateway in this process, listening on loopback."""

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
        """The connections that clients hold, oldest first."""
        return [cast(Downstream, one) for one in self.core.clients]


@contextlib.asynccontextmanager
async def gate(*hosts: tuple[str, str], discovery: str = "", **changes: Any) -> AsyncIterator[Gate]:
    """A gateway that knows these hosts; it watches discovery only where there is some."""
    loop = asyncio.get_running_loop()
    value = config_value(discovery or "127.0.0.1:9", *hosts, **changes)
    platform = Platform(parse_config(value, {}), loop, Log("n0"))
    platform.begin()
    watch = loop.create_task(platform.discovery.run()) if discovery else None
    server = platform.listen(("127.0.0.1", 0), 100)
    server.start()
    platform.core.ready = True
    try:
        yield Gate(platform, server)
    finally:
        if server.sock.fileno() >= 0:
            server.close()
        platform.core.stop()
        if watch is not None:
            watch.cancel()


async def fill(it: Gate, count: int) -> list[Client]:
    """So many clients, each with a request out."""
    clients = []
    for i in range(count):
        client = await it.client()
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
) -> AsyncIterator[tuple[asyncio.subprocess.Process, str]]:
    """The real program, ready for traffic, with its configuration in a file.

    It is that of this checkout, or of the one at `tree`. `crowded`: idle clients take its
    descriptors, so a check of its readiness may be shut unread, and is made again.
    """
    addr = f"127.0.0.1:{free_port()}"
    path.write_text(json.dumps(value | {"listen": addr}))
    env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    env |= {"EDGE_CONFIG": str(path), "EDGE_NAME": "n0", "EDGE_LISTEN": addr}
    env |= {"EDGE_DISCOVERY": str(value["discovery"])}
    # Checkouts to compare with may be older than the package's name.
    package = "sailhitch" if tree is None or (tree / "sailhitch").exists() else "sillusher"
    program = await asyncio.create_subprocess_exec(
        python, "-B", "-m", package, env=env, cwd=tree, stderr=asyncio.subprocess.DEVNULL
    )
    try:
        async with asyncio.timeout(PATIENCE):
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
    """The real program with one host behind it, and a client of it."""
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(host)
        registry = await stack.enter_async_context(Registry(("a", host.addr)))
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

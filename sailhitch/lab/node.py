"""A claims node: answers each request after a while and keeps a log of every effect."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Final, Self, cast

import httptools

NOT_FOUND: Final = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class Node:
    """Listens on a loopback port. `delay` in seconds and `size` of answers may change at any time.

    `effects` counts how often each request id has run.
    """

    def __init__(self, delay: float = 0.0, size: int = 32) -> None:
        self.delay, self.size = delay, size
        self.effects: Counter[bytes] = Counter()
        self.connections = 0
        self.addr = ""
        self._server: asyncio.Server | None = None
        self._open: set[_Connection] = set()

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), "127.0.0.1", 0)
        self.addr = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()
        for connection in list(self._open):
            connection.transport.abort()


class _Connection(asyncio.Protocol):
    def __init__(self, node: Node) -> None:
        self.node = node
        self.parser = httptools.HttpRequestParser(self)
        self.name = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.node.connections += 1
        self.node._open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.node._open.discard(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        self.name = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"req-id":
            self.name = value

    def on_message_complete(self) -> None:
        if not self.name:
            self.transport.write(NOT_FOUND)
            return
        self.node.effects[self.name] += 1
        asyncio.get_running_loop().call_later(self.node.delay, self._answer, self.name)

    def _answer(self, name: bytes) -> None:
        if self.transport.is_closing():
            return
        body = (name + b" ").ljust(self.node.size, b".")
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

"""Well-behaved and abusive clients, and the front that assigns connections to their requests.

Every request is counted once, by its final outcome; a second final response to one is a failure of
the gateway and counted as such. Times are in seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final, Self, cast

from .message import platform
from .run_time import run_time

SERVED = "served"
REFUSED = "refused"
FAILED = "failed"
NO_SEAT = "no seat"
LOST = "lost"
READY: Final = b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"
_request_numbers = itertools.count()


class Tally:
    """Outcomes of the requests of one kind of client."""

    def __init__(self) -> None:
        self.ends: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()  # final responses by request id
        self.retry_after: list[float] = []

    def end(self, name: str, what: str) -> None:
        """Count the outcome of a request."""
        self.ends[what] += 1
        if what in (SERVED, REFUSED, FAILED):
            self.answers[name] += 1

    @property
    def asked(self) -> int:
        """Return the number of requests sent."""
        return sum(self.ends.values())

    @property
    def share(self) -> float:
        """Return the fraction of requests that were served."""
        return self.ends[SERVED] / max(1, self.asked)

    @property
    def answered_twice(self) -> int:
        """Return the number of requests with more than one final response."""
        return sum(count > 1 for count in self.answers.values())


class ClientConnection(asyncio.Protocol):
    """A client's connection: sends one request at a time and awaits its response."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.gone = asyncio.Event()
        self.keep_alive = True
        self.early = b""  # response heads received without a request
        self._data = b""
        self._done: asyncio.Future[tuple[int, dict[str, str], bytes]] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Read bytes of a response."""
        self._data += data
        head, separator, body = self._data.partition(b"\r\n\r\n")
        if not separator:
            return
        first, *rest = head.decode("latin-1").split("\r\n")
        fields = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in rest)}
        size = int(fields.get("content-length", "0"))
        if len(body) < size:
            return
        self._data = body[size:]
        self.keep_alive = fields.get("connection", "").lower() != "close"
        done = self._done
        self._done = None
        if done is None:
            self.early += head
        elif not done.done():
            done.set_result((int(first.split(" ")[1]), fields, body[:size]))

    def eof_received(self) -> None:
        """Handle the gateway closing its side as a lost connection."""
        self.connection_lost(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the open request."""
        self.gone.set()
        if self._done is not None and not self._done.done():
            self._done.set_exception(ConnectionResetError("closed by the gateway"))

    @property
    def open(self) -> bool:
        """Return whether the connection is open."""
        return self.keep_alive and not self.gone.is_set()

    async def ask(self, data: bytes, patience: float) -> tuple[int, dict[str, str], bytes]:
        """Send a request and await its response; raises OSError or TimeoutError."""
        assert self.transport is not None
        self._done = asyncio.get_running_loop().create_future()
        if self.gone.is_set():
            raise ConnectionResetError("closed by the gateway")
        self.transport.write(data)
        async with asyncio.timeout(patience):
            return await self._done

    def close(self) -> None:
        """Close the connection at once."""
        self.gone.set()
        if self.transport is not None:
            self.transport.abort()


async def dial(addr: str, source: str = "") -> ClientConnection:
    """Connect, from the loopback address `source` if given."""
    host, _, port = addr.rpartition(":")
    local = (source, 0) if source else None
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        ClientConnection, host, int(port), local_addr=local
    )
    return connection


class Front:
    """Distributes requests over at most `seats` connections to one gateway.

    A request uses the most recently idle connection, or a new one while there are fewer than
    `seats`; otherwise it is rejected. A request that crosses the close of a reused connection is
    sent once more on a new one.
    """

    def __init__(self, addr: str, seats: int, kind: str, wait_ms: int = 3000) -> None:
        self.addr = addr
        self.seats = seats
        self.kind = kind
        self.wait_ms = wait_ms
        self.idle: list[ClientConnection] = []
        self.open: set[ClientConnection] = set()
        self.dialled = 0
        self.source = ""

    async def ask(
        self,
        tally: Tally,
        hold: bool = False,
        body: bytes = b"",
        owner: str = "",
        own_limit: int = 0,
    ) -> ClientConnection | None:
        """Send a request and count its outcome in `tally`; `hold` keeps its connection from reuse.

        Returns the connection if it is still open. `own_limit`, if not 0, replaces `seats`.
        """
        name = f"c{next(_request_numbers):x}"
        data = platform(name, self.kind, self.wait_ms, body or None, owner)
        for is_retry in (False, True):
            self.idle = [connection for connection in self.idle if connection.open]
            self.open = {connection for connection in self.open if not connection.gone.is_set()}
            reused = bool(self.idle) and not is_retry and not hold
            if not reused and len(self.open) >= (own_limit or self.seats):
                tally.end(name, NO_SEAT)
                return None
            connection: ClientConnection | None = None
            try:
                connection = self.idle.pop() if reused else await self._connect()
                status, fields, got = await connection.ask(data, self.wait_ms / 1000 + 0.5)
            except OSError as error:
                self._close_connection(connection)
                if isinstance(error, TimeoutError) or not reused:
                    tally.end(name, LOST if isinstance(error, TimeoutError) else FAILED)
                    return None
                continue
            return self._finish(tally, name, connection, status, fields, got, hold)
        return None

    async def _connect(self) -> ClientConnection:
        self.dialled += 1
        connection = await dial(self.addr, self.source)
        self.open.add(connection)
        return connection

    def _close_connection(self, connection: ClientConnection | None) -> None:
        if connection is not None:
            connection.close()
            self.open.discard(connection)

    def _finish(
        self,
        tally: Tally,
        name: str,
        connection: ClientConnection,
        status: int,
        fields: dict[str, str],
        got: bytes,
        hold: bool,
    ) -> ClientConnection | None:
        is_own_response = got.split(b" ")[0] == name.encode()
        if status == 200 and is_own_response:
            tally.end(name, SERVED)
        else:
            tally.end(name, REFUSED if status in (429, 503) else FAILED)
            if "retry-after" in fields:
                tally.retry_after.append(float(fields["retry-after"]))
        if not connection.keep_alive:
            self._close_connection(connection)
            return None
        if not hold:
            self.idle.append(connection)
        return connection


class Crowd:
    """Runs clients within an `async with` block, and ends their tasks and connections after it."""

    def __init__(self, addr: str, seed: int = 1) -> None:
        self.addr = addr
        self.random = random.Random(seed)
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections: set[ClientConnection] = set()
        self.sockets: set[socket.socket] = set()
        self.dialled: Counter[str] = Counter()
        self.closed: Counter[str] = Counter()  # abusive clients' connections closed by the gateway

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for connection in self.connections:
            connection.close()
        for one in self.sockets:
            one.close()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a client in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def steady(self, rate: float, count: int, one: Callable[[], Awaitable[object]]) -> None:
        """Start `count` calls at `rate` per second of run time, and wait for all of them."""
        running: set[asyncio.Task[object]] = set()
        loop = asyncio.get_running_loop()
        started = run_time()
        for i in range(count):
            while (delay := started + i / rate - run_time()) > 0:
                await asyncio.sleep(delay)
            running.add(loop.create_task(_ignore_errors(one())))
        await asyncio.gather(*running)

    # --- Well-behaved clients

    async def honest(self, front: Front, tally: Tally, rate: float, count: int, **how: Any) -> None:
        """Send requests through the front at a steady rate, each releasing its connection."""
        await self.steady(rate, count, lambda: front.ask(tally, **how))

    async def returner(self, front: Front, tally: Tally, gap: float, times: int) -> None:
        """Send a request every `gap` on its own connection, reconnecting if it was closed."""
        connection: ClientConnection | None = None
        for _ in range(times):
            name = f"r{next(_request_numbers):x}"
            data = platform(name, front.kind, front.wait_ms)
            try:
                if connection is None or not connection.open:
                    connection = await front._connect()
                status, _, _ = await connection.ask(data, front.wait_ms / 1000 + 0.5)
                tally.end(name, SERVED if status == 200 else REFUSED)
            except OSError:
                tally.end(name, FAILED)
                connection = None
            await asyncio.sleep(gap)
        if connection is not None:
            self.connections.add(connection)

    # --- Clients that hold connections

    async def hoarders(self, front: Front, tally: Tally, rate: float, count: int) -> None:
        """Clients that send one request through the front and never release their connection."""

        async def one() -> None:
            connection = await front.ask(tally, hold=True)
            if connection is not None:
                self.connections.add(connection)

        await self.steady(rate, count, one)

    async def silent(self, rate: float, count: int, source: str = "") -> None:
        """Connect and send nothing."""
        await self.steady(
            rate, count, lambda: self._run_abusive_client("silent", _send_nothing, source)
        )

    async def come_back(self, source: str = "", first: bytes = b"") -> None:
        """Reconnect whenever the connection is closed, sending `first` each time."""

        async def act(connection: ClientConnection) -> None:
            assert connection.transport is not None
            connection.transport.write(first)

        while True:
            await self._run_abusive_client("come back", act, source)
            await asyncio.sleep(0)

    async def trickle(self, data: bytes, gap: float, source: str = "") -> None:
        """Send the data one byte at a time."""

        async def act(connection: ClientConnection) -> None:
            assert connection.transport is not None
            for byte in data:
                if connection.gone.is_set():
                    return
                connection.transport.write(bytes([byte]))
                await asyncio.sleep(gap)

        await self._run_abusive_client("trickle", act, source)

    async def slow_reader(self, data: bytes, gap: float = 1.0) -> None:
        """Send a request and read its response one byte at a time."""
        host, _, port = self.addr.rpartition(":")
        one = socket.socket()
        self.sockets.add(one)
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        one.setblocking(False)
        loop = asyncio.get_running_loop()
        self.dialled["slow reader"] += 1
        with contextlib.suppress(OSError):
            await loop.sock_connect(one, (host, int(port)))
            await loop.sock_sendall(one, data)
            while await loop.sock_recv(one, 1):
                await asyncio.sleep(gap)
        self.closed["slow reader"] += 1
        self.sockets.discard(one)
        one.close()

    async def _run_abusive_client(
        self, kind: str, act: Callable[[ClientConnection], Awaitable[None]], source: str
    ) -> None:
        self.dialled[kind] += 1
        try:
            connection = await dial(self.addr, source)
        except OSError:
            await asyncio.sleep(0.05)
            return
        self.connections.add(connection)
        await act(connection)
        await connection.gone.wait()
        self.closed[kind] += 1
        self.connections.discard(connection)
        connection.close()


async def _send_nothing(connection: ClientConnection) -> None:
    """Send nothing."""


async def _ignore_errors(work: Awaitable[object]) -> object:
    try:
        return await work
    except OSError:
        return None

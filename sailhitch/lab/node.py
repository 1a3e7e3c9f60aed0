"""A simulated node with a queue, cold start, drain, dedup groups, an effect log, scripted faults.

It uses the platform's header fields: `Req-Id`, `Idempotency-Key`, `Srv-Load`, `Srv-Declined`. Times
are seconds on the loop's clock.
"""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final, Self, cast

import httptools

NOT_FOUND: Final = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
DECLINED: Final = (
    b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
)
SERVER_ERROR: Final = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nwrong"


class Fault(Enum):
    """A fault injected into the handling of one request."""

    REFUSE = auto()  # declined with `Srv-Declined`: the request is not executed
    RESET_BEFORE = auto()  # the connection is reset before the request is executed
    RESET_AFTER = auto()  # ...and after it is executed
    SILENT = auto()  # executed, but never answered
    MALFORMED = auto()  # executed, but the response is malformed
    TRUNCATED = auto()  # executed, but the response is truncated to half its body
    ERROR = auto()  # executed, but answered with a 500
    SLOW = auto()  # executed, but takes `slow` longer


Script = Callable[[bytes], Fault | None]


@dataclass(frozen=True, slots=True)
class Effect:
    """An executed request: its id, its idempotency key, and when."""

    name: bytes
    key: bytes
    at: float
    safe: bool  # whether its method is safe (RFC 9110, 9.2.1)
    version: bytes = b""  # the request's Tier-Version field


class Memory:
    """The idempotency keys that a dedup group has executed, kept for a time window."""

    def __init__(self, window: float = 60.0, max_keys: int = 100_000) -> None:
        self.window = window
        self.max_keys = max_keys
        self._known: OrderedDict[bytes, float] = OrderedDict()

    def contains(self, key: bytes, now: float) -> bool:
        """Return whether a key is still remembered at this time."""
        at = self._known.get(key)
        return at is not None and now - at < self.window

    def note(self, key: bytes, now: float) -> None:
        """Remember a key from this time on."""
        self._known[key] = now
        if len(self._known) > self.max_keys:
            self._known.popitem(last=False)


class Node:
    """Listens on a loopback port. All constructor arguments are attributes that may be changed.

    It processes `workers` requests at a time (0: any number), each for `delay`. During the `cold`
    time after its start, its speed rises linearly from `cold_share` to 1. If in that time it holds
    more than `fails_above` requests, scaled with its speed, for longer than `fails_after`, it
    fails: it sets `has_failed` and accepts no more work.
    """

    def __init__(
        self,
        delay: float = 0.0,
        size: int = 32,
        *,
        workers: int = 0,
        cold: float = 0.0,
        cold_share: float = 0.3,
        fails_above: int = 0,
        fails_after: float = 0.05,
        memory: Memory | None = None,
        reports: bool = False,
        slow: float = 1.0,
        script: Script | None = None,
        compares: bool = False,
    ) -> None:
        self.compares = compares  # whether it declines requests sent under an outdated version
        self.newest = 0  # latest active version of the tier that it has seen
        self.outdated: list[tuple[bytes, float]] = []  # requests declined for that, and when
        self.delay = delay
        self.size = size
        self.workers = workers
        self.cold = cold
        self.cold_share = cold_share
        self.fails_above = fails_above
        self.fails_after = fails_after
        self.memory = memory
        self.reports = reports
        self.slow = slow
        self.script = script
        self.effects: Counter[bytes] = Counter()  # by request id
        self.log: list[Effect] = []
        self.connections = 0
        self.seen = 0  # requests
        self.peak = 0  # highest number of requests held at a time
        self.has_failed = False
        self.started = self.drained_at = 0.0
        self.late: list[tuple[bytes, float]] = []  # requests after a drain, and how long after it
        self.addr = ""
        self._held_count = self._working = 0
        self._overload_since = 0.0
        self._queue: deque[Callable[[], None]] = deque()
        self._server: asyncio.Server | None = None
        self._open: set[_Connection] = set()

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.stop()

    async def start(self, port: int = 0) -> None:
        """Listen at the given port; 0 means any free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), "127.0.0.1", port)
        self.addr = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self.started = loop.time()

    def stop(self) -> None:
        """Stop abruptly, as a killed process does."""
        assert self._server is not None
        self._server.close()
        for connection in list(self._open):
            connection.transport.abort()

    def drain(self) -> None:
        """Record all requests from now on in `late`; they are still served."""
        self.drained_at = asyncio.get_running_loop().time()

    def restart(self) -> None:
        """Reset the start time, so that the node is cold, and end a drain."""
        self.drained_at = 0.0
        self.started = asyncio.get_running_loop().time()

    # --- One request

    def handle_begin(self, connection: _Connection) -> None:
        """Handle the first byte of a request."""

    def handle_request(self, connection: _Connection, name: bytes, key: bytes) -> None:
        """Handle a complete request."""
        now = asyncio.get_running_loop().time()
        self.seen += 1
        if self.drained_at:
            self.late.append((name, now - self.drained_at))
        fault = self.script(name) if self.script is not None else None
        if self._is_outdated(connection.version):
            self.outdated.append((name, now))
            fault = Fault.REFUSE
        if fault == Fault.REFUSE:
            connection.write(DECLINED)
        elif fault == Fault.RESET_BEFORE:
            connection.transport.abort()
        else:
            self._enqueue(lambda: self._work(connection, name, key, fault))

    def _is_outdated(self, version: bytes) -> bool:
        """Return whether a request was sent under a version that is no longer valid.

        `Tier-Version: 7, 8` means that serial 7 is active and serial 8 also permits the request.
        """
        if not self.compares or not version:
            return False
        serials = [int(one) for one in version.split(b",")]
        self.newest = max(self.newest, serials[0])
        return max(serials) < self.newest

    def _enqueue(self, work: Callable[[], None]) -> None:
        self._held_count += 1
        self.peak = max(self.peak, self._held_count)
        self._check_overload()
        if self.has_failed:
            return
        if self.workers and self._working >= self.workers:
            self._queue.append(work)
            return
        work()

    def _work(self, connection: _Connection, name: bytes, key: bytes, fault: Fault | None) -> None:
        self._working += 1
        loop = asyncio.get_running_loop()
        time = self.delay / self._speed(loop.time() - self.started)
        time += self.slow if fault == Fault.SLOW else 0.0
        loop.call_later(time, self._finish, connection, name, key, fault)

    def _check_overload(self) -> None:
        """Fail if too many requests have been held for too long; a short burst is tolerated."""
        now = asyncio.get_running_loop().time()
        age = now - self.started
        max_held = self.fails_above * self._speed(age) / self.cold_share
        if not self.fails_above or age >= self.cold or self._held_count <= max_held:
            self._overload_since = 0.0
        elif not self._overload_since:
            self._overload_since = now
        elif now - self._overload_since > self.fails_after:
            self.has_failed = True

    def _speed(self, age: float) -> float:
        if age >= self.cold:
            return 1.0
        return self.cold_share + (1.0 - self.cold_share) * age / self.cold

    def _finish(
        self, connection: _Connection, name: bytes, key: bytes, fault: Fault | None
    ) -> None:
        self._working -= 1
        self._held_count -= 1
        self._check_overload()
        self._execute(connection, name, key)
        self._respond(connection, name, fault)
        if self._queue:
            self._queue.popleft()()

    def _respond(self, connection: _Connection, name: bytes, fault: Fault | None) -> None:
        if fault == Fault.RESET_AFTER:
            connection.transport.abort()
        elif fault != Fault.SILENT:
            connection.write(self._answer(name, fault))
            if fault in (Fault.MALFORMED, Fault.TRUNCATED):
                connection.transport.close()

    def _execute(self, connection: _Connection, name: bytes, key: bytes) -> None:
        now = asyncio.get_running_loop().time()
        if key and self.memory is not None:
            if self.memory.contains(key, now):
                return
            self.memory.note(key, now)
        self.effects[name] += 1
        self.log.append(Effect(name, key, now, connection.safe, connection.version))

    def _answer(self, name: bytes, fault: Fault | None) -> bytes:
        if fault == Fault.ERROR:
            return SERVER_ERROR
        if fault == Fault.MALFORMED:
            return b"\x00\x01 this is no answer\r\n\r\n"
        body = (name + b" ").ljust(self.size, b".")
        load = b""
        if self.reports:
            load = b"Srv-Load: queue=%d, inflight=%d, mean_ms=%.3f\r\n" % (
                len(self._queue),
                self._held_count,
                self.delay * 1000,
            )
        whole = b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (load, len(body), body)
        return whole[: len(whole) - len(body) // 2] if fault == Fault.TRUNCATED else whole


class _Connection(asyncio.Protocol):
    def __init__(self, node: Node) -> None:
        self.node = node
        self.parser = httptools.HttpRequestParser(self)
        self.name = self.key = self.version = b""
        self.wait_ms = 0  # from Req-Deadline-Ms
        self.safe = True
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
        self.name = self.key = self.version = b""
        self.wait_ms = 0
        self.node.handle_begin(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        low = name.lower()
        if low == b"req-id":
            self.name = value
        elif low == b"idempotency-key":
            self.key = value
        elif low == b"tier-version":
            self.version = value
        elif low == b"req-deadline-ms" and value.isdigit():
            self.wait_ms = int(value)

    def on_message_complete(self) -> None:
        if not self.name:
            self.transport.write(NOT_FOUND)
            return
        self.safe = self.parser.get_method() in (b"GET", b"HEAD")
        self.node.handle_request(self, self.name, self.key)

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


def executed_twice(nodes: list[Node]) -> list[bytes]:
    """Return the keys, or ids without a key, of requests executed more than once.

    Safe requests do not count.
    """
    count: Counter[bytes] = Counter()
    for node in nodes:
        for effect in node.log:
            if not effect.safe:
                count[effect.key or effect.name] += 1
    return [name for name, times in count.items() if times > 1]

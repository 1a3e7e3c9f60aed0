"""The listener's side: clients' connections, one request at a time on each, and its answer.

Owns what a client may send: whatever is out of form ends here, with nothing sent to a host.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, Final, cast

import httptools

from ..settings import KEYED, SAFE
from .budget import MAX_BODY, SMALL
from .gateway import Exchange, read_cookie_key
from .http import HOP, MAX_HEAD

if TYPE_CHECKING:
    from .gateway import Proxy
    from .upstream import Upstream

READY_PATH: Final = b"/health/ready"
# What is read for this gateway and goes on in its own form or not at all.
OWN: Final = HOP | {b"req-deadline-ms"}
READ: Final = frozenset(
    {
        b"content-length", b"cookie", b"expect", b"host", b"idempotency-key", b"req-cost",
        b"req-deadline-ms", b"req-id", b"req-kind", b"req-owner", b"req-retry",
        b"transfer-encoding",
    }
)  # fmt: skip
# A second one of these would make it doubtful what was meant.
SINGLE: Final = READ - {b"cookie", b"expect", b"transfer-encoding"}
REASONS: Final = {
    400: b"400 Bad Request",
    408: b"408 Request Timeout",
    413: b"413 Content Too Large",
    431: b"431 Request Header Fields Too Large",
    502: b"502 Bad Gateway",
    503: b"503 Service Unavailable",
    504: b"504 Gateway Timeout",
}
QUEUE: Final = 4  # requests that a client may send ahead of its answers
LONGEST_WAIT: Final = 60_000  # ms; nobody is waited for longer
HEAD_TIME: Final = 6_000_000  # a head may take 2 s
BODY_GRACE: Final = 4_000_000
BODY_RATE: Final = 32_000  # bytes a second; half of what a client must do
IDLE_TIME: Final = 120_000_000
LINGER: Final = 1_500_000  # so long a refused client's bytes are taken in and thrown away
UNREAD: Final = 20_000_000  # a client that takes no byte of its answer for so long has gone
RETRY_NO_ROOM: Final = 1_000_000

IDLE, HEAD, BODY, CLOSING = range(4)


class RejectError(Exception):
    """A request out of form, with the status that says so."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Downstream(asyncio.Protocol):
    """A client's connection."""

    __slots__ = (
        "body_since",
        "budgeted",
        "chunked",
        "chunks",
        "content_length",
        "ends",
        "exchange",
        "fed",
        "fields",
        "got",
        "making",
        "method",
        "parser",
        "phase",
        "proxy",
        "queue",
        "rejected",
        "since",
        "source",
        "stuck",
        "stuck_at",
        "stuck_size",
        "transport",
        "upgrade",
        "url",
    )  # fmt: skip

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.exchange: Exchange | None = None  # taken and not answered
        self.queue: deque[Exchange] = deque()  # come whole ahead of their turn
        self.source: Upstream | None = None  # the host's connection whose answer streams through
        self.chunks = False  # whether that goes out in chunks
        self.rejected: tuple[int, str] | None = None
        self.phase = IDLE
        self.since = proxy.clock()
        self.making: Exchange | None = None  # the request being read
        self.stuck = False  # the client reads more slowly than its answer comes
        self.stuck_at, self.stuck_size = 0, 0
        self._fresh()

    def _fresh(self) -> None:
        self.url, self.fed, self.got = b"", 0, 0
        self.fields: list[tuple[bytes, bytes, bytes]] = []
        self.content_length: int | None = None
        self.chunked = self.upgrade = False
        self.budgeted = True
        self.body_since = 0

    # --- The connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.proxy.took_client(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.parser = None  # it holds this object in turn
        self.proxy.clients.pop(self, None)
        self._drop_request()

    def eof_received(self) -> None:
        # A client that closes its connection has gone; the transport closes itself after this.
        self._drop_request()

    def _drop_request(self) -> None:
        source, self.source = self.source, None
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.client = None
            self.proxy.client_gone(exchange)
        if source is not None:
            source.set_paused(False)
        if self.making is not None:
            self.proxy.budget.release(self.making)
            self.making = None
        for waiting in self.queue:
            self.proxy.budget.release(waiting)
        self.queue.clear()

    def is_idle(self) -> bool:
        return self.phase == IDLE and self.exchange is None and not self.queue

    def close_idle(self) -> None:
        """Close between two requests."""
        self.phase = CLOSING
        if self.transport is not None:
            self.transport.close()

    def sweep(self, now: int) -> None:
        """Once a second: end what has stood still for too long."""
        transport = self.transport
        if transport is None:
            return
        if self.stuck or self.phase == CLOSING:
            size = transport.get_write_buffer_size()
            if size != self.stuck_size or not self.stuck_at:
                self.stuck_at, self.stuck_size = now, size
            elif now - self.stuck_at > UNREAD:
                transport.abort()
                return
        if self.phase == CLOSING:
            if now - self.since > LINGER and not transport.get_write_buffer_size():
                transport.abort()
        elif self.phase == HEAD:
            if now - self.since > HEAD_TIME:
                self._reject(408, "head too slow")
        elif self.phase == BODY and self.budgeted:
            most = BODY_GRACE + self.got * 1_000_000 // BODY_RATE
            if now - self.body_since > most:
                self._reject(408, "body too slow")
        elif self.is_idle() and now - self.since > IDLE_TIME:
            self.close_idle()

    # --- Reading a request

    def data_received(self, data: bytes) -> None:
        if self.phase == CLOSING or self.parser is None:
            return
        if self.phase in (IDLE, HEAD):
            self.fed += len(data)
        try:
            while data:
                data = self._feed(data)
        except RejectError as error:
            self._reject(error.status, str(error))
            return
        if self.phase == HEAD and self.fed > 2 * MAX_HEAD:
            self._reject(431, "head too large")

    def _feed(self, data: bytes) -> bytes:
        """Hand bytes to the parser; returns what is left to hand to it anew."""
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            if not self.upgrade:
                raise RejectError(400, "unexpected upgrade") from None
            # No other protocol is spoken here: the request counts as it would without its wish.
            offset = int(error.args[0])
            return self._without_upgrade() + data[offset:]
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, RejectError):
                raise error.__context__ from None
            raise
        except httptools.HttpParserError as error:
            if self.phase == CLOSING:
                return b""
            raise RejectError(400, str(error)) from None
        return b""

    def _without_upgrade(self) -> bytes:
        lines = [
            name + b": " + value
            for low, name, value in self.fields
            if low not in (b"upgrade", b"http2-settings", b"connection")
        ]
        head = b"\r\n".join([self.method + b" " + self.url + b" HTTP/1.1", *lines, b"", b""])
        self.parser = httptools.HttpRequestParser(self)
        self._fresh()
        return head

    def on_message_begin(self) -> None:
        if self.phase == CLOSING:
            return
        self._fresh()
        self.phase = HEAD
        self.since = self.proxy.clock()

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > MAX_HEAD:
            raise RejectError(431, "target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.phase != HEAD:
            return  # a trailer
        self.got += len(name) + len(value)
        if self.got > MAX_HEAD:
            raise RejectError(431, "head too large")
        self.fields.append((name.lower(), name, value))

    def on_headers_complete(self) -> None:
        if self.phase == CLOSING or self.parser is None:
            return
        self.got = 0
        self.method = self.parser.get_method()
        found: dict[bytes, bytes] = {}
        named: set[bytes] = set()
        for low, _, value in self.fields:
            if low in READ:
                if low in found and low in SINGLE:
                    raise RejectError(400, "a field came twice")
                found[low] = value
            elif low == b"upgrade":
                self.upgrade = True
            elif low == b"connection":
                named.update(part.strip().lower() for part in value.split(b","))
        if self.upgrade and self.method != b"CONNECT":
            return  # `_feed` begins anew
        if b"host" not in found and self.parser.get_http_version() != "1.0":
            raise RejectError(400, "no Host")
        self._frame(found)
        exchange = self.making = Exchange()
        exchange.client = self
        self.phase = BODY
        self.body_since = self.proxy.clock()
        if self.url.partition(b"?")[0] == READY_PATH and b"req-id" not in found:
            exchange.head = b""
            return
        self._read_meaning(exchange, found)
        self._build_head(exchange, named)
        size = self.content_length if not self.chunked else SMALL
        if size:
            self._reserve(exchange, size)
        if b"expect" in found and self.budgeted:
            self._expect(found[b"expect"])

    def _frame(self, found: dict[bytes, bytes]) -> None:
        """How long the body is. The parser has seen to it that only one field says so."""
        coding = found.get(b"transfer-encoding")
        if coding is not None:
            if coding.strip().lower() != b"chunked":
                raise RejectError(400, "unknown transfer-encoding")
            self.chunked = True
        elif b"content-length" in found:
            self.content_length = int(found[b"content-length"])
            if self.content_length > MAX_BODY:
                raise RejectError(413, "body too large")

    def _read_meaning(self, exchange: Exchange, found: dict[bytes, bytes]) -> None:
        """What the request is, in the module's terms."""
        wire = self.proxy.config.wire
        name = found.get(b"req-id", b"")
        if not name or len(name) > 128 or (not name.isalnum() and not _token(name)):
            raise RejectError(400, "Req-Id missing or bad")
        cls = wire.classes.get(found.get(b"req-kind", b""))
        if cls is None:
            raise RejectError(400, "Req-Kind missing or unknown")
        exchange.cls = cls
        wait = found.get(b"req-deadline-ms", b"")
        if not wait.isdigit() or len(wait) > 9 or int(wait) == 0:
            raise RejectError(400, "Req-Deadline-Ms missing or bad")
        exchange.wait_ms = min(int(wait), LONGEST_WAIT)
        effect = self.proxy.config.settings.classes[cls].effect
        keyed = found.get(b"idempotency-key")
        body = self.chunked or bool(self.content_length)
        if effect == SAFE:
            fits = self.method == b"GET" and not body and keyed is None
        else:
            fits = self.method == b"POST" and bool(keyed) == (effect == KEYED)
        if not fits or keyed == b"":
            raise RejectError(400, "method, body or Idempotency-Key do not fit the class")
        exchange.tenant = wire.tenants.get(found.get(b"req-owner", b""), len(wire.tenants))
        exchange.repeat = found.get(b"req-retry") == b"1"
        cost = found.get(b"req-cost", b"")
        if cost.isdigit() and len(cost) < 12:
            exchange.work = int(cost)
        if b"cookie" in found:
            exchange.key = read_cookie_key(found[b"cookie"])

    def _build_head(self, exchange: Exchange, named: set[bytes]) -> None:
        lines = [self.method + b" " + self.url + b" HTTP/1.1"]
        lines += [
            name + b": " + value
            for low, name, value in self.fields
            if low not in OWN and low not in named
        ]
        if self.content_length is not None and self.method == b"POST":
            lines.append(b"Content-Length: %d" % self.content_length)
        lines.append(b"")
        exchange.head = b"\r\n".join(lines)

    def _expect(self, value: bytes) -> None:
        if value.strip().lower() != b"100-continue":
            raise RejectError(400, "unknown expectation")
        if self.exchange is None and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # --- Reading its body

    def _reserve(self, exchange: Exchange, size: int) -> None:
        """Reserve room for all of the body; reading stands still until there is some."""
        now = self.proxy.clock()
        if not self.proxy.budget.reserve(self, exchange, size, now):
            self.budgeted = False
            if self.transport is not None:
                self.transport.pause_reading()

    def granted(self) -> None:
        """There is room for the body now."""
        self.budgeted = True
        self.body_since = self.proxy.clock() - self.got * 1_000_000 // BODY_RATE
        if self.transport is not None:
            if not self.got and any(low == b"expect" for low, _, _ in self.fields):
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.transport.resume_reading()

    def no_room(self) -> None:
        """There was no room for the body in good time; nothing of this request is taken."""
        if self.transport is not None:
            self.transport.resume_reading()
        self._reject(503, "no room for the body")

    def on_body(self, data: bytes) -> None:
        exchange = self.making
        if exchange is None:
            return
        size = len(data)
        before = self.got
        self.got = got = before + size
        if got > MAX_BODY:
            raise RejectError(413, "body too large")
        if self.content_length is not None:
            if size == self.content_length:
                exchange.body = data
                return
            if not before:
                # Room is taken up only as it is written to.
                exchange.body = bytearray(self.content_length)
            exchange.body[before:got] = data  # type: ignore[index]
            return
        if not before:
            exchange.body = bytearray()
        exchange.body += data
        if got > SMALL and exchange.reserved <= SMALL and self.budgeted:
            self._reserve(exchange, MAX_BODY)

    def on_message_complete(self) -> None:
        if self.phase == CLOSING or self.parser is None or self.upgrade:
            return
        exchange = self.making
        if exchange is None:
            return
        if not self.budgeted:
            # All of it came along with the head: it is here, and has to be counted.
            self.proxy.budget.force(self, exchange, self.got)
            self.budgeted = True
            if self.transport is not None:
                self.transport.resume_reading()
        self.making = None
        self.phase = IDLE
        exchange.keep = self.parser.should_keep_alive()
        exchange.old_http = self.parser.get_http_version() == "1.0"
        if self.chunked:
            self.proxy.budget.settle(exchange, self.got)
            exchange.head += b"Content-Length: %d\r\n" % self.got
        self.fed = 0
        if self.exchange is not None or self.queue:
            self.queue.append(exchange)
            if len(self.queue) >= QUEUE and self.transport is not None:
                self.transport.pause_reading()
            return
        self._take(exchange)

    def _take(self, exchange: Exchange) -> None:
        self.exchange = exchange
        if not exchange.head:
            self._health(exchange)
            return
        self.proxy.request(exchange)

    def _health(self, exchange: Exchange) -> None:
        if self.proxy.ready:
            self._answer(exchange, b"200 OK", b"Content-Type: text/plain\r\n", b"ready\n")
        else:
            self._answer(exchange, REASONS[503], b"Content-Type: text/plain\r\n", b"not ready\n")

    def _next(self) -> None:
        """The answer is out: on to the next request, if it is here already."""
        self.since = self.proxy.clock()
        if self.exchange is not None or self.transport is None or self.phase == CLOSING:
            return
        if self.queue:
            if len(self.queue) == QUEUE:
                self.transport.resume_reading()
            self._take(self.queue.popleft())
        elif self.rejected is not None:
            self._reject(*self.rejected)

    # --- Answers

    def _reject(self, status: int, why: str) -> None:
        """Answer what is out of form, and close. An earlier request is answered first."""
        if self.phase != CLOSING:
            self.proxy.counters.bad_requests += 1
            self.proxy.logger.often(
                f"reject {status}", f"client refused with {status}: {why[:100]}"
            )
        if self.making is not None:
            self.proxy.budget.release(self.making)
            self.making = None
        self.phase = CLOSING
        self.since = self.proxy.clock()
        if self.exchange is not None or self.queue:
            self.rejected = (status, why)
            return
        if self.transport is None:
            return
        after = b"Retry-After: 1\r\n" if status == 503 else b""
        self.transport.write(
            b"HTTP/1.1 %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n"
            % (REASONS[status], after)
        )
        # Danger: closing with bytes unread would reset the connection under the answer.
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def _answer(
        self, exchange: Exchange, status: bytes, fields: bytes, body: bytes | bytearray
    ) -> None:
        transport = self.transport
        self.exchange = None
        if transport is None:
            return
        close = self._closes(exchange)
        parts = b"HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n" % (
            status, fields, self._connection(exchange, close), len(body),
        )  # fmt: skip
        transport.write(parts + body)
        self._after(close)

    def _closes(self, exchange: Exchange) -> bool:
        return not exchange.keep or bool(self.proxy.drain_since)

    def _connection(self, exchange: Exchange, close: bool) -> bytes:
        if close:
            return b"Connection: close\r\n"
        return b"Connection: keep-alive\r\n" if exchange.old_http else b""

    def _after(self, close: bool) -> None:
        transport = self.transport
        assert transport is not None
        self.since = self.proxy.clock()
        if close:
            self.phase = CLOSING
            for waiting in self.queue:
                self.proxy.budget.release(waiting)
            self.queue.clear()
            self.rejected = None
            transport.close()
        elif self.queue or self.rejected is not None:
            # Danger: an answer may be given from inside the module, which must not be entered anew.
            if self.rejected is not None:
                self.phase = IDLE
            self.proxy.loop.call_soon(self._next)

    def serve(
        self, exchange: Exchange, fields: list[tuple[bytes, bytes, bytes]], body: bytes | bytearray
    ) -> None:
        """A host's whole answer."""
        self._answer(exchange, b"200 OK", _pass_on(fields), body)

    def refuse(self, exchange: Exchange, retry_after: int) -> None:
        """Turned away; `retry_after` in microseconds, 0 for no advice."""
        after = b"Retry-After: %.3f\r\n" % (retry_after / 1e6) if retry_after > 0 else b""
        self._answer(exchange, REASONS[503], after, b"")

    def fail(self, exchange: Exchange, late: bool) -> None:
        """Failed, which promises nothing."""
        self._answer(exchange, REASONS[504 if late else 502], b"", b"")

    # --- An answer that streams

    def stream_head(self, exchange: Exchange, source: Upstream) -> None:
        transport = self.transport
        if transport is None:
            return
        self.source = source
        close = self._closes(exchange)
        self.chunks = False
        if source.length is not None:
            framing = b"Content-Length: %d\r\n" % source.length
        elif exchange.old_http:
            framing, close = b"", True
        else:
            framing, self.chunks = b"Transfer-Encoding: chunked\r\n", True
        exchange.close_after = close
        transport.write(
            b"HTTP/1.1 200 OK\r\n%s%s%s\r\n"
            % (_pass_on(source.fields), self._connection(exchange, close), framing)
        )

    def stream_part(self, data: bytes) -> None:
        if self.transport is None:
            return
        if self.chunks:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self.transport.write(data)

    def stream_over(self, whole: bool) -> None:
        """The stream has ended; one that is not whole ends the connection visibly short."""
        transport = self.transport
        exchange, self.exchange, self.source = self.exchange, None, None
        if transport is None or exchange is None:
            return
        if not whole:
            self.phase = CLOSING
            transport.abort()
            return
        if self.chunks:
            transport.write(b"0\r\n\r\n")
        self._after(exchange.close_after)

    def pause_writing(self) -> None:
        self.stuck, self.stuck_at = True, 0
        if self.source is not None:
            self.source.set_paused(True)

    def resume_writing(self) -> None:
        self.stuck = False
        if self.source is not None:
            self.source.set_paused(False)


def _token(name: bytes) -> bool:
    return all(33 <= byte < 127 for byte in name)


def _pass_on(fields: list[tuple[bytes, bytes, bytes]]) -> bytes:
    """A host's fields that go on to the client."""
    named: set[bytes] = set()
    for low, _, value in fields:
        if low == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return b"".join(
        [
            name + b": " + value + b"\r\n"
            for low, name, value in fields
            if low not in HOP and low not in named and not low.startswith(b"srv-")
        ]
    )


def listener(proxy: Proxy) -> Any:
    """What the server makes for each connection."""
    return lambda: Downstream(proxy)

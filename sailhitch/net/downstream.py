"""The listener's side: clients' connections, one request at a time on each, and its answer.

Owns what a client may send: whatever is out of form ends here, with nothing sent to a host.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import socket
import struct
from collections import deque
from http import HTTPStatus
from typing import Final, cast

import httptools

from ..core.budget import HELD_MOST, LONGEST
from ..core.core import Core
from ..core.exchange import Exchange
from ..core.pace import Pace
from ..core.seams import Giver
from ..core.terms import Address, Answer, Field
from ..core.upload import Upload
from ..front import Place, Reason, State, Verdict
from .http import BLANK, HOP, MAX_HEAD, chunk
from .intake import READ, SINGLE, Intake, RejectError
from .look import SCARCE, shows

REASONS: Final = {
    400: b"400 Bad Request",
    408: b"408 Request Timeout",
    409: b"409 Conflict",
    413: b"413 Content Too Large",
    431: b"431 Request Header Fields Too Large",
    502: b"502 Bad Gateway",
    503: b"503 Service Unavailable",
    504: b"504 Gateway Timeout",
}
BODILESS: Final = (b"204", b"304")  # these say nothing of a length (RFC 9110, 8.6)
ACCEPTS: Final = 64  # connections taken in before others get their turn
ACCEPT_REST: Final = 0.05  # s
SEND_BUFFER: Final = 256 * 1024  # bytes of an answer on their way, of which the system keeps count
RECEIVE_BUFFER: Final = 128 * 1024  # likewise of a body
QUEUE: Final = 4  # requests that a client may send ahead of its answers
LINGER: Final = 1_000_000  # so long a refused client's bytes are taken in and thrown away...
LINGER_MOST: Final = 8_000_000  # ...and so long in all, while they go on coming
FLOW_HIGH: Final = 64 * 1024  # unsent bytes of an answer from which on its host is not read
# A client that reads an answer slower than this has stopped (bytes a second, us), at ease...
READ_RATE: Final = 8 * 1024
READ_GRACE: Final = 10_000_000
READ_STALL: Final = (10_000_000, 4_000_000)  # ...and at full strain
RESET_AT_CLOSE: Final = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time

IDLE, HEAD, BODY, CLOSING = range(4)


class Downstream(asyncio.Protocol):
    """A client's connection."""

    __slots__ = (
        "chunked",
        "chunks_out",
        "content_length",
        "core",
        "discarding",
        "exchange",
        "fed",
        "fields",
        "giver",
        "got",
        "heard",
        "listener",
        "making",
        "method",
        "owed",
        "parser",
        "phase",
        "place",
        "queue",
        "reader",
        "sock",
        "transport",
        "upgrade",
        "url",
        "writer",
    )  # fmt: skip

    def __init__(self, listener: Listener, sock: socket.socket, place: Place) -> None:
        self.listener, self.core, self.sock, self.place = listener, listener.core, sock, place
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.exchange: Exchange | None = None  # taken and not answered
        self.queue: deque[Exchange] = deque()  # come whole ahead of their turn
        self.phase = IDLE
        self.making: Exchange | None = None  # the request being read
        self.owed = 0  # bytes of an answer that the client has not taken, as the budget has them
        self.giver: Giver | None = None  # the host's side of an answer that is passed on
        self.reader: Pace | None = None  # of the client in that
        self.writer: Pace | None = None  # of the client in sending a body that flows
        self.chunks_out = False  # that answer goes out in chunks
        self.discarding = False  # answered early: the rest of its body is taken in for nothing
        self.heard = False  # bytes have come since the last sweep
        self._fresh()

    def _fresh(self) -> None:
        self.url, self.fed, self.got = b"", 0, 0
        self.fields: list[Field] = []
        self.content_length: int | None = None
        self.chunked = self.upgrade = False

    # --- The connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # An answer goes out at once, and what is left of it is known as soon as it is written.
        self.transport.set_write_buffer_limits(high=0)
        self.core.arriving.discard(self)
        self.core.clients[self] = None
        self.place.holder = self

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.parser = None  # it holds this object in turn
        self.place.holder = None
        self.core.clients.pop(self, None)
        self.core.door.closed(self.place, self.core.clock())
        self._owe(0)
        self._drop_request()

    def eof_received(self) -> None:
        # A client that closes its connection has gone; the transport closes itself after this.
        self._drop_request()

    def left(self) -> bool:
        """Whether the client has closed its connection, also by what the loop has not read.

        Danger: its end is not read while its body is held, nor while the loop is held up, and bytes
        that it sent before hide the end from a look at what comes next.
        """
        if self.transport is None or self.sock.fileno() < 0:
            return True
        return shows(self.sock.fileno(), select.POLLRDHUP)

    def _let_go_of_left(self) -> None:
        """The client has gone, and what it sent before must not be read and sent on."""
        self._drop_request()
        self.abort()

    def _drop_request(self) -> None:
        exchange, self.exchange = self.exchange, None
        giver, self.giver, self.reader = self.giver, None, None
        if exchange is not None:
            exchange.client = None
            self.core.client_gone(exchange)
        if giver is not None:
            giver.unwanted()
        self._forget_untaken()

    def _forget_untaken(self) -> None:
        """Let go of what was being read and of what waits for its turn."""
        if self.making is not None:
            self.core.release_body(self.making)
            self.making = self.writer = None
        for waiting in self.queue:
            self.core.release_body(waiting)
        self.queue.clear()

    def is_idle(self) -> bool:
        return self.phase == IDLE and self.exchange is None and not self.queue

    def has_body(self) -> bool:
        """Whether the request being read has a body; to be asked once its head is whole."""
        return self.chunked or bool(self.content_length)

    def abort(self) -> None:
        """Close at once, whatever is open; with a reset where an answer is half out.

        Danger: an end in order would make such an answer whole where only the end tells it.
        """
        transport = self.transport
        if transport is None:
            return
        if (self.reader is not None or transport.get_write_buffer_size()) and not self.is_closed():
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        transport.abort()

    def is_closed(self) -> bool:
        """Closed by this side, with nothing left to write: its descriptor is about to be free."""
        transport = self.transport
        return transport is None or (
            transport.is_closing() and not transport.get_write_buffer_size()
        )

    def owes(self) -> bool:
        """Whether the client may still get something: an answer, or its bytes on their way."""
        if self.transport is None:
            return False
        if self.phase == CLOSING:
            return self.transport.get_write_buffer_size() > 0
        return not self.is_idle()

    def _unread(self) -> bool:
        """Whether bytes are here that the loop has not read."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False  # none, or it is broken: closing is all that is left

    def close_idle(self, reason: Reason = Reason.IDLE) -> bool:
        """Close between two requests; False if the next one is here already, unread.

        Danger: a request that the kernel has taken in while this process was busy would be lost
        with its connection.
        """
        transport = self.transport
        if transport is None or self._unread():
            return False
        self._leave(reason)
        transport.close()
        return True

    def detach(self) -> int | None:
        """Give the connection away between two requests: a descriptor of it, the caller's to close.

        Bytes that the loop has not read stay with the descriptor. None while anything is owed.
        """
        transport = self.transport
        if transport is None or not self.is_idle():
            return None
        if transport.is_closing() or transport.get_write_buffer_size():
            return None
        try:
            descriptor = os.dup(self.sock.fileno())
        except OSError:
            return None
        self._leave(Reason.MOVED)
        transport.abort()  # of this process's descriptor only: the connection stands
        return descriptor

    def _leave(self, reason: Reason) -> None:
        """Say no more after this."""
        self.phase = CLOSING
        self.core.door.closing(self.place, self.core.clock(), reason)

    def let_go(self, reason: Reason) -> bool:
        """Give up the place, for one that is worth more; False if a request is here unread."""
        transport = self.transport
        if transport is None:
            return False
        if self.phase == CLOSING:
            transport.abort()  # it has been told, and only lingers
            return True
        if self.is_idle():
            return self.close_idle(reason)
        if self.phase in (HEAD, BODY) and self.exchange is None:
            self._reject(503, "no room", reason)
            return True
        return False

    def sweep(self, now: int) -> None:
        """Several times a second: end what has stood still for too long.

        Guards against peers that hold a connection and do not get on with it: silent ones, heads
        and bodies that trickle or stop, answers that are not read. It can do harm to honest
        clients behind a link so bad that a request takes seconds to come.
        """
        transport, door = self.transport, self.core.door
        if transport is None:
            return
        size = transport.get_write_buffer_size()
        if self.phase == CLOSING:
            # What is left to write has as much time as any answer; the rest is only manners.
            # Who is still sending what was refused would lose the answer to a reset.
            patience = door.limit(State.WRITING) if size else LINGER
            age = now - self.place.since
            if age > (LINGER_MOST if self.heard else patience):
                transport.abort()
            self.heard = False
            return
        if self.writer is not None and self.writer.overdue(now):
            self._reject(408, "body too slow", Reason.SLOW)
            return
        if self.reader is not None:
            self._watch_reader(size, now)
            return
        if self.phase == BODY:
            door.came(self.place, now, self.got)
        if self.owed or size:
            self._owe(size)
            door.progress(self.place, now, size)
        reason = door.overdue(self.place, now)
        if reason is None:
            return
        if reason == Reason.UNREAD:
            door.closing(self.place, now, reason)
            self.abort()
        elif reason == Reason.SLOW:
            if not (self.core.wheel.lag and self._unread()):
                self._reject(408, "request too slow", reason)
        elif self.is_idle():
            self.close_idle(reason)

    def _watch_reader(self, size: int, now: int) -> None:
        """Look at a client that an answer is passed on to."""
        reader, door = self.reader, self.core.door
        assert reader is not None
        self._took(size, now)
        reader.stall = READ_STALL[0] + int(door.strain * (READ_STALL[1] - READ_STALL[0]))
        if size and reader.overdue(now) and self.transport is not None:
            door.closing(self.place, now, Reason.UNREAD)
            self.abort()

    def _took(self, size: int, now: int, written: int = 0) -> None:
        """So many bytes are left of what was written for the client, `written` of it just now."""
        reader = self.reader
        if reader is not None:
            reader.move(self.owed + written - size, now)
            if size:
                reader.go(now)
            else:
                reader.stop(now)  # it has all there is
        self._owe(size)

    def _owe(self, size: int) -> None:
        """So many bytes of an answer are held for the client."""
        self.core.budget.flows += size - self.owed
        self.owed = size

    # --- Reading a request

    def data_received(self, data: bytes) -> None:
        self.heard = True
        if self.parser is None or (self.phase == CLOSING and not self.discarding):
            return
        if self.phase in (IDLE, HEAD):
            self.fed += len(data)
        size = len(data)
        try:
            while data:
                data = self._feed(data)
        except RejectError as error:
            self._reject(error.status, str(error))
            return
        except Exception as error:
            # Danger: what escapes here ends in the loop's handler, and the client waits for ever.
            self.core.logger.often("reading", f"reading a request failed: {error!r:.100}")
            self._reject(400, "unreadable")
            return
        making = self.making
        if making is not None and making.upload is not None:
            self._flow_in(making.upload, size)
        elif making is not None and self.got > HELD_MOST:
            self._next()  # who came before it has its turn first
            if self.making is making and making.upload is None:
                self._begin_upload(making)
        elif self.phase == HEAD and self.fed > 2 * MAX_HEAD:
            self._reject(431, "head too large")
        elif self.exchange is None:
            if self.phase != IDLE and not self.queue:
                self.core.door.reading(self.place, self.core.clock(), self.phase == BODY)
            # Only now: what comes along with a request and can't be read makes it doubtful too.
            self._next()

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
        self.fields.append((name.lower(), name, value.strip(BLANK)))

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
            elif low == b"connection":
                named.update(part.strip().lower() for part in value.split(b","))
        self.upgrade = self.parser.should_upgrade()
        if self.upgrade and self.method != b"CONNECT":
            return  # `_feed` begins anew
        if b"host" not in found and self.parser.get_http_version() != "1.0":
            raise RejectError(400, "no Host")
        self._frame(found)
        exchange = self.making = Exchange(self)
        self.phase = BODY
        if not self.listener.intake.read(self, found, exchange):
            return
        self._build_head(exchange, named)
        if b"expect" in found:
            self._expect(found[b"expect"])

    def _frame(self, found: dict[bytes, bytes]) -> None:
        """How long the body is.

        Guards against requests that say so twice or in a form that two readers could take
        differently, which may hide another request in a body. The parser refuses most of them;
        that it does is not relied on.
        """
        coding, length = found.get(b"transfer-encoding"), found.get(b"content-length")
        if coding is not None:
            if length is not None:
                raise RejectError(400, "both content-length and transfer-encoding")
            if coding.lower() != b"chunked":
                raise RejectError(400, "unknown transfer-encoding")
            self.chunked = True
        elif length is not None:
            if not length.isdigit() or len(length) > 18:
                raise RejectError(400, "content-length is no number")
            self.content_length = int(length)
            if self.content_length > LONGEST:
                raise RejectError(413, "body too large")

    def _build_head(self, exchange: Exchange, named: set[bytes]) -> None:
        method = b"GET" if exchange.bare else self.method
        own = self.listener.intake.own
        lines = [method + b" " + self.url + b" HTTP/1.1"]
        lines += [
            name + b": " + value
            for low, name, value in self.fields
            if low not in own and (low not in named or low in READ)
        ]
        if self.content_length is not None and method != b"GET":
            lines.append(b"Content-Length: %d" % self.content_length)
        lines.append(exchange.head)  # what the intake has to add, or nothing
        exchange.head = b"\r\n".join(lines)

    def _expect(self, value: bytes) -> None:
        if value.strip().lower() != b"100-continue":
            raise RejectError(400, "unknown expectation")
        if self.exchange is None and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # --- Reading its body

    def on_body(self, data: bytes) -> None:
        exchange = self.making
        if exchange is None:
            return
        size = len(data)
        before = self.got
        self.got = got = before + size
        if got > LONGEST:
            raise RejectError(413, "body too large")
        if exchange.upload is not None:
            exchange.upload.came(data)
            return
        if not self.core.budget.take(size):
            raise RejectError(503, "no room for the body")
        exchange.reserved += size
        if not before:
            exchange.body = data
            return
        if not isinstance(exchange.body, bytearray):
            exchange.body = bytearray(exchange.body)
        exchange.body += data

    def on_message_complete(self) -> None:
        if self.parser is None or self.upgrade or (self.phase == CLOSING and not self.discarding):
            return
        exchange = self.making
        if exchange is None:
            return
        self.making = self.writer = None
        if self.discarding:
            if self.transport is not None:
                self.transport.close()
            return
        self.phase = IDLE
        if exchange.upload is not None:
            self._end_upload(exchange, exchange.upload)
            return
        exchange.keep = self.parser.should_keep_alive()
        exchange.old_http = self.parser.get_http_version() == "1.0"
        if self.chunked:
            exchange.head += b"Content-Length: %d\r\n" % self.got
        self.fed = 0
        # Danger: a client that asks again ahead of its answer waits from now on, not from the turn.
        exchange.came = self.core.arrival(self.core.clock())
        self.queue.append(exchange)
        if len(self.queue) > QUEUE:
            raise RejectError(400, "too many requests ahead of their answers")

    # --- A body that goes on while it still comes

    def _begin_upload(self, exchange: Exchange) -> None:
        """More of a body has come than is held: it begins to go on, once it is its turn."""
        transport = self.transport
        if transport is None or self.parser is None:
            return
        if self.exchange is not None or self.queue:
            transport.pause_reading()  # `_next` goes on
            return
        if self.core.budget.flows > self.core.budget.most:
            self._reject(503, "no room for a long body")
            return
        exchange.keep = self.parser.should_keep_alive()
        exchange.old_http = self.parser.get_http_version() == "1.0"
        if self.chunked:
            exchange.head += b"Transfer-Encoding: chunked\r\n"
        start, exchange.body = exchange.body, b""
        self.core.budget.give_back(exchange.reserved)
        exchange.reserved = 0
        exchange.upload = Upload(self, start, self.chunked, self.core.budget)
        self.writer = Pace(self.core.clock())
        self.hold()
        self._take(exchange)

    def _flow_in(self, upload: Upload, size: int) -> None:
        """All of a read has gone to the parser."""
        if self.writer is not None:
            self.writer.move(size, self.core.clock())
        upload.flush()

    def _end_upload(self, exchange: Exchange, upload: Upload) -> None:
        """Its last byte has come. What has come of it in this read goes out with its end."""
        if self.left():
            return  # which is read next; with its last byte the request would run for nobody
        upload.whole = True
        self.fed = 0
        upload.flush()
        self.go_on()
        self.core.body_whole(exchange)

    def hold(self) -> None:
        """Read no more of a body for now; a `Source`."""
        if self.transport is not None and not self.discarding:
            self.transport.pause_reading()
            if self.writer is not None:
                self.writer.stop(self.core.clock())

    def go_on(self) -> None:
        """Read on."""
        if self.transport is not None and not self.transport.is_closing():
            if self.making is not None and not self.discarding and self.left():
                # Not at once: this may be said from inside the module.
                self.core.loop.call_soon(self._let_go_of_left)
                return
            self.transport.resume_reading()
            if self.writer is not None:
                self.writer.go(self.core.clock())

    def _discard(self) -> None:
        """Answered before its body was whole: the rest is taken in for nothing, and no more said.

        Danger: to close with bytes unread resets the connection, and the answer goes with it.
        """
        self.discarding = True
        self._leave(Reason.ANSWERED)
        self.go_on()

    def _take(self, exchange: Exchange) -> None:
        pool = exchange.pool
        tenant = str(exchange.tenant) if pool is not None else None
        self.core.door.taken(self.place, self.core.clock(), tenant)
        if pool is None:
            self.exchange = exchange
            if exchange.fallback is not None:
                self.serve(exchange, exchange.fallback)
            else:
                self._health(exchange)
        elif exchange.name in self.core.names:
            # Guards against an id used twice at a time: hosts and clients could no longer tell the
            # two apart, and one client might be given the other's answer.
            if exchange is self.making:
                self.making = None
            self.core.release_body(exchange)
            self._reject(409, "a request with this id is open")
        else:
            self.exchange = exchange
            self.core.request(exchange)

    def _health(self, exchange: Exchange) -> None:
        if self.core.ready:
            self._answer(exchange, b"200 OK", b"Content-Type: text/plain\r\n", b"ready\n")
        else:
            self._answer(exchange, REASONS[503], b"Content-Type: text/plain\r\n", b"not ready\n")

    def _next(self) -> None:
        """No answer is owed: on to the next request, if it is here already."""
        if self.exchange is not None or self.transport is None or self.phase == CLOSING:
            return
        if self.queue:
            self._take(self.queue.popleft())
        elif self.making is not None and self.got > HELD_MOST and self.making.upload is None:
            self._begin_upload(self.making)

    # --- Answers

    def _reject(self, status: int, why: str, reason: Reason = Reason.REJECTED) -> None:
        """Answer what is out of form, and close.

        An earlier request that is still open on this connection gets this as its answer too. Bytes
        that can't be read leave it open where that request ended, and a client that goes on
        before its answer has come gets no more served. That does harm to an honest client that
        pipelines and errs in a later request: it has to ask once more.
        """
        if self.phase == CLOSING:
            return
        if reason != Reason.ROOM:
            self.core.counters.bad_requests += 1
            self.core.door.offended(self.place)
        self.core.logger.often(f"reject {status}", f"client refused with {status}: {why[:100]}")
        if self.exchange is not None and status == 503:
            status = 502  # what is open may have run, and a refusal would say that it has not
        after = self.core.retry_after() if status == 503 else 0
        self._leave(reason)
        if self.giver is not None:
            self.abort()  # an answer is half out: nothing can be said any more
            self._drop_request()
            return
        self._drop_request()
        if self.transport is None:
            return
        if not self.transport.is_reading():
            self.transport.resume_reading()
        self.transport.write(refusal(status, after))
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
        early = exchange is self.making  # some of its body is still to come
        close = early or self._closes(exchange)
        if not close and self.phase == IDLE and not self.queue:
            # Here it costs its client nothing: it is told with the answer, and nothing can cross.
            close = not (self.core.door.keeps(self.place, self.core.clock()) or self._unread())
        parts = b"HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n" % (
            status, fields, self._connection(exchange, close), len(body),
        )  # fmt: skip
        if status[:3] in BODILESS:
            parts = parts.replace(b"Content-Length: 0\r\n\r\n", b"\r\n")
        transport.write(parts if exchange.bare else parts + body)
        self._owe(transport.get_write_buffer_size())
        if early:
            self._discard()
        else:
            self._after(close)

    def _closes(self, exchange: Exchange) -> bool:
        """Whether this one's answer is the connection's last.

        Danger: at the gateway's end requests that have been read behind it are taken, and closing
        on them would lose them.
        """
        ends = self.core.hanging_up or self.listener.retired
        return not exchange.keep or (ends and not self.queue)

    def _connection(self, exchange: Exchange, close: bool) -> bytes:
        if close:
            return b"Connection: close\r\n"
        return b"Connection: keep-alive\r\n" if exchange.old_http else b""

    def _after(self, close: bool) -> None:
        transport = self.transport
        assert transport is not None
        if close:
            self._leave(Reason.ANSWERED)
            self._forget_untaken()
            transport.close()
        elif self.queue or (self.making is not None and self.got > HELD_MOST):
            # Danger: an answer may be given from inside the module, which must not be entered anew.
            self.core.loop.call_soon(self._next)
        else:
            now = self.core.clock()
            self.core.door.answered(self.place, now, self.owed)
            if self.phase != IDLE:
                self.core.door.reading(self.place, now, self.phase == BODY)
            elif self.core.passing is not None:
                self.core.passing(self)

    def serve(self, exchange: Exchange, answer: Answer) -> None:
        """A host's whole answer."""
        status, fields, body = answer
        self._answer(exchange, _status_line(status), _pass_on(fields), body)

    def begin(self, exchange: Exchange, answer: Answer, length: int | None, giver: Giver) -> None:
        """A host's answer has begun, and is passed on as it comes."""
        transport = self.transport
        self.exchange = exchange
        if transport is None:
            return
        self.giver = giver
        status, fields, _ = answer
        self.chunks_out = length is None and not exchange.old_http
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        elif self.chunks_out:
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            # Only the end of the connection tells the end of the answer.
            framing, exchange.keep = b"", False
        exchange.keep = not self._closes(exchange)
        connection = self._connection(exchange, not exchange.keep)
        transport.set_write_buffer_limits(high=FLOW_HIGH)
        now = self.core.clock()
        self.reader = Pace(now, READ_RATE, READ_GRACE, READ_STALL[0])
        transport.write(
            b"HTTP/1.1 %s\r\n%s%s%s\r\n"
            % (_status_line(status), _pass_on(fields), connection, framing)
        )
        self._took(transport.get_write_buffer_size(), now)

    def more(self, data: bytes) -> None:
        """More of the answer that has begun."""
        transport, exchange = self.transport, self.exchange
        if transport is None or exchange is None or exchange.bare:
            return
        piece = chunk(data, False) if self.chunks_out else data
        transport.write(piece)
        size = transport.get_write_buffer_size()
        self._took(size, self.core.clock(), len(piece))
        if size > FLOW_HIGH and self.giver is not None:
            self.giver.hold()

    def end(self) -> None:
        """That was all of it."""
        transport, exchange = self.transport, self.exchange
        self.exchange = self.giver = self.reader = None
        if transport is None or exchange is None:
            return
        if self.chunks_out and not exchange.bare:
            transport.write(chunk(b"", True))
        transport.set_write_buffer_limits(high=0)
        self._owe(transport.get_write_buffer_size())
        self._after(not exchange.keep)

    def cut(self) -> None:
        """The rest will not come. A reset tells the client so, whatever the framing was."""
        self.abort()
        self.giver = self.reader = None

    def refuse(self, exchange: Exchange, retry_after: int) -> None:
        """Turned away; `retry_after` in microseconds, 0 for no advice."""
        self._answer(exchange, REASONS[503], _retry_after(retry_after), b"")

    def fail(self, exchange: Exchange, late: bool) -> None:
        """Failed, which promises nothing."""
        self._answer(exchange, REASONS[504 if late else 502], b"", b"")

    def resume_writing(self) -> None:
        transport = self.transport
        if self.giver is not None and transport is not None:
            self._took(transport.get_write_buffer_size(), self.core.clock())
            self.giver.go_on()
        elif self.owed:
            self._owe(0)
            self.core.door.progress(self.place, self.core.clock(), 0)


def _retry_after(time: int) -> bytes:
    return b"Retry-After: %.3f\r\n" % (time / 1e6) if time > 0 else b""


def _status_line(status: int) -> bytes:
    if status == 200:
        return b"200 OK"  # nearly all of them
    try:
        return b"%d %s" % (status, HTTPStatus(status).phrase.encode())
    except ValueError:
        return b"%d Other" % status


def refusal(status: int, retry_after: int = 0) -> bytes:
    """An answer that ends its connection; `retry_after` in microseconds, 0 for no advice."""
    return b"HTTP/1.1 %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n" % (
        REASONS[status], _retry_after(retry_after),
    )  # fmt: skip


def _pass_on(fields: list[Field]) -> bytes:
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


class Listener:
    """Accepts clients, as many as there are descriptors for.

    The loop's own server takes in whatever waits before anybody can look at it. Guards against
    crowds that connect at once, whether or not they mean harm: each connection is accepted only
    into a free descriptor, and one that finds none is closed at once. That can turn away honest
    clients in a crowd; those that are inside go on being served.
    """

    def __init__(
        self, core: Core, intake: Intake, address: Address, backlog: int,
        held: socket.socket | None = None,
    ) -> None:  # fmt: skip
        """Listen at an address, or on a socket that listens there and is held by others too."""
        self.core, self.intake, self.backlog = core, intake, backlog
        self.tasks: set[asyncio.Task[None]] = set()
        self.retired = False
        self.sock = held or socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        # Connections inherit it. By itself the system takes megabytes of an answer for a client
        # that reads none of it, which show in no budget.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        if held is not None:
            self.sock.setblocking(False)
            return
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(address)
            self.sock.listen(backlog)
        except OSError:
            self.sock.close()
            raise

    def start(self) -> None:
        """Take in whoever waits."""
        self.core.loop.add_reader(self.sock, self._accept)

    def _accept(self, most: int = ACCEPTS, last: bool = False) -> None:
        core = self.core
        for _ in range(most):
            way = core.way_in()
            if way == Verdict.WAIT and not last:
                return  # descriptors that are being closed are free on the loop's next turn
            try:
                sock, peer = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                # Danger: what waits makes the loop call again at once, and again.
                core.logger.often("accept", f"accept failed: {error.strerror}")
                if error.errno in SCARCE:
                    core.exhausted()
                self._rest()
                return
            if way == Verdict.ADMIT and core.door.admits(core.clock(), peer[0]):
                self._let_in(sock, core.door.opened(core.clock(), peer[0]))
            else:
                self._turn_away(sock)

    def adopt(self, descriptor: int) -> None:
        """Go on with a connection that another process of this gateway gives away; idle so far."""
        sock = socket.socket(fileno=descriptor)
        try:
            address = sock.getpeername()[0]
        except OSError:
            sock.close()  # its client has gone meanwhile
            return
        self._let_in(sock, self.core.door.adopted(self.core.clock(), address))

    def _let_in(self, sock: socket.socket, place: Place) -> None:
        made = Downstream(self, sock, place)
        self.core.arriving.add(made)
        # Danger: the loop itself holds a task by a weak reference only.
        task = self.core.loop.create_task(self._serve(made))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _turn_away(self, sock: socket.socket) -> None:
        """Answer at once, without a place.

        What has come is taken in first: a close with bytes unread would reset the connection
        under the answer. A request that comes after it crosses the close and is sent once more.
        """
        self.core.counters.crowded += 1
        self.core.door.turned_away()
        self.core.logger.often("crowd", "no place for a client's connection; turned away")
        with contextlib.suppress(OSError):
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.recv(HELD_MOST)
            sock.send(refusal(503, self.core.retry_after()))
        sock.close()

    def _rest(self) -> None:
        """Accept nothing for a moment."""
        self.core.loop.remove_reader(self.sock)
        self.core.loop.call_later(ACCEPT_REST, self._resume)

    def _resume(self) -> None:
        if self.sock.fileno() >= 0:
            self.core.loop.add_reader(self.sock, self._accept)

    async def _serve(self, made: Downstream) -> None:
        core, sock = self.core, made.sock
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await core.loop.connect_accepted_socket(lambda: made, sock)
        except OSError:
            sock.close()  # it has gone already
            core.door.closed(made.place, core.clock())
        finally:
            core.arriving.discard(made)  # it is among the clients since it was made, or has gone

    def retire(self) -> None:
        """Stop for good: what has been taken is finished, and its connections end with it."""
        self.close()
        self.retired = True
        for client in list(self.core.clients):
            if isinstance(client, Downstream) and client.listener is self and client.is_idle():
                client.close_idle(Reason.ANSWERED)

    def leave_to_others(self) -> None:
        """Take nobody in any more; who waits is left to others who hold this socket."""
        self.core.loop.remove_reader(self.sock)
        self.sock.close()

    def discard(self) -> None:
        """Let go of the address, with nobody taken in."""
        self.sock.close()

    def close(self) -> None:
        """Stop listening; whoever has connected by now is let in, or told that there is no room.

        Danger: who still waits in the system's queue then is reset, with no answer.
        """
        if self.sock.fileno() < 0:
            return  # it was closed at the process's end, and settings that come then say so again
        self._accept(self.backlog, last=True)
        self.core.loop.remove_reader(self.sock)
        self.sock.close()

"""A connection to a host, which carries one attempt at a time.

It knows what became of an attempt's bytes: whether the last one can have left this process, and
whether what came back is one complete response. What that means for the request is decided by the
pool and the decision module.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Final, cast

from ..core.budget import MAX_BODY_BYTES, MAX_BUFFERED_BODY
from ..core.interfaces import Client
from ..core.request_context import Attempt
from ..core.response import Response
from ..core.throughput_watchdog import ThroughputWatchdog
from ..core.upload import Upload
from ..policy_interface import (
    AttemptOutcome,
    LoadReport,
)
from .config import parse_load_report
from .http import BODY, COMPLETE, MalformedError, ResponseReader, chunk

if TYPE_CHECKING:
    from .connection_pool import ConnectionPool, Host

CHUNK_BYTES: Final = 64 * 1024  # of a large request that are passed to the transport at a time
# us after its head from which a response of unknown length is streamed, complete or not.
STREAM_AFTER: Final = 300_000
# A host that streams a response has stalled below these.
MIN_FLOW_RATE: Final = 4 * 1024  # bytes/s
FLOW_GRACE_TIME: Final = 10_000_000  # us
MAX_FLOW_STALL: Final = 8_000_000  # us


class UpstreamConnection(ResponseReader, asyncio.Protocol):
    """A connection to a host. It carries one attempt at a time, or is idle in its host's pool."""

    __slots__ = (
        "attempt",
        "body",
        "client",
        "dropping",
        "flow_budget",
        "has_more_body",
        "head_at",
        "host",
        "hosts",
        "idle_since",
        "load",
        "rejected",
        "reserved",
        "size",
        "sock",
        "transport",
        "unsent_body",
        "upload",
        "watchdog",
    )

    def __init__(self, hosts: ConnectionPool, host: Host, sock: socket.socket) -> None:
        super().__init__()
        self.hosts = hosts
        self.host = host
        self.sock = sock
        self.flow_budget = hosts.core.budget
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.unsent_body: memoryview | None = None  # not yet passed to the transport
        self.upload: Upload | None = None  # a request body that is incomplete
        self.has_more_body = False  # the upload's last byte has not arrived
        self.idle_since = 0
        self.reserved = 0  # bytes of a response, by the budget
        self._clear()

    def _clear(self) -> None:
        self.body: bytes | bytearray = b""
        self.size = 0
        self.flow_budget.release(self.reserved)
        self.reserved = 0
        self.rejected = self.dropping = False
        self.load: LoadReport | None = None
        self.client: Client | None = None  # to which the response is streamed
        self.watchdog: ThroughputWatchdog | None = None  # of a streamed response
        self.head_at = 0

    # --- The request

    def usable(self) -> bool:
        """Return whether an idle connection is open and silent, unread bytes included.

        A host may have closed it while this process was busy. A request written then would end as
        one that may have run, for no reason.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # the end, or unexpected bytes

    def begin(self, attempt: Attempt, now: int) -> bool:
        """Write the attempt's request; return False if surely none of it was sent."""
        request = attempt.request
        upload = request.upload
        last = True
        left = min(attempt.expires_at - now, request.wait_ms * 1000)
        head, body = request.serialize(left, self.hosts.pool.stamp)
        if upload is not None:
            body, last = upload.open(self)
            if upload.chunked:
                body = chunk(body, last)
        small = len(body) <= CHUNK_BYTES
        first = head + body if small else head
        try:
            count = self.sock.send(first)
        except OSError:
            # In a full socket the request would wait, and be sent at any later time: to a host
            # that is draining by then, or for a client that has left.
            if upload is not None:
                upload.detach(self)
            return False
        self.reset()
        self._clear()
        self.attempt = attempt
        attempt.connection = self
        attempt.written_at = now
        self.upload = upload
        self.has_more_body = not last
        if count < len(first):
            rest = memoryview(first)[count:]
            self.unsent_body = rest if small else memoryview(b"".join((rest, body)))
        elif not small:
            self.unsent_body = memoryview(body)
        if self.unsent_body is not None or self.has_more_body:
            self._push()
        return True

    def send_body(self, data: bytes, last: bool) -> None:
        """Send more of an incomplete request body; a `Sink`."""
        if self.upload is None or self.attempt is None:
            return
        framed = chunk(data, last) if self.upload.chunked else data
        if self.unsent_body is not None:
            framed = bytes(self.unsent_body) + framed
        self.unsent_body = memoryview(framed) if framed else None
        self.has_more_body = not last
        self._push()

    def _push(self) -> None:
        """Send the rest in chunks, each once the one before has been written.

        A transport takes any amount: what it buffers costs memory, and is not known to be sent.
        """
        transport = self.transport
        while self.unsent_body is not None and transport is not None:
            if transport.get_write_buffer_size():
                return  # `resume_writing` goes on
            piece = self.unsent_body[:CHUNK_BYTES]
            self.unsent_body = self.unsent_body[CHUNK_BYTES:]
            if not self.unsent_body:
                self.unsent_body = None
            transport.write(piece)
        waits = (
            self.has_more_body and transport is not None and not transport.get_write_buffer_size()
        )
        if waits and self.upload is not None:
            self.upload.on_written(self)

    def resume_writing(self) -> None:
        """Send more of the request body."""
        self._push()

    # --- The response

    def head_read(self) -> None:
        """Look for a rejection and for the host's load report."""
        declined = False
        for low, _, value in self.fields:
            if low == b"srv-load":
                load = parse_load_report(value)
                if load:
                    self.load = LoadReport(
                        load.get("queue"), load.get("service"), load.get("inflight")
                    )
            elif low == b"srv-declined":
                declined = value.strip() == b"1"
        self.rejected = declined and self.status in (503, 504)
        if self.length is None:
            self.head_at = self.hosts.core.clock()
        elif self.length > MAX_BODY_BYTES:
            raise MalformedError("body too large")

    def body_read(self, data: bytes) -> None:
        """Buffer part of a response; raises MalformedError.

        Short responses are buffered until they are complete, as a retry can make up for one that
        breaks off, and count against the memory budget. Long ones are streamed.
        """
        self.size += len(data)
        if self.size > MAX_BODY_BYTES:
            raise MalformedError("body too large")
        if self.dropping or (
            self.status != 200 and not self.hosts.pool.connection_settings.passes_any_status
        ):
            return
        if self.client is None:
            if not self.flow_budget.reserve(len(data)):
                raise MalformedError("no room for the body")
            self.reserved += len(data)
        if not self.body:
            self.body = data
        else:
            if not isinstance(self.body, bytearray):
                self.body = bytearray(self.body)
            self.body += data

    def data_received(self, data: bytes) -> None:
        """Read bytes of the response."""
        if self.attempt is None:
            self.close()  # unexpected bytes
            return
        try:
            self.feed(data)
        except MalformedError as error:
            self.hosts.pool.on_malformed_response(self.host.id, str(error))
            self.keep_alive = False
            self._finish_attempt(self._outcome_of_broken_response(AttemptOutcome.ERROR))
            return
        if self.phase == BODY and self.client is None and self._is_long():
            self._begin_flow(self.attempt)
        if self.client is not None:
            self._pass_on(len(data))
        if self.phase == COMPLETE:
            self._finish_attempt(self._outcome_of_response())

    # --- Streamed responses

    def _is_long(self) -> bool:
        """Return whether a response that has begun is not to be waited for."""
        if not self.size or self.dropping or self._incomplete():
            return False
        if self.status != 200 and not (
            self.hosts.pool.connection_settings.passes_any_status and self.status < 500
        ):
            return False
        if self.length is not None:
            return self.length > MAX_BUFFERED_BODY
        return (
            self.size > MAX_BUFFERED_BODY or self.hosts.core.clock() - self.head_at > STREAM_AFTER
        )

    def _begin_flow(self, attempt: Attempt) -> None:
        response = Response(self.status, self.fields, b"")
        length = self.length if not self.chunked else None
        self.client = self.hosts.pool.response_started(attempt, response, length, self.load, self)
        self.flow_budget.release(self.reserved)
        self.reserved = 0
        if self.client is None:
            self.dropping = True
            self.body = b""
            return
        self.watchdog = ThroughputWatchdog(
            self.hosts.core.clock(), MIN_FLOW_RATE, FLOW_GRACE_TIME, MAX_FLOW_STALL
        )

    def _pass_on(self, size: int) -> None:
        taker = self.client
        body = self.body
        if self.watchdog is not None:
            self.watchdog.record(size, self.hosts.core.clock())
        if body and taker is not None:
            self.body = b""
            taker.send_body(bytes(body))

    def pause_reading(self) -> None:
        """Stop reading, as the client does not keep up; a `ResponseSource`."""
        if self.transport is not None and self.watchdog is not None:
            self.watchdog.stop(self.hosts.core.clock())
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again, as the client has caught up."""
        if self.transport is not None and self.watchdog is not None:
            self.watchdog.resume(self.hosts.core.clock())
            self.transport.resume_reading()

    def cancelled(self) -> None:
        """Stop, as the client has left during its response."""
        self.client = None
        self.keep_alive = False
        self._finish_attempt(AttemptOutcome.CANCELLED)

    def is_stalled(self, now: int) -> bool:
        """Return whether the host has stopped in the middle of a response."""
        return self.watchdog is not None and self.watchdog.is_too_slow(now)

    def give_up(self) -> None:
        """End a stalled response."""
        self.keep_alive = False
        self._finish_attempt(AttemptOutcome.RESET)

    def eof_received(self) -> None:
        """End a response that has no length."""
        self.keep_alive = False
        if self.attempt is not None and self.on_eof():
            self._finish_attempt(self._outcome_of_response())

    def connection_lost(self, exc: Exception | None) -> None:
        """Give the open attempt its outcome."""
        self.parser = None  # it holds this object in turn
        self.hosts.forget(self)
        if self.attempt is not None:
            self._finish_attempt(self._outcome_of_broken_response(AttemptOutcome.RESET))

    def _outcome_of_response(self) -> AttemptOutcome:
        """Return what a whole response means."""
        if self.rejected:
            return AttemptOutcome.BUSY
        if (
            self.hosts.pool.connection_settings.passes_any_status
            and self.status < 500
            and not self._incomplete()
        ):
            return AttemptOutcome.OK
        if self.status != 200:
            self.hosts.pool.on_unexpected_status(self.host.id, self.status)
        if self.status != 200 or self._incomplete():
            # A host's other rejections must not look like this gateway's own.
            return AttemptOutcome.ERROR
        return AttemptOutcome.OK

    def _outcome_of_broken_response(self, otherwise: AttemptOutcome) -> AttemptOutcome:
        """Return what a response means that does not come to its end."""
        if self.phase == BODY and self.status != 200:
            return AttemptOutcome.BUSY if self.rejected else AttemptOutcome.ERROR
        # Only what this process still buffers is surely not sent.
        return (
            AttemptOutcome.CONNECT_FAILED if self._incomplete() and not self.status else otherwise
        )

    def _incomplete(self) -> bool:
        """Return whether the request's last byte has surely not been written."""
        return self.unsent_body is not None or self.has_more_body

    def has_unsent_bytes(self) -> bool:
        """Return whether some of the request is still held here."""
        waits = self.transport is not None and self.transport.get_write_buffer_size() > 0
        return self._incomplete() or waits

    def _finish_attempt(self, status: AttemptOutcome) -> None:
        """Report the attempt's outcome; return the connection to the pool, or close it."""
        attempt = self.attempt
        if attempt is None:
            return
        self.attempt = attempt.connection = None
        if self.unsent_body is not None or self.upload is not None:
            self.keep_alive = self.keep_alive and not self._incomplete()
            self._let_go_of_body()
        response = Response(self.status, self.fields, self.body)
        load = self.load
        whole = self.phase == COMPLETE
        taker = self.client
        dropped = self.dropping
        self._clear()
        if taker is not None:
            self._end_flow(taker, status == AttemptOutcome.OK)
        if self.keep_alive and self.transport is not None and not self.transport.is_closing():
            if not self.transport.is_reading():
                self.transport.resume_reading()  # it was paused for the client
            self.hosts.give_back(self)
        else:
            self.close()
        held = whole and not attempt.response_started and not dropped
        self.hosts.pool.attempt_finished(attempt, status, load, response if held else None)

    def _end_flow(self, taker: Client, whole: bool) -> None:
        if whole:
            taker.end()
        else:
            self.hosts.core.counters.cut += 1
            taker.abort_response()

    def _let_go_of_body(self) -> None:
        if self.upload is not None:
            self.upload.detach(self)
        self.upload = None
        self.unsent_body = None
        self.has_more_body = False

    def abandon(self) -> None:
        """Abandon the attempt; its response may still come, so the connection is not reused."""
        if self.attempt is not None:
            self.attempt.connection = None
        self.attempt = None
        self._let_go_of_body()
        self._clear()
        self.close()

    def close(self) -> None:
        """Close at once and write nothing more."""
        self.hosts.forget(self)
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over an established connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)

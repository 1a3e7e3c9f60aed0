"""Write responses to a client: complete ones, streamed ones and this gateway's own errors."""

from __future__ import annotations

from typing import Final

from ..core.budget import MAX_BUFFERED_BODY
from ..core.interfaces import ResponseSource
from ..core.request_context import RequestContext
from ..core.response import Response
from ..core.throughput_watchdog import ThroughputWatchdog
from ..front import Reason
from .client_connection import BODY, CLOSING, IDLE, ClientConnection
from .http import chunk
from .responses import (
    STATUS_LINES,
    STATUSES_WITHOUT_LENGTH,
    closing_response,
    forwarded_fields,
    retry_after_field,
    status_line,
)

WRITE_HIGH_WATER: Final = 64 * 1024  # unsent bytes above which reading from the host is paused
# Limits on a client that reads a streamed response; times in microseconds.
MIN_READ_RATE: Final = 8 * 1024  # bytes/s on average, enforced after READ_GRACE
READ_GRACE: Final = 10_000_000
READ_STALL: Final = (10_000_000, 4_000_000)  # time without a byte, at no and at full pressure


class ResponseWriter(ClientConnection):
    """A client connection that writes responses; implements the core's `Client`."""

    __slots__ = ()

    def _dispatch_next(self) -> None:
        """Dispatch the next request, if it has arrived already."""
        raise NotImplementedError

    # --- Complete responses

    def serve(self, request: RequestContext, response: Response) -> None:
        """Send a host's complete response."""
        status, fields, body = response
        self._write_response(request, status_line(status), forwarded_fields(fields), body)

    def refuse(self, request: RequestContext, retry_after: int) -> None:
        """Answer 503; `retry_after` is in microseconds, 0 omits the field."""
        self._write_response(request, STATUS_LINES[503], retry_after_field(retry_after), b"")

    def fail(self, request: RequestContext, late: bool) -> None:
        """Answer 504 if `late`, else 502; neither tells whether the request took effect."""
        self._write_response(request, STATUS_LINES[504 if late else 502], b"", b"")

    def _write_response(
        self, request: RequestContext, status: bytes, fields: bytes, body: bytes | bytearray
    ) -> None:
        """Send a complete response, then close or continue with the next request."""
        transport = self.transport
        self.request = None
        if transport is None:
            return
        early = request is self.incoming  # before its body was complete
        close = early or self._must_close(request)
        if not close and self.phase == IDLE and not self.pipelined:
            # Closing is safe here: the response announces it, and no request is on its way.
            retained = self.core.admission.is_retained(self.slot, self.core.clock())
            close = not (retained or self._has_unread_bytes())
        parts = b"HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n" % (
            status,
            fields,
            self._connection_field(request, close),
            len(body),
        )
        if status[:3] in STATUSES_WITHOUT_LENGTH:
            parts = parts.replace(b"Content-Length: 0\r\n\r\n", b"\r\n")
        data = parts if request.head_only else parts + body
        transport.write(data)
        self.last_write = len(data)
        self._account_unsent(transport.get_write_buffer_size())
        if early:
            self._discard_rest_of_body()
        else:
            self._finish_response(close)

    def _must_close(self, request: RequestContext) -> bool:
        """Return whether the connection has to be closed after this request's response.

        When the gateway shuts down, pipelined requests that have been read already are served
        first, as closing the connection would lose them.
        """
        shutting_down = self.core.closing_clients or self.listener.retired
        return not request.keep_alive or (shutting_down and not self.pipelined)

    def _connection_field(self, request: RequestContext, close: bool) -> bytes:
        """Return the `Connection` field of a response; empty where the default applies."""
        if close:
            return b"Connection: close\r\n"
        return b"Connection: keep-alive\r\n" if request.is_http_1_0 else b""

    def _finish_response(self, close: bool) -> None:
        """Close after a response, or continue with the next request."""
        transport = self.transport
        assert transport is not None
        if close:
            self._start_closing(Reason.ANSWERED)
            self._drop_undispatched()
            transport.close()
        elif self._has_next_request() and not self._has_unread_responses():
            # The caller may be the decision module, which is not re-entrant.
            self.core.loop.call_soon(self._dispatch_next)
        else:
            now = self.core.clock()
            self.core.admission.on_response(self.slot, now, self.unsent)
            if self.phase != IDLE:
                self.core.admission.on_reading(self.slot, now, self.phase == BODY)
            elif self.core.pass_on_connection is not None:
                self.core.pass_on_connection(self)

    def _has_next_request(self) -> bool:
        """Return whether a request can be dispatched now."""
        is_long = self.incoming is not None and self.received > MAX_BUFFERED_BODY
        return bool(self.pipelined) or is_long

    def _discard_rest_of_body(self) -> None:
        """Read and discard the rest of a body that was answered early, then close.

        Closing with unread bytes would reset the connection and lose the response.
        """
        self.discarding_body = True
        self._start_closing(Reason.ANSWERED)
        self.resume_reading()

    # --- Streamed responses

    def begin(
        self,
        request: RequestContext,
        response: Response,
        length: int | None,
        source: ResponseSource,
    ) -> None:
        """Send the head of a host's response; the body follows through `more`.

        `length` is that of the body; None if unknown.
        """
        transport = self.transport
        self.request = request
        if transport is None:
            return
        self.response_source = source
        status, fields, _ = response
        self.response_chunked = length is None and not request.is_http_1_0
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        elif self.response_chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            # The response is delimited by the close of the connection.
            framing = b""
            request.keep_alive = False
        request.keep_alive = not self._must_close(request)
        connection = self._connection_field(request, not request.keep_alive)
        now = self.core.clock()
        self.read_watchdog = ThroughputWatchdog(now, MIN_READ_RATE, READ_GRACE, READ_STALL[0])
        transport.write(
            b"HTTP/1.1 %s\r\n%s%s%s\r\n"
            % (status_line(status), forwarded_fields(fields), connection, framing)
        )
        self._account_written(transport.get_write_buffer_size(), now)

    def send_body(self, data: bytes) -> None:
        """Send more of the body; pause the host above `WRITE_HIGH_WATER` unsent bytes."""
        transport = self.transport
        request = self.request
        if transport is None or request is None or request.head_only:
            return
        piece = chunk(data, False) if self.response_chunked else data
        transport.write(piece)
        self.last_write = len(piece)
        size = transport.get_write_buffer_size()
        self._account_written(size, self.core.clock(), len(piece))
        if self.response_source is not None and self._has_unread_responses():
            self.response_source.pause_reading()

    def end(self) -> None:
        """Finish a streamed response."""
        transport = self.transport
        request = self.request
        self.request = self.response_source = self.read_watchdog = None
        if transport is None or request is None:
            return
        if self.response_chunked and not request.head_only:
            transport.write(chunk(b"", True))
        self._account_unsent(transport.get_write_buffer_size())
        self._finish_response(not request.keep_alive)

    def abort_response(self) -> None:
        """Abort a streamed response; with any framing a reset shows that it is incomplete."""
        self.abort()
        self.response_source = self.read_watchdog = None

    def resume_writing(self) -> None:
        """Resume reading from the host once the client has taken everything written."""
        transport = self.transport
        if self.response_source is not None and transport is not None:
            self._account_written(transport.get_write_buffer_size(), self.core.clock())
            self.response_source.resume_reading()
        elif self.unsent:
            self._account_unsent(0)
            self.core.admission.on_write_progress(self.slot, self.core.clock(), 0)
            self._dispatch_next()

    def _has_unread_responses(self) -> bool:
        """Return whether the client must read before more is written to it.

        A client that sends on without reading could otherwise fill memory with its responses.
        """
        transport = self.transport
        size = transport.get_write_buffer_size() if transport is not None else 0
        return size > WRITE_HIGH_WATER or (size > 0 and self.core.budget.is_tight())

    def _check_reader(self, size: int, now: int) -> None:
        """Abort the connection if its client doesn't read a streamed response."""
        watchdog = self.read_watchdog
        admission = self.core.admission
        assert watchdog is not None
        self._account_written(size, now)
        watchdog.stall = READ_STALL[0] + int(
            admission.pressure_factor * (READ_STALL[1] - READ_STALL[0])
        )
        if size and watchdog.is_too_slow(now) and self.transport is not None:
            admission.on_closing(self.slot, now, Reason.UNREAD)
            self.abort()

    # --- Errors

    def _reject(self, status: int, why: str, reason: Reason = Reason.REJECTED) -> None:
        """Answer a malformed or unwanted request with an error, and close.

        This is also the response to an earlier request that is still open on this connection, as
        the stream can't be framed after malformed bytes. A client that pipelines and sends a bad
        request has to repeat the earlier one.
        """
        if self.phase == CLOSING:
            return
        if reason not in (Reason.ROOM, Reason.MEMORY):
            self.core.counters.bad_requests += 1
            self.core.admission.record_violation(self.slot)
        self.core.recent_rejections.append(f"{status} {why[:60]}")
        self.core.logger.write_limited(
            f"reject {status}", f"client rejected with {status}: {why[:100]}"
        )
        if self.request is not None and status == 503:
            status = 502  # the open request may have run, but a 503 promises that it has not
        after = self.core.retry_after() if status == 503 else 0
        self._start_closing(reason)
        self._stop_parsing()
        if self.response_source is not None:
            self.abort()  # a status line can't follow part of a response
            self._drop_requests()
            return
        self._drop_requests()
        if self.transport is None:
            return
        if reason == Reason.MEMORY:
            self.stop_reading()  # it lingers for LINGER_IDLE, in which the client gets the response
        else:
            self.start_reading()
        self.transport.write(closing_response(status, after))
        # Closing with unread bytes would reset the connection and lose the response.
        if self.transport.can_write_eof():
            self.transport.write_eof()

"""Read requests from a client connection.

Malformed requests are rejected here, before anything is sent to a host.
"""

from __future__ import annotations

from typing import Final

import httptools

from ..core.budget import MAX_BODY_BYTES, MAX_BUFFERED_BODY
from ..core.request_context import RequestContext
from ..core.throughput_watchdog import ThroughputWatchdog
from ..core.upload import Upload
from .body_arrival import BodyArrival
from .client_connection import BODY, CLOSING, HEAD, IDLE
from .delivery import MAX_UNDELIVERED
from .head_fields import MAX_HEAD_BYTES, HeadTooLargeError
from .intake import RejectError
from .request_head import body_framing, forwarded_lines, select_fields, without_upgrade
from .response_writer import ResponseWriter
from .socket_poll import unread_size
from .tcp_info import data_arrival

SMALL_HEAD: Final = 1024  # bytes of a head up to which it is not counted in the budget
MAX_EMPTY_LINES: Final = 1024  # bytes of them before a request (RFC 9112, 2.2)
MAX_PIPELINED: Final = 4  # requests of a client that may be queued for dispatch


class RequestReader(ResponseWriter):
    """A client connection that reads requests; the `on_` methods are the parser's callbacks."""

    __slots__ = ()

    def _dispatch(self, request: RequestContext) -> None:
        """Start a request."""
        raise NotImplementedError

    # --- Bytes

    def parse(self, data: bytes) -> bool:
        """Parse received bytes; return False if the request was rejected, or nothing is read."""
        self.received_since_sweep = True
        size = len(data)
        self.message_bytes += size
        if self.parser is None or (self.phase == CLOSING and not self.discarding_body):
            return False
        if self.phase in (IDLE, HEAD):
            self.head_received += size
        try:
            while data:
                data = self._parse(data)
            if self.phase == HEAD and not self.head_received:
                self.head_received = size  # it began in these bytes
            self.count_parsed(size)
            if self.undelivered > MAX_UNDELIVERED:
                self._end_endless_element()
        except RejectError as error:
            self._reject(error.status, str(error))
            return False
        except Exception as error:
            # An exception that reached the event loop would leave the client without a response.
            self.core.logger.write_limited("reading", f"reading a request failed: {error!r:.100}")
            self._reject(400, "could not be read")
            return False
        self.queued_since = 0  # bytes of later reads have not waited for the accept
        return True

    def parsed(self, size: int) -> None:
        """Act on a read of `size` bytes, now that all of it is parsed."""
        incoming = self.incoming
        if self.phase == HEAD:
            self.head_fields.pack()  # its end may take seconds to arrive
            self._account_unparsed()
        elif self.held_head or self.undelivered:
            self._account_unparsed()
        if incoming is not None and incoming.upload is not None:
            self._forward_upload(incoming.upload, size)
        elif incoming is not None and self.received > MAX_BUFFERED_BODY:
            self._dispatch_next()  # earlier requests go first
            if self.incoming is incoming and incoming.upload is None:
                self._begin_upload(incoming)
        elif self.phase == HEAD and self.head_received > 2 * MAX_HEAD_BYTES:
            self._reject(431, "head too large")
        elif self.phase == IDLE and self.head_received > MAX_EMPTY_LINES:
            self._reject(400, "too many empty lines")
        elif self.request is None:
            if self.phase != IDLE and not self.pipelined:
                self.core.admission.on_reading(self.slot, self.core.clock(), self.phase == BODY)
            # Only after parsing: malformed bytes right after a request make that request suspect.
            self._dispatch_next()

    def _end_endless_element(self) -> None:
        """Stop to parse an element whose end does not come; raises RejectError."""
        if self.phase == CLOSING:
            self._stop_parsing()
        elif self.phase == HEAD:
            raise RejectError(431, "head too large")
        else:
            raise RejectError(431, "trailer or chunk line too large")

    def _parse(self, data: bytes) -> bytes:
        """Parse bytes; return those that are to be parsed again, as the start of a message."""
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            if not self.upgrade:
                raise RejectError(400, "unexpected upgrade") from None
            # Upgrades are not supported; the request is served as if it had not asked for one.
            offset = int(error.args[0])
            return self._restart_without_upgrade() + data[offset:]
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, RejectError):
                raise error.__context__ from None
            raise
        except httptools.HttpParserError as error:
            if self.phase == CLOSING:
                return b""
            raise RejectError(400, str(error)) from None
        return b""

    def _restart_without_upgrade(self) -> bytes:
        """Replace the parser; return the current head to parse again, without upgrade fields."""
        head = without_upgrade(self.method, self.url, self.fields)
        self.parser = httptools.HttpRequestParser(self)
        self._release_head()
        self._reset_request()
        return head

    # --- Head

    def on_message_begin(self) -> None:
        """Start a request head."""
        if self.phase == CLOSING:
            return
        self._reset_request()
        self.phase = HEAD

    def on_url(self, url: bytes) -> None:
        """Collect the request target; raises RejectError."""
        self.delivered += len(url)
        self.url += url
        if len(self.url) > MAX_HEAD_BYTES:
            raise RejectError(431, "target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field; raises RejectError."""
        if self.phase != HEAD:
            return  # a trailer, which counts as undelivered: its length is limited
        self.delivered += len(name) + len(value)
        try:
            self.head_fields.add(name, value)
        except HeadTooLargeError as error:
            raise RejectError(431, str(error)) from None

    def on_headers_complete(self) -> None:
        """Check the head and build the request; raises RejectError."""
        if self.phase == CLOSING or self.parser is None:
            return
        self.method = self.parser.get_method()
        self.fields = self.head_fields.unpacked()
        found, connection_options = select_fields(self.fields)
        self.upgrade = self.parser.should_upgrade()
        if self.upgrade and self.method != b"CONNECT":
            return  # `_parse` starts over without the upgrade fields
        if b"host" not in found and self.parser.get_http_version() != "1.0":
            raise RejectError(400, "Host field missing")
        self.chunked, self.content_length = body_framing(found)
        request = self.incoming = RequestContext(self)
        self.phase = BODY
        if not self.listener.intake.read(self, found, request):
            self._release_head()
            return
        self._build_head(request, connection_options)
        self._release_head()
        if b"expect" in found:
            self._answer_expectation(found[b"expect"])

    def _build_head(self, request: RequestContext, connection_options: set[bytes]) -> None:
        """Set the head that is sent to hosts, except for the fields that each attempt adds."""
        method = b"GET" if request.head_only else self.method
        lines = [method + b" " + self.url + b" HTTP/1.1"]
        lines += forwarded_lines(self.fields, connection_options, self.listener.intake.own)
        if self.content_length is not None and method != b"GET":
            lines.append(b"Content-Length: %d" % self.content_length)
        lines.append(request.head)  # fields that the intake adds, if any
        request.head = b"\r\n".join(lines)
        size = len(request.head)
        if size > SMALL_HEAD:
            if not self.core.budget.reserve(size):
                raise RejectError(503, "no memory left for the head")
            request.reserved = size

    def _answer_expectation(self, value: bytes) -> None:
        """Answer `Expect: 100-continue`, unless a response to an earlier request is due first."""
        if value.strip().lower() != b"100-continue":
            raise RejectError(400, "unknown expectation")
        if self.request is None and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # --- Body

    def on_body(self, data: bytes) -> None:
        """Collect or forward part of the body; raises RejectError."""
        self.delivered += len(data)
        request = self.incoming
        if request is None:
            return
        size = len(data)
        before = self.received
        self.received = received = before + size
        if received > MAX_BODY_BYTES:
            raise RejectError(413, "body too large")
        if request.upload is not None:
            request.upload.add(data)
            return
        if not self.core.budget.reserve(size):
            raise RejectError(503, "no memory left for the body")
        request.reserved += size
        if not before:
            request.body = data
            return
        if not isinstance(request.body, bytearray):
            request.body = bytearray(request.body)
        request.body += data

    def on_message_complete(self) -> None:
        """Dispatch a complete request."""
        self.delivered += 1  # whatever it held is over
        self.message_bytes = 0
        if self.parser is None or self.upgrade:
            return
        if self.phase == CLOSING and not self.discarding_body:
            return
        request = self.incoming
        if request is None:
            return
        self.incoming = self.send_watchdog = None
        body_arrival, self.body_arrival = self.body_arrival, None
        if self.discarding_body:
            if self.transport is not None:
                self.transport.close()
            return
        self.phase = IDLE
        if request.upload is not None:
            self._end_upload(request, request.upload, body_arrival)
            return
        request.keep_alive = self.parser.should_keep_alive()
        request.is_http_1_0 = self.parser.get_http_version() == "1.0"
        if self.chunked:
            request.head += b"Content-Length: %d\r\n" % self.received
        self.head_received = 0
        # The deadline of a pipelined request counts from its arrival, not from its dispatch.
        request.arrived_at = self._arrival()
        self.pipelined.append(request)
        if len(self.pipelined) > MAX_PIPELINED:
            raise RejectError(400, "too many pipelined requests")

    def _arrival(self) -> int:
        """Return the earliest time at which the request that was just read can have arrived."""
        if self.queued_since:
            return self.queued_since
        now = self.core.clock()
        arrived = self.core.earliest_arrival(now)
        if self.waited_since:
            arrived = min(arrived, self.waited_since)
        if arrived < now:
            arrived = data_arrival(self.sock, arrived, now)
        if self.request is None and not self.pipelined and self.slot.request_count:
            # A client sends its next request after the response to the previous one.
            return max(arrived, self.slot.since)
        return arrived

    # --- Streamed body

    def _begin_upload(self, request: RequestContext) -> None:
        """Start streaming a body larger than MAX_BUFFERED_BODY, once its request is next."""
        transport = self.transport
        if transport is None or self.parser is None:
            return
        if self.body_arrival is None:
            self.body_arrival = BodyArrival(self.core.clock())
        if self.request is not None or self.pipelined:
            self.pause_reading()  # `_dispatch_next` continues
            return
        budget = self.core.budget
        if budget.streamed > budget.limit or budget.excess() > 0:
            self._reject(503, "no memory left for a streamed body")
            return
        if not self.is_reading_wanted:
            # It has waited behind other requests, and its last byte may have come meanwhile.
            request.arrived_at = self.earliest_body_arrival(self.core.clock())
        request.keep_alive = self.parser.should_keep_alive()
        request.is_http_1_0 = self.parser.get_http_version() == "1.0"
        if self.chunked:
            request.head += b"Transfer-Encoding: chunked\r\n"
        start = request.body
        request.body = b""
        kept = min(request.reserved, len(request.head))
        self.core.budget.release(request.reserved - kept)
        request.reserved = kept
        request.upload = Upload(self, start, self.chunked, self.core.budget)
        self.send_watchdog = ThroughputWatchdog(self.core.clock())
        self.pause_reading()
        self._dispatch(request)

    def _forward_upload(self, upload: Upload, size: int) -> None:
        """Forward the part of a streamed body that a read of `size` bytes contained."""
        if self.send_watchdog is not None:
            self.send_watchdog.record(size, self.core.clock())
        upload.flush()

    def _end_upload(
        self, request: RequestContext, upload: Upload, body_arrival: BodyArrival | None
    ) -> None:
        """Finish a streamed body: forward its last bytes together with its end."""
        if self.has_disconnected():
            return  # the last byte would start the request at a host, though nobody waits for it
        self.head_received = 0
        arrived = self._last_byte_arrival(body_arrival)
        if self.core.uploads.expire_before_last_byte(request, arrived):
            self.resume_reading()
            return
        upload.complete = True
        upload.flush()
        self.resume_reading()
        self.core.uploads.body_complete(request, arrived)

    def _last_byte_arrival(self, body_arrival: BodyArrival | None) -> int:
        """Return when the last byte of a streamed body, which has just been read, arrived."""
        now = self.core.clock()
        arrived = 0
        if body_arrival is not None:
            last_data_at = data_arrival(self.sock, body_arrival.missing_at, now)
            arrived = body_arrival.last_byte_at(last_data_at)
        return arrived or self.core.earliest_arrival(now)

    def _observe_unread_body(self, body_arrival: BodyArrival, now: int) -> None:
        """Record what has arrived of the body while reading it is paused."""
        unread = unread_size(self.sock) or int(self._has_unread_bytes())
        missing = None if self.content_length is None else self.content_length - self.received
        last_data_at = data_arrival(self.sock, body_arrival.missing_at, now)
        body_arrival.on_unread(now, unread, missing, last_data_at)

    def earliest_body_arrival(self, now: int) -> int:
        """Return when the last byte of the body that is being read can have arrived at earliest."""
        body_arrival = self.body_arrival
        is_reading = self.is_reading_wanted and not self.is_waiting
        if body_arrival is None or self.transport is None or is_reading:
            return now
        self._observe_unread_body(body_arrival, now)
        return body_arrival.missing_at

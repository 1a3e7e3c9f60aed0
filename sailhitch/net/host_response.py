"""The response of a host to one attempt: buffered until it is complete, or streamed to the client.

A response that may be long is streamed from its first bytes on, whether or not its host pauses;
until then a broken one can be made good by another attempt.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from ..core.budget import MAX_BODY_BYTES, MAX_BUFFERED_BODY
from ..core.interfaces import Client
from ..core.request_context import Attempt
from ..core.response import Response
from ..core.throughput_watchdog import ThroughputWatchdog
from ..policy_interface import LoadReport
from .bounded_reader import LARGE_READ, SMALL_READ, BoundedReader
from .config import parse_load_report
from .delivery import PARSED_AT_ONCE
from .http import BODY, MalformedError, ResponseReader

if TYPE_CHECKING:
    from .connection_pool import ConnectionPool

# A response that may be long is streamed if it is incomplete so many us after its head...
STREAM_AFTER: Final = 300_000
# ...or after so many, if nothing of its body has come or another attempt may respond first.
STREAM_AT_LATEST: Final = 1_500_000
# A host that streams a response more slowly than this counts as stalled.
MIN_FLOW_RATE: Final = 4 * 1024  # bytes/s
FLOW_GRACE_TIME: Final = 10_000_000  # us
MAX_FLOW_STALL: Final = 8_000_000  # us


class HostResponse(ResponseReader, BoundedReader):
    """Reads the response to a connection's attempt; implements the core's `ResponseSource`."""

    __slots__ = (
        "attempt",
        "body",
        "budget",
        "client",
        "connection_pool",
        "core",
        "discarding",
        "head_received_at",
        "held_head",
        "is_cheap",
        "is_reading_wanted",
        "is_waiting",
        "load",
        "must_stream",
        "rejected",
        "reserved",
        "size",
        "stream_timer",
        "transport",
        "unfinished",
        "watchdog",
    )

    def __init__(self, connection_pool: ConnectionPool) -> None:
        super().__init__()
        self.connection_pool = connection_pool
        self.core = connection_pool.core
        self.budget = self.core.budget
        self.transport: asyncio.Transport | None = None
        self.init_reading()
        self.attempt: Attempt | None = None
        self.reserved = 0  # response bytes reserved in the memory budget
        self.held_head = 0  # bytes of its head, or of an element without end, that it counts
        self.stream_timer: asyncio.TimerHandle | None = None
        self._clear()

    def _clear(self) -> None:
        self.body: bytes | bytearray = b""
        self.size = 0
        self.budget.release(self.reserved)
        self.reserved = 0
        self.unfinished = 0  # bytes read of the response, until it is complete
        self._account_head(0)
        if self.stream_timer is not None:
            self.stream_timer.cancel()
            self.stream_timer = None
        self.rejected = self.discarding = False
        self.must_stream = False  # no memory is left to buffer the response
        self.load: LoadReport | None = None
        self.client: Client | None = None  # that the response is streamed to
        self.watchdog: ThroughputWatchdog | None = None  # of a streamed response
        self.head_received_at = 0

    # --- Implemented by subclasses

    def _is_request_incomplete(self) -> bool:
        """Return whether the request's last byte has certainly not been written."""
        raise NotImplementedError

    def cancelled(self) -> None:
        """Stop, as the client has disconnected during its response."""
        raise NotImplementedError

    # --- Reading

    def _account_head(self, size: int) -> None:
        """Record how many bytes of a head, or another element, are held until its end arrives."""
        if size != self.held_head:
            self.budget.heads += size - self.held_head
            self.held_head = size
            self.core.memory_guard.on_growth()

    def on_incomplete(self) -> None:
        """Count what is held of an incomplete response; raises MalformedError if it has no room."""
        size = self.undelivered + self.head_fields.size()
        is_growing = size > self.held_head
        self._account_head(size if size > SMALL_READ else 0)
        if is_growing and self.held_head and self.budget.excess() > 0:
            raise MalformedError("no memory left for the head")

    def handle_head(self) -> None:
        """Read the host's load report and whether it rejects the request."""
        declined = False
        for low, _, value in self.head_fields.unpacked():
            if low == b"srv-load":
                load = parse_load_report(value)
                if load:
                    self.load = LoadReport(
                        load.get("queue"), load.get("service"), load.get("inflight")
                    )
            elif low == b"srv-declined":
                declined = value.strip() == b"1"
        self.rejected = declined and self.status in (503, 504)
        self.head_received_at = self.core.clock()
        if self.length is not None and self.length > MAX_BODY_BYTES:
            raise MalformedError("body too large")

    def handle_body(self, data: bytes) -> None:
        """Buffer part of a response; raises MalformedError.

        Short responses are buffered until they are complete and count against the memory budget:
        if one is cut off, the request can be retried. Long ones are streamed.
        """
        self.size += len(data)
        if self.size > MAX_BODY_BYTES:
            raise MalformedError("body too large")
        if self.discarding or (
            self.status != 200
            and not self.connection_pool.pool.connection_settings.passes_any_status
        ):
            return
        if self.client is None and not self.must_stream:
            if self.budget.reserve(len(data)):
                self.reserved += len(data)
            elif self._has_streamed_status() and not self._is_request_incomplete():
                self.must_stream = True
            else:
                raise MalformedError("no memory left for the body")
        if not self.body:
            self.body = data
        else:
            if not isinstance(self.body, bytearray):
                self.body = bytearray(self.body)
            self.body += data

    # --- Streamed responses

    def _has_streamed_status(self) -> bool:
        """Return whether a response with this status is the client's, and not only a fallback."""
        passes_any = self.connection_pool.pool.connection_settings.passes_any_status
        return self.status == 200 or (passes_any and self.status < 500)

    def _is_streamable(self) -> bool:
        """Return whether the response is streamed, now or later, unless it is complete before."""
        may_be_long = self.length is None or self.length > MAX_BUFFERED_BODY
        return (
            not self.discarding
            and self._has_streamed_status()
            and (may_be_long or self.must_stream)
        )

    def _stream_delay(self, attempt: Attempt) -> int:
        """Return in how many us a streamable response is to be streamed; 0: now."""
        if self._is_request_incomplete():
            return STREAM_AFTER  # the host can't have run it yet: looked at again by then
        is_long = self.length is not None or self.size > MAX_BUFFERED_BODY
        if self.must_stream or (self.size and is_long):
            return 0
        is_sole = len(attempt.request.open_attempts) == 1
        wait = STREAM_AFTER if self.size and is_sole else STREAM_AT_LATEST
        return max(0, self.head_received_at + wait - self.core.clock())

    def _stream_when_due(self, attempt: Attempt) -> None:
        """Stream the response if that is due, else look again when it may be.

        A host may pause for as long as it likes: nothing it has given is held back meanwhile.
        """
        if not self._is_streamable():
            return
        delay = self._stream_delay(attempt)
        if not delay:
            self._start_streaming(attempt)
        elif self.stream_timer is None:
            loop = self.core.loop
            self.stream_timer = loop.call_later(delay / 1e6, self._on_stream_timer)

    def _on_stream_timer(self) -> None:
        self.stream_timer = None
        if self.attempt is not None and self.phase == BODY and self.client is None:
            self._stream_when_due(self.attempt)
            self._forward_body(0)

    def stream_response(self) -> bool:
        """Stream what has come of the response, as its time ends; return whether it may be long."""
        attempt = self.attempt
        if attempt is None or self.phase != BODY or attempt.request.closed:
            return False
        if not self._is_streamable() or self._is_request_incomplete():
            return False
        self._start_streaming(attempt)
        self._forward_body(0)
        return True

    def _start_streaming(self, attempt: Attempt) -> None:
        response = Response(self.status, self.head_fields.unpacked(), b"")
        self.head_fields.clear()
        length = self.length if not self.chunked else None
        self.client = self.connection_pool.pool.response_started(
            attempt, response, length, self.load, self
        )
        self.budget.release(self.reserved)
        self.reserved = 0
        if self.client is None:
            self.discarding = True
            self.body = b""
            return
        self.watchdog = ThroughputWatchdog(
            self.core.clock(), MIN_FLOW_RATE, FLOW_GRACE_TIME, MAX_FLOW_STALL
        )

    def _forward_body(self, size: int) -> None:
        client = self.client
        body = self.body
        if self.watchdog is not None:
            self.watchdog.record(size, self.core.clock())
        if body and client is not None:
            self.body = b""
            client.send_body(bytes(body))

    def parsed_at_once(self) -> int:
        """Return how many bytes of a read are parsed at a time: all of a body without chunks."""
        has_no_chunks = self.phase == BODY and self.length is not None
        return LARGE_READ if has_no_chunks else PARSED_AT_ONCE

    def is_unfinished(self) -> bool:
        """Return False: a response is not held up while clients' requests are given up."""
        return False

    def pause_reading(self) -> None:
        """Stop reading, as the client is too slow; part of the `ResponseSource` interface."""
        if self.transport is not None and self.watchdog is not None:
            self.watchdog.stop(self.core.clock())
            self.stop_reading()

    def resume_reading(self) -> None:
        """Resume reading, as the client has caught up."""
        if self.transport is not None and self.watchdog is not None:
            self.watchdog.resume(self.core.clock())
            self.start_reading()

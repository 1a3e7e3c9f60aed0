"""A client connection: state, lifecycle from accept to close, and flow control."""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import socket
import struct
from collections import deque
from typing import TYPE_CHECKING, Final, cast

import httptools

from ..core.interfaces import ResponseSource
from ..core.invariants import Violation
from ..core.memory_guard import HeldMemory
from ..core.request_context import RequestContext
from ..core.response import HeaderField
from ..core.throughput_watchdog import ThroughputWatchdog
from ..front import ConnectionSlot, Reason
from .body_arrival import BodyArrival
from .bounded_reader import LARGE_READ, SMALL_READ, BoundedReader
from .delivery import PARSED_AT_ONCE, DeliveryCounter
from .head_fields import HeadFields
from .socket_poll import has_event
from .tcp_info import data_arrival

if TYPE_CHECKING:
    from .listener import Listener

RESET_AT_CLOSE: Final = struct.pack(
    "ii", 1, 0
)  # SO_LINGER on with a timeout of 0: close(2) sends a reset

# Phases of a connection. Plain integers, as they are compared several times per request.
IDLE: Final = 0  # between two requests, or waiting for a response
HEAD: Final = 1  # reading a request head
BODY: Final = 2  # reading a request body
CLOSING: Final = 3  # sending no new response


class ClientConnection(DeliveryCounter, BoundedReader):
    """State and lifecycle of a client connection; subclasses read requests and write responses."""

    __slots__ = (
        "body_arrival",
        "chunked",
        "content_length",
        "core",
        "delivered",
        "discarding_body",
        "fields",
        "head_fields",
        "head_received",
        "held_head",
        "held_unsent",
        "idle_wait_since",
        "incoming",
        "is_cheap",
        "is_reading_wanted",
        "is_waiting",
        "last_write",
        "listener",
        "message_bytes",
        "method",
        "parser",
        "phase",
        "pipelined",
        "queued_since",
        "read_watchdog",
        "received",
        "received_since_sweep",
        "request",
        "response_chunked",
        "response_source",
        "send_watchdog",
        "slot",
        "sock",
        "transport",
        "undelivered",
        "unsent",
        "upgrade",
        "url",
        "waited_since",
    )

    def __init__(self, listener: Listener, sock: socket.socket, slot: ConnectionSlot) -> None:
        self.listener, self.core, self.sock, self.slot = listener, listener.core, sock, slot
        self.transport: asyncio.Transport | None = None
        self.init_reading()
        self.reset_delivery()
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.phase = IDLE
        self.request: RequestContext | None = None  # dispatched, not answered yet
        self.pipelined: deque[RequestContext] = deque()  # read completely, not dispatched yet
        self.incoming: RequestContext | None = None  # being read
        self.discarding_body = False  # answered early: the rest of the body is discarded
        self.received_since_sweep = False
        # Throughput of a request body the client streams, and of a response it reads.
        self.send_watchdog: ThroughputWatchdog | None = None
        self.read_watchdog: ThroughputWatchdog | None = None
        self.body_arrival: BodyArrival | None = None  # of the request body the client streams
        self.response_source: ResponseSource | None = None  # of the streamed response
        self.response_chunked = False  # the streamed response uses the chunked coding
        self.unsent = 0  # response bytes buffered for the client...
        self.held_unsent = 0  # ...and those held for them, as counted in the budget
        self.last_write = 0  # size of what was written last
        self.queued_since = 0  # earliest arrival of the next read's bytes, if known; else 0
        self.idle_wait_since = 0  # when it began to wait for its turn between two requests
        self.head_fields = HeadFields()
        self.held_head = 0  # bytes whose end has not arrived, as counted in the budget
        self.message_bytes = 0  # bytes read of the message, and of what follows its rejection
        self._release_head()
        self._reset_request()

    def _reset_request(self) -> None:
        """Clear the state of the request being read."""
        self.head_received = 0
        self.waited_since = 0  # when reading it first waited for its turn; 0 if it has not
        self.received = 0
        self.content_length: int | None = None
        self.chunked = self.upgrade = False

    def _release_head(self) -> None:
        """Release the target and the fields of the head, once it is interpreted or rejected."""
        self.url = b""
        if self.held_head:
            self._account_head(0)
        self.head_fields.clear()
        self.fields: list[HeaderField] = []

    def _stop_parsing(self) -> None:
        """Release what was read of a message, and discard what still comes."""
        self.parser = None  # it holds the start of an element whose end has not arrived
        self.undelivered = 0
        self._release_head()

    # --- Implemented by subclasses

    def close_unless_unread(self, reason: Reason) -> bool:
        """Close to free a descriptor; return False if a request is open or has unread bytes."""
        raise NotImplementedError

    def held_memory(self) -> HeldMemory:
        """Return what the connection holds in memory, beside itself."""
        raise NotImplementedError

    def give_up_memory(self) -> None:
        """Release what `held_memory` returned: reject or abort, and close."""
        raise NotImplementedError

    def sweep(self, now: int) -> None:
        """Close the connection if it makes no progress; called several times per second."""
        raise NotImplementedError

    # --- Opening and closing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over an accepted connection."""
        self.transport = cast(asyncio.Transport, transport)
        # With a high-water mark of 0, `resume_writing` signals that the last byte was written.
        self.transport.set_write_buffer_limits(high=0)
        self.core.arriving.discard(self)
        self.core.clients[self] = None
        self.slot.owner = self

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection's slot, requests and descriptor."""
        self.transport = None
        self.parser = None  # breaks a reference cycle
        self.slot.owner = None
        self.core.clients.pop(self, None)
        self.core.admission.on_closed(self.slot, self.core.clock())
        if exc is None and self.request is not None and not self.request.closed:
            # A client's close arrives as `eof_received` or as an error, so this side has closed.
            self.core.invariants.record(Violation.CLOSED_OWING, self.request)
        self._account_unsent(0)
        self._release_head()
        self._drop_requests()

    def eof_received(self) -> None:
        """Treat a half-closed connection as closed."""
        # The transport closes itself after this.
        self._drop_requests()

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection, even if the loop has not read that.

        The event loop does not read the end of the stream while reading is paused or while it is
        busy, and unread bytes before the end hide it from a peek at the next byte.
        """
        if self.transport is None or self.sock.fileno() < 0:
            return True
        return has_event(self.sock.fileno(), select.POLLRDHUP)

    def _abort_disconnected(self) -> None:
        """Close after the client has disconnected, so that nothing it sent before is forwarded."""
        self._drop_requests()
        self.abort()

    def abort(self) -> None:
        """Close at once, whatever is open; with a reset if a response is partly sent.

        An orderly close would complete a response that is delimited by the end of the connection.
        """
        transport = self.transport
        if transport is None:
            return
        partly_sent = self.read_watchdog is not None or transport.get_write_buffer_size()
        if partly_sent and not self.is_closed():
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        transport.abort()

    def close_idle(self, reason: Reason = Reason.IDLE) -> bool:
        """Close between two requests; return False if unread bytes of the next one have arrived.

        Closing then would lose a request that arrived while this process was busy.
        """
        transport = self.transport
        if transport is None or self._has_unread_bytes():
            return False
        self._start_closing(reason)
        transport.close()
        return True

    def detach(self) -> int | None:
        """Hand over a connection between two requests: return a duplicate of its descriptor.

        The caller closes the duplicate. Bytes that the loop has not read stay in the socket.
        Returns None while a response is due or being written.
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
        self._start_closing(Reason.MOVED)
        transport.abort()  # closes this process's descriptor only; the connection stays open
        return descriptor

    def _start_closing(self, reason: Reason) -> None:
        """Enter the closing phase; no new response is sent after this."""
        self.phase = CLOSING
        transport = self.transport
        unsent = transport.get_write_buffer_size() if transport is not None else 0
        self.core.admission.on_closing(self.slot, self.core.clock(), reason, unsent)

    # --- State

    def reads_little(self) -> bool:
        """Return whether the next read is a small one: not of a body, or memory is short."""
        return self.phase != BODY or self.core.budget.is_tight()

    def parsed_at_once(self) -> int:
        """Return how many bytes of a read are parsed at a time: all of a body without chunks."""
        has_no_chunks = self.phase == BODY and self.content_length is not None
        return LARGE_READ if has_no_chunks else PARSED_AT_ONCE

    def is_unfinished(self) -> bool:
        """Return whether part of a request was read, or it closes and discards what comes."""
        return self.phase != IDLE

    def is_idle(self) -> bool:
        """Return whether no request is being read, queued or open."""
        return self.phase == IDLE and self.request is None and not self.pipelined

    def has_body(self) -> bool:
        """Return whether the request being read has a body; valid once its head is complete."""
        return self.chunked or bool(self.content_length)

    def is_closed(self) -> bool:
        """Return whether this side has closed and written all; the descriptor is freed next."""
        transport = self.transport
        return transport is None or (
            transport.is_closing() and not transport.get_write_buffer_size()
        )

    def has_unanswered_request(self) -> bool:
        """Return whether the client is still due a response, or bytes of one."""
        if self.transport is None:
            return False
        if self.phase == CLOSING:
            return self.transport.get_write_buffer_size() > 0
        return not self.is_idle()

    def _has_unread_bytes(self) -> bool:
        """Return whether the kernel has bytes that the loop has not read."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False  # no bytes, or the connection is broken

    # --- Requests and accounting

    def _drop_requests(self) -> None:
        """Cancel the open request and drop those that are queued or being read."""
        request, self.request = self.request, None
        source = self.response_source
        self.response_source = None
        self.read_watchdog = None
        if request is not None:
            request.client = None
            self.core.client_disconnected(request)
        if source is not None:
            source.cancelled()
        self._drop_undispatched()

    def _drop_undispatched(self) -> None:
        """Drop the queued requests and the one being read."""
        if self.incoming is not None:
            self.core.release_body(self.incoming)
            self.incoming = self.send_watchdog = self.body_arrival = None
        for waiting in self.pipelined:
            self.core.release_body(waiting)
        self.pipelined.clear()

    def _account_unsent(self, size: int) -> None:
        """Record how many bytes of responses are buffered for the client.

        The transport holds what it was given last until the last byte of that is written.
        """
        held = size + self.last_write if size else 0
        if held != self.held_unsent:
            self.core.budget.streamed += held - self.held_unsent
            self.held_unsent = held
            self.core.memory_guard.on_growth()
        self.unsent = size

    def _account_unparsed(self) -> None:
        """Record how many bytes are held until the end of their element arrives."""
        if self.phase == HEAD:
            size = self.head_received
        else:
            size = self.undelivered if self.undelivered > SMALL_READ else 0
        self._account_head(size)

    def _account_head(self, size: int) -> None:
        """Record how many bytes of a head, or another element, are held until its end arrives."""
        if size != self.held_head:
            self.core.budget.heads += size - self.held_head
            self.held_head = size
            self.core.memory_guard.on_growth()

    def _account_written(self, size: int, now: int, written: int = 0) -> None:
        """Record that `size` bytes of a streamed response are buffered, `written` of them new."""
        watchdog = self.read_watchdog
        if watchdog is not None:
            watchdog.record(self.unsent + written - size, now)
            if size:
                watchdog.resume(now)
            else:
                watchdog.stop(now)  # nothing left to read: the client cannot be slow
        self._account_unsent(size)

    # --- Flow control of a streamed request body

    def pause_reading(self) -> None:
        """Pause reading the request body; part of the `Source` interface."""
        if self.transport is not None and not self.discarding_body:
            self.stop_reading()
            self._on_reading_paused()

    def resume_reading(self) -> None:
        """Resume reading the request body; part of the `Source` interface."""
        if self.transport is not None and not self.transport.is_closing():
            if self.incoming is not None and not self.discarding_body and self.has_disconnected():
                # Deferred, as the caller may be the decision module, which is not re-entrant.
                self.core.loop.call_soon(self._abort_disconnected)
                return
            self.start_reading()
            if not self.is_waiting:
                self._on_reading_resumed()

    def _wait(self, cost: float) -> None:
        """Read no more until the other connections had their turns."""
        super()._wait(cost)
        if not self.is_waiting:
            return
        if self.phase == IDLE:
            self.idle_wait_since = self.core.clock()
        else:
            self.waited_since = self.waited_since or self.core.clock()
            self._on_reading_paused()

    def end_wait(self) -> None:
        """Read again, unless flow control has paused it."""
        super().end_wait()
        if self.idle_wait_since and not self.is_gone() and self._has_unread_bytes():
            self.queued_since = data_arrival(self.sock, self.idle_wait_since, self.core.clock())
        self.idle_wait_since = 0
        if self.is_reading_wanted:
            self._on_reading_resumed()

    def _on_reading_paused(self) -> None:
        """Record that this side reads no more for now, which is not held against the client."""
        now = self.core.clock()
        if self.send_watchdog is not None:
            self.send_watchdog.stop(now)
        if self.body_arrival is not None:
            self.body_arrival.on_paused(now)

    def _on_reading_resumed(self) -> None:
        """Record that this side reads again."""
        now = self.core.clock()
        if self.send_watchdog is not None:
            self.send_watchdog.resume(now)
        if self.body_arrival is not None:
            self.body_arrival.on_resumed(now)

"""A connection to a host, which carries one attempt at a time.

It tracks the bytes of the attempt: whether the last one may have left this process, and whether
exactly one complete response came back. What that means for the request is decided by the pool and
the decision module.
"""

from __future__ import annotations

import asyncio
import select
import socket
from typing import TYPE_CHECKING, Final, cast

from ..core.interfaces import Client
from ..core.request_context import Attempt
from ..core.response import Response
from ..core.upload import Upload
from ..policy_interface import AttemptOutcome
from .host_response import HostResponse
from .http import BODY, COMPLETE, MalformedError, chunk
from .socket_poll import has_event

if TYPE_CHECKING:
    from .connection_pool import ConnectionPool, Host

CHUNK_BYTES: Final = 64 * 1024  # large requests are passed to the transport in such pieces


class UpstreamConnection(HostResponse):
    """A connection to a host: carries one attempt at a time, or is idle in its host's list."""

    __slots__ = ("has_more_body", "host", "idle_since", "sock", "unsent_body", "upload")

    def __init__(self, connection_pool: ConnectionPool, host: Host, sock: socket.socket) -> None:
        super().__init__(connection_pool)
        self.host = host
        self.sock = sock
        self.unsent_body: memoryview | None = None  # not passed to the transport yet
        self.upload: Upload | None = None  # of a request body that is streamed
        self.has_more_body = False  # the last byte of the upload has not arrived
        self.idle_since = 0

    # --- The request

    def is_usable(self) -> bool:
        """Return whether an idle connection is open and has no unread bytes.

        A host may have closed it while this process was busy. A request written to it would
        needlessly count as possibly executed.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # end of stream, or unexpected bytes

    def begin(self, attempt: Attempt, now: int) -> bool:
        """Write the attempt's request; return False if certainly none of it was sent."""
        request = attempt.request
        upload = request.upload
        last = True
        time_left = self._time_left(attempt, now)
        head, body = request.serialize(time_left, self.connection_pool.pool.stamp)
        if upload is not None:
            body, last = upload.open(self)
            if upload.chunked:
                body = chunk(body, last)
        small = len(body) <= CHUNK_BYTES
        first = head + body if small else head
        try:
            count = self.sock.send(first)
        except OSError:
            # If the socket is full, a buffered request could be sent much later: to a host that is
            # draining by then, or for a client that has disconnected.
            if upload is not None:
                upload.detach(self)
            return False
        self.reset()
        self._clear()
        self.attempt = attempt
        attempt.connection = self
        attempt.written_at = now
        attempt.stalled_before = self.core.stalls.total
        self.upload = upload
        self.has_more_body = not last
        if count < len(first):
            rest = memoryview(first)[count:]
            self.unsent_body = rest if small else memoryview(b"".join((rest, body)))
        elif not small:
            self.unsent_body = memoryview(body)
        if self.unsent_body is not None or self.has_more_body:
            self._send_body()
        return True

    def _time_left(self, attempt: Attempt, now: int) -> int:
        """Return the time that the client still waits, in microseconds."""
        request = attempt.request
        wait = request.wait_ms * 1000
        if request.is_uploading() and request.client is not None:
            wait -= now - request.client.earliest_body_arrival(now)
        return min(attempt.expires_at - now, wait)

    def send_body(self, data: bytes, last: bool) -> None:
        """Send more of a streamed request body; part of the `Sink` interface."""
        if self.upload is None or self.attempt is None:
            return
        framed = chunk(data, last) if self.upload.chunked else data
        if self.unsent_body is not None:
            framed = bytes(self.unsent_body) + framed
        self.unsent_body = memoryview(framed) if framed else None
        self.has_more_body = not last
        self._send_body()

    def _send_body(self) -> None:
        """Send the rest of the body in chunks, each once the previous one has been written.

        A transport accepts any amount, but what it buffers uses memory and is not known to be sent.
        """
        transport = self.transport
        while self.unsent_body is not None and transport is not None:
            if transport.get_write_buffer_size():
                return  # `resume_writing` continues
            piece = self.unsent_body[:CHUNK_BYTES]
            self.unsent_body = self.unsent_body[CHUNK_BYTES:]
            if not self.unsent_body:
                self.unsent_body = None
            transport.write(piece)
            # Once the event loop has passed on what the system takes now.
            self.core.loop.call_soon(self._observe_upload)
        needs_more = (
            self.has_more_body and transport is not None and not transport.get_write_buffer_size()
        )
        if needs_more and self.upload is not None:
            self.upload.on_written(self)

    def _observe_upload(self) -> None:
        """Record that the system has taken more of the request body."""
        if self.upload is not None:
            self.upload.observe_progress(self.core.clock())

    def resume_writing(self) -> None:
        """Send more of the request body."""
        self._send_body()

    # --- The response

    def reads_little(self) -> bool:
        """Return whether a client that doesn't read would hold what the next read brings."""
        return self.budget.is_tight()

    def parse(self, data: bytes) -> bool:
        """Parse bytes of the response; return False if they are unexpected or malformed."""
        if self.attempt is None:
            self.close()  # unexpected bytes
            return False
        self.unfinished += len(data)
        try:
            self.feed(data)
        except MalformedError as error:
            self.connection_pool.pool.on_malformed_response(self.host.id, str(error))
            self.keep_alive = False
            self._finish_attempt(self._outcome_of_broken_response(AttemptOutcome.ERROR))
            return False
        return True

    def give_up(self) -> None:
        """End an attempt in the middle of its response, for want of memory."""
        self.keep_alive = False
        self._finish_attempt(AttemptOutcome.CANCELLED)

    def parsed(self, size: int) -> None:
        """Forward, or finish, what a read of `size` bytes has brought of the response."""
        if self.phase == BODY and self.client is None and self.attempt is not None:
            self._stream_when_due(self.attempt)
        if self.client is not None:
            self._forward_body(size)
        if self.phase == COMPLETE:
            self._finish_attempt(self._outcome_of_response())

    def cancelled(self) -> None:
        """Stop, as the client has disconnected during its response."""
        self.client = None
        self.keep_alive = False
        self._finish_attempt(AttemptOutcome.CANCELLED)

    def is_stalled(self, now: int) -> bool:
        """Return whether the host has stalled in the middle of a streamed response."""
        return self.watchdog is not None and self.watchdog.is_too_slow(now)

    def abort_stalled(self) -> None:
        """End a stalled response."""
        self.keep_alive = False
        self._finish_attempt(AttemptOutcome.RESET)

    def eof_received(self) -> None:
        """End a response that is delimited by the close of the connection."""
        self.keep_alive = False
        if self.attempt is not None and self.on_eof():
            self._finish_attempt(self._outcome_of_response())

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the outcome of the open attempt."""
        self.parser = None  # breaks a reference cycle
        self.connection_pool.forget(self)
        if self.attempt is not None:
            self._finish_attempt(self._outcome_of_broken_response(AttemptOutcome.RESET))

    def _outcome_of_response(self) -> AttemptOutcome:
        """Return the outcome for a complete response."""
        if self.rejected:
            return AttemptOutcome.BUSY
        if (
            self.connection_pool.pool.connection_settings.passes_any_status
            and self.status < 500
            and not self._is_request_incomplete()
        ):
            return AttemptOutcome.OK
        if self.status != 200:
            self.connection_pool.pool.on_unexpected_status(self.host.id, self.status)
        if self.status != 200 or self._is_request_incomplete():
            # Any other rejection by a host must not look like one by this gateway.
            return AttemptOutcome.ERROR
        return AttemptOutcome.OK

    def _outcome_of_broken_response(self, otherwise: AttemptOutcome) -> AttemptOutcome:
        """Return the outcome for a response that is not completed."""
        if self.phase == BODY and self.status != 200:
            return AttemptOutcome.BUSY if self.rejected else AttemptOutcome.ERROR
        # Only bytes that this process still buffers are certainly not sent.
        return (
            AttemptOutcome.CONNECT_FAILED
            if self._is_request_incomplete() and not self.status
            else otherwise
        )

    def _is_request_incomplete(self) -> bool:
        """Return whether the request's last byte has certainly not been written."""
        return self.unsent_body is not None or self.has_more_body

    def unsent_size(self) -> int:
        """Return how many bytes are still buffered in this process; part of `Sink`."""
        buffered = self.transport.get_write_buffer_size() if self.transport is not None else 0
        return buffered + (len(self.unsent_body) if self.unsent_body is not None else 0)

    def is_writable(self) -> bool:
        """Return whether the system would take more bytes, or has an error; part of `Sink`."""
        if self.transport is None or self.transport.is_closing():
            return True
        return has_event(self.sock.fileno(), select.POLLOUT)

    def has_unsent_bytes(self) -> bool:
        """Return whether part of the request is still buffered in this process."""
        buffered = self.transport is not None and self.transport.get_write_buffer_size() > 0
        return self._is_request_incomplete() or buffered

    def _finish_attempt(self, status: AttemptOutcome) -> None:
        """Report the attempt's outcome; return the connection to the pool, or close it."""
        attempt = self.attempt
        if attempt is None:
            return
        self.attempt = attempt.connection = None
        if self.unsent_body is not None or self.upload is not None:
            self.keep_alive = self.keep_alive and not self._is_request_incomplete()
            self._release_body()
        response = Response(self.status, self.head_fields.unpacked(), self.body)
        self.head_fields.clear()  # the connection may rest for long
        load = self.load
        complete = self.phase == COMPLETE
        client = self.client
        discarded = self.discarding
        self._clear()
        if client is not None:
            self._finish_streaming(client, status == AttemptOutcome.OK)
        if self.keep_alive and self.transport is not None and not self.transport.is_closing():
            self.start_reading()  # it may have been paused for a slow client
            self.connection_pool.give_back(self)
        else:
            self.close()
        deliverable = complete and not attempt.response_started and not discarded
        self.connection_pool.pool.attempt_finished(
            attempt, status, load, response if deliverable else None
        )

    def _finish_streaming(self, client: Client, complete: bool) -> None:
        if complete:
            client.end()
        else:
            self.core.counters.cut += 1
            client.abort_response()

    def _release_body(self) -> None:
        if self.upload is not None:
            self.upload.detach(self)
        self.upload = None
        self.unsent_body = None
        self.has_more_body = False

    def abandon(self) -> None:
        """Abandon the attempt. Its response may still arrive, so the connection is not reused."""
        if self.attempt is not None:
            self.attempt.connection = None
        self.attempt = None
        self._release_body()
        self._clear()
        self.close()

    def close(self) -> None:
        """Close at once, without writing anything more."""
        self.connection_pool.forget(self)
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over an established connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)

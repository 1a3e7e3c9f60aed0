"""Dispatch of the requests of a client connection, and its deadlines."""

from __future__ import annotations

import asyncio
from typing import Final

from ..core.budget import MAX_BUFFERED_BODY
from ..core.memory_guard import HeldMemory, Holding
from ..core.request_context import RequestContext
from ..front import Reason, State
from .body_arrival import BodyArrival
from .client_connection import BODY, CLOSING, HEAD, IDLE
from .request_reader import RequestReader
from .responses import STATUS_LINES

# us since it began to close for which a client's bytes are read and discarded, so that it gets its
# response. LINGER_MAX applies while bytes keep arriving.
LINGER_IDLE: Final = 1_000_000
LINGER_MAX: Final = 8_000_000
PHASE_NAMES: Final = {HEAD: "head", BODY: "body", CLOSING: "closing"}
TEXT: Final = b"Content-Type: text/plain\r\n"


class Downstream(RequestReader):
    """A client connection that handles one request at a time."""

    __slots__ = ()

    # --- Dispatch

    def _dispatch(self, request: RequestContext) -> None:
        """Start a request; answer it directly if no host is to get it."""
        pool = request.pool
        tenant = str(request.tenant) if pool is not None else None
        self.core.admission.on_request(self.slot, self.core.clock(), tenant)
        if pool is None:
            self.request = request
            if request.fallback_response is not None:
                self.serve(request, request.fallback_response)
            else:
                self._answer_health_check(request)
        elif request.name in self.core.request_by_name:
            # Hosts identify a request by its id: with two open requests of the same id, a client
            # might get the other's response.
            self._reject_repeated(request, "a request with this id is already open")
        elif request.is_unsafe() and request.name in self.core.recent_requests:
            self._reject_repeated(request, "a request with this id may have run already")
        else:
            self.request = request
            self.core.request(request)

    def _reject_repeated(self, request: RequestContext, why: str) -> None:
        """Reject a request whose id has been used."""
        if request is self.incoming:
            self.incoming = None
        self.core.release_body(request)
        self._reject(409, why)

    def _answer_health_check(self, request: RequestContext) -> None:
        """Answer a health check of this gateway."""
        if self.core.ready:
            self._write_response(request, b"200 OK", TEXT, b"ready\n")
        else:
            self._write_response(request, STATUS_LINES[503], TEXT, b"not ready\n")

    def _dispatch_next(self) -> None:
        """Dispatch the next request if it has arrived and no response is due before it."""
        if self.request is not None or self.transport is None or self.phase == CLOSING:
            return
        if self._has_unread_responses():
            return  # `resume_writing` continues
        if self.pipelined:
            self._dispatch(self.pipelined.popleft())
            return
        incoming = self.incoming
        if incoming is not None and self.received > MAX_BUFFERED_BODY and incoming.upload is None:
            self._begin_upload(incoming)

    # --- Eviction and deadlines

    def close_unless_unread(self, reason: Reason) -> bool:
        """Close to free a descriptor; return False if a request is open or has unread bytes."""
        transport = self.transport
        if transport is None:
            return False
        if self.phase == CLOSING:
            transport.abort()  # its response is written; it is only lingering
            return True
        if self.is_idle():
            return self.close_idle(reason)
        if self.phase in (HEAD, BODY) and self.request is None:
            self._reject(503, "no descriptors left", reason)
            return True
        return False

    def held_memory(self) -> HeldMemory:
        """Return what the connection holds in memory, beside itself."""
        request = self.incoming
        body = request.reserved if request is not None else 0
        size = self.held_unsent + self.held_head + body
        is_answer_due = self.phase == CLOSING and self.unsent > 0
        unfinished = 0
        if self.is_unfinished() and not is_answer_due:
            unfinished = max(1, self.message_bytes)
        return HeldMemory(self._holding(size + unfinished), size, unfinished, self._doing())

    def _holding(self, size: int) -> Holding:
        """Return what the connection holds so many bytes for."""
        if not size:
            return Holding.NOTHING
        if self.phase == CLOSING:
            is_given_up = self.slot.ended == Reason.MEMORY
            return Holding.GIVEN_UP if is_given_up else Holding.UNFINISHED
        if self.response_source is not None or self.pipelined:
            return Holding.TAKEN
        if self.request is not None:
            return Holding.UPLOADING if self.request is self.incoming else Holding.TAKEN
        return Holding.UNREAD if self.unsent else Holding.UNFINISHED

    def _doing(self) -> str:
        """Return what the connection does, for the log."""
        if self.phase != IDLE:
            return PHASE_NAMES[self.phase]
        return "awaiting" if self.request is not None else "idle"

    def give_up_memory(self) -> None:
        """Release what `held_memory` returned: reject or abort, and close."""
        if self.unsent or self.phase == CLOSING:
            self.core.admission.on_closing(self.slot, self.core.clock(), Reason.MEMORY)
            self._drop_requests()
            self.abort()
        else:
            self._reject(503, "no memory left for the request", Reason.MEMORY)

    def sweep(self, now: int) -> None:
        """Close the connection if it makes no progress; called several times per second.

        Covers silent clients, heads and bodies that stall or trickle in, and responses that are not
        read. A well-behaved client is closed too if its link is so bad that a request takes seconds
        to arrive.
        """
        transport = self.transport
        if transport is None:
            return
        size = transport.get_write_buffer_size()
        if self.phase == CLOSING:
            self._sweep_closing(transport, size, now)
        elif self.send_watchdog is not None and self.send_watchdog.is_too_slow(now):
            self._reject(408, "body too slow", Reason.SLOW)
        elif self.read_watchdog is not None:
            self._check_reader(size, now)
        else:
            self._check_deadline(size, now)
        if self.body_arrival is not None:
            self._check_body(self.body_arrival, now)
        if self.request is not None:
            self.core.uploads.observe_rest(self.request, now)

    def _check_body(self, body_arrival: BodyArrival, now: int) -> None:
        """Check the request body that the client streams, which may wait unread."""
        transport, request = self.transport, self.incoming
        if transport is None or request is None or self.phase != BODY:
            return
        if self.is_reading_wanted:
            if self.is_waiting:
                self._observe_unread_body(body_arrival, now)
                self.core.uploads.check_unread(request, body_arrival.arrived_at)
            else:
                body_arrival.on_reading(now)
            return
        if self.has_disconnected():
            self._abort_disconnected()
            return
        self._observe_unread_body(body_arrival, now)
        self.core.uploads.check_paused(
            request, body_arrival.missing_at, body_arrival.arrived_at, now
        )

    def _sweep_closing(self, transport: asyncio.Transport, size: int, now: int) -> None:
        """Abort a closing connection once it has lingered for long enough.

        Unsent bytes get as long as any response. Until then there is no reset, as it would lose the
        response for a client that is still sending a rejected request.
        """
        self.core.admission.on_write_progress(self.slot, now, size)
        limit = self.core.admission.limit(State.WRITING) if size else LINGER_IDLE
        age = now - self.slot.since
        if age > (LINGER_MAX if self.received_since_sweep else limit):
            transport.abort()
        self.received_since_sweep = False

    def _check_deadline(self, size: int, now: int) -> None:
        """Record progress, and close the connection if its state has exceeded its time limit."""
        admission = self.core.admission
        if self.phase == BODY:
            admission.on_body_bytes(self.slot, now, self.received)
        if self.unsent or size:
            self._account_unsent(size)
            admission.on_write_progress(self.slot, now, size)
        reason = admission.overdue(self.slot, now)
        if reason is None:
            return
        if reason == Reason.UNREAD:
            admission.on_closing(self.slot, now, reason)
            self.abort()
        elif reason == Reason.SLOW:
            if not (self.core.timers.lag and self._has_unread_bytes()):
                self._reject(408, "request too slow", reason)
        elif self.is_idle():
            self.close_idle(reason)

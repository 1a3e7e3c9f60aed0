"""Protocols that the core requires of the parts around it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..front import Reason
from .endpoints import EndpointAddress
from .response import Response

if TYPE_CHECKING:
    from .memory_guard import HeldMemory
    from .request_context import Attempt, RequestContext


class Client(Protocol):
    """A front's side of one request, which gets exactly one final response."""

    def serve(self, request: RequestContext, response: Response) -> None:
        """Send a host's complete response."""

    def refuse(self, request: RequestContext, retry_after: int) -> None:
        """Refuse the request; `retry_after` in microseconds, 0 for no advice."""

    def fail(self, request: RequestContext, late: bool) -> None:
        """Report a failure, or a timeout (`late`); the request may have taken effect."""

    def begin(
        self,
        request: RequestContext,
        response: Response,
        length: int | None,
        source: ResponseSource,
    ) -> None:
        """Send the head of a host's response, whose body has `length` bytes; None if unknown.

        The body follows by `send_body`, until `end` or `abort_response`.
        """

    def send_body(self, data: bytes) -> None:
        """Send more of the body."""

    def end(self) -> None:
        """Finish the response."""

    def abort_response(self) -> None:
        """Abort the response, so that the client can tell that it is incomplete."""

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if that has not been read yet."""

    def earliest_body_arrival(self, now: int) -> int:
        """Return when the last byte of the body being read can have arrived at the earliest.

        It is `now` if that byte is still missing.
        """


class RequestIdObserver(Protocol):
    """Learns which unsafe requests are open, for the gateway's other processes."""

    def on_opened(self, name: bytes) -> None:
        """Take note of an id whose request may run from now on."""

    def on_closed(self, name: bytes, may_have_run: bool) -> None:
        """Take note of a request's end; `may_have_run`: though its client got no response."""


class ResponseSource(Protocol):
    """Where a streamed response comes from: a connection to a host."""

    def pause_reading(self) -> None:
        """Pause: the client reads more slowly than the host sends."""

    def resume_reading(self) -> None:
        """Resume: the client has read everything that was sent."""

    def cancelled(self) -> None:
        """Cancel: the client has disconnected."""


class Connection(Protocol):
    """A front's connection, as admission control and the drain use it."""

    def close_unless_unread(self, reason: Reason) -> bool:
        """Close now, unless unread bytes of a request have arrived; return whether it is closed."""

    def close_idle(self, reason: Reason) -> bool:
        """Close between two requests; return False if bytes of the next have arrived unread."""

    def sweep(self, now: int) -> None:
        """Close it if it makes no progress; called several times a second."""

    def is_idle(self) -> bool:
        """Return whether no response is pending and nothing of a request has been read."""

    def is_closed(self) -> bool:
        """Return whether it is closed and all is written, so that its descriptor is freed next."""

    def has_unanswered_request(self) -> bool:
        """Return whether a response, or bytes already written, may still reach the client."""

    def held_memory(self) -> HeldMemory:
        """Return what the connection holds in memory, beside itself."""

    def give_up_memory(self) -> None:
        """Release what `held_memory` returned: reject or abort, and close."""

    def hold_reading(self) -> None:
        """Read no more until the read scheduler is released."""

    def abort(self) -> None:
        """Close at once, even with requests open."""

    def detach(self) -> int | None:
        """Detach the connection between two requests; return a duplicate of its descriptor.

        The caller closes the descriptor. Returns None while a response is pending or part of a
        request has been read.
        """


class PassOnConnection(Protocol):
    """Passes a connection that has become idle to this process's successor."""

    def __call__(self, connection: Connection, /) -> bool:
        """Return whether the connection was passed on."""


class SetWatchWanted(Protocol):
    """Opens or ends a source's watch of the endpoint list."""

    def __call__(self, on: bool, /) -> None:
        """Open the watch (`on`), or end it."""


class MayWrite(Protocol):
    """Checks an attempt right before its first byte is written, as rules may have changed."""

    def __call__(self, attempt: Attempt, /) -> bool:
        """Return whether the rules in force allow the attempt."""


class HasUnreadEvent(Protocol):
    """Checks a source of endpoints for updates that have arrived but are not applied."""

    def __call__(self) -> bool:
        """Return whether an update has arrived that is not applied yet."""


class OnOutcome(Protocol):
    """Receives the outcome of each attempt that is attributable to its host."""

    def __call__(self, server: str, status: str, /) -> None:
        """Record the outcome."""


class RequestSink(Protocol):
    """The connection that carries an attempt to a host."""

    def abandon(self) -> None:
        """Discard the response, which may still arrive."""

    def stream_response(self) -> bool:
        """Begin to stream a response that the host is still giving; return whether there is one."""

    def has_unsent_bytes(self) -> bool:
        """Return whether part of the request is unsent, so that the host can't have run it."""


class Pending(Protocol):
    """An attempt's wait for a connection."""

    def cancel(self) -> object:
        """Stop waiting."""


class Transport(Protocol):
    """Connections to the hosts of one pool.

    It reports exactly one outcome of each attempt to the pool: by `Pool.attempt_finished`, or by
    `Pool.defer_outcome` if `start` is still running.
    """

    opened: int  # connections made so far, for the log

    def start(self, attempt: Attempt, now: int) -> None:
        """Send an attempt; to a host that is not listed, it fails as a failed connection."""

    def is_connected(self, attempt: Attempt) -> bool:
        """Return whether its socket is connected while it still waits for the connection."""

    def list_host(self, entry: EndpointAddress) -> None:
        """Add a host, or update a known one."""

    def drop_host(self, name: str) -> None:
        """Remove a host; attempts that are open on it run to their end."""

    def size(self) -> int:
        """Return the descriptors in use, including those of connections being established."""

    def oldest_idle(self) -> int | None:
        """Return since when (us) the longest idle connection has been idle; None if none is."""

    def close_oldest_idle(self) -> bool:
        """Free a descriptor; return False if no connection is idle."""

    def sweep(self, now: int) -> None:
        """Close connections idle for too long; called once a second."""

    def give_up_responses(self, share: float) -> int:
        """Fail that share of the incomplete responses, the longest first; return how many."""

    def stop(self) -> None:
        """Close everything at once."""

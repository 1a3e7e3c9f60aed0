"""A request and its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..settings import Idempotency, RequestClass
from .interfaces import Client, Pending, RequestSink
from .response import Response
from .upload import Upload

if TYPE_CHECKING:
    from .pool import Pool


class RequestContext:
    """One client's request, from its head to its one response and its last attempt's outcome."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "body",
        "client",
        "client_left",
        "closed",
        "deadline",
        "fallback_response",
        "first_run_at",
        "head",
        "head_only",
        "id",
        "is_http_1_0",
        "is_retry",
        "keep_alive",
        "key",
        "name",
        "open_attempts",
        "pool",
        "request_class",
        "reserved",
        "rules_revision",
        "tenant",
        "upload",
        "wait_ms",
        "wake_at",
        "work",
    )

    def __init__(self, client: Client) -> None:
        self.id = 0
        self.name = b""  # given by the client; hosts recognize retries by it
        self.client: Client | None = client
        self.pool: Pool | None = None  # pool of all its attempts; None until the head is read
        self.head = b""  # as sent to hosts, without stamp and deadline
        self.body: bytes | bytearray = b""
        self.reserved = 0  # bytes reserved in the budget for bodies
        self.upload: Upload | None = None  # the body, if it is streamed
        self.request_class: RequestClass | None = None  # as it was when the head arrived
        self.tenant = 0
        self.work = 0
        self.wait_ms = 0  # how long the client waits for a response
        self.rules_revision = 0  # of the rules in force when it was read, if they can change
        self.key: int | None = None
        self.is_retry = False
        self.keep_alive = True
        self.head_only = False  # only the head of the response is sent (HEAD)
        # A host's error response, sent if no attempt succeeds.
        self.fallback_response: Response | None = None
        self.is_http_1_0 = False  # then connections are not persistent by default
        # When its last byte was read, if it was queued behind a pipelined request; 0 otherwise.
        self.arrived_at = 0
        self.deadline = 0
        self.wake_at = 0  # when its next timer fires; 0 if none is set
        self.first_run_at = 0  # when the first attempt that may have run was sent; 0 if none was
        self.attempts = 0
        self.open_attempts: list[Attempt] = []
        self.closed = False
        self.client_left = False  # before its final response

    def is_unsafe(self) -> bool:
        """Return whether hosts can't recognize a repetition of it, which would run again."""
        request_class = self.request_class
        return request_class is not None and request_class.idempotency == Idempotency.UNSAFE

    def is_uploading(self) -> bool:
        """Return whether the last byte of its body was not read, so that no host has run it."""
        return self.upload is not None and not self.upload.complete

    def serialize(self, time_left: int, stamp: bytes) -> tuple[bytes, bytes | bytearray]:
        """Return head and body for a host; the head has `stamp` and the time left (us)."""
        head = b"%s%sReq-Deadline-Ms: %d\r\n\r\n" % (self.head, stamp, max(1, time_left // 1000))
        return head, self.body


class Attempt:
    """One attempt of a request, which has exactly one outcome."""

    __slots__ = (
        "connect_by",
        "connection",
        "expires_at",
        "finished",
        "number",
        "pending_connect",
        "request",
        "response_started",
        "sent_at",
        "server",
        "stalled_before",
        "timeout",
        "written_at",
    )

    def __init__(
        self, request: RequestContext, number: int, server: str, now: int, expires_at: int
    ) -> None:
        self.request = request
        self.number = number
        self.server = server
        self.sent_at = now
        self.expires_at = expires_at
        self.written_at = 0  # when its first byte was written
        self.stalled_before = 0  # duration of all stalls until then
        self.timeout = 0  # allowed time after the last byte of a streamed body
        self.response_started = False  # its response is being streamed
        self.connect_by = 0  # time limit while it waits for a connection; 0 otherwise
        self.connection: RequestSink | None = None
        self.pending_connect: Pending | None = None
        self.finished = False

    def restart(self, now: int) -> None:
        """Count its time from now on, as the last byte of its request's body has arrived."""
        self.sent_at = now
        self.expires_at = self.request.deadline
        if self.timeout:
            self.expires_at = min(now + self.timeout, self.request.deadline)

    def cancel(self) -> None:
        """Cancel the wait for a connection, or abandon the response."""
        if self.pending_connect is not None:
            self.pending_connect.cancel()
            self.pending_connect = None
        self.connect_by = 0
        if self.connection is not None:
            self.connection.abandon()
            self.connection = None

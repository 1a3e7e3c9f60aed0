"""A request and its attempts, as the core holds them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..settings import RequestClass
from .interfaces import Client, Pending, RequestSink
from .response import Response
from .upload import Upload

if TYPE_CHECKING:
    from .pool import Pool


class RequestContext:
    """One client's request, from its last byte to its one answer and its last attempt's outcome."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "body",
        "client",
        "closed",
        "deadline",
        "fallback_response",
        "first_run_at",
        "head",
        "head_only",
        "id",
        "is_http_1_0",
        "keep_alive",
        "key",
        "name",
        "open_attempts",
        "pool",
        "repeat",
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
        self.name = b""  # the client's own word for it, by which hosts know it
        self.client: Client | None = client
        self.pool: Pool | None = None  # where it goes, for all its attempts; None until it is read
        self.head = b""  # all of the head that goes on but for the deadline
        self.body: bytes | bytearray = b""
        self.reserved = 0  # of the budget for bodies
        self.upload: Upload | None = None  # its body, where that is too long to be held
        self.request_class: RequestClass | None = None  # its class as it was when its head came
        self.tenant = self.work = self.wait_ms = 0
        self.rules_revision = 0  # which ones it was read by, where they change: a count
        self.key: int | None = None
        self.repeat = False
        self.keep_alive = True
        self.head_only = False  # only the head of its answer goes out (HEAD)
        # A host's own word of failure, if nothing better comes.
        self.fallback_response: Response | None = None
        self.is_http_1_0 = False  # HTTP/1.0: closed unless asked otherwise
        # When its last byte was read, where it waits for its turn; 0 if not at all.
        self.arrived_at = 0
        self.deadline = self.wake_at = 0
        self.first_run_at = 0  # when the first attempt went out that may have run; 0 if none has
        self.attempts = 0
        self.open_attempts: list[Attempt] = []
        self.closed = False

    def is_uploading(self) -> bool:
        """Return whether its body still comes: no time runs yet, and no host can have begun it."""
        return self.upload is not None and not self.upload.complete

    def serialize(self, left: int, stamp: bytes) -> tuple[bytes, bytes | bytearray]:
        """Head, with these fields more, and body as they go to a host that has so long."""
        head = b"%s%sReq-Deadline-Ms: %d\r\n\r\n" % (self.head, stamp, max(1, left // 1000))
        return head, self.body


class Attempt:
    """One attempt of a request, from the module's word to its one outcome."""

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
        "timeout",
        "written_at",
    )

    def __init__(self, request: RequestContext, n: int, server: str, now: int, ends: int) -> None:
        self.request = request
        self.number = n
        self.server = server
        self.sent_at = now
        self.expires_at = ends
        self.written_at = 0  # when its first byte went to a connection
        self.timeout = 0  # how long it may take from the last byte of a body that still comes
        self.response_started = False  # its answer is being passed on
        self.connect_by = 0  # while it waits for a connection
        self.connection: RequestSink | None = None
        self.pending_connect: Pending | None = None
        self.finished = False

    def cancel(self) -> None:
        """Stop waiting for it, on its connection or for one."""
        if self.pending_connect is not None:
            self.pending_connect.cancel()
            self.pending_connect = None
        self.connect_by = 0
        if self.connection is not None:
            self.connection.abandon()
            self.connection = None

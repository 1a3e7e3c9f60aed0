"""A request and its attempts, as the core holds them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..settings import RequestClass
from .interfaces import Client, Pending, RequestSink
from .terms import Answer
from .upload import Upload

if TYPE_CHECKING:
    from .pool import Pool


class Exchange:
    """One client's request, from its last byte to its one answer and its last attempt's outcome."""

    __slots__ = (
        "attempts", "bare", "body", "came", "client", "closed", "deadline", "fallback", "head",
        "id", "keep", "key", "kind", "name", "old_http", "out", "pool", "ran_at", "repeat",
        "reserved", "rules", "tenant", "upload", "wait_ms", "wake", "work",
    )  # fmt: skip

    def __init__(self, client: Client) -> None:
        self.id = 0
        self.name = b""  # the client's own word for it, by which hosts know it
        self.client: Client | None = client
        self.pool: Pool | None = None  # where it goes, for all its attempts; None until it is read
        self.head = b""  # all of the head that goes on but for the deadline
        self.body: bytes | bytearray = b""
        self.reserved = 0  # of the budget for bodies
        self.upload: Upload | None = None  # its body, where that is too long to be held
        self.kind: RequestClass | None = None  # its class as it was when its head came
        self.tenant = self.work = self.wait_ms = 0
        self.rules = 0  # which ones it was read by, where they change: a count
        self.key: int | None = None
        self.repeat = False
        self.keep = True
        self.bare = False  # only the head of its answer goes out (HEAD)
        self.fallback: Answer | None = None  # a host's own word of failure, if nothing better comes
        self.old_http = False  # HTTP/1.0: closed unless asked otherwise
        self.came = 0  # when its last byte was read, where it waits for its turn; 0 if not at all
        self.deadline = self.wake = 0
        self.ran_at = 0  # when the first attempt went out that may have run; 0 if none has
        self.attempts = 0
        self.out: list[Attempt] = []
        self.closed = False

    def filling(self) -> bool:
        """Whether its body still comes: no time runs yet, and no host can have begun it."""
        return self.upload is not None and not self.upload.whole

    def wire(self, left: int, stamp: bytes) -> tuple[bytes, bytes | bytearray]:
        """Head, with these fields more, and body as they go to a host that has so long."""
        head = b"%s%sReq-Deadline-Ms: %d\r\n\r\n" % (self.head, stamp, max(1, left // 1000))
        return head, self.body


class Attempt:
    """One attempt of an exchange, from the module's word to its one outcome."""

    __slots__ = (
        "begun", "conn", "connect_by", "ends", "exchange", "n", "over", "patience", "sent",
        "server", "task", "written",
    )  # fmt: skip

    def __init__(self, exchange: Exchange, n: int, server: str, now: int, ends: int) -> None:
        self.exchange, self.n, self.server = exchange, n, server
        self.sent, self.ends = now, ends
        self.written = 0  # when its first byte went to a connection
        self.patience = 0  # how long it may take from the last byte of a body that still comes
        self.begun = False  # its answer is being passed on
        self.connect_by = 0  # while it waits for a connection
        self.conn: RequestSink | None = None
        self.task: Pending | None = None
        self.over = False

    def withdraw(self) -> None:
        """Stop waiting for it, on its connection or for one."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.connect_by = 0
        if self.conn is not None:
            self.conn.abandon()
            self.conn = None

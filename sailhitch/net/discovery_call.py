"""A connection to discovery, and one call at a time on it."""

from __future__ import annotations

import asyncio
import select
from typing import Final, cast

from ..core.endpoints import Address
from .http import COMPLETE, MalformedError, ResponseReader
from .socket_poll import has_event

MAX_RESPONSE_BYTES: Final = 2 << 20  # some ten thousand hosts
STATUS_UNREAD: Final = 0  # of a response whose head is incomplete


class CallError(Exception):
    """A call brought no list; the text says why.

    `partial`: a response had begun, so that an update may have been lost.
    """

    def __init__(self, reason: str, partial: bool = False) -> None:
        super().__init__(reason)
        self.partial = partial


class SilentError(CallError):
    """A watch on a connection that had answered before has fallen silent."""


class Call(ResponseReader, asyncio.Protocol):
    """A connection to discovery."""

    __slots__ = ("body", "done", "has_received", "transport")

    def __init__(self) -> None:
        super().__init__()
        self.transport: asyncio.Transport | None = None
        self.done: asyncio.Future[None] | None = None
        self.body = bytearray()
        self.has_received = False  # since the call was sent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the connection."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, target: str, address: Address, done: asyncio.Future[None]) -> None:
        """Send a call; `done` ends with its response, or with a CallError."""
        assert self.transport is not None
        self.reset()
        self.body = bytearray()
        self.has_received = False
        self.done = done
        host = f"{address[0]}:{address[1]}"
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def head_read(self) -> None:
        """Do nothing: the status is checked once the response is complete."""

    def body_read(self, data: bytes) -> None:
        """Collect the body; raises MalformedError."""
        self.body += data
        if len(self.body) > MAX_RESPONSE_BYTES:
            raise MalformedError("answer too large")

    def data_received(self, data: bytes) -> None:
        """Read bytes of the response."""
        if self.done is None:
            self.close()
            return
        self.has_received = True
        try:
            self.feed(data)
        except MalformedError as error:
            self._fail(f"malformed answer: {error}")
            return
        if self.phase == COMPLETE:
            self._finish()

    def eof_received(self) -> None:
        """End a response that has no length."""
        self.keep_alive = False
        if self.done is not None and self.on_eof():
            self._finish()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call, if one is open."""
        self.parser = None
        self._fail("connection broke")
        self.transport = None

    def _finish(self) -> None:
        done = self._take_done()
        if done is not None:
            done.set_result(None)

    def _fail(self, reason: str) -> None:
        done = self._take_done()
        if done is not None:
            done.set_exception(CallError(reason, self.has_begun()))
        self.close()

    def _take_done(self) -> asyncio.Future[None] | None:
        """Return the open call's future, if somebody waits for it; no call is open after that."""
        done = self.done
        self.done = None
        return None if done is None or done.done() else done

    def has_begun(self) -> bool:
        """Return whether part of a list, or of something that is no response, was received."""
        return self.has_received and self.status in (STATUS_UNREAD, 200)

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that the loop has not read."""
        sock = None if self.transport is None else self.transport.get_extra_info("socket")
        return sock is not None and sock.fileno() >= 0 and has_event(sock.fileno(), select.POLLIN)

    def is_usable(self) -> bool:
        """Return whether another call may be sent on this connection."""
        return self.keep_alive and self.transport is not None and not self.transport.is_closing()

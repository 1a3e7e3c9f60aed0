"""A connection to discovery that carries one call at a time."""

from __future__ import annotations

import asyncio
import select
from typing import Final, cast

from ..core.endpoints import Address
from .delivery import PARSED_AT_ONCE
from .http import COMPLETE, MalformedError, ResponseReader
from .socket_poll import has_event

MAX_RESPONSE_BYTES: Final = 2 << 20  # about ten thousand hosts
STATUS_UNREAD: Final = 0  # status until a response head is complete


class CallError(Exception):
    """A call did not return a list; the message says why.

    `partial`: a response had begun, so an update may have been lost.
    """

    def __init__(self, reason: str, partial: bool = False) -> None:
        super().__init__(reason)
        self.partial = partial


class SilentError(CallError):
    """A watch got no response on a connection that had carried earlier calls."""


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
        """Send a call; `done` completes with its response, or fails with a CallError."""
        if self.transport is None:  # lost since it was opened
            done.set_exception(CallError("connection lost", False))
            return
        self.reset()
        self.body = bytearray()
        self.has_received = False
        self.done = done
        host = f"{address[0]}:{address[1]}"
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def handle_head(self) -> None:
        """Do nothing; the status is checked once the response is complete."""

    def handle_body(self, data: bytes) -> None:
        """Collect the body; raises MalformedError."""
        self.body += data
        if len(self.body) > MAX_RESPONSE_BYTES:
            raise MalformedError("response too large")

    def data_received(self, data: bytes) -> None:
        """Read bytes of the response."""
        if self.done is None:
            self.close()
            return
        self.has_received = True
        try:
            for start in range(0, len(data), PARSED_AT_ONCE):
                self.feed(data[start : start + PARSED_AT_ONCE])
        except MalformedError as error:
            self._fail(f"malformed response: {error}")
            return
        if self.phase == COMPLETE:
            self._finish()

    def eof_received(self) -> None:
        """End a response that is delimited by the close of the connection."""
        self.keep_alive = False
        if self.done is not None and self.on_eof():
            self._finish()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the open call, if any."""
        self.parser = None
        self._fail("connection lost")
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
        """Return the open call's future, if it is still awaited, and clear it."""
        done = self.done
        self.done = None
        return None if done is None or done.done() else done

    def has_begun(self) -> bool:
        """Return whether part of a list, or bytes that are not a response, were received."""
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

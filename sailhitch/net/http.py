"""HTTP/1.1 for both sides: hop-by-hop fields, the chunked coding, and a response reader."""

from __future__ import annotations

from typing import Final

import httptools

from .delivery import MAX_UNDELIVERED, DeliveryCounter
from .head_fields import MAX_HEAD_BYTES, HeadFields

# Fields that apply to one connection only and are never forwarded.
HOP_BY_HOP_FIELDS: Final = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"http2-settings",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

# Phases of a response that is being read.
WAITING = 0  # for the end of its head
BODY = 1
COMPLETE = 2


def chunk(data: bytes | bytearray, last: bool) -> bytes:
    """Return part of a body in the chunked coding (RFC 9112, 7.1); no chunk if `data` is empty."""
    piece = b"%x\r\n%s\r\n" % (len(data), data) if data else b""
    return piece + b"0\r\n\r\n" if last else piece


class MalformedError(Exception):
    """The bytes received are not a valid response to the one request."""


class ResponseReader(DeliveryCounter):
    """Reads one response at a time from a connection and checks its framing.

    Subclasses implement `handle_head` and `handle_body`, and check `phase` after `feed`, which gets
    at most PARSED_AT_ONCE bytes of a head or of chunks.

    Bytes after the end of a response belong to no request. The response is valid without them, but
    the connection is not reused, as the next response on it could belong to any request. This
    guards against every peer that sends more than it was asked for, in whatever form. A response
    whose stated length is too short is cut there; that is only noticeable if the peer states two
    lengths, which the parser rejects.
    """

    __slots__ = (
        "chunked",
        "delivered",
        "head_fields",
        "head_size",
        "interim",
        "keep_alive",
        "length",
        "parser",
        "phase",
        "status",
        "undelivered",
    )

    def __init__(self) -> None:
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.head_fields = HeadFields()
        self.reset()

    def reset(self) -> None:
        """Prepare for the response to the next request."""
        self.phase = WAITING
        self.status = self.head_size = 0
        self.head_fields.clear()
        self.length: int | None = None
        self.chunked = self.keep_alive = self.interim = False
        self.reset_delivery()

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises MalformedError if they are not a valid response."""
        parser = self.parser
        if parser is None:
            return
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.phase == COMPLETE:
                self.keep_alive = False
                return
            raise MalformedError(str(error.__context__ or error)) from None
        if self.phase == COMPLETE:
            return
        self.count_parsed(len(data))
        if self.undelivered > MAX_UNDELIVERED:
            raise MalformedError("a field or chunk line is too large")
        if self.phase == WAITING:
            self.head_size += len(data)
            if self.head_size > 4 * MAX_HEAD_BYTES:
                raise MalformedError("head too large")
        self.head_fields.pack()  # the response may take seconds to arrive
        self.on_incomplete()

    def on_incomplete(self) -> None:
        """Act on a read with which the response is not complete; may raise MalformedError."""

    def on_eof(self) -> bool:
        """Handle the end of the stream; return whether the response is complete."""
        if self.phase == BODY and self.length is None and not self.chunked:
            self.phase = COMPLETE
        return self.phase == COMPLETE

    # --- httptools callbacks

    def on_message_begin(self) -> None:
        """Start a response head."""
        if self.phase != WAITING:
            raise MalformedError("bytes after the response")
        self.head_fields.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field; raises HeadTooLargeError."""
        if self.phase == WAITING:
            self.delivered += len(name) + len(value)
            self.head_fields.add(name, value)

    def on_headers_complete(self) -> None:
        """Read the status and framing; raises MalformedError."""
        self.delivered += 1
        parser = self.parser
        assert parser is not None
        self.status = parser.get_status_code()
        if self.status < 200:
            if self.status < 100 or self.status == 101:
                raise MalformedError(f"status {self.status}")
            self.interim = True
            return
        for low, _, value in self.head_fields.unpacked():
            if low == b"content-length":
                if not value.isdigit() or len(value) > 18:
                    raise MalformedError("content-length is not a number")
                self.length = int(value)
            elif low == b"transfer-encoding":
                if value.strip().lower() != b"chunked":
                    raise MalformedError("unknown transfer-encoding")
                self.chunked = True
        self.keep_alive = parser.should_keep_alive()
        self.phase = BODY
        self.handle_head()

    def on_body(self, data: bytes) -> None:
        """Pass part of the body to the subclass."""
        self.delivered += len(data)
        self.handle_body(data)

    def on_message_complete(self) -> None:
        """End the response, unless it was an interim one."""
        if self.interim:
            self.interim = False  # 1xx: the final response is still to come
        else:
            self.phase = COMPLETE

    def handle_head(self) -> None:
        """Handle a response head; `status` and `head_fields` are set."""
        raise NotImplementedError

    def handle_body(self, data: bytes) -> None:
        """Handle part of a response body."""
        raise NotImplementedError

"""HTTP/1.1 as both sides need it: fields that stay on one hop, and reading a peer's answer."""

from __future__ import annotations

from typing import Final

import httptools

# Fields that belong to one connection and never go on to the next.
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
BLANK: Final = b" \t"  # around a field's value (RFC 9110, 5.6.3)
MAX_HEAD: Final = 32 * 1024  # a longer head is no head

WAITING = 0
BODY = 1
COMPLETE = 2  # where an answer stands


def chunk(data: bytes | bytearray, last: bool) -> bytes:
    """Return a piece of a body in the chunked coding (RFC 9112, 7.1); an empty one says nothing."""
    piece = b"%x\r\n%s\r\n" % (len(data), data) if data else b""
    return piece + b"0\r\n\r\n" if last else piece


class MalformedError(Exception):
    """What came is not the answer to one request."""


class ResponseReader:
    """Reads one answer at a time from a connection and checks its framing.

    The subclass gets `head_read` and `body_read`; after `feed` it looks at `phase`. Bytes after the
    end of an answer belong to nobody. The answer is whole without them and stands; the connection
    is of no further use, as nobody can tell what the next answer on it would belong to. Guards
    against any peer that says more than it was asked, in whatever form. An answer whose
    stated length is too short would be cut there; only a peer that contradicts itself (two lengths)
    shows that, and the parser refuses it.
    """

    __slots__ = (
        "chunked",
        "fields",
        "head_size",
        "interim",
        "keep_alive",
        "length",
        "parser",
        "phase",
        "status",
    )

    def __init__(self) -> None:
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self) -> None:
        """Get ready for the answer to the next request."""
        self.phase = WAITING
        self.status = self.head_size = 0
        self.fields: list[tuple[bytes, bytes, bytes]] = []
        self.length: int | None = None
        self.chunked = self.keep_alive = self.interim = False

    def feed(self, data: bytes) -> None:
        """Take in bytes; raises MalformedError where they are no proper answer."""
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
        if self.phase == WAITING:
            # A field without an end shows in no callback, however long it grows.
            self.head_size += len(data)
            if self.head_size > 4 * MAX_HEAD:
                raise MalformedError("head too large")

    def on_eof(self) -> bool:
        """Return the peer has closed its side: whether that ends the answer properly."""
        if self.phase == BODY and self.length is None and not self.chunked:
            self.phase = COMPLETE
        return self.phase == COMPLETE

    # --- What httptools calls

    def on_message_begin(self) -> None:
        """Start a response head."""
        if self.phase != WAITING:
            raise MalformedError("bytes after the answer")
        self.fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field; raises MalformedError."""
        if self.phase != WAITING:
            return  # a trailer
        self.head_size += len(name) + len(value)
        if self.head_size > MAX_HEAD:
            raise MalformedError("head too large")
        # The parser leaves the space behind a value, which is none of it (RFC 9112, 5).
        self.fields.append((name.lower(), name, value.strip(BLANK)))

    def on_headers_complete(self) -> None:
        """Read the status and framing; raises MalformedError."""
        parser = self.parser
        assert parser is not None
        self.status = parser.get_status_code()
        if self.status < 200:
            if self.status < 100 or self.status == 101:
                raise MalformedError(f"status {self.status}")
            self.interim = True
            return
        for low, _, value in self.fields:
            if low == b"content-length":
                if not value.isdigit() or len(value) > 18:
                    raise MalformedError("content-length is no number")
                self.length = int(value)
            elif low == b"transfer-encoding":
                if value.strip().lower() != b"chunked":
                    raise MalformedError("unknown transfer-encoding")
                self.chunked = True
        self.keep_alive = parser.should_keep_alive()
        self.phase = BODY
        self.head_read()

    def on_body(self, data: bytes) -> None:
        """Pass on part of the body."""
        self.body_read(data)

    def on_message_complete(self) -> None:
        """End the response, unless it was an interim one."""
        if self.interim:
            self.interim = False  # 1xx: the answer itself is still to come
        else:
            self.phase = COMPLETE

    def head_read(self) -> None:
        """Handle a response head; `status` and `fields` are set."""
        raise NotImplementedError

    def body_read(self, data: bytes) -> None:
        """Handle part of a response body."""
        raise NotImplementedError

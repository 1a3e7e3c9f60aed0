"""Serialize the parts of HTTP/1.1 responses that go to clients."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from ..core.response import HeaderField
from .http import HOP_BY_HOP_FIELDS

STATUS_LINES: Final = {
    400: b"400 Bad Request",
    408: b"408 Request Timeout",
    409: b"409 Conflict",
    413: b"413 Content Too Large",
    431: b"431 Request Header Fields Too Large",
    502: b"502 Bad Gateway",
    503: b"503 Service Unavailable",
    504: b"504 Gateway Timeout",
}
WITHOUT_LENGTH: Final = (b"204", b"304")  # no Content-Length in these (RFC 9110, 8.6)


def retry_after_field(time: int) -> bytes:
    """Return the Retry-After field for a time in microseconds; empty for 0."""
    return b"Retry-After: %.3f\r\n" % (time / 1e6) if time > 0 else b""


def status_line(status: int) -> bytes:
    """Return the status code with its reason phrase."""
    if status == 200:
        return b"200 OK"  # nearly all of them
    try:
        return b"%d %s" % (status, HTTPStatus(status).phrase.encode())
    except ValueError:
        return b"%d Other" % status


def closing_response(status: int, retry_after: int = 0) -> bytes:
    """Return a whole response without a body after which the connection is closed.

    `retry_after` is in microseconds; 0 leaves the field out.
    """
    return b"HTTP/1.1 %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n" % (
        STATUS_LINES[status],
        retry_after_field(retry_after),
    )


def forwarded_fields(fields: list[HeaderField]) -> bytes:
    """Return the fields of a host's response that are forwarded to the client, serialized.

    Hop-by-hop fields, those that `Connection` names and the host's own load report are left out.
    """
    named: set[bytes] = set()
    for low, _, value in fields:
        if low == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return b"".join(
        [
            name + b": " + value + b"\r\n"
            for low, name, value in fields
            if low not in HOP_BY_HOP_FIELDS and low not in named and not low.startswith(b"srv-")
        ]
    )

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
STATUSES_WITHOUT_LENGTH: Final = (b"204", b"304")  # no Content-Length (RFC 9110, 8.6)


def retry_after_field(delay: int) -> bytes:
    """Return the Retry-After field for a delay in microseconds; empty for 0."""
    return b"Retry-After: %.3f\r\n" % (delay / 1e6) if delay > 0 else b""


def status_line(status: int) -> bytes:
    """Return the status code with its reason phrase."""
    if status == 200:
        return b"200 OK"  # by far the most common
    try:
        return b"%d %s" % (status, HTTPStatus(status).phrase.encode())
    except ValueError:
        return b"%d Other" % status


def closing_response(status: int, retry_after: int = 0) -> bytes:
    """Return a complete response without a body, after which the connection is closed.

    `retry_after` is in microseconds; 0 omits the field.
    """
    return b"HTTP/1.1 %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n" % (
        STATUS_LINES[status],
        retry_after_field(retry_after),
    )


def forwarded_fields(fields: list[HeaderField]) -> bytes:
    """Return the fields of a host's response that are forwarded to the client, serialized.

    Hop-by-hop fields, those listed in `Connection` and the host's `Srv-` fields are omitted.
    """
    connection_options: set[bytes] = set()
    for low, _, value in fields:
        if low == b"connection":
            connection_options.update(part.strip().lower() for part in value.split(b","))
    return b"".join(
        [
            name + b": " + value + b"\r\n"
            for low, name, value in fields
            if low not in HOP_BY_HOP_FIELDS
            and low not in connection_options
            and not low.startswith(b"srv-")
        ]
    )

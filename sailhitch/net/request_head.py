"""Interpret a request head: relevant fields, body framing, and what is forwarded."""

from __future__ import annotations

from typing import Final

from ..core.budget import MAX_BODY_BYTES
from ..core.response import HeaderField
from .intake import READ_FIELDS, SINGLE_FIELDS, RejectError

MAX_LENGTH_DIGITS: Final = 18  # of a Content-Length


def select_fields(fields: list[HeaderField]) -> tuple[dict[bytes, bytes], set[bytes]]:
    """Return the fields that this gateway reads, and the field names listed in `Connection`.

    Raises RejectError if a field that may occur once is repeated.
    """
    found: dict[bytes, bytes] = {}
    connection_options: set[bytes] = set()
    for low, _, value in fields:
        if low in READ_FIELDS:
            if low in found and low in SINGLE_FIELDS:
                raise RejectError(400, "repeated header field")
            found[low] = value
        elif low == b"connection":
            connection_options.update(part.strip().lower() for part in value.split(b","))
    return found, connection_options


def body_framing(found: dict[bytes, bytes]) -> tuple[bool, int | None]:
    """Return whether the body is chunked, and its Content-Length or None.

    Raises RejectError for anything that two parsers could frame differently (request smuggling).
    The HTTP parser rejects most of that too, but this check does not rely on it.
    """
    coding = found.get(b"transfer-encoding")
    length = found.get(b"content-length")
    if coding is not None:
        if length is not None:
            raise RejectError(400, "both content-length and transfer-encoding")
        if coding.lower() != b"chunked":
            raise RejectError(400, "unknown transfer-encoding")
        return True, None
    if length is None:
        return False, None
    if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
        raise RejectError(400, "content-length is not a number")
    size = int(length)
    if size > MAX_BODY_BYTES:
        raise RejectError(413, "body too large")
    return False, size


def forwarded_lines(
    fields: list[HeaderField], connection_options: set[bytes], dropped: frozenset[bytes]
) -> list[bytes]:
    """Return the field lines of a request that are forwarded to a host.

    `connection_options` are the field names listed in `Connection`; `dropped` are the fields that
    the intake never forwards.
    """
    return [
        name + b": " + value
        for low, name, value in fields
        if low not in dropped and (low not in connection_options or low in READ_FIELDS)
    ]


def without_upgrade(method: bytes, url: bytes, fields: list[HeaderField]) -> bytes:
    """Return a request head without the fields that ask for a protocol upgrade."""
    lines = [
        name + b": " + value
        for low, name, value in fields
        if low not in (b"upgrade", b"http2-settings", b"connection")
    ]
    return b"\r\n".join([method + b" " + url + b" HTTP/1.1", *lines, b"", b""])

"""Interpret the head of a request: which fields count, how long its body is, what is forwarded."""

from __future__ import annotations

from typing import Final

from ..core.budget import MAX_BODY_BYTES
from ..core.response import HeaderField
from .intake import READ, SINGLE, RejectError

LENGTH_DIGITS: Final = 18  # of a Content-Length


def select_fields(fields: list[HeaderField]) -> tuple[dict[bytes, bytes], set[bytes]]:
    """Return the fields that this gateway reads, and the names that `Connection` lists.

    Raises RejectError where a field comes twice that may come once.
    """
    found: dict[bytes, bytes] = {}
    named: set[bytes] = set()
    for low, _, value in fields:
        if low in READ:
            if low in found and low in SINGLE:
                raise RejectError(400, "a field came twice")
            found[low] = value
        elif low == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return found, named


def body_framing(found: dict[bytes, bytes]) -> tuple[bool, int | None]:
    """Return whether the body is chunked, and its Content-Length or None.

    Refuses, by RejectError, whatever two readers could frame differently (request smuggling). The
    parser refuses most of it as well; this does not rely on it.
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
    if not length.isdigit() or len(length) > LENGTH_DIGITS:
        raise RejectError(400, "content-length is no number")
    size = int(length)
    if size > MAX_BODY_BYTES:
        raise RejectError(413, "body too large")
    return False, size


def forwarded_lines(
    fields: list[HeaderField], named: set[bytes], dropped: frozenset[bytes]
) -> list[bytes]:
    """Return the lines of a request's fields that go on to a host.

    `named` are the names that `Connection` lists, `dropped` those the intake never forwards.
    """
    return [
        name + b": " + value
        for low, name, value in fields
        if low not in dropped and (low not in named or low in READ)
    ]


def without_upgrade(method: bytes, url: bytes, fields: list[HeaderField]) -> bytes:
    """Return the head of a request anew, without its wish for another protocol."""
    lines = [
        name + b": " + value
        for low, name, value in fields
        if low not in (b"upgrade", b"http2-settings", b"connection")
    ]
    return b"\r\n".join([method + b" " + url + b" HTTP/1.1", *lines, b"", b""])

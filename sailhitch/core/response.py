"""A host's response."""

from __future__ import annotations

from typing import NamedTuple

# A field's name in lower case, its name as received, and its value.
HeaderField = tuple[bytes, bytes, bytes]


class Response(NamedTuple):
    """A complete response of a host."""

    status: int
    fields: list[HeaderField]
    body: bytes | bytearray

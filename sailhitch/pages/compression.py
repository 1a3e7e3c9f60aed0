"""Pages as they are stored and sent: compressed by zlib, and unpacked within a bound."""

from __future__ import annotations

import zlib

from .interface import PageError

_LEVEL = 6


def compress(raw: bytes) -> bytes:
    """Return the packed form of a page."""
    return zlib.compress(raw, _LEVEL)


def decompress(packed: bytes, most: int) -> bytes:
    """Return the page that was packed so, of at most `most` bytes; raises PageError."""
    if most < 0:
        raise ValueError(f"most {most}: at least 0")
    unpacker = zlib.decompressobj()
    try:
        # One byte more than may be there, as a bound of 0 would stand for none.
        raw = unpacker.decompress(packed, most + 1)
    except zlib.error as error:
        raise PageError(f"packed page: {error}") from error
    if len(raw) > most:
        raise PageError(f"packed page: more than {most} bytes when unpacked")
    if not unpacker.eof:
        raise PageError("packed page: ends too early")
    if unpacker.unused_data:
        raise PageError(f"packed page: {len(unpacker.unused_data)} bytes after its end")
    return raw

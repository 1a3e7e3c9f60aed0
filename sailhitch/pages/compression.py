"""Compresses pages with zlib for storage and transfer, and decompresses them up to a size limit."""

from __future__ import annotations

import zlib

from .interface import PageError

_COMPRESSION_LEVEL = 6


def compress(raw: bytes) -> bytes:
    """Return the compressed form of a page."""
    return zlib.compress(raw, _COMPRESSION_LEVEL)


def decompress(compressed: bytes, max_size: int) -> bytes:
    """Return the decompressed page; raises PageError if it is corrupt or too large."""
    if max_size < 0:
        raise ValueError(f"max_size {max_size}: must not be negative")
    decompressor = zlib.decompressobj()
    try:
        # One byte above the limit, because zlib takes a limit of 0 for no limit.
        raw = decompressor.decompress(compressed, max_size + 1)
    except zlib.error as error:
        raise PageError(f"compressed page: {error}") from error
    if len(raw) > max_size:
        raise PageError(f"compressed page: more than {max_size} bytes when decompressed")
    if not decompressor.eof:
        raise PageError("compressed page: ends too early")
    if decompressor.unused_data:
        raise PageError(f"compressed page: {len(decompressor.unused_data)} bytes after its end")
    return raw

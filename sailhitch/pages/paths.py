"""Paths: a key's position in the tree as a string of 128 base-4 digits."""

from __future__ import annotations

from functools import lru_cache
from hashlib import sha256

from .interface import Key

DIGITS = "0123"
DIGITS_PER_BYTE = 4
PATH_DIGITS = 128
_GROUP_BYTES = 8
_NAME_BYTES = PATH_DIGITS // DIGITS_PER_BYTE - _GROUP_BYTES
_BYTE_DIGITS = tuple(
    "".join(DIGITS[byte >> shift & 3] for shift in (6, 4, 2, 0)) for byte in range(256)
)


@lru_cache(maxsize=1024)
def _group_digits(group: str) -> str:
    return unpack_digits(sha256(group.encode()).digest()[:_GROUP_BYTES])


def key_path(key: Key) -> str:
    """Return 8 bytes of the group's hash and 24 bytes of the hash of group and name, as digits."""
    name_hash = sha256(f"{key.group}\0{key.name}".encode()).digest()
    return _group_digits(key.group) + unpack_digits(name_hash[:_NAME_BYTES])


def pack_digits(digits: str) -> bytes:
    """Pack four digits into a byte, the first in the highest bits; zeros pad the last byte."""
    length = -(-len(digits) // DIGITS_PER_BYTE)
    filled = digits.ljust(length * DIGITS_PER_BYTE, "0")
    return int(filled or "0", len(DIGITS)).to_bytes(length, "big")


def unpack_digits(packed: bytes) -> str:
    """Return the digits of all bytes, four per byte."""
    return "".join([_BYTE_DIGITS[byte] for byte in packed])


def common_prefix(first: str, second: str) -> str:
    """Return the longest common prefix."""
    for index, (left, right) in enumerate(zip(first, second, strict=False)):
        if left != right:
            return first[:index]
    return min(first, second, key=len)

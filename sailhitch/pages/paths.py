"""Where a key lies in the tree: its path, a string of 64 hexadecimal digits."""

from __future__ import annotations

from functools import lru_cache
from hashlib import sha256

from .interface import Key

PATH_DIGITS = 64
_GROUP_DIGITS = 16
_NAME_DIGITS = PATH_DIGITS - _GROUP_DIGITS


@lru_cache(maxsize=1024)
def _group_digits(group: str) -> str:
    return sha256(group.encode()).hexdigest()[:_GROUP_DIGITS]


def key_path(key: Key) -> str:
    """8 bytes of the group's hash, then 24 bytes of the hash of the group and the name."""
    name_digits = sha256(f"{key.group}\0{key.name}".encode()).hexdigest()[:_NAME_DIGITS]
    return _group_digits(key.group) + name_digits


def common_prefix(first: str, second: str) -> str:
    """The longest string that both begin with."""
    for index, (left, right) in enumerate(zip(first, second, strict=False)):
        if left != right:
            return first[:index]
    return min(first, second, key=len)

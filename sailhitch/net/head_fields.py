"""The fields of a head that is being read, from a client or a host.

A peer chooses how many fields the bytes of a head become, and a field costs far more as objects
than as bytes. So their number is limited, and a head that is held is kept as bytes.
"""

from __future__ import annotations

from typing import Final

from ..core.response import HeaderField

OPTIONAL_WHITESPACE: Final = b" \t"  # around a field value (RFC 9110, 5.6.3)
MAX_HEAD_BYTES: Final = 32 * 1024  # names and values; longer heads are rejected
# Fields of one head; servers in wide use take 100. As many as 32 bytes each allow.
MAX_HEAD_FIELDS: Final = MAX_HEAD_BYTES // 32
_NAME_END: Final = b":"  # in no field name
_LINE_END: Final = b"\n"  # in no field name or value (RFC 9110, 5.5)


class HeadTooLargeError(Exception):
    """A head exceeds a limit; the message says which."""


class HeadFields:
    """Collects the fields of one head."""

    __slots__ = ("_fields", "_packed", "_room", "_size")

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Release all fields, for the next head."""
        self._fields: list[HeaderField] = []
        self._packed: bytes | bytearray = b""  # earlier fields
        self._size = 0
        self._room = MAX_HEAD_FIELDS  # number of fields that may follow the packed ones

    def add(self, name: bytes, value: bytes) -> None:
        """Add a field; raises HeadTooLargeError."""
        self._size += len(name) + len(value)
        if self._size > MAX_HEAD_BYTES:
            raise HeadTooLargeError("head too large")
        fields = self._fields
        # The parser keeps trailing whitespace, which is not part of the value (RFC 9112, 5).
        fields.append((name.lower(), name, value.strip(OPTIONAL_WHITESPACE)))
        if len(fields) > self._room:
            raise HeadTooLargeError(f"more than {MAX_HEAD_FIELDS} header fields")

    def size(self) -> int:
        """Return how many bytes the names and values have."""
        return self._size

    def pack(self) -> int:
        """Keep the fields as bytes, as the head is held; return how many bytes that are."""
        if self._fields:
            packed = bytearray(self._packed)
            for _, name, value in self._fields:
                packed += name + _NAME_END + value + _LINE_END
            self._packed = packed
            self._room -= len(self._fields)
            self._fields = []
        return len(self._packed)

    def unpacked(self) -> list[HeaderField]:
        """Return all fields in order."""
        if not self._packed:
            return self._fields
        found: list[HeaderField] = []
        for line in self._packed.split(_LINE_END)[:-1]:
            name, _, value = bytes(line).partition(_NAME_END)
            found.append((name.lower(), name, value))
        return found + self._fields

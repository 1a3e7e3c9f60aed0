"""Datagrams between members: sealed with a shared key, versioned, addressed, replays refused.

One datagram is `SH`, a byte of version, a byte that names the key, MessagePack of an `Envelope`,
and 16 bytes of HMAC-SHA256 over all before them. Two keys may be valid at a time, so that one can
be changed member by member: the first seals, each opens. What is not sealed with one of them gets
no answer, so nobody can have more sent than he sends.

Anything that is replayed within what is refused would do no harm either: all messages may come
late, doubled and in any order. Refusing them keeps others from having members work.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from pathlib import Path
from typing import Final

import msgspec

from .messages import Message

VERSION: Final = 1
MAGIC: Final = b"SH"
TAG: Final = 16
HEADER: Final = 4
LARGEST: Final = 8192  # bytes of a datagram that is looked at
WINDOW: Final = 256  # numbers that may come out of order
# Lives of members whose numbers are remembered: two for each of the most members of a tier. A life
# that is forgotten may have its datagrams replayed once.
SENDERS: Final = 4096
_LINE = re.compile(r"(\d{1,3})\s+([0-9a-fA-F]{32,128})")


class KeyFileError(ValueError):
    """The key file can't be used; the text says why."""


class Keys(msgspec.Struct, frozen=True):
    """Keys by their number; the first seals."""

    first: int
    by_number: dict[int, bytes]


def load_keys(path: str | Path) -> Keys:
    """Read a key file: a line `NUMBER HEX` for each of one or two keys. Raises KeyFileError."""
    try:
        lines = Path(path).read_text().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(f"key_file: {path}: {getattr(error, 'strerror', 'not text')}") from None
    found: dict[int, bytes] = {}
    for i, line in enumerate(lines):
        text = line.partition("#")[0].strip()
        if not text:
            continue
        match = _LINE.fullmatch(text)
        if match is None or int(match[1]) > 255 or len(match[2]) % 2:
            raise KeyFileError(
                f"key_file: {path}: line {i + 1}: not `NUMBER HEX`, a number up to 255 and 16 to "
                "64 bytes in hex"
            )
        if int(match[1]) in found:
            raise KeyFileError(f"key_file: {path}: line {i + 1}: key {match[1]} is there already")
        found[int(match[1])] = bytes.fromhex(match[2])
    if not 1 <= len(found) <= 2:
        raise KeyFileError(f"key_file: {path}: {len(found)} keys; one, or two while they change")
    return Keys(next(iter(found)), found)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message, from whom, to whom, and its number among those of the sender's process."""

    sender: str
    boot: int
    number: int
    to: str
    message: Message


class Wire:
    """Seals and opens a member's datagrams."""

    def __init__(self, keys: Keys, name: str, boot: int) -> None:
        self.keys = keys
        self.name = name
        self.boot = boot
        self.refused: dict[str, int] = {}  # datagrams, by why
        self._number = 0
        self._seen: dict[tuple[str, int], tuple[int, int]] = {}  # the highest, and bits below it
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(Envelope).decode

    def seal(self, to: str, message: Message) -> bytes:
        """Return a message as a datagram."""
        self._number += 1
        body = self._encode(Envelope(self.name, self.boot, self._number, to, message))
        head = MAGIC + bytes((VERSION, self.keys.first))
        return head + body + _tag(self.keys.by_number[self.keys.first], head + body)

    def open(self, data: bytes) -> Envelope | None:
        """What a datagram says; None, and counted in `refused`, where it is not for this member."""
        why = self._why_not(data)
        if why is None:
            try:
                envelope = self._decode(data[HEADER:-TAG])
            except (msgspec.DecodeError, RecursionError):
                why = "form"
            else:
                if envelope.to != self.name or envelope.sender == self.name:
                    why = "address"
                elif not self._is_new(envelope):
                    why = "replay"
                else:
                    return envelope
        self.refused[why] = self.refused.get(why, 0) + 1
        return None

    def _why_not(self, data: bytes) -> str | None:
        if not HEADER + TAG < len(data) <= LARGEST or data[:2] != MAGIC:
            return "size"
        if data[2] != VERSION:
            return "version"
        key = self.keys.by_number.get(data[3])
        if key is None or not hmac.compare_digest(_tag(key, data[:-TAG]), data[-TAG:]):
            return "seal"
        return None

    def _is_new(self, envelope: Envelope) -> bool:
        """Whether this number has not come before, nor is too old to tell (RFC 4303, 3.4.3)."""
        key = (envelope.sender, envelope.boot)
        top, bits = self._seen.pop(key, (0, 0))
        ahead = envelope.number - top
        if ahead > 0:
            top = envelope.number
            bits = (bits << ahead | 1) & ((1 << WINDOW) - 1)
            new = True
        else:
            mark = 1 << -ahead
            new = -ahead < WINDOW and not bits & mark
            bits |= mark if new else 0
        self._seen[key] = (top, bits)  # the latest heard of are the last to be forgotten
        if len(self._seen) > SENDERS:
            del self._seen[next(iter(self._seen))]
        return new


def _tag(key: bytes, data: bytes) -> bytes:
    return hmac.digest(key, data, hashlib.sha256)[:TAG]

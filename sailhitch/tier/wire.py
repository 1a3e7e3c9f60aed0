"""The datagram format between members: authenticated by a shared key and protected from replay.

A datagram is `SH`, a version byte, a key number byte, the MessagePack of an `Envelope`, and 16
bytes of HMAC-SHA256 over all of the preceding bytes. Two keys may be valid at a time, so that a key
can be rotated member by member: the first one signs, and both verify. A datagram that is not
authenticated by one of them gets no reply, so that members can't be used for amplification.

A replay would do no harm, because all messages may arrive late, duplicated and in any order.
Replays are rejected so that an attacker can't make members do work.
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
TAG_SIZE: Final = 16  # bytes
HEADER_SIZE: Final = 4  # bytes
MAX_DATAGRAM_BYTES: Final = 8192  # larger datagrams are rejected
REPLAY_WINDOW: Final = 256  # numbers below the highest one that may still arrive
# Sender processes whose replay windows are kept: two for each member of the largest tier. When a
# window is dropped, the datagrams of its sender may be replayed once.
MAX_REMEMBERED_INCARNATIONS: Final = 4096
_KEY_LINE = re.compile(r"(\d{1,3})\s+([0-9a-fA-F]{32,128})")


class KeyFileError(ValueError):
    """The key file is invalid; the message says why."""


class Keys(msgspec.Struct, frozen=True):
    """Keys by number; `first` is the number of the key that signs."""

    first: int
    by_number: dict[int, bytes]


def load_keys(path: str | Path) -> Keys:
    """Read a key file of one or two keys, each on a line `NUMBER HEX`; raises KeyFileError."""
    try:
        lines = Path(path).read_text().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(f"key_file: {path}: {getattr(error, 'strerror', 'not text')}") from None
    keys: dict[int, bytes] = {}
    for i, line in enumerate(lines):
        text = line.partition("#")[0].strip()
        if not text:
            continue
        match = _KEY_LINE.fullmatch(text)
        if match is None or int(match[1]) > 255 or len(match[2]) % 2:
            raise KeyFileError(
                f"key_file: {path}: line {i + 1}: not `NUMBER HEX` with a number up to 255 and 16 "
                "to 64 bytes in hex"
            )
        if int(match[1]) in keys:
            raise KeyFileError(f"key_file: {path}: line {i + 1}: key {match[1]} is there already")
        keys[int(match[1])] = bytes.fromhex(match[2])
    if not 1 <= len(keys) <= 2:
        raise KeyFileError(
            f"key_file: {path}: {len(keys)} keys; expected one, or two in a rotation"
        )
    return Keys(next(iter(keys)), keys)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender, its addressee, and its number within the sender's process."""

    sender: str
    boot: int
    number: int
    to: str
    message: Message


class Wire:
    """Encodes and signs, or verifies and decodes, a member's datagrams."""

    def __init__(self, keys: Keys, name: str, boot: int) -> None:
        self.keys = keys
        self.name = name
        self.boot = boot
        self.refused: dict[str, int] = {}  # number of rejected datagrams, by reason
        self._number = 0
        self._replay_windows: dict[
            tuple[str, int], tuple[int, int]
        ] = {}  # highest number, received bits
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(Envelope).decode

    def seal(self, to: str, message: Message) -> bytes:
        """Return the signed datagram of a message."""
        self._number += 1
        body = self._encode(Envelope(self.name, self.boot, self._number, to, message))
        header = MAGIC + bytes((VERSION, self.keys.first))
        return header + body + _tag(self.keys.by_number[self.keys.first], header + body)

    def open(self, data: bytes) -> Envelope | None:
        """Return a datagram's envelope; None, and counted in `refused`, if it is rejected."""
        reason = self._rejection_reason(data)
        if reason is None:
            try:
                envelope = self._decode(data[HEADER_SIZE:-TAG_SIZE])
            except (msgspec.DecodeError, RecursionError):
                reason = "form"
            else:
                if envelope.to != self.name or envelope.sender == self.name:
                    reason = "address"
                elif not self._update_replay_window(envelope):
                    reason = "replay"
                else:
                    return envelope
        self.refused[reason] = self.refused.get(reason, 0) + 1
        return None

    def _rejection_reason(self, data: bytes) -> str | None:
        if not HEADER_SIZE + TAG_SIZE < len(data) <= MAX_DATAGRAM_BYTES or data[:2] != MAGIC:
            return "size"
        if data[2] != VERSION:
            return "version"
        key = self.keys.by_number.get(data[3])
        if key is None or not hmac.compare_digest(_tag(key, data[:-TAG_SIZE]), data[-TAG_SIZE:]):
            return "seal"
        return None

    def _update_replay_window(self, envelope: Envelope) -> bool:
        """Return whether the number is within the replay window and new (RFC 4303, 3.4.3)."""
        key = (envelope.sender, envelope.boot)
        highest, received = self._replay_windows.pop(key, (0, 0))
        ahead = envelope.number - highest
        if ahead > 0:
            highest = envelope.number
            received = (received << ahead | 1) & ((1 << REPLAY_WINDOW) - 1)
            is_new = True
        else:
            bit = 1 << -ahead
            is_new = -ahead < REPLAY_WINDOW and not received & bit
            received |= bit if is_new else 0
        # Inserted last, so that the least recently used window is dropped first.
        self._replay_windows[key] = (highest, received)
        if len(self._replay_windows) > MAX_REMEMBERED_INCARNATIONS:
            del self._replay_windows[next(iter(self._replay_windows))]
        return is_new


def _tag(key: bytes, data: bytes) -> bytes:
    return hmac.digest(key, data, hashlib.sha256)[:TAG_SIZE]

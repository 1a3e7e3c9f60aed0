"""Frames between two processes of a gateway, each one message on a `SOCK_SEQPACKET` socket.

A frame is a kind (one byte) and a payload. A snapshot may exceed the largest message, so it is
sent in pieces followed by an end frame, and applied completely or not at all. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from typing import Final

import msgspec

from .snapshot import FORMAT_VERSION, HandoverError, ProcessSnapshot, decode_snapshot

SNAPSHOT_PIECE_BYTES: Final = 32 * 1024  # of a snapshot, per frame
MAX_SNAPSHOT_BYTES: Final = 16 << 20
DESCRIPTOR_COUNT_BYTES: Final = 4


class FrameKind(IntEnum):
    """The first byte of a frame."""

    HELLO = ord("H")
    SNAPSHOT = ord("S")
    SNAPSHOT_END = ord("W")
    READY = ord("R")
    MAINTENANCE = ord("B")
    CLIENT = ord("C")
    DRAINING = ord("D")
    DESCRIPTORS_HELD = ord("N")
    CLIENT_TAKEN = ord("T")
    REQUEST_IDS = ord("I")


# Sent after the format version in HELLO: the sender confirms each CLIENT by a CLIENT_TAKEN.
CONFIRMS_CLIENTS: Final = 1


class MaintenanceMark(msgspec.Struct, array_like=True, frozen=True):
    """A change of a host's maintenance state by an operator."""

    host: str
    in_maintenance: bool
    at: int


def plain_frame(kind: FrameKind) -> bytes:
    """Return a frame without a payload."""
    return bytes((kind,))


def hello_frame() -> bytes:
    """Return the first frame of a successor."""
    return bytes((FrameKind.HELLO, FORMAT_VERSION, CONFIRMS_CLIENTS))


def confirms_clients(hello_payload: bytes) -> bool:
    """Return whether the sender of a HELLO will confirm the connections that it takes."""
    return hello_payload[1:2] == bytes((CONFIRMS_CLIENTS,))


def snapshot_frames(data: bytes) -> Iterator[bytes]:
    """Yield the frames of an encoded snapshot."""
    for offset in range(0, len(data), SNAPSHOT_PIECE_BYTES):
        yield plain_frame(FrameKind.SNAPSHOT) + data[offset : offset + SNAPSHOT_PIECE_BYTES]
    yield plain_frame(FrameKind.SNAPSHOT_END)


class SnapshotAssembler:
    """Assembles a snapshot from the payloads of its frames."""

    def __init__(self) -> None:
        self._data = bytearray()

    def add(self, piece: bytes) -> None:
        """Add the next piece; raises HandoverError if the snapshot is too long."""
        self._data += piece
        if len(self._data) > MAX_SNAPSHOT_BYTES:
            raise HandoverError("snapshot too long")

    def finish(self) -> ProcessSnapshot:
        """Decode the snapshot once all pieces are added; raises HandoverError."""
        return decode_snapshot(bytes(self._data))


def maintenance_frame(mark: MaintenanceMark) -> bytes:
    """Return a maintenance mark as a frame."""
    return plain_frame(FrameKind.MAINTENANCE) + msgspec.msgpack.encode(mark)


def read_maintenance_mark(payload: bytes) -> MaintenanceMark:
    """Return the mark in the payload of a `maintenance_frame`; raises HandoverError."""
    try:
        return msgspec.msgpack.decode(payload, type=MaintenanceMark)
    except msgspec.MsgspecError as error:
        raise HandoverError(f"invalid maintenance mark: {error}") from None


def descriptors_frame(count: int) -> bytes:
    """Return the number of descriptors held, as a frame."""
    payload = count.to_bytes(DESCRIPTOR_COUNT_BYTES, "big")
    return plain_frame(FrameKind.DESCRIPTORS_HELD) + payload


def read_descriptor_count(payload: bytes) -> int | None:
    """Return the count in the payload of a `descriptors_frame`; None if it is malformed."""
    if len(payload) != DESCRIPTOR_COUNT_BYTES:
        return None
    return int.from_bytes(payload, "big")

"""What the old process tells the new one, and its form on the wire. No I/O.

A frame is one message of a `SOCK_SEQPACKET` socket: a kind, then a payload. State is longer than a
message may be, so it comes in pieces, closed by one that has its length and digest: it is taken
whole or not at all.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from typing import Final

import msgspec

from ..core.endpoints import Address, EndpointAddress, EndpointUpdate
from ..core.maintenance import CompletedBan, Maintenance
from ..policy_interface import Endpoint, PolicySnapshot, RateSnapshot

FORMAT_VERSION: Final = 1  # of what follows; another is left alone
MAGIC: Final = b"sailhitch"
FRAME_BYTES: Final = 32 * 1024  # of state in a frame
MAX_SNAPSHOT_BYTES: Final = 16 << 20  # of state; more is none

# What a frame holds.
HELLO, STATE, STATE_END, READY, MAINTENANCE, CLIENT, DRAINING, DESCRIPTORS_HELD, CLIENT_TAKEN = (
    b"HSWRBCDNT"
)
CONFIRMS: Final = 1  # behind the form in a HELLO: a TAKEN follows each CLIENT that is taken


class HandoverError(ValueError):
    """What the other process said can't be used; the text says why."""


class SnapshotEndpoint(msgspec.Struct, frozen=True):
    """An `EndpointAddress` with the field names of the handover."""

    endpoint: Endpoint = msgspec.field(name="listed")
    address: Address = msgspec.field(name="addr")


class ProcessSnapshot(msgspec.Struct, frozen=True):
    """All that is told at once. Times are microseconds since 1970, as the core's clock has them."""

    known_names: list[str] = msgspec.field(name="ever")  # ever listed, the latest last
    bans: dict[str, int]
    completed_bans: dict[str, CompletedBan] = msgspec.field(name="returned")
    list_version: int = msgspec.field(default=0, name="version")
    # Empty if no list has come.
    endpoints: list[SnapshotEndpoint] = msgspec.field(default_factory=list, name="hosts")
    policy: PolicySnapshot | None = msgspec.field(default=None, name="knowledge")
    # The clock's offset from the machine's monotonic one; 0 where it is not told.
    clock_epoch: int = msgspec.field(default=0, name="epoch")


class MaintenanceMark(msgspec.Struct, array_like=True, frozen=True):
    """What staff have just said of a host."""

    host: str
    in_maintenance: bool
    at: int


def maintenance_snapshot(maintenance: Maintenance) -> ProcessSnapshot:
    """Return what staff have said, without the list."""
    return ProcessSnapshot(
        list(maintenance.known_names), dict(maintenance.bans), dict(maintenance.returned)
    )


def restore_maintenance(legacy: ProcessSnapshot, maintenance: Maintenance) -> None:
    """Go by what staff have said to the other process."""
    maintenance.add_names(legacy.known_names)
    maintenance.bans.update(legacy.bans)
    maintenance.returned.update(legacy.completed_bans)


def translate_clock(legacy: ProcessSnapshot, epoch: int) -> ProcessSnapshot:
    """Return what was told with its times by the clock of whoever takes it, which has this epoch.

    Both clocks start from the time of day. Where that was stepped back between the two
    starts, a rate that was cut or a shun would end so much later, an hour perhaps, and nearly all
    requests be refused until then.
    """
    by = epoch - legacy.clock_epoch
    if not legacy.clock_epoch or not by:
        return legacy
    return msgspec.structs.replace(
        legacy,
        bans={name: since + by for name, since in legacy.bans.items()},
        completed_bans={
            name: CompletedBan(one.entered + by, one.left + by)
            for name, one in legacy.completed_bans.items()
        },
        policy=None if legacy.policy is None else _moved(legacy.policy, by),
        clock_epoch=epoch,
    )


def _moved(knowledge: PolicySnapshot, by: int) -> PolicySnapshot:
    """Return what was learned, with its times so much later; 0 is never, and stays so."""

    def at(time: int) -> int:
        return time + by if time else 0

    def rate(known: RateSnapshot) -> RateSnapshot:
        return known._replace(
            receive_rate_at=at(known.receive_rate_at),
            first_received_at=at(known.first_received_at),
            cut_at=at(known.cut_at),
        )

    servers = {
        name: one._replace(
            answered_at=at(one.answered_at),
            answered_sent_at=at(one.answered_sent_at),
            ejected_until=at(one.ejected_until),
            rate=rate(one.rate),
        )
        for name, one in knowledge.servers.items()
    }
    return knowledge._replace(
        servers=servers,
        arrivals_at=at(knowledge.arrivals_at),
        started_at=at(knowledge.started_at),
        fleet=rate(knowledge.fleet),
    )


def endpoint_update_from(legacy: ProcessSnapshot) -> EndpointUpdate | None:
    """Return the list as the other process had it; None where it had none."""
    if not legacy.endpoints:
        return None
    endpoints = tuple(EndpointAddress(one.endpoint, one.address) for one in legacy.endpoints)
    return EndpointUpdate(legacy.list_version, True, endpoints, 0, frozenset())


def snapshot_endpoints(endpoints: Iterable[EndpointAddress]) -> list[SnapshotEndpoint]:
    """Endpoints in the form of the handover."""
    return [SnapshotEndpoint(one.endpoint, one.address) for one in endpoints]


def encode_snapshot(legacy: ProcessSnapshot) -> bytes:
    """State as bytes that say where they end and whether they are whole."""
    return seal(msgspec.msgpack.encode(legacy))


def seal(body: bytes) -> bytes:
    """Bytes with their form, length and digest before them."""
    digest = hashlib.blake2b(body, digest_size=16).digest()
    return MAGIC + bytes((FORMAT_VERSION,)) + len(body).to_bytes(4, "big") + digest + body


def decode_snapshot(data: bytes) -> ProcessSnapshot:
    """Return what `pack` made; raises HandoverError for anything else, also for any part of it."""
    head = len(MAGIC) + 1 + 4 + 16
    if len(data) < head or not data.startswith(MAGIC):
        raise HandoverError("not a gateway's state")
    if data[len(MAGIC)] != FORMAT_VERSION:
        raise HandoverError(f"state of form {data[len(MAGIC)]}; this one reads {FORMAT_VERSION}")
    size = int.from_bytes(data[len(MAGIC) + 1 : len(MAGIC) + 5], "big")
    body = data[head:]
    if len(body) != size or seal(body) != data:
        raise HandoverError("state that was cut or changed on its way")
    try:
        return msgspec.msgpack.decode(body, type=ProcessSnapshot)
    except msgspec.MsgspecError as error:
        raise HandoverError(f"state: {error}") from None


def frames(data: bytes) -> Iterator[bytes]:
    """State as frames."""
    for at in range(0, len(data), FRAME_BYTES):
        yield bytes((STATE,)) + data[at : at + FRAME_BYTES]
    yield bytes((STATE_END,))


class SnapshotAssembler:
    """Puts state together from its frames."""

    def __init__(self) -> None:
        self._held = bytearray()

    def add(self, piece: bytes) -> None:
        """One more; raises HandoverError."""
        self._held += piece
        if len(self._held) > MAX_SNAPSHOT_BYTES:
            raise HandoverError("state without end")

    def finish(self) -> ProcessSnapshot:
        """Return all have come; raises HandoverError."""
        return decode_snapshot(bytes(self._held))


def maintenance_frame(ban: MaintenanceMark) -> bytes:
    """Return a ban, or its end, as a frame."""
    return bytes((MAINTENANCE,)) + msgspec.msgpack.encode(ban)


def read_maintenance_mark(payload: bytes) -> MaintenanceMark:
    """Return what `ban_frame` made; raises HandoverError."""
    try:
        return msgspec.msgpack.decode(payload, type=MaintenanceMark)
    except msgspec.MsgspecError as error:
        raise HandoverError(f"a ban: {error}") from None

"""The state that one process of a gateway passes to the next, and its encoding. No I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Final

import msgspec

from ..core.endpoints import Address, EndpointAddress, EndpointUpdate
from ..core.maintenance import CompletedBan, Maintenance
from ..policy_interface import Endpoint, PolicySnapshot, RateSnapshot

FORMAT_VERSION: Final = 1  # a snapshot of another version is not read
MAGIC: Final = b"sailhitch"
LENGTH_BYTES: Final = 4
DIGEST_BYTES: Final = 16


class HandoverError(ValueError):
    """Data from the other process is invalid; the message says why."""


class SnapshotEndpoint(msgspec.Struct, frozen=True):
    """An `EndpointAddress` with the field names of the handover."""

    endpoint: Endpoint = msgspec.field(name="listed")
    address: Address = msgspec.field(name="addr")


class ProcessSnapshot(msgspec.Struct, frozen=True):
    """The state of a process. Times are microseconds since 1970 on the core's clock."""

    known_names: list[str] = msgspec.field(name="ever")  # of all hosts ever listed, latest last
    bans: dict[str, int]
    completed_bans: dict[str, CompletedBan] = msgspec.field(name="returned")
    list_version: int = msgspec.field(default=0, name="version")
    # Empty if no endpoint list has been received.
    endpoints: list[SnapshotEndpoint] = msgspec.field(default_factory=list, name="hosts")
    policy: PolicySnapshot | None = msgspec.field(default=None, name="knowledge")
    # The core clock's offset from the machine's monotonic clock; 0 if not known.
    clock_epoch: int = msgspec.field(default=0, name="epoch")


def maintenance_snapshot(maintenance: Maintenance) -> ProcessSnapshot:
    """Return a snapshot with the maintenance marks only."""
    return ProcessSnapshot(
        list(maintenance.known_names), dict(maintenance.bans), dict(maintenance.returned)
    )


def restore_maintenance(snapshot: ProcessSnapshot, maintenance: Maintenance) -> None:
    """Apply the other process's maintenance marks."""
    maintenance.add_names(snapshot.known_names)
    maintenance.bans.update(snapshot.bans)
    maintenance.returned.update(snapshot.completed_bans)


def translate_clock(snapshot: ProcessSnapshot, epoch: int) -> ProcessSnapshot:
    """Return the snapshot with its times converted to this process's clock, which has this epoch.

    Both clocks are initialized from the wall clock. If that was stepped back between the two
    starts, an ejection or a reduced rate would last longer by that step without the conversion,
    and nearly all requests would be rejected until it ended.
    """
    offset = epoch - snapshot.clock_epoch
    if not snapshot.clock_epoch or not offset:
        return snapshot
    return msgspec.structs.replace(
        snapshot,
        bans={name: since + offset for name, since in snapshot.bans.items()},
        completed_bans={
            name: CompletedBan(ban.entered + offset, ban.left + offset)
            for name, ban in snapshot.completed_bans.items()
        },
        policy=None if snapshot.policy is None else _shift_times(snapshot.policy, offset),
        clock_epoch=epoch,
    )


def _shift_times(policy: PolicySnapshot, offset: int) -> PolicySnapshot:
    """Return the snapshot with `offset` added to its times; 0 means never and is kept."""

    def shift(time: int) -> int:
        return time + offset if time else 0

    def shift_rate(rate: RateSnapshot) -> RateSnapshot:
        return rate._replace(
            receive_rate_at=shift(rate.receive_rate_at),
            first_received_at=shift(rate.first_received_at),
            cut_at=shift(rate.cut_at),
        )

    servers = {
        name: server._replace(
            answered_at=shift(server.answered_at),
            answered_sent_at=shift(server.answered_sent_at),
            ejected_until=shift(server.ejected_until),
            rate=shift_rate(server.rate),
        )
        for name, server in policy.servers.items()
    }
    return policy._replace(
        servers=servers,
        arrivals_at=shift(policy.arrivals_at),
        started_at=shift(policy.started_at),
        fleet=shift_rate(policy.fleet),
    )


def endpoint_update_from(snapshot: ProcessSnapshot) -> EndpointUpdate | None:
    """Return the other process's endpoint list; None if it had none."""
    if not snapshot.endpoints:
        return None
    endpoints = tuple(
        EndpointAddress(entry.endpoint, entry.address) for entry in snapshot.endpoints
    )
    return EndpointUpdate(snapshot.list_version, True, endpoints, 0, frozenset())


def snapshot_endpoints(endpoints: Iterable[EndpointAddress]) -> list[SnapshotEndpoint]:
    """Return endpoints with the field names of the handover."""
    return [SnapshotEndpoint(entry.endpoint, entry.address) for entry in endpoints]


def encode_snapshot(snapshot: ProcessSnapshot) -> bytes:
    """Return the encoded snapshot with its header."""
    return seal(msgspec.msgpack.encode(snapshot))


def seal(body: bytes) -> bytes:
    """Return the body prefixed with magic, format version, length and digest."""
    digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
    length = len(body).to_bytes(LENGTH_BYTES, "big")
    return MAGIC + bytes((FORMAT_VERSION,)) + length + digest + body


def decode_snapshot(data: bytes) -> ProcessSnapshot:
    """Decode the result of `encode_snapshot`; raises HandoverError unless it is intact."""
    length_at = len(MAGIC) + 1
    body_at = length_at + LENGTH_BYTES + DIGEST_BYTES
    if len(data) < body_at or not data.startswith(MAGIC):
        raise HandoverError("not a gateway snapshot")
    version = data[len(MAGIC)]
    if version != FORMAT_VERSION:
        raise HandoverError(f"snapshot has format {version}, expected {FORMAT_VERSION}")
    size = int.from_bytes(data[length_at : length_at + LENGTH_BYTES], "big")
    body = data[body_at:]
    if len(body) != size or seal(body) != data:
        raise HandoverError("snapshot truncated or corrupted")
    try:
        return msgspec.msgpack.decode(body, type=ProcessSnapshot)
    except msgspec.MsgspecError as error:
        raise HandoverError(f"invalid snapshot: {error}") from None

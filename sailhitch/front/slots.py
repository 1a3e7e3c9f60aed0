"""Types of admission control: states of connections, reasons to close them, and slots."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final, Protocol

from .groups import Group
from .survival import Kind, gap_kind


class State(IntEnum):
    """The state of a connection."""

    FRESH = 0  # accepted, nothing read
    HEAD = 1  # part of a request head read
    BODY = 2  # head read, body incomplete
    BUSY = 3  # a request is dispatched and awaits its response
    WRITING = 4  # response written, but not yet read by the client
    IDLE = 5  # response sent, nothing of a next request read
    CLOSING = 6  # no further response will be sent


class Reason(IntEnum):
    """Why a connection ended."""

    PEER = 0  # closed or reset by the client
    IDLE = 1  # idle for too long
    SILENT = 2  # no first request for too long
    SLOW = 3  # a request that stalls or trickles in
    UNREAD = 4  # a response that the client doesn't read
    SEAT = 5  # evicted for its request slot
    ROOM = 6  # evicted for its descriptor
    ANSWERED = 7  # closed with its response: on request, or while draining
    REJECTED = 8  # malformed request
    MOVED = 9  # passed on to another process of this gateway
    MEMORY = 10  # given up for the memory that it held


class Verdict(IntEnum):
    """The decision on a new connection."""

    ADMIT = 0
    WAIT = 1  # close `ConnectionAdmission.eviction_candidates` first
    REJECT = 2


# States that wait for bytes of a request. A tuple, as enum members hash slowly.
WAITING: Final = (State.IDLE, State.FRESH, State.HEAD, State.BODY)


class SlotOwner(Protocol):
    """The owner of a slot: a front's connection."""

    def close_unless_unread(self, reason: Reason) -> bool:
        """Close now, unless unread bytes of a request have arrived; return whether it is closed."""


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """The descriptors and request slots, which clients and hosts share."""

    descriptors: int  # for clients and hosts together
    request_slots: int  # connections that the fronts before this gateway use for requests
    min_client_share: float = 0.45  # of the descriptors, reserved for clients
    min_upstream_share: float = 0.3  # of the descriptors, reserved for connections to hosts

    @property
    def max_client_descriptors(self) -> float:
        """The largest number of descriptors that clients may hold."""
        return (1.0 - self.min_upstream_share) * self.descriptors


class ConnectionSlot:
    """Admission control's record of one client connection. Times are microseconds."""

    __slots__ = (
        "ended",
        "gap",
        "kind",
        "owner",
        "request_count",
        "since",
        "source",
        "state",
        "tenant",
        "unsent",
        "unsent_at",
        "unsent_by",
    )

    def __init__(self, source: Group, now: int) -> None:
        self.source = source
        self.tenant: Group | None = None
        self.owner: SlotOwner | None = None
        self.state = State.FRESH
        self.kind: Kind = Kind.FRESH
        self.since = now  # when the state began; of the first request: when the connection was made
        self.request_count = 0
        self.gap = 0  # moving average of the time between a response and the next request
        # Bytes of a response that the client has not read, or of a body that have arrived.
        self.unsent = 0
        self.unsent_at = 0  # when that last changed
        self.unsent_by = 0  # when the client must have read the response
        self.ended: Reason | None = None


def kind_once_idle(slot: ConnectionSlot) -> Kind:
    """Return the kind that a connection has while it is idle."""
    return gap_kind(slot.gap) if slot.request_count > 1 else Kind.ONCE

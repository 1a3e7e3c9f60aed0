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
    BODY = 2  # the head read, part of the body missing
    BUSY = 3  # a request is dispatched and not answered
    WRITING = 4  # answered, the response not yet taken by the client
    IDLE = 5  # answered, nothing of a next request read
    CLOSING = 6  # this side sends no new response


class Reason(IntEnum):
    """Why a connection ended."""

    PEER = 0  # the client closed or broke it
    IDLE = 1  # idle for too long
    SILENT = 2  # no request at all for too long
    SLOW = 3  # a request that stalls or trickles
    UNREAD = 4  # a response that is not read
    SEAT = 5  # worth less than its request slot
    ROOM = 6  # worth less than its descriptor
    ANSWERED = 7  # closed with its response: on request, or while draining
    REJECTED = 8  # malformed
    MOVED = 9  # passed to another process of this gateway


class Verdict(IntEnum):
    """The decision on a new connection."""

    ADMIT = 0
    WAIT = 1  # close `ConnectionAdmission.eviction_candidates` first
    REJECT = 2


# States that wait for bytes of a request. A tuple, as members of an enum hash slowly.
WAITING: Final = (State.IDLE, State.FRESH, State.HEAD, State.BODY)


class SlotOwner(Protocol):
    """The owner of a slot: a front's connection."""

    def close_unless_unread(self, reason: Reason) -> bool:
        """Close now; return False, and stay open, if bytes of a request are unread."""


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """The budget that clients and hosts share."""

    descriptors: int  # for clients and hosts together
    request_slots: int  # connections that fronts deal out for requests
    min_client_share: float = 0.45  # of the descriptors, reserved for clients
    min_upstream_share: float = 0.3  # of the descriptors, reserved for connections to hosts

    @property
    def max_client_descriptors(self) -> float:
        """The descriptors that clients may hold at the most."""
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
        self.since = now  # when the state began
        self.request_count = 0
        self.gap = 0  # between a response and the next request, a moving mean
        # Bytes of a response that the client has not taken, or of a body that have come.
        self.unsent = 0
        self.unsent_at = 0  # when that last changed
        self.unsent_by = 0  # when a response must have been taken
        self.ended: Reason | None = None


def kind_once_idle(slot: ConnectionSlot) -> Kind:
    """Return the kind that a connection has while it is idle."""
    return gap_kind(slot.gap) if slot.request_count > 1 else Kind.ONCE

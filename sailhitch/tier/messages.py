"""The values that members agree on, and the messages that they send: values, no behaviour.

Times are microseconds of the process's own steady clock; no two processes' times are ever compared.
A digest is the SHA-256 of a content in hex.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class Ballot(NamedTuple):
    """A round's number. `boot` is random for each process, so no two rounds share a ballot."""

    number: int
    proposer: str
    boot: int


NO_BALLOT = Ballot(0, "", 0)


class Version(msgspec.Struct, frozen=True, array_like=True):
    """A proposed version: its serial, that of the version it was made from, and its content."""

    serial: int
    base: int
    digest: str
    proposer: str  # the member that proposed it
    operator: str  # the operator who asked, for people
    proposed_at: int  # time of day in microseconds, for people: nothing is decided by it
    change_id: str  # unique to this proposal; its proposer recognizes it by this


class RegisterState(msgspec.Struct, frozen=True, array_like=True):
    """The register's value."""

    revision: int  # the number of changes of the register up to this one
    last_serial: int  # the highest serial ever assigned
    # A member that has confirmed this revision, or a later one, acts within the active version.
    required_revision: int
    active: Version
    pending: Version | None
    configuration_digest: str  # of the members that a change waits for, as JSON
    # It has serials of its own, and never waits for confirmations.
    traffic_policy: Version | None = None


class ChosenState(msgspec.Struct, frozen=True, array_like=True):
    """A state that a majority of voters has accepted under this ballot."""

    ballot: Ballot
    state: RegisterState


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A member's record of itself; others pass it on unchanged."""

    name: str
    incarnation: int  # above all others ever known of this name
    boot: int
    heartbeat: int  # a count within this incarnation
    confirmed_revision: int  # the revision that it applies, or an earlier one
    fault: str  # why it can't apply the state that it knows; empty: it can, or will
    metadata: bytes = b""  # for the process that runs it; opaque to the tier


# --- Messages


class ReadRequest(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Asks a voter what it has accepted, without a ballot: nothing is promised."""

    number: int


class ReadReply(msgspec.Struct, frozen=True, array_like=True, tag="L"):
    """A voter's answer to a `ReadRequest`."""

    number: int
    accepted: ChosenState | None  # by this voter, which may be the only one


class UnfinishedRound(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """A voter's answer to a `ReadRequest` when a round of the reader may still be chosen.

    The voter has promised such a round, and has accepted none since.
    """

    number: int
    accepted: ChosenState | None  # by this voter, which may be the only one


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Asks a voter to promise a ballot: the first phase of a round."""

    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, array_like=True, tag="P"):
    """A voter's answer to `Prepare`.

    Where `ok`, it accepts nothing below the ballot any more. Otherwise `promised` is above it.
    """

    ballot: Ballot
    ok: bool
    promised: Ballot
    accepted: ChosenState | None  # by this voter, which may be the only one
    stamp: int


class Accept(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Asks a voter that has promised to accept a state: the second phase of a round.

    It carries the stamp of each promise that the round rests on.
    """

    ballot: Ballot
    state: RegisterState
    stamps: dict[str, int]


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag="A"):
    """A voter's answer to `Accept`; where not `ok`, `promised` is above the ballot."""

    ballot: Ballot
    ok: bool
    promised: Ballot
    stamp: int
    known_promises: list[str]  # the voters whose promises the `Accept` told it of


class VoteRecoveryRequest(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Asks another voter, after a start, what it knows of the sender's earlier votes."""

    nonce: int


class VoteRecoveryReply(msgspec.Struct, frozen=True, array_like=True, tag="H"):
    """A voter's answer to a `VoteRecoveryRequest`."""

    nonce: int
    stamps: dict[str, int]  # by voter: the latest stamp known of its votes


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a member that does not answer, and the members whose probes found so."""

    name: str
    incarnation: int
    reporters: list[str]


class GossipMessage(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """A gossip message. Each is of use on its own, in any order."""

    chosen: ChosenState | None
    records: list[MemberRecord]
    stamps: dict[str, int]
    # A voter's report: a revision, and a bit for each name of its configuration in order.
    expired_leases: tuple[int, bytes] | None
    suspicions: list[Suspicion] = []


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Asks a voter to grant the sender's lease."""

    number: int
    confirmed_revision: int


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """A voter's answer to a `LeaseRequest`."""

    number: int
    granted: bool


class BlockRequest(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Asks for the block of a content in its packed form that begins at an offset."""

    digest: str
    offset: int


class Block(msgspec.Struct, frozen=True, array_like=True, tag="C"):
    """A part of a content in its packed form, which has `total` bytes."""

    digest: str
    offset: int
    total: int
    data: bytes


class PageRange(NamedTuple):
    """Blocks of a page in its packed form, from an offset on. `digest` has 32 bytes."""

    digest: bytes
    offset: int
    blocks: int


class PageRequest(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Asks for pages of trees; the ranges do not overlap."""

    ranges: list[PageRange]


class PageBlock(NamedTuple):
    """A part of a page in its packed form, which has `total` bytes."""

    digest: bytes
    offset: int
    total: int
    data: bytes


class PageReply(msgspec.Struct, frozen=True, array_like=True, tag="T"):
    """Blocks of pages, and the digests of pages that the sender lacks or can't send now."""

    blocks: list[PageBlock]
    refused: list[bytes]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """A probe. `suspected_incarnation` is one of the receiver's that is suspected, or 0."""

    number: int
    suspected_incarnation: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="I"):
    """The answer to a `Ping`."""

    number: int


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="N"):
    """A helper's answer to a relayed `Ping`: the target has not answered it either, so far."""

    number: int


DirectMessage = (
    ReadRequest
    | ReadReply
    | UnfinishedRound
    | Prepare
    | Promise
    | Accept
    | Accepted
    | VoteRecoveryRequest
    | VoteRecoveryReply
    | GossipMessage
    | LeaseRequest
    | LeaseGrant
    | BlockRequest
    | Block
    | PageRequest
    | PageReply
    | Ping
    | Ack
    | Nack
)


class Relayed(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """A message that is sent through one other member, as the direct path may be cut."""

    origin: str
    to: str
    message: DirectMessage


Message = DirectMessage | Relayed

"""The values that members agree on and the messages that they exchange, without behaviour.

Unless said otherwise, times are microseconds of the process's monotonic clock, and times of two
processes are never compared. A digest is the SHA-256 of a content in hex.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class Ballot(NamedTuple):
    """Identifies a round. `boot` is random per process, so no two rounds share a ballot."""

    number: int
    proposer: str
    boot: int


NO_BALLOT = Ballot(0, "", 0)


class Version(msgspec.Struct, frozen=True, array_like=True):
    """A proposed version and the digest of its content."""

    serial: int
    base: int  # the serial of the version that it was made from
    digest: str
    proposer: str  # the member that proposed it
    operator: str  # who requested it; for display only
    proposed_at: int  # wall-clock time in microseconds; for display only
    change_id: str  # unique to this proposal, so that its proposer recognizes it


class RegisterState(msgspec.Struct, frozen=True, array_like=True):
    """The register's value."""

    revision: int  # incremented by each change of the register
    last_serial: int  # the highest serial ever assigned
    # A member that has confirmed this or a later revision applies nothing that contradicts the
    # active version.
    required_revision: int
    active: Version
    pending: Version | None
    configuration_digest: str  # of the configuration as JSON: the members that a change waits for
    # Has serials of its own, and never waits for confirmations.
    traffic_policy: Version | None = None


class ChosenState(msgspec.Struct, frozen=True, array_like=True):
    """A state and the ballot under which a majority of voters accepted it."""

    ballot: Ballot
    state: RegisterState


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A member's record of itself; others forward it unchanged."""

    name: str
    incarnation: int  # above all earlier ones of this name
    boot: int
    heartbeat: int  # counts up within this incarnation
    confirmed_revision: int  # the revision that it applies, or an earlier one
    fault: str  # why it can't apply the latest state that it knows; empty if it can
    metadata: bytes = b""  # of the process that runs the member; opaque to the tier


# --- Messages


class ReadRequest(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Asks a voter what it has accepted; carries no ballot and requests no promise."""

    number: int


class ReadReply(msgspec.Struct, frozen=True, array_like=True, tag="L"):
    """A voter's answer to a `ReadRequest`."""

    number: int
    accepted: ChosenState | None  # by this voter, not necessarily by a majority


class UnfinishedRound(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """A voter's answer to a `ReadRequest` while a round of the reader may still be chosen.

    The voter has promised a ballot of the reader's, and has accepted nothing since.
    """

    number: int
    accepted: ChosenState | None  # by this voter, not necessarily by a majority


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Asks a voter to promise a ballot: the first phase of a round."""

    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, array_like=True, tag="P"):
    """A voter's answer to `Prepare`.

    If `ok`, the voter will accept no lower ballot any more. Otherwise `promised` is a higher ballot
    that it has promised already.
    """

    ballot: Ballot
    ok: bool
    promised: Ballot
    accepted: ChosenState | None  # by this voter, not necessarily by a majority
    stamp: int


class Accept(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Asks a voter to accept a state: the second phase of a round.

    `stamps` holds, by voter, the stamp of each promise that the proposer has received for the
    round.
    """

    ballot: Ballot
    state: RegisterState
    stamps: dict[str, int]


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag="A"):
    """A voter's answer to `Accept`; if not `ok`, `promised` is above the ballot."""

    ballot: Ballot
    ok: bool
    promised: Ballot
    stamp: int
    known_promises: list[str]  # the voters whose promises were listed in the `Accept`


class VoteRecoveryRequest(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Asks another voter, after a restart, what it knows of the sender's earlier votes."""

    nonce: int


class VoteRecoveryReply(msgspec.Struct, frozen=True, array_like=True, tag="H"):
    """A voter's answer to a `VoteRecoveryRequest`."""

    nonce: int
    stamps: dict[str, int]  # by voter: the latest known stamp of its votes


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a member that does not answer probes, and the members that report it."""

    name: str
    incarnation: int
    reporters: list[str]


class GossipMessage(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """A gossip message. Messages are independent of each other and of their order."""

    chosen: ChosenState | None
    records: list[MemberRecord]
    stamps: dict[str, int]
    # Sent by voters: a revision, and a bit for each name of its configuration, in their order.
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
    """Asks for the block of a compressed content that begins at an offset."""

    digest: str
    offset: int


class Block(msgspec.Struct, frozen=True, array_like=True, tag="C"):
    """A part of a content whose compressed form has `total` bytes."""

    digest: str
    offset: int
    total: int
    data: bytes


class PageRange(NamedTuple):
    """A number of blocks of a compressed page, from an offset on. `digest` has 32 bytes."""

    digest: bytes
    offset: int
    blocks: int


class PageRequest(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Asks for pages of trees; the ranges do not overlap."""

    ranges: list[PageRange]


class PageBlock(NamedTuple):
    """A part of a page whose compressed form has `total` bytes."""

    digest: bytes
    offset: int
    total: int
    data: bytes


class PageReply(msgspec.Struct, frozen=True, array_like=True, tag="T"):
    """Blocks of pages, and the digests of pages that the sender lacks or can't send now."""

    blocks: list[PageBlock]
    refused: list[bytes]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """A probe. `suspected_incarnation` is the receiver's incarnation if it is suspected, or 0."""

    number: int
    suspected_incarnation: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="I"):
    """The answer to a `Ping`."""

    number: int


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="N"):
    """A helper's answer to a relayed `Ping`: the target has not answered the helper so far."""

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
    """A message that is sent through another member, because the direct path may be cut."""

    origin: str
    to: str
    message: DirectMessage


Message = DirectMessage | Relayed

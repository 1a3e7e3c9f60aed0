"""What members agree on and what they send to each other: values, no behaviour.

Times are microseconds of the process's own steady clock; no two processes' times are ever compared.
A digest is the SHA-256 of a content in hex.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class Ballot(NamedTuple):
    """A round's rank. `boot` is drawn anew by each process, so that no two rounds share one."""

    n: int
    by: str
    boot: int


NO_BALLOT = Ballot(0, "", 0)


class Version(msgspec.Struct, frozen=True, array_like=True):
    """A state that was proposed: its number, the one that it was made from, and its content."""

    serial: int
    base: int
    digest: str
    proposer: str  # the member that proposed it
    operator: str  # the operator who asked, for people
    proposed_at: int  # time of day in microseconds, for people: nothing is decided by it
    change_id: str  # drawn for this proposal alone, by which its proposer knows it again


class RegisterState(msgspec.Struct, frozen=True, array_like=True):
    """The register's value."""

    revision: int  # how many changes of the register led here
    last_serial: int  # the highest serial ever given
    required_revision: (
        int  # who has confirmed this turn, or a later one, acts within what is active
    )
    active: Version
    pending: Version | None
    configuration_digest: str  # digest of whom a change waits for, JSON
    # A line of its own, in which nothing contradicts nor waits.
    traffic_policy: Version | None = None


class ChosenState(msgspec.Struct, frozen=True, array_like=True):
    """A head that a majority of voters has accepted under this ballot."""

    ballot: Ballot
    state: RegisterState


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A member's word about itself, passed on by others as it is."""

    name: str
    incarnation: int  # incarnation: above all that were ever heard of this name
    boot: int
    heartbeat: int  # of this life, so far
    confirmed_revision: int  # the turn by which it acts, at least
    fault: str  # why it can't act by the head that it knows; empty: it can, or will
    metadata: bytes = b""  # what else it has to say; the tier does not know what that means


# --- What is said


class ReadRequest(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """What has this voter accepted? Asked without a ballot: nothing is promised."""

    number: int


class ReadReply(msgspec.Struct, frozen=True, array_like=True, tag="L"):
    number: int
    accepted: ChosenState | None  # accepted by this voter, which may be the only one


class UnfinishedRound(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """In place of a `ReadReply`: a round of the asking member may still be decided.

    This voter has promised one, and has accepted none since.
    """

    number: int
    accepted: ChosenState | None  # accepted by this voter, which may be the only one


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, array_like=True, tag="P"):
    """`ok`: nothing below the ballot is accepted any more. Else `promised` is above it."""

    ballot: Ballot
    ok: bool
    promised: Ballot
    accepted: ChosenState | None  # accepted by this voter, which may be the only one
    stamp: int


class Accept(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Goes to those alone who have promised, with the stamps of their promises."""

    ballot: Ballot
    state: RegisterState
    stamps: dict[str, int]


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag="A"):
    ballot: Ballot
    ok: bool
    promised: Ballot
    stamp: int
    known_promises: list[str]  # the voters of whose promises this one now knows, by the `Accept`


class VoteRecoveryRequest(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """A voter that has started asks what is known of its earlier votes."""

    nonce: int


class VoteRecoveryReply(msgspec.Struct, frozen=True, array_like=True, tag="H"):
    nonce: int
    stamps: dict[str, int]  # the latest known of each voter's votes


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """A life of a member that does not answer, and who has found so by probes of its own."""

    name: str
    incarnation: int
    reporters: list[str]


class GossipMessage(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Gossip; each is of use alone, in any order."""

    chosen: ChosenState | None
    records: list[MemberRecord]
    stamps: dict[str, int]
    expired_leases: (
        tuple[int, bytes] | None
    )  # a voter's: of a turn, bits by the roster's names in order
    suspicions: list[Suspicion] = []


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """A member asks a voter for its lease."""

    number: int
    confirmed_revision: int


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    number: int
    granted: bool


class BlockRequest(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    digest: str
    offset: int


class Block(msgspec.Struct, frozen=True, array_like=True, tag="C"):
    digest: str
    offset: int
    total: int
    data: bytes


class PageRange(NamedTuple):
    """Blocks of a page in its packed form: so many from an offset on. `digest` in 32 bytes."""

    digest: bytes
    offset: int
    blocks: int


class PageRequest(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Asks for pages of trees; each range is of another page, or of another part of one."""

    ranges: list[PageRange]


class PageBlock(NamedTuple):
    """A part of a page in its packed form, of which `total` bytes are the whole."""

    digest: bytes
    offset: int
    total: int
    data: bytes


class PageReply(msgspec.Struct, frozen=True, array_like=True, tag="T"):
    """Blocks of pages, and pages that this member does not have, or has no room to send now."""

    blocks: list[PageBlock]
    refused: list[bytes]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """Is this member there? `doubted`: a life of it that is suspected, or 0."""

    number: int
    suspected_incarnation: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="I"):
    number: int


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="N"):
    """A helper's: whom it was to reach has not answered it either, so far."""

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
    """Something that goes through one other member, where the straight way may be cut."""

    origin: str
    to: str
    message: DirectMessage


Message = DirectMessage | Relayed

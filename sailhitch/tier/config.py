"""What a member is told at its start, and whether it may act."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..pages import Tree


class MemberStatus(Enum):
    """Whether a member may act on what contradicts, and why not."""

    IN = "in"
    HEARING = "has not heard of a majority of voters since it started"
    OUTSIDE = "is not in the roster"
    BEHIND = "does not act by the version that holds yet"
    LAPSED = "has not heard of a majority of voters within its lease"
    TWIN = "another process goes by its name"
    BROKEN = "the register has gone back; see the log"


@dataclass(frozen=True, slots=True)
class TierConfig:
    """What a member is told of its tier at its start. Times in microseconds."""

    name: str  # this member's
    voters: tuple[str, ...]
    peers: tuple[str, ...]  # all members that the file names, this one too
    lease: int | None = None
    fanout: int = 2  # members that gossip goes to at each beat


@dataclass(frozen=True, slots=True)
class Founding:
    """The first version of a tier, for a member that is the first to find the tier empty."""

    content: bytes | Tree
    serial: int
    who: str

"""A member's configuration at its start, and its status."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final

from ..pages import Tree


class MemberStatus(Enum):
    """Whether a member may act under rules that may contradict others', and if not, why.

    A value is the status's name in `tier status`.
    """

    ACTIVE = "in"
    READING_REGISTER = "hearing"
    NOT_A_MEMBER = "outside"
    BEHIND = "behind"
    LEASE_EXPIRED = "lapsed"
    DUPLICATE_NAME = "twin"
    REGISTER_REGRESSED = "broken"

    @property
    def reason(self) -> str:
        """Return the status in words, for operators."""
        return _STATUS_REASONS[self]


_STATUS_REASONS: Final[Mapping[MemberStatus, str]] = {
    MemberStatus.ACTIVE: "in",
    MemberStatus.READING_REGISTER: "has not heard of a majority of voters since it started",
    MemberStatus.NOT_A_MEMBER: "is not in the roster",
    MemberStatus.BEHIND: "does not act by the version that holds yet",
    MemberStatus.LEASE_EXPIRED: "has not heard of a majority of voters within its lease",
    MemberStatus.DUPLICATE_NAME: "another process goes by its name",
    MemberStatus.REGISTER_REGRESSED: "the register has gone back; see the log",
}


@dataclass(frozen=True, slots=True)
class TierConfig:
    """A member's settings, fixed at its start. Times in microseconds."""

    name: str  # this member's
    voters: tuple[str, ...]
    peers: tuple[str, ...]  # all members in the operator file, including this one
    lease: int | None = None
    fanout: int = 2  # members that each gossip round goes to


@dataclass(frozen=True, slots=True)
class BootstrapVersion:
    """The first version of a tier, proposed by a voter that finds the register empty."""

    content: bytes | Tree
    serial: int
    operator: str

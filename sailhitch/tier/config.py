"""A member's settings, and its status."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final

from ..pages import Tree


class MemberStatus(Enum):
    """Whether a member may act under its rules, and if not, why.

    If not, its acts might contradict the rules that other members act under.

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
    MemberStatus.READING_REGISTER: "has not read the register from a majority of voters yet",
    MemberStatus.NOT_A_MEMBER: "is not in the roster",
    MemberStatus.BEHIND: "does not act by the version that holds yet",
    MemberStatus.LEASE_EXPIRED: "no majority of voters has renewed its lease in time",
    MemberStatus.DUPLICATE_NAME: "another process uses its name",
    MemberStatus.REGISTER_REGRESSED: "the voters have lost a state that was chosen; see the log",
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

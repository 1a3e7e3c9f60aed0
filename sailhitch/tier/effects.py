"""What a core asks of its process: values, in the order in which they have to happen."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .messages import Message, RegisterState, Version


class Send(NamedTuple):
    """Say this to a member; it may get lost, late or doubled."""

    to: str
    message: Message


class Persist(NamedTuple):
    """Have this on disk before any effect after it happens; None: it may be forgotten.

    Until it is, no later effect may happen. While it fails, messages count as lost and the
    rest waits: the process is silent in the tier.
    """

    items: dict[str, bytes | None]


class AppliedVersions(NamedTuple):
    """What to act by: the rules of `active`, met with those of `pending` where there is one."""

    revision: int
    active: Version
    pending: Version | None
    traffic_policy: Version | None = None


class ApplyVersions(NamedTuple):
    """Go by this, and say so with `Member.acted` once nothing goes by anything older."""

    versions: AppliedVersions


class ProposalResult(Enum):
    """How a change asked for has ended."""

    ACTIVE = "active"
    PENDING = "pending"  # decided, and waits for members
    STALE = "stale"  # made from a version that is not the active one any more
    BUSY = "busy"  # another change is pending
    NO_CHANGE = "none"  # there was nothing to do


class JobCompleted(NamedTuple):
    """A job's end; `head` is what holds."""

    job: int
    result: ProposalResult
    state: RegisterState


class LogEvent(NamedTuple):
    """An act worth a line in the log: its name and what belongs to it."""

    event: str
    fields: dict[str, object]


Effect = Send | Persist | ApplyVersions | JobCompleted | LogEvent

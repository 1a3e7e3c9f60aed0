"""Effects: what the sans-IO member asks of its process, as values in the order to execute."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .messages import Message, RegisterState, Version


class Send(NamedTuple):
    """Send a message to a member; it may be lost, delayed or duplicated."""

    to: str
    message: Message


class Persist(NamedTuple):
    """Write these items to disk; an item of None may be deleted.

    No later effect may be executed before they are synced. While that fails, later effects wait and
    incoming messages are dropped, so the process is silent in the tier.
    """

    items: dict[str, bytes | None]


class AppliedVersions(NamedTuple):
    """The versions to apply: what `active` allows, and `pending` too where there is one."""

    revision: int
    active: Version
    pending: Version | None
    traffic_policy: Version | None = None


class ApplyVersions(NamedTuple):
    """Apply these versions, and call `Member.confirm_applied` once nothing older is in use."""

    versions: AppliedVersions


class ProposalResult(Enum):
    """The result of a proposed change."""

    ACTIVE = "active"
    PENDING = "pending"  # chosen, and waits for confirmations
    STALE = "stale"  # made from a version that is no longer active
    BUSY = "busy"  # another change is pending
    UNKNOWN = "unknown"  # others are active by now, and it may have been active before them
    NO_CHANGE = "none"  # there was nothing to do


class JobCompleted(NamedTuple):
    """A job has ended; `state` is the current one.

    `version` is the one that a proposal has become, if it was chosen: the active or the pending one
    of `state`, or an earlier one that was active.
    """

    job: int
    result: ProposalResult
    state: RegisterState
    version: Version | None = None


class LogEvent(NamedTuple):
    """An event for the log, with its fields."""

    event: str
    fields: dict[str, object]


Effect = Send | Persist | ApplyVersions | JobCompleted | LogEvent

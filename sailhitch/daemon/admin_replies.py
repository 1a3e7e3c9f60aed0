"""The replies of the admin socket, as encoded in JSON.

Keys are sent in the order in which they are set here. Operators see that order, so keep it.
"""

from __future__ import annotations

from typing import Any, Final, Literal, NotRequired, TypedDict

from ..core.endpoints import EndpointAddress
from ..core.pool import Pool
from .source import StillPendingError
from .state import State
from .store import AppliedState, HistoryRecord

ErrorCode = Literal["moved", "plan", "failed", "bad"]
MOVED: Final = "moved"  # the plan was made against a state that is no longer live
PLAN: Final = "plan"  # the plan is damaged or does not fit the state
FAILED: Final = "failed"  # the request is valid but could not be carried out
BAD: Final = "bad"  # the request is invalid


class ErrorReply(TypedDict):
    """The reply to a request that failed."""

    ok: Literal[False]
    code: ErrorCode
    error: str


class AppliedRecord(TypedDict):
    """An applied state without its contents."""

    serial: int
    when: int  # microseconds since the epoch
    by: str
    summary: str


class FetchRecord(TypedDict):
    """The longest-running fetch of a tier's content or page."""

    digest: str
    source: str  # the member that was asked last
    age: int  # us since it was first requested
    count: int  # contents and pages being fetched, this one included


class MovedReply(ErrorReply):
    """The reply to a plan that was made against an earlier state."""

    moved: list[AppliedRecord]  # the states applied since


class AppliedReply(AppliedRecord):
    """The reply to a change that is applied."""

    ok: Literal[True]


class PendingReply(TypedDict):
    """The reply to a change that a tier has chosen but not all members have confirmed."""

    ok: Literal[True]
    pending: Literal[True]
    serial: int
    waiting_for: list[str]
    error: str  # a text for people, with the members that it waits for


class StateReply(AppliedRecord):
    """The reply with a state; `identity` is set for the live one, `tier` in a tier."""

    ok: Literal[True]
    gateway: str
    state: State
    identity: NotRequired[str]
    tier: NotRequired[str]


class HistoryReply(TypedDict):
    """The reply with the history of applied states, oldest first."""

    ok: Literal[True]
    history: list[AppliedRecord]


class HostStatus(TypedDict):
    """The current status of a node."""

    node: str
    address: str
    state: str
    weight: float
    failing: bool
    outstanding: int


class HostsReply(TypedDict):
    """The reply with the nodes of each pool, draining ones included."""

    ok: Literal[True]
    pools: dict[str, list[HostStatus]]


TierReply = dict[str, Any]
"""A reply built by the tier or its zone coordinator."""

ChangeReply = AppliedReply | PendingReply | MovedReply | ErrorReply
AdminReply = ChangeReply | StateReply | HistoryReply | HostsReply | TierReply


def error_reply(code: ErrorCode, text: str) -> ErrorReply:
    """Return the reply to a request that failed."""
    return {"ok": False, "code": code, "error": text}


def moved_reply(text: str, applied_since: list[AppliedRecord]) -> MovedReply:
    """Return the reply to a plan that was made against an earlier state."""
    return {"ok": False, "code": MOVED, "error": text, "moved": applied_since}


def pending_reply(error: StillPendingError) -> PendingReply:
    """Return the reply to a change that some members have not confirmed."""
    return {
        "ok": True,
        "pending": True,
        "serial": error.serial,
        "waiting_for": error.waiting_for,
        "error": str(error),
    }


def applied_reply(applied: AppliedState) -> AppliedReply:
    """Return the reply to a change that is applied."""
    return {"ok": True, **applied_record(applied)}


def state_reply(gateway: str, applied: AppliedState) -> StateReply:
    """Return the reply with a state."""
    return {
        "ok": True,
        "gateway": gateway,
        "serial": applied.serial,
        "when": applied.applied_at,
        "by": applied.applied_by,
        "summary": applied.summary,
        "state": applied.state,
    }


def applied_record(applied: AppliedState | HistoryRecord) -> AppliedRecord:
    """Return an applied state without its contents."""
    return {
        "serial": applied.serial,
        "when": applied.applied_at,
        "by": applied.applied_by,
        "summary": applied.summary,
    }


def hosts_reply(pools: list[Pool]) -> HostsReply:
    """Return the reply with the nodes of each pool; pools of one name are listed as one."""
    hosts: dict[str, list[HostStatus]] = {}
    for pool in pools:
        hosts.setdefault(pool.name, []).extend(
            _host_status(pool, name, entry) for name, entry in pool.endpoints.items()
        )
    return {"ok": True, "pools": hosts}


def _host_status(pool: Pool, name: str, entry: EndpointAddress) -> HostStatus:
    server = pool.policy.endpoint_table.servers.get(name)
    host, port = entry.address
    return {
        "node": name,
        "address": f"{host}:{port}",
        "state": entry.endpoint.state,
        "weight": entry.endpoint.weight,
        "failing": name in pool.failing,
        "outstanding": 0 if server is None else server.outstanding,
    }

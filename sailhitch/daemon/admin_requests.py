"""Executes admin requests on the gateway's state source and its tier."""

from __future__ import annotations

import asyncio
import pwd
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Any, Final

from .admin_replies import (
    BAD,
    FAILED,
    PLAN,
    AdminReply,
    AppliedRecord,
    ChangeReply,
    ErrorReply,
    MovedReply,
    StateReply,
    TierReply,
    applied_record,
    applied_reply,
    error_reply,
    hosts_reply,
    moved_reply,
    pending_reply,
    state_reply,
)
from .plan import PlanError, StaleBaseError
from .source import PendingChangedError, StateSource, StillPendingError
from .state_applier import ApplyError, StateApplier
from .store import AppliedState, StoreError

if TYPE_CHECKING:
    from .tier_source import TierStateSource

AdminRequest = Mapping[str, Any]
"""A request decoded from JSON: `op` and the parameters of that operation."""

MAX_REASON_LENGTH: Final = 200  # characters; a longer reason for a ban is cut
NO_TIER: Final = "this gateway is not in a tier: its file has no [tier]"


class AdminRequests:
    """Executes requests and returns their replies.

    Requests that change something are shielded from cancellation, so that a client that
    disconnects does not interrupt an apply.
    """

    def __init__(
        self, state_applier: StateApplier, source: StateSource, tier: TierStateSource | None
    ) -> None:
        self.state_applier = state_applier
        self.source = source
        self.tier = tier

    async def execute(self, request: AdminRequest, uid: int) -> AdminReply:
        """Execute a request from a user and return the reply."""
        op = request.get("op")
        if op == "state":
            return await self._state(request.get("serial"))
        if op == "history":
            return {"ok": True, "history": await self._applied_since(0)}
        if op == "hosts":
            return hosts_reply(self.state_applier.core.pools)
        if op == "apply":
            return await asyncio.shield(self._apply(request, user_name(uid)))
        if op == "ban":
            return await asyncio.shield(self._ban(request, user_name(uid)))
        if op == "tier":
            return await asyncio.shield(self._tier(request))
        if op == "zones":
            return await asyncio.shield(self._zones(request, user_name(uid)))
        return error_reply(BAD, f"op: unknown: {str(op)[:40]!r}")

    async def _state(self, serial: Any) -> StateReply | ErrorReply:
        applied = self.source.base()
        try:
            if serial is not None:
                applied = await asyncio.to_thread(self.source.at, int(serial))
        except (StoreError, ValueError) as error:
            return error_reply(FAILED, str(error))
        reply = state_reply(self.source.owner, applied)
        if serial is None:
            reply["identity"] = await asyncio.to_thread(self.source.identity, applied.state)
        if self.tier is not None:
            # Tells the client to leave listeners out of its plan.
            reply["tier"] = self.tier.part.name
        return reply

    async def _applied_since(self, serial: int) -> list[AppliedRecord]:
        """Return the states applied after a serial; in a thread, because it reads from disk."""
        history = await asyncio.to_thread(self.source.history)
        return [applied_record(record) for record in history if record.serial > serial]

    async def _apply(self, request: AdminRequest, by: str) -> ChangeReply:
        plan = str(request.get("plan", ""))
        return await self._change(lambda: self.source.apply_plan(plan, by))

    async def _ban(self, request: AdminRequest, by: str) -> ChangeReply:
        node = str(request.get("node", ""))
        out = bool(request.get("out"))
        ban = {
            "by": by,
            "when": self.state_applier.core.clock(),
            "why": str(request.get("why", ""))[:MAX_REASON_LENGTH],
        }
        return await self._change(lambda: self.source.ban(node, ban if out else None, by))

    async def _change(self, change: Callable[[], Awaitable[AppliedState]]) -> ChangeReply:
        """Execute a change and return its reply, also if the change fails."""
        try:
            applied = await change()
        except StaleBaseError as error:
            return moved_reply(str(error), await self._applied_since(error.since))
        except StillPendingError as error:
            return pending_reply(error)
        except PlanError as error:
            return error_reply(PLAN, str(error))
        except ApplyError as error:
            return error_reply(FAILED, str(error))
        return applied_reply(applied)

    async def _tier(self, request: AdminRequest) -> TierReply | MovedReply | ErrorReply:
        tier = self.tier
        act = request.get("act")
        if tier is None:
            return error_reply(FAILED, NO_TIER)
        name = str(request.get("name", ""))
        serial = request.get("serial")
        serial = serial if isinstance(serial, int) else None
        try:
            if act == "status":
                return tier.status(serial)
            if act == "withdraw":
                return await tier.withdraw(serial)
            if act == "gone":
                return await tier.evict(name)
            if act == "join":
                return await tier.join(name, str(request.get("place", "")))
        except PendingChangedError as error:
            return moved_reply(str(error), [])
        except ApplyError as error:
            return error_reply(FAILED, str(error))
        return error_reply(BAD, f"act: unknown: {str(act)[:40]!r}")

    async def _zones(self, request: AdminRequest, by: str) -> TierReply | ErrorReply:
        if self.tier is None:
            return error_reply(FAILED, NO_TIER)
        try:
            return await self.tier.zone_coordinator.admin_request(request, by)
        except ApplyError as error:
            return error_reply(FAILED, str(error))


def user_name(uid: int) -> str:
    """Return the name of a user, or `user UID` if the system has no entry for it."""
    try:
        return pwd.getpwuid(uid).pw_name
    except KeyError:
        return f"user {uid}"

"""Operators' `sailhitch tier` commands: status, withdraw, evict and join."""

from __future__ import annotations

from typing import Any

from pydantic import ValidationError

from ..tier.effects import ProposalResult
from ..tier.member import Member
from .admin_replies import FetchRecord
from .intake import RoutedIntake
from .schema import MAX_MEMBERS, TierMemberSection, TierSection
from .source import PendingChangedError
from .state_applier import ApplyError
from .tier_decisions import wait_for_decision
from .tier_link import TierLink, steady

_REGISTER_UNKNOWN = "this gateway has not read the tier's register yet; try again"
_CONFIGURATION_CHANGED = "the tier's configuration has changed meanwhile; check it and try again"


class TierCommands:
    """Executes operators' commands on the tier's register and configuration."""

    def __init__(self, part: TierSection, link: TierLink, intake: RoutedIntake) -> None:
        self.part = part
        self.link = link
        self._intake = intake

    async def withdraw(self, serial: int | None = None) -> dict[str, Any]:
        """Withdraw the pending version, or only that of a serial.

        Raises:
            ApplyError: Nothing is pending, or not any more.
            PendingChangedError: Another version than that of `serial` is pending, or none.
        """
        member = self.link.member
        pending = None if member is None or member.chosen is None else member.chosen.state.pending
        if serial is not None and (pending is None or pending.serial != serial):
            raise PendingChangedError(serial, None if pending is None else pending.serial)
        if pending is None:
            raise ApplyError("nothing is pending")
        completed = await wait_for_decision(self.link, lambda m: m.withdraw(pending.serial))
        if completed.result is not ProposalResult.ACTIVE:
            raise ApplyError(f"serial {pending.serial} is not pending any more")
        return {"ok": True, "withdrawn": pending.serial}

    async def evict(self, name: str) -> dict[str, Any]:
        """Stop changes from waiting for a member; raises ApplyError if it was alive recently."""
        member = self.link.member
        if member is None:
            raise ApplyError(_REGISTER_UNKNOWN)
        reason = member.why_not_evictable(name, self.part.agree_within, steady())
        if reason:
            raise ApplyError(f"{name!r}: {reason}")
        completed = await wait_for_decision(self.link, lambda m: m.evict(name))
        if completed.result is not ProposalResult.ACTIVE:
            raise ApplyError(_CONFIGURATION_CHANGED)
        return {"ok": True, "gone": name}

    async def join(self, name: str, address: str) -> dict[str, Any]:
        """Add a member, or its new address, to the configuration; raises ApplyError.

        A member that is alive is rejected: two processes with the same name would both stop
        serving.
        """
        _check_member(name, address)
        member = self.link.member
        if member is None or not member.is_caught_up():
            raise ApplyError(_REGISTER_UNKNOWN)
        self._check_admissible(member, name, address)
        completed = await wait_for_decision(self.link, lambda m: m.admit(name, address))
        if completed.result is not ProposalResult.ACTIVE:
            raise ApplyError(_CONFIGURATION_CHANGED)
        return {"ok": True, "joins": name, "place": address}

    def _check_admissible(self, member: Member, name: str, address: str) -> None:
        known = {*member.config.peers, *member.configuration.addresses}
        reason = member.why_not_admitted(name)
        if reason:
            raise ApplyError(f"{name!r}: {reason}")
        if name not in known and len(known) >= MAX_MEMBERS:
            raise ApplyError(f"a tier has at most {MAX_MEMBERS} members")
        owners = {taken: owner for owner, taken in member.configuration.addresses.items()}
        for owner, (host, port) in self.link.addresses.items():
            owners[f"{host}:{port}"] = owner
        if owners.get(address, name) != name:
            raise ApplyError(f"{address}: is the address of {owners[address]!r}")

    def status(self, serial: int | None = None) -> dict[str, Any]:
        """Return the reply to `tier status`; with a serial, also whether that was active."""
        member = self.link.member
        if member is None:
            return {"ok": True, "tier": self.part.name, "standing": "starting"}
        now = steady()
        return {
            "ok": True,
            "tier": self.part.name,
            **member.status(now),
            "fetching": _oldest_fetch_record(member, now),
            "jobs": len(member.proposer.jobs),
            "silent": self.link.disk_is_failing,
            "datagrams": self.link.sent,
            "bytes": self.link.sent_bytes,
            "refused_datagrams": {**self.link.wire.refused, **self.link.unsent},
            "held_back": self._intake.held_back,
            **({} if serial is None else {"was_active": member.was_active(serial)}),
        }


def _oldest_fetch_record(member: Member, now: int) -> FetchRecord | None:
    """Return the oldest fetch in progress, or None."""
    fetch = member.contents.oldest_fetch()
    if fetch is None:
        return None
    return FetchRecord(
        digest=fetch.digest,
        source=fetch.source,
        age=now - fetch.started_at,
        count=fetch.fetch_count,
    )


def _check_member(name: str, address: str) -> None:
    """Raise ApplyError for a name or an address that is not valid in the operator file."""
    try:
        TierMemberSection(name=name, address=address)
    except ValidationError as error:
        first = error.errors()[0]
        raise ApplyError(f"tier.join: {first['loc'][0]}: {first['msg']}") from None

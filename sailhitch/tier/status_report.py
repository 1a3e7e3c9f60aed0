"""What `tier status` shows of a member, as JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .member import Member


def status_report(member: Member, now: int) -> dict[str, Any]:
    """Return the member's own state, the head that it knows, and its record of each member."""
    head = None if member.chosen is None else member.chosen.state
    status = member.member_status(now)
    voter = member.voter
    return {
        "name": member.config.name,
        "standing": status.value,
        "why": status.reason,
        "turn": 0 if head is None else head.revision,
        "active": None if head is None else head.active.serial,
        "pending": None if head is None or head.pending is None else head.pending.serial,
        "waiting_for": member.waiting_for(),
        "members": _members(member, now),
        "voter": None if voter is None else voter.acceptor.mode.value,
        "old_disk": voter is not None and voter.acceptor.has_lost_votes,
    }


def _members(member: Member, now: int) -> list[dict[str, Any]]:
    roster = member.configuration
    table = member.membership
    config = member.config
    inside = set(roster.members)
    voters = set(config.voters)
    members = []
    for name in sorted({*roster.members, *roster.evicted, *table.records}):
        record = table.records.get(name)
        seen = table.updated_at.get(name)
        age = 0 if name == config.name else None if seen is None else now - seen
        members.append(
            {
                "name": name,
                "inside": name in inside,
                "voter": name in voters,
                "confirmed": 0 if record is None else record.confirmed_revision,
                "age": age,
                "trouble": "" if record is None else record.fault,
                "health": member.prober.health(name, table.incarnation_of(name)).value,
                "place": roster.addresses.get(name),
            }
        )
    return members

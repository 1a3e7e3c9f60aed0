"""What `tier status` shows of a member, as JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .member import Member


def status_report(member: Member, now: int) -> dict[str, Any]:
    """The member's own state, the head that it knows, and its record of each member."""
    head = None if member.known is None else member.known.head
    status, voter = member.standing(now), member.voter
    return {
        "name": member.config.name, "standing": status.name.lower(),
        "why": status.value, "turn": 0 if head is None else head.turn,
        "active": None if head is None else head.active.serial,
        "pending": None if head is None or head.pending is None else head.pending.serial,
        "waiting_for": member.waiting_for(), "members": _members(member, now),
        "voter": None if voter is None else voter.acceptor.mode.value,
        "old_disk": voter is not None and voter.acceptor.old,
    }  # fmt: skip


def _members(member: Member, now: int) -> list[dict[str, Any]]:
    roster, table, config = member.roster, member.membership, member.config
    inside, voters = set(roster.inside), set(config.voters)
    members = []
    for name in sorted({*roster.inside, *roster.out, *table.records}):
        record, seen = table.records.get(name), table.seen.get(name)
        age = 0 if name == config.name else None if seen is None else now - seen
        members.append({
            "name": name, "inside": name in inside, "voter": name in voters,
            "confirmed": 0 if record is None else record.confirmed, "age": age,
            "trouble": "" if record is None else record.trouble,
            "health": member.prober.health(name, table.life_of(name)).value,
            "place": roster.places.get(name),
        })  # fmt: skip
    return members

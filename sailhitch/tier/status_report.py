"""What `tier status` shows of a member, as JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .member import Member


def status_report(member: Member, now: int) -> dict[str, Any]:
    """Return the member's status, the chosen state that it knows, and a row for each member."""
    state = None if member.chosen is None else member.chosen.state
    status = member.member_status(now)
    voter = member.voter
    return {
        "name": member.config.name,
        "standing": status.value,
        "why": status.reason,
        "turn": 0 if state is None else state.revision,
        "active": None if state is None else state.active.serial,
        "pending": None if state is None or state.pending is None else state.pending.serial,
        "waiting_for": member.waiting_for(),
        "members": _members(member, now),
        "voter": None if voter is None else voter.acceptor.mode.value,
        "old_disk": voter is not None and voter.acceptor.has_lost_votes,
    }


def _members(member: Member, now: int) -> list[dict[str, Any]]:
    """Return a row for each member that is configured or has a record.

    Where this member has no configuration yet, `inside` is None, for unknown.
    """
    configuration = member.configuration
    table = member.membership
    config = member.config
    member_names = set(configuration.members)
    voters = set(config.voters)
    members = []
    for name in sorted({*configuration.members, *configuration.evicted, *table.records}):
        record = table.records.get(name)
        updated_at = table.updated_at.get(name)
        age = None if updated_at is None else now - updated_at
        if name == config.name:
            age = 0
        members.append(
            {
                "name": name,
                "inside": name in member_names if member.knows_configuration else None,
                "voter": name in voters,
                "confirmed": 0 if record is None else record.confirmed_revision,
                "age": age,
                "trouble": "" if record is None else record.fault,
                "health": member.prober.health(name, table.incarnation_of(name)).value,
                "place": configuration.addresses.get(name),
            }
        )
    return members

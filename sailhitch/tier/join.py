"""Changes of the roster: the one a member asks for by itself, and those an operator asks for."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from .roster import Roster, RosterIndex

RETRY: Final = 1_000_000  # us between two tries to be enrolled


class Enrolment:
    """Whether this member's own change of the roster is under way, and when to try the next."""

    def __init__(self) -> None:
        self._under_way = False
        self._next_at = 0

    def is_due(self, now: int) -> bool:
        """Whether a try may begin."""
        return not self._under_way and now >= self._next_at

    def begin(self, now: int) -> None:
        """A try begins."""
        self._under_way, self._next_at = True, now + RETRY

    def end(self) -> None:
        """The try has ended, whatever came of it."""
        self._under_way = False


def enrolled(index: RosterIndex, name: str, is_lapsed: Callable[[str], bool]) -> Roster | None:
    """The roster with `name` inside and without those put out that can't act any more.

    None where that is the roster that there is.

    Danger: a member that was put out comes back only after its lease has lapsed: what it may still
    do by an older lease would otherwise count as confirmed with what it does by the new one. It
    strikes others off all the same, or where all are out nobody ever would.
    """
    roster = index.roster
    gone = {other for other in roster.out if other != name and is_lapsed(other)}
    is_out = name in index.out
    if not gone and (is_out or name in index.inside):
        return None
    inside = roster.inside if is_out else {*roster.inside, name}
    return roster.with_members(inside, (other for other in roster.out if other not in gone))


def put_out(roster: Roster, name: str, has_leases: bool) -> Roster:
    """The roster without a member; where there are leases it is waited for until its own lapses."""
    inside = (other for other in roster.inside if other != name)
    return roster.with_members(inside, (*roster.out, name) if has_leases else roster.out)


def left(roster: Roster, name: str) -> Roster:
    """The roster after a member has left by itself: it is waited for no more."""
    inside = (other for other in roster.inside if other != name)
    return roster.with_members(inside, roster.out)


def placed(roster: Roster, name: str, place: str) -> Roster:
    """The roster with the address (`host:port`) of a member, that may not be in yet."""
    return Roster(roster.inside, roster.out, {**roster.places, name: place})

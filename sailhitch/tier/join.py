"""Changes of the roster: the one a member asks for by itself, and those an operator asks for."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from .configuration import Configuration, ConfigurationIndex

RETRY: Final = 1_000_000  # us between two tries to be enrolled


class JoinSchedule:
    """Whether this member's own change of the roster is under way, and when to try the next."""

    def __init__(self) -> None:
        self._under_way = False
        self._next_at = 0

    def is_due(self, now: int) -> bool:
        """Return whether a try may begin."""
        return not self._under_way and now >= self._next_at

    def begin(self, now: int) -> None:
        """A try begins."""
        self._under_way = True
        self._next_at = now + RETRY

    def end(self) -> None:
        """The try has ended, whatever came of it."""
        self._under_way = False


def with_joined(
    index: ConfigurationIndex, name: str, is_lapsed: Callable[[str], bool]
) -> Configuration | None:
    """Return the roster with `name` inside and without those put out that can't act any more.

    None where that is the roster that there is.

    A member that was put out comes back only after its lease has lapsed: what it may still
    do by an older lease would otherwise count as confirmed with what it does by the new one. It
    strikes others off all the same, or where all are out nobody ever would.
    """
    roster = index.configuration
    gone = {other for other in roster.evicted if other != name and is_lapsed(other)}
    is_out = name in index.evicted
    if not gone and (is_out or name in index.members):
        return None
    inside = roster.members if is_out else {*roster.members, name}
    return roster.with_members(inside, (other for other in roster.evicted if other not in gone))


def with_evicted(roster: Configuration, name: str, has_leases: bool) -> Configuration:
    """The roster without a member; where there are leases it is waited for until its own lapses."""
    inside = (other for other in roster.members if other != name)
    return roster.with_members(inside, (*roster.evicted, name) if has_leases else roster.evicted)


def without_member(roster: Configuration, name: str) -> Configuration:
    """Return the roster after a member has left by itself: it is waited for no more."""
    inside = (other for other in roster.members if other != name)
    return roster.with_members(inside, roster.evicted)


def with_address(roster: Configuration, name: str, address: str) -> Configuration:
    """Return the roster with the address (`host:port`) of a member, that may not be in yet."""
    return Configuration(roster.members, roster.evicted, {**roster.addresses, name: address})

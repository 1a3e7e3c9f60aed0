"""The roster: the members that a change waits for, and an index of it for repeated lookups."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class Roster(msgspec.Struct, frozen=True):
    """Members that a change waits for: those inside, and those put out that may still act."""

    inside: tuple[str, ...]
    out: tuple[str, ...]
    places: dict[str, str] = {}  # addresses that differ from the files', or that these don't have

    def content(self) -> bytes:
        """The canonical JSON of the roster: one text for one roster."""
        places = dict(sorted(self.places.items()))
        return msgspec.json.encode(
            Roster(tuple(sorted(self.inside)), tuple(sorted(self.out)), places)
        )

    def with_members(self, inside: Iterable[str], out: Iterable[str]) -> Roster:
        """A roster of these members with the same places."""
        return Roster(tuple(inside), tuple(out), self.places)


EMPTY_ROSTER = Roster((), ())


class RosterIndex:
    """Names of one roster in order, with their positions: computed once, as it is immutable."""

    def __init__(self, roster: Roster) -> None:
        self.roster = roster
        self.inside = frozenset(roster.inside)
        self.out = frozenset(roster.out)
        self.names = tuple(sorted(self.inside | self.out))
        self.positions = {name: position for position, name in enumerate(self.names)}


def decode_roster(content: bytes) -> Roster:
    """The roster with this content; raises msgspec.DecodeError."""
    return msgspec.json.decode(content, type=Roster)

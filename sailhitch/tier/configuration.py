"""The roster: the members that a change waits for, and an index of it for repeated lookups."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class Configuration(msgspec.Struct, frozen=True):
    """Members that a change waits for: those inside, and those put out that may still act."""

    members: tuple[str, ...] = msgspec.field(name="inside")
    evicted: tuple[str, ...] = msgspec.field(name="out")
    # Addresses that differ from those in the operator files, or are not in them.
    addresses: dict[str, str] = msgspec.field(default_factory=dict, name="places")

    def encode(self) -> bytes:
        """Return the canonical JSON of the roster: one text for one roster."""
        places = dict(sorted(self.addresses.items()))
        return msgspec.json.encode(
            Configuration(tuple(sorted(self.members)), tuple(sorted(self.evicted)), places)
        )

    def with_members(self, inside: Iterable[str], out: Iterable[str]) -> Configuration:
        """Return a roster of these members with the same places."""
        return Configuration(tuple(inside), tuple(out), self.addresses)


EMPTY_CONFIGURATION = Configuration((), ())


class ConfigurationIndex:
    """Names of one roster in order, with their positions: computed once, as it is immutable."""

    def __init__(self, roster: Configuration) -> None:
        self.configuration = roster
        self.members = frozenset(roster.members)
        self.evicted = frozenset(roster.evicted)
        self.names = tuple(sorted(self.members | self.evicted))
        self.positions = {name: position for position, name in enumerate(self.names)}


def decode_configuration(content: bytes) -> Configuration:
    """Return the roster with this content; raises msgspec.DecodeError."""
    return msgspec.json.decode(content, type=Configuration)

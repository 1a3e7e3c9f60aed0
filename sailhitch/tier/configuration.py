"""The configuration: the members that a change waits for, and an index for repeated lookups."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class Configuration(msgspec.Struct, frozen=True):
    """The members of a tier, and those evicted whose lease may still be valid."""

    members: tuple[str, ...] = msgspec.field(name="inside")
    evicted: tuple[str, ...] = msgspec.field(name="out")
    # Addresses that differ from those in the operator files, or are not in them.
    addresses: dict[str, str] = msgspec.field(default_factory=dict, name="places")

    def encode(self) -> bytes:
        """Return the canonical JSON: equal configurations have equal bytes."""
        addresses = dict(sorted(self.addresses.items()))
        return msgspec.json.encode(
            Configuration(tuple(sorted(self.members)), tuple(sorted(self.evicted)), addresses)
        )

    def with_members(self, members: Iterable[str], evicted: Iterable[str]) -> Configuration:
        """Return a configuration of these members with the same addresses."""
        return Configuration(tuple(members), tuple(evicted), self.addresses)


EMPTY_CONFIGURATION = Configuration((), ())


class ConfigurationIndex:
    """The sorted names of one configuration and their positions, computed once."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.members = frozenset(configuration.members)
        self.evicted = frozenset(configuration.evicted)
        self.names = tuple(sorted(self.members | self.evicted))
        self.positions = {name: position for position, name in enumerate(self.names)}


def decode_configuration(content: bytes) -> Configuration:
    """Return the configuration that was encoded so.

    Raises:
        msgspec.DecodeError: The content is not a configuration.
    """
    return msgspec.json.decode(content, type=Configuration)

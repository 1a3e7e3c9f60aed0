"""Changes of the configuration, as functions from one to the next."""

from __future__ import annotations

from collections.abc import Callable

from .configuration import Configuration, ConfigurationIndex


def with_joined(
    index: ConfigurationIndex, name: str, is_lease_expired: Callable[[str], bool]
) -> Configuration | None:
    """Return the configuration with `name` as a member, or None where nothing changes.

    Evicted members whose lease has expired are removed. An evicted member rejoins only after its
    own lease has expired: otherwise a confirmation under a new lease would also count for what it
    may still do under the old one. It removes others even while it is evicted itself, because no
    member could if all were evicted.
    """
    configuration = index.configuration
    expired = {
        other for other in configuration.evicted if other != name and is_lease_expired(other)
    }
    is_evicted = name in index.evicted
    if not expired and (is_evicted or name in index.members):
        return None
    members = configuration.members if is_evicted else {*configuration.members, name}
    return configuration.with_members(
        members, (other for other in configuration.evicted if other not in expired)
    )


def with_evicted(configuration: Configuration, name: str, has_leases: bool) -> Configuration:
    """Return the configuration without a member.

    Where there are leases, changes wait for the evicted member until its lease has expired.
    """
    members = (other for other in configuration.members if other != name)
    evicted = (*configuration.evicted, name) if has_leases else configuration.evicted
    return configuration.with_members(members, evicted)


def without_member(configuration: Configuration, name: str) -> Configuration:
    """Return the configuration after a member has left by itself; changes don't wait for it."""
    members = (other for other in configuration.members if other != name)
    return configuration.with_members(members, configuration.evicted)


def with_address(configuration: Configuration, name: str, address: str) -> Configuration:
    """Return the configuration with the address (`host:port`) of a present or future member."""
    addresses = {**configuration.addresses, name: address}
    return Configuration(configuration.members, configuration.evicted, addresses)

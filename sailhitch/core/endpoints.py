"""Entries and updates of an endpoint list, as received from its source."""

from __future__ import annotations

from dataclasses import dataclass

from ..policy_interface import Endpoint

Address = tuple[str, int]
MAX_PORT = 65535


def parse_host_port(text: str) -> Address | None:
    """Return the address of `host:port` with a numeric IPv4 host, or None for anything else."""
    host, colon, port = text.rpartition(":")
    octets = host.split(".")
    is_host = len(octets) == 4 and all(
        octet.isascii() and octet.isdigit() and int(octet) < 256 for octet in octets
    )
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    if not (colon and is_host and is_port):
        return None
    return host, int(port)


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """An endpoint in the decision module's form, and the address to connect to."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An update of the endpoint list: the whole list, or changes to it."""

    version: int
    is_snapshot: bool
    entries: tuple[EndpointAddress, ...]
    invalid_count: int  # entries that could not be read
    invalid_names: frozenset[str]  # names of those entries, where readable

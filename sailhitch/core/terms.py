"""What is told to the core by whoever wires it: hosts, bounds and reach. Times are microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NamedTuple

from ..front import Sizes
from ..interface import Listed

RESERVE: Final = 36  # descriptors for the loop, the listener, discovery, the log and files
SEATS: Final = 3  # fronts deal out one part in so many of the descriptors for requests

IDLE_MARGIN: Final = 3_000_000  # a connection is dropped so long before its host would drop it

FAR: Final = 1 << 62  # a time that never comes

Address = tuple[str, int]
Field = tuple[bytes, bytes, bytes]  # a field's name in lower case, as it came, and its value


class Answer(NamedTuple):
    """A host's whole answer."""

    status: int
    fields: list[Field]
    body: bytes | bytearray


def read_address(text: str) -> Address | None:
    """`host:port` with a numeric IPv4 host, as there is no DNS; None for anything else."""
    host, colon, port = text.rpartition(":")
    octets = host.split(".")
    fine = len(octets) == 4 and all(o.isascii() and o.isdigit() and int(o) < 256 for o in octets)
    if not (colon and fine and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        return None
    return host, int(port)


def idle_life(idle_timeout: int) -> int:
    """How long a connection is kept that its host drops after so long."""
    return max(idle_timeout // 2, idle_timeout - IDLE_MARGIN)


@dataclass(frozen=True, slots=True)
class Entry:
    """A host as a source of members lists it: for the module, and where to reach it."""

    listed: Listed
    addr: Address


@dataclass(frozen=True, slots=True)
class Roster:
    """News of members: the whole list or changes. `bad` counts entries out of form."""

    version: int
    full: bool
    entries: tuple[Entry, ...]
    bad: int
    bad_ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the process may use, and how long a request may take at the most."""

    memory_mb: int
    sockets: int  # descriptors
    max_open: int  # requests
    longest_deadline: int
    retry_most: int = 0  # advice may name no later time to come back; 0 for no advice
    seats: int = 0  # connections that fronts deal out for requests; 0: by the descriptors

    def seats_dealt(self) -> int:
        """Connections that fronts deal out for requests."""
        return self.seats or max(1, self.sockets // SEATS)

    def sizes(self) -> Sizes:
        """What they leave to clients and hosts."""
        return Sizes(max(8, self.sockets - RESERVE), self.seats_dealt())


@dataclass(frozen=True, slots=True)
class Reach:
    """How the hosts of a pool are reached."""

    connect_timeout: int
    idle_life: int  # a connection that has stood idle for so long is not used again
    # Whether answers other than 200 are answers too. Where not, they count as the host's failure.
    any_status: bool = False

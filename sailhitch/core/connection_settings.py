"""Settings of the connections to a pool's hosts. Times are microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

IDLE_MARGIN: Final = 3_000_000  # a connection is closed this long before its host closes it


def idle_lifetime(idle_timeout: int) -> int:
    """Return how long a connection may be idle and be reused, if its host has `idle_timeout`."""
    return max(idle_timeout // 2, idle_timeout - IDLE_MARGIN)


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """The settings of connections to the hosts of a pool."""

    connect_timeout: int
    idle_lifetime: int  # a connection idle for longer is not reused
    # Whether responses other than 200 are forwarded; otherwise they count as failures.
    passes_any_status: bool = False

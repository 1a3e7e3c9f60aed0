"""Settings of the connections to a pool's hosts. Times are microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

IDLE_MARGIN: Final = 3_000_000  # a connection is closed this long before its host would


def idle_lifetime(idle_timeout: int) -> int:
    """Return how long a connection is reused whose host closes it after `idle_timeout`."""
    return max(idle_timeout // 2, idle_timeout - IDLE_MARGIN)


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """The settings of connections to the hosts of a pool."""

    connect_timeout: int
    idle_lifetime: int  # a connection that has been idle for so long is not used again
    # Whether responses other than 200 are passed on too. If not, they count as failures.
    passes_any_status: bool = False

"""Hosts in maintenance: taken out by operators, which overrides the endpoint list.

This module alone decides in which state the decision module sees such a host. No I/O; times are
microseconds of the process's clock, which are comparable to a host's start time.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum
from typing import Final, NamedTuple

from ..policy_interface import Endpoint, EndpointState

MAX_KNOWN_NAMES: Final = 20_000  # of hosts ever listed; the least recently listed are forgotten


class MaintenanceResult(Enum):
    """The result of an operator's request."""

    CHANGED = "changed"
    ALREADY = "already"
    UNKNOWN = "unknown"  # no such host was ever listed


class CompletedBan(NamedTuple):
    """Begin and end of a maintenance that is over."""

    entered: int
    left: int


class Maintenance:
    """Hosts in maintenance (bans), and hosts that have recently returned from it."""

    def __init__(self) -> None:
        self.known_names: OrderedDict[str, None] = OrderedDict()
        self.bans: dict[str, int] = {}  # begin of the maintenance, by name
        self.returned: dict[str, CompletedBan] = {}

    def add_names(self, names: Iterable[str]) -> None:
        """Record the names of listed hosts."""
        for name in names:
            self.known_names[name] = None
            self.known_names.move_to_end(name)
        while len(self.known_names) > MAX_KNOWN_NAMES:
            self.known_names.popitem(last=False)

    def knows(self, name: str) -> bool:
        """Return whether a host of this id was ever listed."""
        return name in self.known_names or name in self.bans

    def is_out(self, name: str) -> bool:
        """Return whether the host is in maintenance."""
        return name in self.bans

    def enter(self, name: str, now: int) -> MaintenanceResult:
        """Take a host out; one `leave` puts it back, however often this is called."""
        if name in self.bans:
            return MaintenanceResult.ALREADY
        if name not in self.known_names:
            return MaintenanceResult.UNKNOWN
        self.bans[name] = now
        self.returned.pop(name, None)
        return MaintenanceResult.CHANGED

    def leave(self, name: str, now: int) -> MaintenanceResult:
        """Put a host back; one call undoes any number of `enter`."""
        entered = self.bans.pop(name, None)
        if entered is None:
            known = name in self.known_names
            return MaintenanceResult.ALREADY if known else MaintenanceResult.UNKNOWN
        self.returned[name] = CompletedBan(entered, now)
        return MaintenanceResult.CHANGED

    def apply_to(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint as the decision module is to receive it.

        Hosts are usually taken out to be restarted, and the list reports the new start time late.
        A host that has just returned would be overloaded if it were treated as warm. So it counts
        as started at the end of its ban, until the list reports a start after the ban's begin.
        """
        name = endpoint.name
        if name in self.bans:
            if endpoint.state == EndpointState.READY:
                return endpoint._replace(state=EndpointState.DRAINING)
            return endpoint
        completed = self.returned.get(name)
        if completed is None:
            return endpoint
        if endpoint.started_at >= completed.entered:
            del self.returned[name]
            return endpoint
        return endpoint._replace(started_at=completed.left)

    def forget(self, name: str) -> None:
        """Forget the completed ban of a host that left the list; an open ban is kept."""
        self.returned.pop(name, None)

"""Hosts in maintenance: taken out by hand, which overrides the endpoint list.

The only place that decides what the decision module receives of such a host. No I/O; times are
microseconds of the process's clock, which is comparable to a host's time of start.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum
from typing import Final, NamedTuple

from ..policy_interface import Endpoint, EndpointState

MAX_KNOWN_NAMES: Final = 20_000  # of all hosts ever listed; older ones are unknown


class MaintenanceResult(Enum):
    """The result of a call."""

    CHANGED = "changed"
    ALREADY = "already"
    UNKNOWN = "unknown"  # never listed here


class CompletedBan(NamedTuple):
    """A host that was put back: when it was taken out, and when its ban ended."""

    entered: int
    left: int


class Maintenance:
    """Hosts in maintenance (bans), and hosts that have returned from it."""

    def __init__(self) -> None:
        self.known_names: OrderedDict[str, None] = OrderedDict()
        self.bans: dict[str, int] = {}  # since when, by name
        self.returned: dict[str, CompletedBan] = {}

    def add_names(self, names: Iterable[str]) -> None:
        """Record names that are or were endpoint."""
        for name in names:
            self.known_names[name] = None
            self.known_names.move_to_end(name)
        while len(self.known_names) > MAX_KNOWN_NAMES:
            self.known_names.popitem(last=False)

    def knows(self, name: str) -> bool:
        """Return whether a host of this id was ever listed here."""
        return name in self.known_names or name in self.bans

    def is_out(self, name: str) -> bool:
        """Return whether the host is in maintenance."""
        return name in self.bans

    def enter(self, name: str, now: int) -> MaintenanceResult:
        """Take a host out; however often this is called, one `leave` puts it back."""
        if name in self.bans:
            return MaintenanceResult.ALREADY
        if name not in self.known_names:
            return MaintenanceResult.UNKNOWN
        self.bans[name] = now
        self.returned.pop(name, None)
        return MaintenanceResult.CHANGED

    def leave(self, name: str, now: int) -> MaintenanceResult:
        """Put a host back; one call ends any number of `enter`."""
        entered = self.bans.pop(name, None)
        if entered is None:
            known = name in self.known_names
            return MaintenanceResult.ALREADY if known else MaintenanceResult.UNKNOWN
        self.returned[name] = CompletedBan(entered, now)
        return MaintenanceResult.CHANGED

    def apply_to(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint as the decision module is to receive it.

        Hosts are taken out to be restarted, and the list reports a start late. If a host that has
        just returned were taken for a warm one, it would be overloaded. So it counts as started at
        the end of its ban, until the list reports a start later than the ban's begin.
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
        """Forget the completed ban of a host that left the list; a ban remains, for its return."""
        self.returned.pop(name, None)

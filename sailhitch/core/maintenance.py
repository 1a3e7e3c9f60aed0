"""Hosts taken out by hand: a ban lies over the list, whatever the list says.

The one place that decides what the module hears of a host that staff have a hand on. No I/O; times
are microseconds of the process's clock, which compares with a host's time of start.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum
from typing import Final, NamedTuple

from ..policy_interface import (
    Endpoint,
    EndpointState,
)

REMEMBERED: Final = 20_000  # ids ever listed; a call that names an older one is answered no


class MaintenanceResult(Enum):
    """What a call came to."""

    CHANGED = "changed"
    ALREADY = "already"
    UNKNOWN = "unknown"  # never listed here


class CompletedBan(NamedTuple):
    """A host that was put back: when it was taken out, and when its ban ended."""

    entered: int
    left: int


class Maintenance:
    """Bans, and what is still to be borne in mind after them."""

    def __init__(self) -> None:
        self.known_names: OrderedDict[str, None] = OrderedDict()
        self.bans: dict[str, int] = {}  # since when
        self.returned: dict[str, CompletedBan] = {}

    def add_names(self, names: Iterable[str]) -> None:
        """These are or were listed."""
        for name in names:
            self.known_names[name] = None
            self.known_names.move_to_end(name)
        while len(self.known_names) > REMEMBERED:
            self.known_names.popitem(last=False)

    def knows(self, name: str) -> bool:
        """Return whether a host of this id was ever listed here."""
        return name in self.known_names or name in self.bans

    def is_out(self, name: str) -> bool:
        """Return whether staff have taken it out."""
        return name in self.bans

    def enter(self, name: str, now: int) -> MaintenanceResult:
        """Take a host out. Its ban lasts until `leave`, however often this is said."""
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
            return (
                MaintenanceResult.ALREADY if name in self.known_names else MaintenanceResult.UNKNOWN
            )
        self.returned[name] = CompletedBan(entered, now)
        return MaintenanceResult.CHANGED

    def apply_to(self, listed: Endpoint) -> Endpoint:
        """Return what the module is to hear of a host that is listed so.

        Hosts are taken out to be restarted, and the list tells of a start late. Taken for
        a warm one, a host that has just come back is pushed over. So from the end of its ban on it
        counts as started then, until the list tells of a start since it was taken out.
        """
        name = listed.name
        if name in self.bans:
            return (
                listed._replace(state=EndpointState.DRAINING)
                if listed.state == EndpointState.READY
                else listed
            )
        back = self.returned.get(name)
        if back is None:
            return listed
        if listed.started_at >= back.entered:
            del self.returned[name]
            return listed
        return listed._replace(started_at=back.left)

    def forget(self, name: str) -> None:
        """A host has left the list. Its ban stays: it may come back under the same id."""
        self.returned.pop(name, None)

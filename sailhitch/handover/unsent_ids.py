"""Changes of request ids that wait for a link to another process.

A process that is stalled reads nothing, for as long as it likes. What it would be told meanwhile is
kept as the net change of each id, whose number is limited by the requests that are open.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum, auto
from typing import Final

import msgspec

from ..core.recent_requests import MAX_IDS

IDS_PER_FRAME: Final = 256


class RequestIds(msgspec.Struct, array_like=True, frozen=True):
    """Changes of the ids that a process has open, in the order in which they are applied."""

    opened: list[bytes] = []
    closed: list[bytes] = []  # never ran, or its client got the response
    may_have_run: list[bytes] = []  # ended after its client had left


class IdChange(Enum):
    """What the other process is to be told of an id."""

    OPENED = auto()
    CLOSED = auto()
    MAY_HAVE_RUN = auto()


class UnsentIds:
    """The net change of each id since the last `take`."""

    def __init__(self) -> None:
        self._changes: dict[bytes, IdChange] = {}
        self._open_there: set[bytes] = set()  # that the other process takes for open

    def add(self, name: bytes, change: IdChange) -> None:
        """Add a change of an id, which replaces an earlier one."""
        self._changes.pop(name, None)
        if change is IdChange.CLOSED and name not in self._open_there:
            return  # the other process was not told of it
        self._changes[name] = change  # the newest last
        if change is IdChange.MAY_HAVE_RUN:
            self._limit()

    def _limit(self) -> None:
        """Drop the oldest ids that may have run: the other process would forget them as well."""
        names = [name for name, one in self._changes.items() if one is IdChange.MAY_HAVE_RUN]
        if len(names) > 2 * MAX_IDS:
            for name in names[:MAX_IDS]:
                self.add(name, IdChange.CLOSED)

    def __len__(self) -> int:
        """Return the number of ids whose change is unsent."""
        return len(self._changes)

    def take(self) -> Iterator[RequestIds]:
        """Return all changes, as they are sent now, in parts."""
        changes, self._changes = self._changes, {}
        names = list(changes)
        for first in range(0, len(names), IDS_PER_FRAME):
            yield self._part({name: changes[name] for name in names[first : first + IDS_PER_FRAME]})

    def _part(self, changes: dict[bytes, IdChange]) -> RequestIds:
        part = RequestIds([], [], [])
        for name, change in changes.items():
            if change is IdChange.OPENED:
                self._open_there.add(name)
                part.opened.append(name)
                continue
            self._open_there.discard(name)
            (part.closed if change is IdChange.CLOSED else part.may_have_run).append(name)
        return part

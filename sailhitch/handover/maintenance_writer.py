"""Keeps what staff have said of hosts on disk, again where that fails, until it is there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from ..core.log import Log
from .files import HandoverFiles
from .snapshot import ProcessSnapshot

RETRY: Final = 0.1  # s until a write that failed is tried again; doubles with each failure...
RETRY_MAX: Final = 2.0  # ...up to this


class MaintenanceWriter:
    """Writes the latest bans.

    The write is made in the call, before staff have their answer: a process may be killed right
    after that. Where it fails, the ban holds in this process and for a successor that asks, and the
    file follows once the disk takes it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        places: HandoverFiles,
        latest: Callable[[], ProcessSnapshot],
        log: Log,
    ) -> None:
        self._loop = loop
        self._places = places
        self._latest = latest
        self._log = log
        self._pause = RETRY
        self._again: asyncio.TimerHandle | None = None

    def write(self) -> None:
        """Write what holds now; where that fails, try again later."""
        if self._again is not None:
            self._again.cancel()
            self._again = None
        try:
            self._places.write_maintenance(self._latest())
        except OSError as error:
            path = self._places.maintenance_file
            self._log.write_limited("bans", f"handover: bans can't be kept in {path} yet: {error}")
            self._again = self._loop.call_later(self._pause, self.write)
            self._pause = min(2 * self._pause, RETRY_MAX)
            return
        if self._pause > RETRY:
            self._log.write("handover: bans are kept")
        self._pause = RETRY

    def close(self) -> None:
        """Try a last time, if something is not kept yet."""
        if self._again is not None:
            self.write()
        if self._again is not None:
            self._again.cancel()
            self._log.write(f"handover: bans were not kept in {self._places.maintenance_file}")

"""Writes maintenance marks to disk, and retries with backoff on failure."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from ..core.log import Log
from .files import HandoverFiles
from .snapshot import ProcessSnapshot

BACKOFF_MIN: Final = 0.1  # s until a failed write is retried; doubles with each failure...
BACKOFF_MAX: Final = 2.0  # ...up to this


class MaintenanceWriter:
    """Writes the latest maintenance marks.

    It writes synchronously, before the operator gets a response, as the process may be killed right
    after that. If the write fails, the mark still applies in this process and is passed to a
    successor, and the write is retried until it succeeds.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        files: HandoverFiles,
        latest_snapshot: Callable[[], ProcessSnapshot],
        log: Log,
    ) -> None:
        self._loop = loop
        self._files = files
        self._latest_snapshot = latest_snapshot
        self._log = log
        self._backoff = BACKOFF_MIN
        self._retry: asyncio.TimerHandle | None = None

    def write(self) -> None:
        """Write the current marks; if that fails, retry later."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        try:
            self._files.write_maintenance(self._latest_snapshot())
        except OSError as error:
            path = self._files.maintenance_file
            self._log.write_limited(
                "bans", f"handover: can't write maintenance marks to {path}: {error}"
            )
            self._retry = self._loop.call_later(self._backoff, self.write)
            self._backoff = min(2 * self._backoff, BACKOFF_MAX)
            return
        if self._backoff > BACKOFF_MIN:
            self._log.write("handover: maintenance marks are written to disk again")
        self._backoff = BACKOFF_MIN

    def close(self) -> None:
        """Retry a last time if the last write failed."""
        if self._retry is not None:
            self.write()
        if self._retry is not None:
            self._retry.cancel()
            self._log.write(f"handover: marks not written to {self._files.maintenance_file}")

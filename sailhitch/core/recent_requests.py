"""Remembers the ids of requests that must not run a second time, for a while.

A client sends each request under a new id. One that comes again under the id of a request that may
have run, and whose client had left, would take effect twice. So would one under an id that another
process of this gateway has open.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from .timer_wheel import MS

if TYPE_CHECKING:
    from .interfaces import RequestIdObserver
    from .request_context import RequestContext

PERIOD: Final = 10_000 * MS  # us; an id is remembered for one to two of them
MAX_IDS: Final = 8192  # of a period; more begin the next period early
MAX_IDS_ELSEWHERE: Final = 65_536  # open at other processes; more are not recorded


class RecentRequests:
    """The ids of the current and of the previous period."""

    def __init__(self) -> None:
        self._current: set[bytes] = set()
        self._previous: set[bytes] = set()
        self._until = 0  # end of the current period
        self._elsewhere: set[bytes] = set()  # open at other processes
        self.observer: RequestIdObserver | None = None

    def on_opened(self, request: RequestContext) -> None:
        """Take note of a request that may run from now on."""
        if self.observer is not None and request.is_unsafe():
            self.observer.on_opened(request.name)

    def on_closed(self, request: RequestContext, now: int) -> None:
        """Remember the id of a request that has ended, if it must not come again."""
        if not request.is_unsafe():
            return
        may_have_run = request.client_left and request.first_run_at > 0
        if may_have_run:
            self.add(request.name, now)
        if self.observer is not None:
            self.observer.on_closed(request.name, may_have_run)

    def add(self, name: bytes, now: int) -> None:
        """Remember the id of a request that may have run."""
        self.expire(now)
        if len(self._current) >= MAX_IDS:
            self._begin_period(now)
        self._current.add(name)

    def expire(self, now: int) -> None:
        """Forget ids whose time is over; also called while no request comes."""
        if now >= self._until + PERIOD:
            self._current = set()
        if now >= self._until:
            self._begin_period(now)

    def _begin_period(self, now: int) -> None:
        self._previous = self._current
        self._current = set()
        self._until = now + PERIOD

    def __len__(self) -> int:
        """Return the number of ids in memory."""
        return len(self._current) + len(self._previous)

    def open_elsewhere(self, name: bytes) -> None:
        """Record an id that another process of this gateway has open."""
        if len(self._elsewhere) < MAX_IDS_ELSEWHERE:
            self._elsewhere.add(name)

    def close_elsewhere(self, name: bytes) -> None:
        """Forget an id that another process has no longer open."""
        self._elsewhere.discard(name)

    def end_elsewhere(self, now: int) -> None:
        """Remember all ids that other processes had open, as one of these has ended."""
        for name in self._elsewhere:
            self.add(name, now)
        self._elsewhere = set()

    def __contains__(self, name: bytes) -> bool:
        return name in self._current or name in self._previous or name in self._elsewhere

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the ids of requests that may have run."""
        yield from self._previous
        yield from self._current

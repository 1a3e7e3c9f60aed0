"""Timers of the gateway: one heap, one timer of the loop, and nothing that can end them."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from typing import Final, Generic, TypeVar

MS: Final = 1000
LATE: Final = 40 * MS  # a loop later than that lets sockets speak before timers

T = TypeVar("T")


class Wheel(Generic[T]):
    """Hands `fire(what, at, now)` each entry when its time has come; times are microseconds.

    Guards against an entry that raises: it costs that entry, which `failed` is told of, and the
    others go on. Without that one exception in any periodic part would end every deadline. Danger:
    an entry that always raises and is pushed again by its own work is a line in the log each time.

    Nearly every entry is a time-out of something that ended long before. `moot(what, at)` says so,
    and the loop is not woken for it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        fire: Callable[[T, int, int], None],
        failed: Callable[[T, Exception], None],
        stalled: Callable[[int, int], None],
        moot: Callable[[T, int], bool] = lambda what, at: False,
    ) -> None:
        self.loop, self.clock, self.fire, self.failed = loop, clock, fire, failed
        self.moot = moot
        self.stalled = stalled  # told the time and how late it is, before sockets are read
        self.lag = 0  # how late the last turn was
        self.worst = 0  # the most of it that has been seen; for whoever reads it to set back
        self._heap: list[tuple[int, int, T]] = []
        self._seq = 0
        self._armed = 0
        self._handle: asyncio.TimerHandle | None = None

    def push(self, at: int, what: T) -> None:
        """Fire `what` at that time. Entries can't be taken back."""
        self._seq += 1
        heapq.heappush(self._heap, (at, self._seq, what))
        if not self._armed or at < self._armed:
            self._arm(at)

    def stop(self) -> None:
        """Fire nothing more."""
        if self._handle is not None:
            self._handle.cancel()

    def _arm(self, at: int) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._armed = at
        # Danger: the loop's timers count in milliseconds, cut down; one too early fires twice.
        delay = max(1, (at - self.clock() + 999) // 1000) / 1000
        self._handle = self.loop.call_later(delay, self._wake)

    def _wake(self) -> None:
        now = self.clock()
        late = now - self._armed
        self._handle = None
        self.lag = late if late > 2 * MS else 0
        if late > LATE:
            # Danger: after a stall, timers come before what the sockets hold. Answers that have
            # long arrived would count as timed out, and requests go to hosts told to drain.
            self.worst = max(self.worst, late)
            self._handle = self.loop.call_later(0.001, self._turn)
            self.stalled(now, late)
            return
        self._turn()

    def _turn(self) -> None:
        heap = self._heap
        now = self.clock()
        try:
            while heap and heap[0][0] <= now:
                at, _, what = heapq.heappop(heap)
                try:
                    self.fire(what, at, now)
                except Exception as error:
                    self.failed(what, error)
        finally:
            # Whatever happened above, also to `failed` itself, the next turn comes.
            self._armed = 0
            while heap and self.moot(heap[0][2], heap[0][0]):
                heapq.heappop(heap)
            if heap:
                self._arm(heap[0][0])

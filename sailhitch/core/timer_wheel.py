"""A queue of timers: a heap on one timer of the event loop, with entries isolated from errors."""

from __future__ import annotations

import asyncio
import heapq
from collections import deque
from collections.abc import Callable
from typing import Final, Generic, TypeVar

MS: Final = 1000
NEVER: Final = 1 << 62  # us; later than any other time
TIMER_DELAY: Final = 2 * MS  # of timers on an idle event loop, at most
MIN_COMPACTED: Final = 128  # entries, from which on stale ones are looked for
LATE: Final = 40 * MS  # delay that counts as a stall; sockets are read before timers fire

T = TypeVar("T")


class TimerQueue(Generic[T]):
    """Calls `fire(target, at, now)` for each entry when it is due; times are microseconds.

    An exception from `fire` is passed to `failed`, and the other entries still fire. An entry that
    always raises and pushes itself again is reported each time.

    Nearly every entry is a timeout of something that has ended before it is due.
    `is_stale(target, at)` tells that for good: the event loop is not woken for a stale entry, and
    those that are not due yet are dropped before they make up much of the queue.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        fire: Callable[[T, int, int], None],
        failed: Callable[[T, Exception], None],
        stalled: Callable[[int, int], None],
        is_stale: Callable[[T, int], bool],
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.fire = fire
        self.failed = failed
        self.is_stale = is_stale
        self.stalled = stalled  # called with the time and the delay, before sockets are read
        self.lag = 0  # delay of the last wake-up; 0 if within `TIMER_DELAY`
        self.max_lag = 0  # longest stall since the statistics reset it
        self._heap: list[tuple[int, int, T]] = []
        self._sequence = 0
        self._compact_from = MIN_COMPACTED  # entries
        self._armed_at = 0
        self._handle: asyncio.TimerHandle | None = None

    def push(self, at: int, target: T) -> None:
        """Fire `target` at time `at`; an entry can't be cancelled."""
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, target))
        if len(self._heap) > self._compact_from:
            self._drop_stale()
        if not self._armed_at or at < self._armed_at:
            self._arm(at)

    def __len__(self) -> int:
        """Return the number of entries, stale ones included."""
        return len(self._heap)

    def _drop_stale(self) -> None:
        """Drop stale entries, the next time once the queue has doubled."""
        heap = self._heap
        heap[:] = [entry for entry in heap if not self.is_stale(entry[2], entry[0])]
        heapq.heapify(heap)
        self._compact_from = max(MIN_COMPACTED, 2 * len(heap))

    def stop(self) -> None:
        """Fire no further entry."""
        if self._handle is not None:
            self._handle.cancel()

    def _arm(self, at: int) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._armed_at = at
        # Rounded up, as the event loop's timers round down to milliseconds: one that fires early
        # would have to be set again.
        delay = max(1, (at - self.clock() + 999) // 1000) / 1000
        self._handle = self.loop.call_later(delay, self._wake)

    def _wake(self) -> None:
        now = self.clock()
        late = now - self._armed_at
        self._handle = None
        self.lag = late if late > TIMER_DELAY else 0
        if late > LATE:
            # After a stall the event loop runs timers before it reads sockets: responses that have
            # arrived would count as timed out, and requests would be sent to draining hosts.
            self.max_lag = max(self.max_lag, late)
            self._handle = self.loop.call_later(0.001, self._fire_due)
            self.stalled(now, late)
            return
        self._fire_due()

    def _fire_due(self) -> None:
        heap = self._heap
        now = self.clock()
        due = deque[tuple[int, int, T]]()  # what is pushed meanwhile waits for the next wake-up
        while heap and heap[0][0] <= now:
            due.append(heapq.heappop(heap))
        try:
            while due:
                at, _, target = due.popleft()
                try:
                    self.fire(target, at, now)
                except Exception as error:
                    self.failed(target, error)
        finally:
            # Set the event loop's timer again even if `failed` raises.
            for entry in due:
                heapq.heappush(heap, entry)
            self._armed_at = 0
            while heap and self.is_stale(heap[0][2], heap[0][0]):
                heapq.heappop(heap)
            if heap:
                self._arm(heap[0][0])

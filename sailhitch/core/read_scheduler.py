"""Shares the event loop between connections whose bytes are expensive to parse.

A body in chunks of one byte costs a hundred times as much as the same bytes in one chunk. A
connection whose last read took long waits here for its next turn, so that an iteration of the loop
stays short whatever peers send.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final, Protocol

EXPENSIVE_READ: Final = 0.000_25  # s of processor time, from which on a connection waits
ITERATION_TIME: Final = 0.004  # s of processor time that waiting connections get in one iteration


class DeferredReader(Protocol):
    """A connection that waits for its next turn."""

    def end_wait(self) -> None:
        """Read again."""

    def is_gone(self) -> bool:
        """Return whether the connection is closed, so that it reads no more."""


class ReadScheduler:
    """Resumes waiting connections in order, as many in an iteration as there is time for.

    Those whose bytes are cheap for their size, as of a long body, share one half of the time, and
    all others the rest: neither waits for the other.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.is_held = False  # nobody reads on, as memory is short
        self._cheap: deque[tuple[DeferredReader, float]] = deque()
        self._expensive: deque[tuple[DeferredReader, float]] = deque()

    def wait(self, reader: DeferredReader, cost: float, is_cheap: bool) -> None:
        """Let a connection wait; its last read took `cost` seconds, and so may its next.

        `is_cheap`: for the size of that read.
        """
        if not self._cheap and not self._expensive and not self.is_held:
            self._loop.call_soon(self._resume)
        (self._cheap if is_cheap else self._expensive).append((reader, cost))

    def hold(self) -> None:
        """Let all that wait go on waiting until `release`."""
        self.is_held = True

    def release(self) -> None:
        """Resume those that wait."""
        if self.is_held:
            self.is_held = False
            self._loop.call_soon(self._resume)

    def _resume(self) -> None:
        if self.is_held:
            return
        left = self._resume_some(self._cheap, ITERATION_TIME / 2)
        self._resume_some(self._expensive, ITERATION_TIME / 2 + max(0.0, left))
        if self._cheap or self._expensive:
            self._loop.call_soon(self._resume)

    def _resume_some(self, waiting: deque[tuple[DeferredReader, float]], left: float) -> float:
        """Resume connections for `left` seconds of parsing; return what is left of that."""
        while waiting and left > 0.0:
            reader, cost = waiting.popleft()
            if reader.is_gone():
                continue
            left -= cost
            self._loop.call_soon(reader.end_wait)  # isolated from the others' exceptions
        return left

"""A loop whose clock is the test's: it stands while anything happens, and jumps when nothing does.

For peers over loopback in one process. A test that says how long something takes says it exactly,
however busy the machine is.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any
from unittest import mock

# Nothing has come for so long (real s): what the kernel was given has been delivered.
QUIET = 0.0005


class _Selector(selectors.DefaultSelector):
    """Waits for sockets for a moment only, then lets the clock jump."""

    jumped = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout <= 0:
            return super().select(0)
        ready = super().select(QUIET)
        if not ready and timeout is not None:
            self.jumped += timeout
        return ready


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.jumped


async def eventually(condition: Callable[[], bool]) -> None:
    """Wait for a condition, for a virtual minute at the most; tells to a hundredth of a second."""
    async with asyncio.timeout(60.0):
        while not condition():
            await asyncio.sleep(0.01)


def play(story: Coroutine[Any, Any, None]) -> None:
    """Run it by a clock of its own, which starts at 0."""
    with asyncio.Runner(loop_factory=_Loop) as runner:
        loop = runner.get_loop()
        # The gateway's own clock is the same one.
        clock = mock.Mock(side_effect=lambda: int((1000.0 + loop.time()) * 1e9))
        with mock.patch("time.monotonic_ns", clock):
            runner.run(story)

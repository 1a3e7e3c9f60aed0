"""An event loop in virtual time: its clock stands still during work and jumps to the next timer.

For tests whose peers communicate over loopback in one process. Durations in such a test are exact,
however busy the machine is.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any
from unittest import mock

# Real seconds without input after which the kernel has delivered all that was sent.
QUIET = 0.0005


class _Selector(selectors.DefaultSelector):
    """Waits for sockets only briefly, then advances the clock by the timeout."""

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
    """Wait for a condition, at most a virtual minute; checks it every hundredth of a second."""
    async with asyncio.timeout(60.0):
        while not condition():
            await asyncio.sleep(0.01)


def play(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine with a virtual clock that starts at 0."""
    with asyncio.Runner(loop_factory=_Loop) as runner:
        loop = runner.get_loop()
        # The gateway's clock follows the loop's.
        clock = mock.Mock(side_effect=lambda: int((1000.0 + loop.time()) * 1e9))
        with mock.patch("time.monotonic_ns", clock):
            runner.run(scenario)

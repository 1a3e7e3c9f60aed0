"""After a long stall of the event loop, attempts wait until the tier's decisions are applied.

A gateway that was stopped for seconds may have been declared dead, and the other members' orders
about zones do not wait for dead members. When it resumes, the requests buffered in its sockets
would be sent under an outdated order. So attempts wait until it has read the register and applied
what it found.
"""

from __future__ import annotations

import asyncio
from typing import Final

from ..core.core import GatewayCore
from ..core.log import Log
from ..tier.member import Member
from .tier_link import TierLink

MIN_STALL: Final = 1_000_000  # us; a member is probed once a second, and declared dead later
MAX_WAIT: Final = 1.0  # s; then a gateway that is cut off continues with what it last knew
CONFIRM_POLL: Final = 0.005  # s


class CatchUp:
    """Decides whether attempts have to wait for what the tier decided during a stall."""

    def __init__(self, link: TierLink, core: GatewayCore, log: Log) -> None:
        self._link = link
        self._core = core
        self._log = log
        self._task: asyncio.Task[None] | None = None

    def is_needed(self) -> bool:
        """Return whether attempts have to wait now; also detects a long stall that just ended."""
        if self._task is None and self._link.overdue() >= MIN_STALL:
            self._begin()
        return self._task is not None

    def _begin(self) -> None:
        self._core.catching_up = True
        self._task = asyncio.get_running_loop().create_task(self._read_and_apply())

    async def _read_and_apply(self) -> None:
        """Read the register and wait until what it holds is applied; give up after `MAX_WAIT`."""
        link = self._link
        try:
            async with asyncio.timeout(MAX_WAIT):
                completed = await link.run_job(Member.read)
                assert completed is not None
                while not link.has_confirmed(completed.state.revision):
                    await asyncio.sleep(CONFIRM_POLL)
        except TimeoutError:
            self._log.write("tier: resuming after a stall without having read the register")
        finally:
            self._task = None
            self._core.catching_up = False

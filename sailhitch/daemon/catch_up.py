"""After a long stall of the event loop, what the tier decided meanwhile comes before requests.

A gateway that was stopped for seconds may have been declared dead, and others' orders about zones
do not wait for the dead. Requests that lie in its sockets would go out by its old order when it
goes on. So attempts wait until it has read the register and applied what it found.
"""

from __future__ import annotations

import asyncio
from typing import Final

from ..core.core import GatewayCore
from ..core.log import Log
from ..tier.member import Member
from .tier_link import TierLink

MIN_STALL: Final = 1_000_000  # us; a member is probed once a second, and declared dead later
MAX_WAIT: Final = 1.0  # s; a gateway that is cut off goes on by what it last knew
CONFIRM_POLL: Final = 0.005  # s


class CatchUp:
    """Whether attempts have to wait for what the tier decided in a stall."""

    def __init__(self, link: TierLink, core: GatewayCore, log: Log) -> None:
        self._link = link
        self._core = core
        self._log = log
        self._task: asyncio.Task[None] | None = None

    def is_needed(self) -> bool:
        """Return whether attempts have to wait now; a long stall that has just ended counts."""
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
            self._log.write("tier: goes on after a stall without having heard what holds now")
        finally:
            self._task = None
            self._core.catching_up = False

"""Wait with a timeout that doesn't expire just because the event loop was stalled."""

from __future__ import annotations

import asyncio
from typing import Any, Final

# s, enough for the event loop to read what has arrived...
READ_DELAY: Final = 0.001
# ...and to report a connection that the system has established.
CONNECT_DELAY: Final = 0.01


async def wait_until_done(
    future: asyncio.Future[Any], timeout: float, delay: float = READ_DELAY
) -> bool:
    """Wait for a future for at most `timeout` s; return whether it is done.

    After a stall the event loop runs timers before it handles what its sockets have received. So
    the future has `delay` more seconds after the timeout. It is not cancelled.
    """
    await asyncio.wait((future,), timeout=timeout)
    if not future.done():
        await asyncio.sleep(delay)
    return future.done()

"""What the operating system's errors on sockets mean, and whether a shortage of its lasts.

Sources: accept(2), connect(2) and socket(2) of the Linux manual pages.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final, TypeVar

if TYPE_CHECKING:
    from ..core.core import GatewayCore

# A process or system that has no more descriptors or buffers to give.
OUT_OF_RESOURCES: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# connect(2) failed on this machine, before a packet left it: no free port, no route, no buffer.
LOCAL_CONNECT_ERRORS: Final = OUT_OF_RESOURCES | {
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.ENETDOWN,
    errno.ENETUNREACH,
}
# accept(2) reports an error of the connection that it took from the queue; the next one is sound.
CONNECTION_LOST_IN_QUEUE: Final = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.ECONNRESET,
    }
)
RETRY_PAUSE: Final = 0.01  # s between two tries of a call that failed for a local reason
LASTING: Final = 250_000  # us without a success after which a shortage lasts by default...
LASTING_FAILURES: Final = 3  # ...if it has failed so often by then
START_PATIENCE: Final = 2.0  # s for which a start goes on trying

T = TypeVar("T")


class Shortage:
    """Tells a momentary failure of the system from one that lasts, for one kind of call."""

    __slots__ = ("_failures", "_lasting", "_since")

    def __init__(self, lasting: int = LASTING) -> None:
        """Count a shortage as lasting after `lasting` microseconds without a success."""
        self._lasting = lasting
        self._failures = self._since = 0

    def on_failure(self, now: int, number: int) -> bool:
        """Record a failure with this errno at `now` (us); return whether the shortage lasts.

        EMFILE is this process's own limit, and lasts until it closes something. The others are
        shared with all processes, and may be over with the next call.
        """
        if number == errno.EMFILE:
            return True
        if not self._failures:
            self._since = now
        self._failures += 1
        return self._failures >= LASTING_FAILURES and now - self._since >= self._lasting

    def on_success(self) -> None:
        """Record a success."""
        self._failures = 0


def free_if_lasting(core: GatewayCore, shortage: Shortage, number: int) -> None:
    """Record a failed call's errno; free descriptors where they are short and that lasts."""
    if number in OUT_OF_RESOURCES and shortage.on_failure(core.clock(), number):
        core.on_descriptors_exhausted(own_limit=number == errno.EMFILE)


async def retry_shortage(open_resource: Callable[[], Awaitable[T]]) -> T:
    """Open something at the start of a process, again while the system is out of resources.

    A full queue of who is connected to (EAGAIN, unix(7)) counts as such. Raises the last OSError
    after START_PATIENCE, and any other at once.
    """
    loop = asyncio.get_running_loop()
    give_up = loop.time() + START_PATIENCE
    while True:
        try:
            return await open_resource()
        except OSError as error:
            short = error.errno in OUT_OF_RESOURCES or isinstance(error, BlockingIOError)
            if not short or loop.time() >= give_up:
                raise
        await asyncio.sleep(RETRY_PAUSE)

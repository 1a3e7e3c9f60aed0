"""Classify socket errors of the operating system, and detect failures that persist.

Sources: accept(2), connect(2) and socket(2) of the Linux manual pages.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final, TypeVar

if TYPE_CHECKING:
    from ..core.core import GatewayCore

# The process or the system is out of descriptors or buffers.
OUT_OF_RESOURCES: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# connect(2) failed locally, before a packet was sent: no free port, no route, no buffer.
LOCAL_CONNECT_ERRORS: Final = OUT_OF_RESOURCES | {
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.ENETDOWN,
    errno.ENETUNREACH,
}
# accept(2) reports an error of the connection that it took from the queue; the next one is fine.
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
RETRY_PAUSE: Final = 0.01  # s between two tries of a call that failed locally
# By default failures count as persistent after so many us without a success, and so many of them.
PERSISTENT_AFTER: Final = 250_000
PERSISTENT_FAILURES: Final = 3
START_RETRY_TIME: Final = 2.0  # s for which a starting process retries

T = TypeVar("T")


class FailureTracker:
    """Distinguishes momentary from persistent failures of one kind of system call."""

    __slots__ = ("_failures", "_persistent_after", "_since")

    def __init__(self, persistent_after: int = PERSISTENT_AFTER) -> None:
        """Failures count as persistent after `persistent_after` microseconds without a success."""
        self._persistent_after = persistent_after
        self._failures = self._since = 0

    def on_failure(self, now: int, error_number: int) -> bool:
        """Record a failure with this errno at `now` (us); return whether failures persist.

        EMFILE is this process's own limit, and persists until it closes a descriptor. The other
        limits are shared with all processes, and the next call may succeed.
        """
        if error_number == errno.EMFILE:
            return True
        if not self._failures:
            self._since = now
        self._failures += 1
        return self._failures >= PERSISTENT_FAILURES and now - self._since >= self._persistent_after

    def on_success(self) -> None:
        """Record a success."""
        self._failures = 0


def free_if_persistent(core: GatewayCore, failures: FailureTracker, error_number: int) -> None:
    """Record a failed call's errno; free descriptors if a lack of resources persists."""
    if error_number in OUT_OF_RESOURCES and failures.on_failure(core.clock(), error_number):
        core.on_descriptors_exhausted(own_limit=error_number == errno.EMFILE)


async def retry_while_exhausted(open_resource: Callable[[], Awaitable[T]]) -> T:
    """Open something at process start; retry while the system is out of resources.

    A full accept queue of the peer (EAGAIN, unix(7)) counts as such. Raises the last OSError after
    START_RETRY_TIME, and any other error at once.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + START_RETRY_TIME
    while True:
        try:
            return await open_resource()
        except OSError as error:
            exhausted = error.errno in OUT_OF_RESOURCES or isinstance(error, BlockingIOError)
            if not exhausted or loop.time() >= deadline:
                raise
        await asyncio.sleep(RETRY_PAUSE)

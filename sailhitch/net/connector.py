"""Connect to hosts, and distinguish local failures from failures of a host.

A connect(2) that fails before a packet has left says nothing about the host. It is retried for a
moment; if that does not help, the attempt's outcome is decided here.
"""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Final

from ..core.endpoints import Address
from ..core.pool import Pool
from ..core.request_context import Attempt
from ..policy_interface import AttemptOutcome
from .socket_poll import pending_events
from .system_errors import (
    LOCAL_CONNECT_ERRORS,
    OUT_OF_RESOURCES,
    RETRY_PAUSE,
    FailureTracker,
    free_if_persistent,
)

RECEIVE_BUFFER: Final = 128 * 1024  # bytes of a response that the kernel may buffer
LOCAL_RETRY_TIME: Final = 100_000  # us for which connect(2) is retried after local failures
MIN_TRIES: Final = 3  # even if LOCAL_RETRY_TIME is over, as after a stall of the event loop
# us without a success after which a host that this machine has no route to counts as unreachable.
UNREACHABLE_AFTER: Final = 1_000_000


class LocalConnectError(Exception):
    """connect(2) kept failing on this machine; `status` is the attempt's outcome."""

    def __init__(self, status: AttemptOutcome) -> None:
        super().__init__(status)
        self.status = status


class Connector:
    """Opens the sockets to the hosts of one pool."""

    def __init__(self, pool: Pool) -> None:
        self.pool, self.core = pool, pool.core
        self._resource_failures = FailureTracker()  # of descriptors and buffers
        self._sockets: dict[Attempt, socket.socket] = {}  # being connected

    async def connect(
        self, attempt: Attempt, route_failures: FailureTracker, address: Address
    ) -> socket.socket:
        """Return a connected socket for an attempt.

        After a local failure it retries for LOCAL_RETRY_TIME and at least MIN_TRIES times; the
        connect timeout starts again with each try. `route_failures` counts such failures for the
        host's address. Raises OSError if the host can't be reached, and LocalConnectError.
        """
        core = self.core
        deadline = core.clock() + LOCAL_RETRY_TIME
        tries = 0
        while True:
            tries += 1
            # Not from when this task was created: the event loop may have stalled since.
            attempt.connect_by = core.clock() + self.pool.connection_settings.connect_timeout
            core.schedule(attempt.request)
            try:
                sock = await self._connect_once(attempt, address)
            except OSError as error:
                if error.errno not in LOCAL_CONNECT_ERRORS:
                    raise
                status = self._outcome_of_failure(route_failures, error)
            else:
                self._resource_failures.on_success()
                route_failures.on_success()
                return sock
            attempt.connect_by = 0
            await asyncio.sleep(RETRY_PAUSE)
            now = core.clock()
            # A stall of the event loop uses up the time without a retry.
            exhausted = now >= deadline and tries >= MIN_TRIES
            if attempt.finished or exhausted or now >= attempt.expires_at:
                raise LocalConnectError(status)

    def is_connected(self, attempt: Attempt) -> bool:
        """Return whether an attempt's socket is connected, even if the loop has not noticed."""
        sock = self._sockets.get(attempt)
        if sock is None or sock.fileno() < 0:
            return False
        return pending_events(sock.fileno(), select.POLLOUT) == select.POLLOUT

    def forget(self, attempt: Attempt) -> None:
        """Forget the socket of an attempt that no longer waits for it."""
        self._sockets.pop(attempt, None)

    async def _connect_once(self, attempt: Attempt, address: Address) -> socket.socket:
        """Return a connected socket; raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._sockets[attempt] = sock
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # No memory budget accounts for response bytes that the kernel buffers.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            await self.core.loop.sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        return sock

    def _outcome_of_failure(self, route_failures: FailureTracker, error: OSError) -> AttemptOutcome:
        """Return the outcome of an attempt whose retries fail locally.

        Without a descriptor or buffer no host can be reached, so nothing is sent. Without a local
        port or a route another host may be reachable; this one counts as unreachable if that
        persists.
        """
        now = self.core.clock()
        self.core.logger.write_limited("connect", f"connect failed locally: {error.strerror}")
        error_number = error.errno or 0
        if error_number in OUT_OF_RESOURCES:
            free_if_persistent(self.core, self._resource_failures, error_number)
            return AttemptOutcome.NOT_SENT
        return (
            AttemptOutcome.CONNECT_FAILED
            if route_failures.on_failure(now, error_number)
            else AttemptOutcome.NO_ROUTE
        )

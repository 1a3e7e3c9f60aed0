"""Connect to hosts, and tell this machine's failures from a host's.

A connect(2) that fails before a packet has left says nothing of the host. It is tried again for a
moment; what an attempt comes to where that does not help is decided here.
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
    Shortage,
    free_if_lasting,
)

RECEIVE_BUFFER: Final = 128 * 1024  # bytes of an answer that the kernel may hold
LOCAL_RETRY_TIME: Final = 100_000  # us for which an attempt tries again where this machine failed
MIN_ATTEMPTS: Final = 3
# us without a success after which a host that this machine finds no way to counts as unreachable.
UNREACHABLE_AFTER: Final = 1_000_000


class LocalConnectError(Exception):
    """This machine could not connect for a while; `status` is the attempt's outcome."""

    def __init__(self, status: AttemptOutcome) -> None:
        super().__init__(status)
        self.status = status


class Connector:
    """Makes the sockets to the hosts of one pool."""

    def __init__(self, pool: Pool) -> None:
        self.pool, self.core = pool, pool.core
        self._shortage = Shortage()  # of descriptors and buffers
        self._sockets: dict[Attempt, socket.socket] = {}  # being connected

    async def connect(self, attempt: Attempt, no_way: Shortage, address: Address) -> socket.socket:
        """Return a connected socket for an attempt.

        Tries again for LOCAL_RETRY_TIME, and MIN_ATTEMPTS times, where it is this machine that
        fails; the attempt's time to connect counts from the start of each try. `no_way` counts such
        failures of the host's address. Raises OSError where the host can't be reached, and
        LocalConnectError.
        """
        core = self.core
        give_up = core.clock() + LOCAL_RETRY_TIME
        tries = 0
        while True:
            tries += 1
            # Not from when this task was created: the event loop may have stalled since.
            attempt.connect_by = core.clock() + self.pool.connection_settings.connect_timeout
            core.schedule(attempt.request)
            try:
                sock = await self._try(attempt, address)
            except OSError as error:
                if error.errno not in LOCAL_CONNECT_ERRORS:
                    raise
                status = self._failed(no_way, error)
            else:
                self._shortage.on_success()
                no_way.on_success()
                return sock
            attempt.connect_by = 0
            await asyncio.sleep(RETRY_PAUSE)
            now = core.clock()
            # A loop that was held up has used the time, and not tried again.
            given_up = now >= give_up and tries >= MIN_ATTEMPTS
            if attempt.finished or given_up or now >= attempt.expires_at:
                raise LocalConnectError(status)

    def is_connected(self, attempt: Attempt) -> bool:
        """Whether the system has connected an attempt's socket, also if the loop has not heard."""
        sock = self._sockets.get(attempt)
        if sock is None or sock.fileno() < 0:
            return False
        return pending_events(sock.fileno(), select.POLLOUT) == select.POLLOUT

    def forget(self, attempt: Attempt) -> None:
        """Drop the socket of an attempt that no longer waits for it."""
        self._sockets.pop(attempt, None)

    async def _try(self, attempt: Attempt, address: Address) -> socket.socket:
        """Return a connected socket; raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._sockets[attempt] = sock
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # What the system takes in of an answer that is not read shows in no budget.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            await self.core.loop.sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        return sock

    def _failed(self, no_way: Shortage, error: OSError) -> AttemptOutcome:
        """Return the outcome of an attempt that this machine's failure would end.

        No descriptor or buffer: nothing at any host, so the request is given up. No port or route:
        another host may do, and this one is held to be unreachable where that lasts.
        """
        now = self.core.clock()
        self.core.logger.write_limited(
            "connect", f"connect failed on this machine: {error.strerror}"
        )
        number = error.errno or 0
        if number in OUT_OF_RESOURCES:
            free_if_lasting(self.core, self._shortage, number)
            return AttemptOutcome.NOT_SENT
        return (
            AttemptOutcome.CONNECT_FAILED
            if no_way.on_failure(now, number)
            else AttemptOutcome.NO_ROUTE
        )

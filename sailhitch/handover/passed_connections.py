"""Connections that were passed on, and that the successor has not confirmed yet.

A descriptor in transit is in the socket between the two processes, and is closed with it if the
successor ends first. So this process keeps a duplicate of each until the successor confirms that it
has taken it, and continues with those that a successor which has ended did not take.
"""

from __future__ import annotations

import os
import select
import socket
import struct
from collections import deque
from typing import Final

PEER_CREDENTIALS: Final = struct.Struct("iII")  # pid, uid, gid: struct ucred of unix(7)
# ms. A process that exits closes its sockets right before its pidfd is readable (pidfd_open(2)).
EXIT_TIMEOUT: Final = 50


class PassedConnections:
    """Duplicates of descriptors, in the order in which they were passed on."""

    def __init__(self) -> None:
        self._waiting: deque[int | None] = deque()  # None: there was no descriptor for a duplicate

    def __len__(self) -> int:
        return len(self._waiting)

    def keep(self, descriptor: int) -> None:
        """Duplicate a connection that is about to be passed on."""
        try:
            self._waiting.append(os.dup(descriptor))
        except OSError:
            self._waiting.append(None)

    def confirm_oldest(self) -> None:
        """Release the duplicate of the connection that was passed on first."""
        if self._waiting:
            _close(self._waiting.popleft())

    def take_back(self) -> list[int]:
        """Return all that were not confirmed; the caller closes them."""
        unconfirmed = [descriptor for descriptor in self._waiting if descriptor is not None]
        self._waiting.clear()
        return unconfirmed

    def close(self) -> None:
        """Close the duplicates: the successor has the connections, or will."""
        while self._waiting:
            _close(self._waiting.popleft())


class PeerProcess:
    """The process at the other end of a Unix socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._descriptor = _open_process(sock)

    def has_ended(self) -> bool:
        """Return whether it has surely ended; waits for EXIT_TIMEOUT at most."""
        if self._descriptor is None:
            return False
        poll = select.poll()
        poll.register(self._descriptor, select.POLLIN)
        return bool(poll.poll(EXIT_TIMEOUT))

    def close(self) -> None:
        """Stop observing the process."""
        _close(self._descriptor)
        self._descriptor = None


def _open_process(sock: socket.socket) -> int | None:
    try:
        size = PEER_CREDENTIALS.size
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size)
        return os.pidfd_open(PEER_CREDENTIALS.unpack(credentials)[0])
    except OSError:
        return None


def _close(descriptor: int | None) -> None:
    if descriptor is not None:
        os.close(descriptor)

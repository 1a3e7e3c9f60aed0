"""Connections passed to the successor that it has not confirmed yet.

A descriptor in transit is held only by the socket between the two processes, and is closed with it
if the successor exits first. So this process keeps a duplicate of each until the successor
confirms it, and continues to serve those that an exited successor did not confirm.
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
    """Duplicates of the passed descriptors, oldest first."""

    def __init__(self) -> None:
        self._unconfirmed: deque[int | None] = deque()  # None: duplicating it failed

    def __len__(self) -> int:
        return len(self._unconfirmed)

    def keep(self, descriptor: int) -> None:
        """Duplicate a connection that is about to be passed on."""
        try:
            self._unconfirmed.append(os.dup(descriptor))
        except OSError:
            self._unconfirmed.append(None)

    def confirm_oldest(self) -> None:
        """Release the duplicate of the connection that was passed on first."""
        if self._unconfirmed:
            _close(self._unconfirmed.popleft())

    def take_back(self) -> list[int]:
        """Return the unconfirmed descriptors; the caller closes them."""
        descriptors = [descriptor for descriptor in self._unconfirmed if descriptor is not None]
        self._unconfirmed.clear()
        return descriptors

    def close(self) -> None:
        """Close all duplicates; the connections are left to the successor."""
        while self._unconfirmed:
            _close(self._unconfirmed.popleft())


class PeerProcess:
    """The process at the other end of a Unix socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._descriptor = _open_process(sock)

    def has_ended(self) -> bool:
        """Return whether it is known to have exited; blocks for EXIT_TIMEOUT at most."""
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

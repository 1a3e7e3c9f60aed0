"""Connections that were passed on, and that the process after has not taken yet.

A descriptor on its way lies in the socket between the two processes, and is closed with it if the
other one ends first. So this process keeps a duplicate of each until the other says that it has
taken it, and goes on with what a process that has ended did not take.
"""

from __future__ import annotations

import os
import select
import socket
import struct
from collections import deque
from typing import Final

PEER_CREDENTIALS: Final = struct.Struct("iII")  # pid, uid, gid: struct ucred of unix(7)
# ms. A process that ends closes its sockets right before it counts as ended (pidfd_open(2)).
ENDED_WITHIN: Final = 50


class PassedConnections:
    """Duplicates of descriptors, in the order in which they were passed on."""

    def __init__(self) -> None:
        self._waiting: deque[int | None] = deque()  # None: there was no descriptor for a duplicate

    def __len__(self) -> int:
        return len(self._waiting)

    def keep(self, descriptor: int) -> None:
        """A connection is about to be passed on."""
        try:
            self._waiting.append(os.dup(descriptor))
        except OSError:
            self._waiting.append(None)

    def taken(self) -> None:
        """The process after has taken the one that was passed on first."""
        if self._waiting:
            _close(self._waiting.popleft())

    def take_back(self) -> list[int]:
        """Give out all that were not taken; the caller closes them."""
        left = [one for one in self._waiting if one is not None]
        self._waiting.clear()
        return left

    def close(self) -> None:
        """Let go of them: the process after has them, or will."""
        while self._waiting:
            _close(self._waiting.popleft())


class PeerProcess:
    """The process at the other end of a Unix socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._descriptor = _open_process(sock)

    def has_ended(self) -> bool:
        """Return whether it has surely ended; waits for ENDED_WITHIN at most."""
        if self._descriptor is None:
            return False
        poll = select.poll()
        poll.register(self._descriptor, select.POLLIN)
        return bool(poll.poll(ENDED_WITHIN))

    def close(self) -> None:
        """Let go of it."""
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

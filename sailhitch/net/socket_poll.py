"""Query pending socket events from the operating system directly, bypassing the event loop."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios
from typing import Final

_INT: Final = struct.Struct("=i")


def has_event(descriptor: int, events: int) -> bool:
    """Return whether one of these poll(2) events is pending; costs about a microsecond."""
    return bool(pending_events(descriptor, events))


def pending_events(descriptor: int, events: int) -> int:
    """Return which of these poll(2) events are pending; errors and hang-ups are always included."""
    poll = select.poll()
    poll.register(descriptor, events)
    found = poll.poll(0)
    return found[0][1] if found else 0


def unread_size(sock: socket.socket) -> int:
    """Return how many bytes the system has received that are unread (FIONREAD, tcp(7))."""
    size = bytearray(_INT.size)
    try:
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, size)
    except (OSError, ValueError):
        return 0
    return int(_INT.unpack(size)[0])

"""Kernel statistics of a TCP connection (Linux, `struct tcp_info` in linux/tcp.h)."""

from __future__ import annotations

import socket
import struct
from typing import Final

_LAST_DATA_RECEIVED: Final = struct.Struct("=I")  # tcpi_last_data_recv, ms
_LAST_DATA_RECEIVED_OFFSET: Final = 52  # bytes


def data_arrival(sock: socket.socket, earliest: int, now: int) -> int:
    """Return when (us) a connection last received data; `earliest` if unknown or before that."""
    age = _time_since_data(sock)
    return earliest if age is None else max(earliest, now - age)


def _time_since_data(sock: socket.socket) -> int | None:
    """Return how long ago (us) a connection last received data, read or unread.

    The kernel counts in milliseconds or, on some machines, in steps of up to ten. Returns None if
    the kernel does not report it.
    """
    size = _LAST_DATA_RECEIVED_OFFSET + _LAST_DATA_RECEIVED.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:
        return None
    if len(info) < size:
        return None
    return int(_LAST_DATA_RECEIVED.unpack_from(info, _LAST_DATA_RECEIVED_OFFSET)[0]) * 1000

"""What the kernel knows of a TCP connection (Linux, `struct tcp_info` of linux/tcp.h)."""

from __future__ import annotations

import socket
import struct
from typing import Final

_LAST_DATA_RECEIVED: Final = struct.Struct("=I")  # tcpi_last_data_recv, ms
_LAST_DATA_RECEIVED_OFFSET: Final = 52  # bytes


def data_arrival(sock: socket.socket, earliest: int, now: int) -> int:
    """Return when (us) the last data came on a connection, as far as known; `earliest` or later."""
    age = _time_since_data(sock)
    return earliest if age is None else max(earliest, now - age)


def _time_since_data(sock: socket.socket) -> int | None:
    """Return how long ago (us) the last data came on a connection, read or not.

    The kernel counts in milliseconds or, on some machines, in steps of up to ten. Returns None if
    it doesn't say.
    """
    size = _LAST_DATA_RECEIVED_OFFSET + _LAST_DATA_RECEIVED.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:
        return None
    if len(info) < size:
        return None
    return int(_LAST_DATA_RECEIVED.unpack_from(info, _LAST_DATA_RECEIVED_OFFSET)[0]) * 1000

"""Chooses ports for processes whose ports are configured before they start."""

from __future__ import annotations

import random
import socket
from typing import Final

PORTS: Final = (12_000, 32_000)  # below the ephemeral port range (ip(7))
_assigned_ports: set[int] = set()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now and outside the ephemeral range.

    A port from the ephemeral range could be assigned to another socket before the process that it
    is meant for has started. Raises OSError if no free port is found.
    """
    for _ in range(1000):
        port = random.randrange(*PORTS)
        if port in _assigned_ports:
            continue
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _assigned_ports.add(port)
        return port
    raise OSError(f"no free port found from {PORTS[0]} to {PORTS[1]}")

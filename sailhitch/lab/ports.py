"""Ports for processes that are to be told theirs before they start."""

from __future__ import annotations

import random
import socket
from typing import Final

PORTS: Final = (12_000, 32_000)  # below those that the system gives away (ip(7))
_given: set[int] = set()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now, and that the system assigns to nobody by itself.

    Raises OSError where there is none.

    One out of the range that it does give away may be another relay's before the daemon
    that it is meant for has started.
    """
    for _ in range(1000):
        port = random.randrange(*PORTS)
        if port in _given:
            continue
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given.add(port)
        return port
    raise OSError(f"no free port from {PORTS[0]} to {PORTS[1]}")

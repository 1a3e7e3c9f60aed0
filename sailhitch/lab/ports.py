"""Chooses ports for processes whose ports are configured before they start."""

from __future__ import annotations

import fcntl
import os
import random
import socket
from pathlib import Path
from typing import IO, Final

PORTS: Final = (12_000, 32_000)  # below the ephemeral port range (ip(7))


class PortReservations:
    """Ports reserved by this process until it ends, among all processes of this user.

    A port that is chosen is bound later, by another process, and is unbound while that one is
    restarted. So that nobody else chooses it meanwhile, the byte at its number is locked in a file
    that all processes share (fcntl(2)).
    """

    def __init__(self, path: Path) -> None:
        """Use the file at `path`, which is created if there is none."""
        self._path = path
        self._ports: set[int] = set()
        self._file: IO[bytes] | None = None
        self._process = 0  # the one that holds the locks: a forked child has none of them

    def reserve(self, port: int) -> bool:
        """Reserve a port; return False if it is reserved already."""
        if self._process != os.getpid():
            self._file = self._path.open("ab")
            self._process = os.getpid()
        if port in self._ports:
            return False
        assert self._file is not None
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except BlockingIOError:
            return False
        self._ports.add(port)
        return True


# Not in TMPDIR, which some processes have of their own.
_reservations = PortReservations(Path("/tmp") / f"sailhitch-ports-{os.getuid()}")


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now, outside the ephemeral range, and reserved from now on.

    A port from the ephemeral range could be assigned to another socket before the process that it
    is meant for has started. Raises OSError if no free port is found.
    """
    for _ in range(1000):
        port = random.randrange(*PORTS)
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if _reservations.reserve(port):
            return port
    raise OSError(f"no free port found from {PORTS[0]} to {PORTS[1]}")

"""Clients that come back at once, whenever they are closed or refused."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter

RECONNECT_PAUSE = 0.02  # s


class ReconnectingClients:
    """The clients of one crowd; a subclass says what each does on a connection."""

    def __init__(self, address: str, until: float) -> None:
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        self.until = until
        self.connected = 0
        self.statuses: Counter[int] = Counter()

    async def connect(self) -> None:
        """Connect once, and return when the gateway has closed the connection."""
        raise NotImplementedError

    async def play(self, connections: int) -> None:
        """Let so many clients connect again and again until the end."""
        await asyncio.gather(*(self._client() for _ in range(connections)))

    async def _client(self) -> None:
        while time.monotonic() < self.until:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(self.until - time.monotonic()):
                    await self.connect()
            await asyncio.sleep(RECONNECT_PAUSE)

    def count_answer(self, data: bytes) -> None:
        """Count the status of an answer that begins with these bytes, if one does."""
        if data.startswith(b"HTTP/1.1 "):
            self.statuses[int(data[9:12])] += 1

    def report(self) -> str:
        """Return how often they connected, and how many answers each status had."""
        statuses = " ".join(f"{status}={n}" for status, n in sorted(self.statuses.items()))
        return f"connected={self.connected} {statuses}"

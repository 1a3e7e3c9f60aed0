"""Ways to hold a moment open, so that a test decides what crosses what."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

from tests.sockets import PATIENCE

# No time-out of ours decides a race that a test holds open.
PATIENT: dict[str, Any] = {"limits": {"connectTimeout": 20_000_000}}


class Held:
    """What waits at a door of the loop, and the key to it."""

    def __init__(self) -> None:
        self.waiting = 0
        self.go = asyncio.Event()

    async def wait(self) -> None:
        self.waiting += 1
        async with asyncio.timeout(PATIENCE):
            await self.go.wait()


@contextlib.asynccontextmanager
async def held_connects(to: str) -> AsyncIterator[Held]:
    """Connections to an address come up when the test says so."""
    loop: Any = asyncio.get_running_loop()
    connect, held = loop.sock_connect, Held()
    host, _, port = to.rpartition(":")

    async def wait(sock: Any, addr: Any) -> None:
        if addr == (host, int(port)):
            await held.wait()
        await connect(sock, addr)

    loop.sock_connect = wait
    try:
        yield held
    finally:
        held.go.set()
        loop.sock_connect = connect

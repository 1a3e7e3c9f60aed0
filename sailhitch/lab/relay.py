"""Links between processes that lose, delay, double and cut what goes over them, by a script."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from typing import Any

from ..core.endpoints import Address


class Relay(asyncio.DatagramProtocol):
    """A link in one direction: what comes in at its port goes on to `to`, or does not."""

    def __init__(self, to: Address, seed: int) -> None:
        self.to = to
        self.random = random.Random(seed)
        self.loss = self.doubled = self.delay = 0.0  # parts, and seconds
        self.garbled = self.replayed = 0.0  # parts: with a bit turned; with an older one behind it
        self.cut = False
        self.passed = self.dropped = 0
        self._past: deque[bytes] = deque(maxlen=200)
        self.port = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))

    def stop(self) -> None:
        """Close the relay."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Take over the socket."""
        self._transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram on, with the faults that are set."""
        if self.cut or self.random.random() < self.loss:
            self.dropped += 1
            return
        self._past.append(data)
        if self.random.random() < self.replayed:
            self._late(self.random.choice(self._past))
        if self.random.random() < self.garbled:
            turned = bytearray(data)
            turned[self.random.randrange(len(turned))] ^= 1 << self.random.randrange(8)
            data = bytes(turned)
        for _ in range(2 if self.random.random() < self.doubled else 1):
            self._late(data)

    def _late(self, data: bytes) -> None:
        if self.delay:
            late = self.delay * self.random.random()
            asyncio.get_running_loop().call_later(late, self._pass, data)
        else:
            self._pass(data)

    def _pass(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self.passed += 1
            self._transport.sendto(data, self.to)

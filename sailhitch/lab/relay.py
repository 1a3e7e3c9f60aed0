"""Datagram links between processes that can lose, delay, duplicate, corrupt and replay traffic."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from typing import Any

from ..core.endpoints import Address


class Relay(asyncio.DatagramProtocol):
    """A one-way link: forwards datagrams received at its port to `to`, with injected faults."""

    def __init__(self, to: Address, seed: int) -> None:
        self.to = to
        self.random = random.Random(seed)
        self.loss = self.duplication = self.delay = 0.0  # probabilities, and the largest delay (s)
        # Probabilities that a bit is flipped, and that an older datagram is sent again.
        self.corruption = self.replay = 0.0
        self.cut = False
        self.passed = self.dropped = 0
        self._history: deque[bytes] = deque(maxlen=200)
        self.port = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Store the transport and its port."""
        self._transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Forward a datagram, with the configured faults."""
        if self.cut or self.random.random() < self.loss:
            self.dropped += 1
            return
        self._history.append(data)
        if self.random.random() < self.replay:
            self._send_delayed(self.random.choice(self._history))
        if self.random.random() < self.corruption:
            corrupted = bytearray(data)
            corrupted[self.random.randrange(len(corrupted))] ^= 1 << self.random.randrange(8)
            data = bytes(corrupted)
        for _ in range(2 if self.random.random() < self.duplication else 1):
            self._send_delayed(data)

    def _send_delayed(self, data: bytes) -> None:
        if self.delay:
            delay = self.delay * self.random.random()
            asyncio.get_running_loop().call_later(delay, self._send, data)
        else:
            self._send(data)

    def _send(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self.passed += 1
            self._transport.sendto(data, self.to)

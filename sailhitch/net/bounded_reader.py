"""Reads of bounded size, into one buffer that all connections of the process share.

The event loop would read as much as a socket has. What one connection may hold beyond its limits,
and for how long it may occupy the loop, follows from the size of its reads.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from ..core.read_scheduler import EXPENSIVE_READ

if TYPE_CHECKING:
    from ..core.core import GatewayCore

LARGE_READ: Final = 256 * 1024  # bytes
SMALL_READ: Final = 8 * 1024  # bytes; where memory is short, or cheap parsing is not proven
TIMED_READ: Final = 1536  # bytes; smaller reads can't be expensive
_BUFFER: Final = memoryview(bytearray(LARGE_READ))
_SMALL_BUFFER: Final = _BUFFER[:SMALL_READ]


class BoundedReader(asyncio.BufferedProtocol):
    """A protocol that reads as much at a time as its bytes have proven cheap to parse.

    The buffer is shared: between `get_buffer` and `buffer_updated` the event loop runs nothing
    else. Subclasses have the attributes below among their slots, and call `init_reading`.
    """

    core: GatewayCore
    transport: asyncio.Transport | None
    is_reading_wanted: bool  # False while flow control has paused reading
    is_waiting: bool  # for its next turn in the event loop
    is_cheap: bool  # its last full read was parsed quickly

    def init_reading(self) -> None:
        """Set the attributes for a new connection."""
        self.is_reading_wanted = True
        self.is_waiting = self.is_cheap = False

    # --- Implemented by subclasses

    def parse(self, data: bytes) -> bool:
        """Parse received bytes; return False if nothing is to be done about them."""
        raise NotImplementedError

    def parsed(self, size: int) -> None:
        """Act on a read of `size` bytes, now that all of it is parsed."""
        raise NotImplementedError

    def reads_little(self) -> bool:
        """Return whether the next read is to be a small one, however cheap."""
        raise NotImplementedError

    def parsed_at_once(self) -> int:
        """Return how many bytes of the read that begins the parser is given at a time."""
        raise NotImplementedError

    def is_unfinished(self) -> bool:
        """Return whether part of a message was read whose rest can wait while memory is short."""
        raise NotImplementedError

    # --- Reading

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _BUFFER if self.is_cheap and not self.reads_little() else _SMALL_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes of a read and act on them; wait if parsing them took long."""
        size = nbytes
        self.core.on_read(size)
        if size < TIMED_READ:
            if self.parse(bytes(_BUFFER[:size])):
                self.parsed(size)
            return
        began = time.thread_time()
        is_parsed = self._parse_parts(size)
        cost = time.thread_time() - began
        if is_parsed:
            self.parsed(size)
        is_expensive = cost > EXPENSIVE_READ
        if is_expensive or size >= SMALL_READ:
            self.is_cheap = cost * SMALL_READ < EXPENSIVE_READ * size
        if is_expensive or (self.core.read_scheduler.is_held and self.is_unfinished()):
            self._wait(cost)

    def _parse_parts(self, size: int) -> bool:
        """Parse a read of `size` bytes in parts; return False if one was not parsed."""
        at_once = self.parsed_at_once()
        for start in range(0, size, at_once):
            end = min(size, start + at_once)
            if not self.parse(bytes(_BUFFER[start:end])):
                return False
        return True

    def _wait(self, cost: float) -> None:
        """Read no more until the other connections had their turns."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.is_waiting:
            return
        self.is_waiting = True
        transport.pause_reading()
        self.core.read_scheduler.wait(self, cost, self.is_cheap)

    def hold_reading(self) -> None:
        """Read no more until the read scheduler is released."""
        self._wait(0.0)

    def is_gone(self) -> bool:
        """Return whether the connection is closed, so that it reads no more."""
        return self.transport is None or self.transport.is_closing()

    def end_wait(self) -> None:
        """Read again, unless flow control has paused it."""
        self.is_waiting = False
        if self.is_reading_wanted:
            self.start_reading()

    def stop_reading(self) -> None:
        """Pause reading for flow control."""
        self.is_reading_wanted = False
        if self.transport is not None:
            self.transport.pause_reading()

    def start_reading(self) -> None:
        """Resume reading, once its turn has come."""
        self.is_reading_wanted = True
        transport = self.transport
        if transport is not None and not transport.is_closing() and not self.is_waiting:
            transport.resume_reading()

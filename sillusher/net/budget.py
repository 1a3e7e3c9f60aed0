"""Memory for request bodies: one budget, reserved before a body is read."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .downstream import Downstream
    from .gateway import Exchange

MB: Final = 1 << 20
MAX_BODY: Final = 32 * MB
SMALL: Final = 64 * 1024  # also what a body of unknown length reserves at first
PROCESS: Final = 76 * MB  # what the rest of the process needs
WAIT: Final = 5_000_000  # a client waits for room at most this long


class Budget:
    """Who may hold how many bytes of a body, in two parts: small bodies and large ones.

    Danger: bodies that are half read and wait for one another never end. A reservation is for
    all of a body at once, and who holds one of a part waits for no other of the same part.
    """

    def __init__(self, memory_mb: int) -> None:
        total = max(MAX_BODY + 8 * MB, memory_mb * MB - PROCESS)
        small = min(total - MAX_BODY, total // 3)
        self.free = {False: small, True: total - small}  # by whether the body is large
        self.waiting: dict[bool, deque[tuple[int, Downstream, Exchange, int]]] = {
            False: deque(),
            True: deque(),
        }
        self.refused = 0

    def reserve(self, client: Downstream, exchange: Exchange, size: int, now: int) -> bool:
        """Reserve so much for a body; if False, `client.granted` is called once it is there."""
        large = size > SMALL
        if not self.waiting[large] and self.free[large] >= size:
            self._grant(exchange, size)
            return True
        self.waiting[large].append((now, client, exchange, size))
        return False

    def _grant(self, exchange: Exchange, size: int) -> None:
        self.release(exchange)
        self.free[size > SMALL] -= size
        exchange.reserved = size

    def force(self, client: Downstream, exchange: Exchange, size: int) -> None:
        """A body that waited for room came whole with its head: it is here and counts."""
        for queue in self.waiting.values():
            for waiting in [w for w in queue if w[1] is client]:
                queue.remove(waiting)
        self._grant(exchange, size)

    def settle(self, exchange: Exchange, size: int) -> None:
        """A body is whole: it keeps what it takes."""
        if size != exchange.reserved and size <= SMALL:
            self.release(exchange)
            self.free[False] -= size
            exchange.reserved = size
        elif size < exchange.reserved:
            # What was reserved from the large part goes on counting there.
            self.free[True] += exchange.reserved - size
            exchange.reserved = size
        self._serve()

    def release(self, exchange: Exchange) -> None:
        """A body is not needed any more."""
        if exchange.reserved:
            self.free[exchange.reserved > SMALL] += exchange.reserved
            exchange.reserved = 0
            self._serve()

    def _serve(self) -> None:
        for large, queue in self.waiting.items():
            while queue:
                _, client, exchange, size = queue[0]
                if client.transport is None:
                    queue.popleft()  # it has gone meanwhile
                    continue
                if self.free[large] < size:
                    break
                queue.popleft()
                self._grant(exchange, size)
                client.granted()

    def sweep(self, now: int) -> None:
        """Turn away who has waited too long: no byte of such a body has been taken in full."""
        for queue in self.waiting.values():
            while queue and (queue[0][1].transport is None or now - queue[0][0] > WAIT):
                client = queue.popleft()[1]
                if client.transport is not None:
                    self.refused += 1
                    client.no_room()
        self._serve()

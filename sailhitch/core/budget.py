"""Memory budget for the bodies and heads of requests and responses, counted as they arrive."""

from __future__ import annotations

from typing import Final

MB: Final = 1 << 20
MAX_BUFFERED_BODY: Final = 64 * 1024  # longest body that is buffered; longer ones are streamed
MAX_BODY_BYTES: Final = 40 * MB  # longest body at all; up to 32 MB are expected
PROCESS_MEMORY: Final = 32 * MB  # for everything except bodies, responses and buffers
# Bodies may use the rest divided by this; the remainder is for responses and buffers.
BODY_DIVISOR: Final = 3
MIN_LIMIT: Final = 2 * MB
TOTAL_SHARE: Final = 0.6  # of the rest, for all that is counted; objects and free space need theirs
MIN_TOTAL_LIMIT: Final = 3 * MB
TIGHT_SHARE: Final = 0.5  # of the limit, from which on a peer that doesn't read holds up its source


class Budget:
    """Counts the bytes of buffered bodies, and limits them.

    Many clients could otherwise fill memory with bodies that are each within the limit for one,
    by sending them slowly or for requests that stay open. With a small memory limit and many large
    bodies, the last ones are rejected, and their clients may safely retry.

    Streamed bytes have a separate budget of the same size, so that long responses to slow clients
    don't displace short ones. When it is exceeded, no further request body may begin to stream.

    All that is counted has a limit together, which the `MemoryGuard` enforces.
    """

    def __init__(self, memory_mb: int) -> None:
        self.reserved = 0
        self.limit = 0
        self.heads = 0  # bytes of request heads whose end has not arrived
        self.total_limit = 0
        self.is_process_large = False  # the process itself is near its limit
        self.streamed = 0  # bytes in transit of bodies and responses that are streamed
        self.resize(memory_mb)

    def resize(self, memory_mb: int) -> None:
        """Set the limit from the memory of the process."""
        rest = memory_mb * MB - PROCESS_MEMORY
        self.limit = max(MIN_LIMIT, rest // BODY_DIVISOR)
        self.total_limit = max(MIN_TOTAL_LIMIT, int(rest * TOTAL_SHARE))

    def total(self) -> int:
        """Return all counted bytes."""
        return self.reserved + self.streamed + self.heads

    def excess(self) -> int:
        """Return by how many bytes the limit on all counted bytes is exceeded; below 0 if not."""
        return self.total() - self.total_limit

    def reserve(self, size: int) -> bool:
        """Reserve bytes that have arrived; return False, reserving none, if they don't fit."""
        if self.reserved + size > self.limit:
            return False
        self.reserved += size
        return True

    def is_tight(self) -> bool:
        """Return whether so many bytes are in transit that no connection should hold many."""
        return self.is_process_large or self.streamed > self.limit * TIGHT_SHARE

    def share(self) -> float:
        """Return the used share of the limit that is nearest."""
        used = max(self.reserved, self.streamed) / self.limit
        return max(used, self.total() / self.total_limit)

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.reserved -= size

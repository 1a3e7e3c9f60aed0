"""Memory budget for bodies of requests and responses, counted as they arrive."""

from __future__ import annotations

from typing import Final

MB: Final = 1 << 20
MAX_BUFFERED_BODY: Final = 64 * 1024  # longest body that is buffered; longer ones are streamed
MAX_BODY_BYTES: Final = 40 * MB  # of a body; expected are up to 32 MB
PROCESS_MEMORY: Final = 32 * MB  # for everything but bodies, responses and buffers
# Bodies may use one part in so many of the rest; responses and buffers need theirs.
BODY_SHARE: Final = 3
MIN_LIMIT: Final = 2 * MB


class Budget:
    """How many bytes of bodies are buffered, and whether more fit in.

    Guards against many clients that together fill memory with bodies none of which is too large by
    itself, sent slowly or for requests that stay open. With a small memory limit and many large
    bodies, the last ones are rejected, and their clients may safely retry.

    Streamed bytes have a budget of their own, as large: long responses to slow clients must not
    displace short ones. They are counted and not limited, except that no further request body may
    begin to stream.
    """

    def __init__(self, memory_mb: int) -> None:
        self.reserved = 0
        self.limit = 0
        self.streamed = 0  # bytes in transit of bodies and responses that are streamed
        self.resize(memory_mb)

    def resize(self, memory_mb: int) -> None:
        """Set the limit by the memory of the process."""
        self.limit = max(MIN_LIMIT, (memory_mb * MB - PROCESS_MEMORY) // BODY_SHARE)

    def reserve(self, size: int) -> bool:
        """Reserve bytes that have arrived; return False, reserving none, if they don't fit in."""
        if self.reserved + size > self.limit:
            return False
        self.reserved += size
        return True

    def share(self) -> float:
        """Return the share in use, of buffered or of streamed bytes, whichever is larger."""
        return max(self.reserved, self.streamed) / self.limit

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.reserved -= size

"""Memory for bodies of requests and answers: one budget of bytes, counted as they come."""

from __future__ import annotations

from typing import Final

MB: Final = 1 << 20
HELD_MOST: Final = 64 * 1024  # bodies and answers of up to so much are held whole; longer ones flow
LONGEST: Final = 40 * MB  # they are up to 32 MB long; more than this has no end
PROCESS: Final = 32 * MB  # what the rest of the process needs
# One part in so many of what is left may be bodies; answers and buffers need theirs.
SHARE: Final = 3
LEAST: Final = 2 * MB


class Budget:
    """How many bytes of bodies are held, and whether there is room for more.

    Guards against any number of clients that fill memory together with bodies none of which is
    too large by itself, sent slowly or for requests that stay open. It can do harm where the
    memory limit is small and many large bodies are on their way for good reasons: the ones that
    come last are refused, which their clients may safely repeat.

    What flows has a part of its own, as large: long answers to slow clients must not take the room
    of short ones. It is counted and not refused, but for bodies that would begin to flow.
    """

    def __init__(self, memory_mb: int) -> None:
        self.reserved = self.limit = 0
        self.flows = 0  # bytes on their way through, of bodies and answers that are not held whole
        self.resize(memory_mb)

    def resize(self, memory_mb: int) -> None:
        self.limit = max(LEAST, (memory_mb * MB - PROCESS) // SHARE)

    def take(self, size: int) -> bool:
        """Count bytes that have come; False, and nothing counted, if there is no room for them."""
        if self.reserved + size > self.limit:
            return False
        self.reserved += size
        return True

    def share(self) -> float:
        """Return the share in use of whichever is shorter: what is held, or what flows."""
        return max(self.reserved, self.flows) / self.limit

    def give_back(self, size: int) -> None:
        self.reserved -= size

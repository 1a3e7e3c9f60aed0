"""Memory for bodies of requests and answers: one budget of bytes, counted as they come."""

from __future__ import annotations

from typing import Final

MB: Final = 1 << 20
MAX_BODY: Final = 64 * 1024  # of a request, as the protocol says
MAX_ANSWER: Final = 2 * MB  # hosts are seen to send some 400 KB; more than this has no end
PROCESS: Final = 32 * MB  # what the rest of the process needs
SHARE: Final = (
    3  # one part in so many of what is left may be bodies; answers and buffers need theirs
)
LEAST: Final = 2 * MB


class Budget:
    """How many bytes of bodies are held, and whether there is room for more.

    Guards against any number of clients that fill memory together with bodies none of which is
    too large by itself, sent slowly or for requests that stay open. It can do harm where the
    memory limit is small and many large bodies are on their way for good reasons: the ones that
    come last are refused, which their clients may safely repeat.
    """

    def __init__(self, memory_mb: int) -> None:
        self.held = self.most = 0
        self.resize(memory_mb)

    def resize(self, memory_mb: int) -> None:
        self.most = max(LEAST, (memory_mb * MB - PROCESS) // SHARE)

    def take(self, size: int) -> bool:
        """Count bytes that have come; False, and nothing counted, if there is no room for them."""
        if self.held + size > self.most:
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        self.held -= size

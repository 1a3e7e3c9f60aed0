"""The state of one page's fetch, in blocks and from one source at a time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Final

from ..pages import MAX_PAGE_BYTES
from .messages import PageBlock

BLOCK_SIZE: Final = 1024  # bytes; a block with its envelope and tag fits any path's MTU
INITIAL_BLOCKS: Final = 4  # requested before a page's length is known; most pages are not longer
MAX_BLOCKS_PER_RANGE: Final = 16  # also the maximum in flight per page
# For incompressible data, zlib adds 5 bytes per stored block of 16 KB, and 11 bytes in total.
MAX_PACKED_PAGE_BYTES: Final = MAX_PAGE_BYTES + MAX_PAGE_BYTES // 1000 + 64


class PageFetch:
    """The blocks of a page received so far, and the sources tried before."""

    def __init__(self, timeout: int) -> None:
        self.tried_sources: set[str] = set()
        self.late_sources: set[str] = set()  # of the tried ones, those whose reply may still come
        self.started_at: int | None = None  # time of the first request
        self.timeouts: Counter[str] = Counter()  # by source, since the last `forget_sources`
        self.begin("", timeout)

    def begin(self, source: str, timeout: int) -> None:
        """Start over with a source; `timeout` is that of its replies in microseconds."""
        self.source = source
        self.timeout = timeout
        self.total: int | None = None
        self.blocks: dict[int, bytes] = {}
        self.requested_at: dict[int, int] = {}  # by offset of a block that has not arrived
        self.unanswered_requests = 0  # in a row

    def forget_sources(self) -> None:
        """Forget which sources were tried, so that all of them are tried again."""
        self.tried_sources.clear()
        self.late_sources.clear()
        self.timeouts.clear()

    def has_timed_out(self, now: int) -> bool:
        """Return whether a requested block is overdue."""
        return any(now - time >= self.timeout for time in self.requested_at.values())

    def next_ranges(self, now: int) -> Iterator[tuple[int, int]]:
        """Yield ranges of blocks that are not yet requested or are overdue, as offset and count."""
        if self.total is None:
            if now - self.requested_at.get(0, -self.timeout) >= self.timeout:
                yield 0, INITIAL_BLOCKS
            return
        timeout = self.timeout
        in_flight = sum(now - time < timeout for time in self.requested_at.values())
        remaining = MAX_BLOCKS_PER_RANGE - in_flight
        start = 0
        count = 0
        for offset in range(0, self.total, BLOCK_SIZE):
            elapsed = now - self.requested_at.get(offset, -timeout)
            needed = offset not in self.blocks and elapsed >= timeout
            if needed and count < remaining:
                if not count:
                    start = offset
                count += 1
            elif count:
                yield start, count
                remaining -= count
                count = 0
            if remaining <= 0:
                return
        if count:
            yield start, count

    def fits(self, block: PageBlock) -> bool:
        """Return whether a block may belong to the page."""
        if not 0 < block.total <= MAX_PACKED_PAGE_BYTES or self.total not in (None, block.total):
            return False
        if not 0 <= block.offset < block.total or block.offset % BLOCK_SIZE:
            return False
        return len(block.data) == min(BLOCK_SIZE, block.total - block.offset)

    def set_total(self, total: int) -> int:
        """Set the compressed length; return how many requested blocks lie beyond it."""
        self.total = total
        beyond = [offset for offset in self.requested_at if offset >= total]
        for offset in beyond:
            del self.requested_at[offset]
        return len(beyond)

    def is_complete(self) -> bool:
        """Return whether all blocks have arrived."""
        return self.total is not None and len(self.blocks) * BLOCK_SIZE >= self.total

    def join_blocks(self) -> bytes:
        """Return the compressed page."""
        return b"".join(self.blocks[offset] for offset in sorted(self.blocks))

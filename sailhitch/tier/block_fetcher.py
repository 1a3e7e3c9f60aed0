"""Fetches blobs by digest, in blocks.

Blobs are configurations, traffic policies, and states of earlier versions.
"""

from __future__ import annotations

import hashlib
import random
import zlib
from collections.abc import Iterable, Sequence
from typing import Final

from .fetch_status import FetchStatus, oldest_fetch
from .messages import Block, BlockRequest
from .page_fetcher import BLOCK_SIZE
from .token_bucket import TokenBucket

MAX_BLOCKS_IN_FLIGHT: Final = 16  # of one content
BLOCK_TIMEOUT: Final = 150_000  # us until a block is requested again
MAX_CONTENT_BYTES: Final = 64 << 20  # the state of 10,000 nodes takes 1.5 MB


def digest_of(content: bytes) -> str:
    """Return the digest of a blob."""
    return hashlib.sha256(content).hexdigest()


def decompress_content(compressed: bytes) -> bytes:
    """Return the decompressed content.

    Raises ValueError if it is too large or truncated, and zlib.error if it is corrupt.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(compressed, MAX_CONTENT_BYTES)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise ValueError("content is too large or truncated")
    return content


class _ContentFetch:
    """The blocks of a content received so far."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.source_was_replaced = False  # since the last start or restart
        self.started_at: int | None = None  # time of the first request
        self.total: int | None = None  # compressed length
        self.blocks: dict[int, bytes] = {}  # by offset
        self.requested_at: dict[int, int] = {}  # by offset of a block that has not arrived

    def restart(self, total: int) -> None:
        """Start over with another compressed length."""
        self.total = total
        self.blocks.clear()
        self.requested_at.clear()
        self.source_was_replaced = False

    def next_offsets(self, now: int) -> Iterable[int]:
        """Yield the offsets to request; the first block tells the total length."""
        offsets = (0,) if self.total is None else range(0, self.total, BLOCK_SIZE)
        in_flight = sum(now - time < BLOCK_TIMEOUT for time in self.requested_at.values())
        for offset in offsets:
            if in_flight >= MAX_BLOCKS_IN_FLIGHT:
                return
            is_due = now - self.requested_at.get(offset, -BLOCK_TIMEOUT) >= BLOCK_TIMEOUT
            if offset not in self.blocks and is_due:
                in_flight += 1
                yield offset

    def has_timed_out(self, now: int) -> bool:
        """Return whether a requested block is overdue."""
        return any(now - time >= BLOCK_TIMEOUT for time in self.requested_at.values())

    def join_blocks(self) -> bytes:
        """Return the compressed content."""
        return b"".join(self.blocks[offset] for offset in sorted(self.blocks))


class BlockFetcher:
    """The missing blobs and the requests in flight for them."""

    def __init__(self, budget: TokenBucket) -> None:
        self._budget = budget
        self._fetches: dict[str, _ContentFetch] = {}
        self._fallback_sources: Sequence[str] = ()
        self.corrupt_count = 0  # complete contents that did not match their digest

    def __len__(self) -> int:
        return len(self._fetches)

    def oldest(self) -> FetchStatus | None:
        """Return the longest-running fetch; None if nothing has been requested yet."""
        return oldest_fetch(self._fetches)

    def add(self, digest: str, source: str) -> None:
        """Start to fetch a content from a member that has it, or had it."""
        if digest not in self._fetches:
            self._fetches[digest] = _ContentFetch(source)

    def set_fallback_sources(self, names: Sequence[str]) -> None:
        """Set the members that replace a source that does not answer."""
        self._fallback_sources = names

    def forget(self, digest: str) -> None:
        """Cancel the fetch of a content."""
        self._fetches.pop(digest, None)

    def retain_only(self, digests: Iterable[str]) -> None:
        """Cancel the fetches of all other contents."""
        retained = set(digests)
        self._fetches = {
            digest: fetch for digest, fetch in self._fetches.items() if digest in retained
        }

    def requests(self, now: int, rng: random.Random) -> list[tuple[str, BlockRequest]]:
        """Return the requests to send now, each with its addressee.

        A source that does not answer is replaced by one of the fallback sources.
        """
        requests: list[tuple[str, BlockRequest]] = []
        for digest, fetch in self._fetches.items():
            if self._fallback_sources and fetch.has_timed_out(now):
                fetch.source = rng.choice(self._fallback_sources)
                fetch.source_was_replaced = True
            for offset in list(fetch.next_offsets(now)):
                if not self._budget.take(BLOCK_SIZE, now):
                    return requests
                fetch.requested_at[offset] = now
                if fetch.started_at is None:
                    fetch.started_at = now
                requests.append((fetch.source, BlockRequest(digest, offset)))
        return requests

    def on_block(self, block: Block) -> bytes | None:
        """Process a block; return the compressed content once it is complete and verified."""
        fetch = self._fetches.get(block.digest)
        if fetch is None or not 0 < block.total <= MAX_CONTENT_BYTES or block.offset % BLOCK_SIZE:
            return None
        if fetch.total is None:
            fetch.total = block.total
        elif fetch.total != block.total and fetch.source_was_replaced:
            # Members may compress a content differently. The blocks so far are from another source,
            # which has timed out.
            fetch.restart(block.total)
        size = min(BLOCK_SIZE, fetch.total - block.offset)
        if block.total != fetch.total or len(block.data) != size:
            return None
        fetch.blocks[block.offset] = block.data
        fetch.requested_at.pop(block.offset, None)
        if len(fetch.blocks) * BLOCK_SIZE < fetch.total:
            return None
        compressed = fetch.join_blocks()
        del self._fetches[block.digest]
        if not _has_digest(compressed, block.digest):
            self.corrupt_count += 1
            self._fetches[block.digest] = _ContentFetch(fetch.source)
            return None
        return compressed


def _has_digest(compressed: bytes, digest: str) -> bool:
    try:
        return digest_of(decompress_content(compressed)) == digest
    except (ValueError, zlib.error):
        return False

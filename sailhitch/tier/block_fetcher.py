"""Fetches whole contents by digest in blocks: rosters, postures, and states of earlier versions."""

from __future__ import annotations

import hashlib
import random
import zlib
from collections.abc import Iterable, Sequence
from typing import Final

from .messages import Block, BlockRequest
from .page_fetcher import BLOCK_SIZE
from .token_bucket import TokenBucket

WINDOW: Final = 16  # blocks asked for at a time
PATIENCE: Final = 150_000  # us until a block is asked for again
MOST_CONTENT: Final = 64 << 20  # bytes of a content; ten thousand nodes take one and a half


def digest_of(content: bytes) -> str:
    """Return the digest of a whole content."""
    return hashlib.sha256(content).hexdigest()


def unpack(packed: bytes) -> bytes:
    """The content that was packed so; raises ValueError if it is too large, and zlib.error."""
    unpacker = zlib.decompressobj()
    content = unpacker.decompress(packed, MOST_CONTENT)
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise ValueError("a content that is too large, or cut short")
    return content


class _Fetch:
    """A content that is on its way."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.total: int | None = None
        self.blocks: dict[int, bytes] = {}
        self.asked: dict[int, int] = {}  # when, by offset

    def next_offsets(self, now: int) -> Iterable[int]:
        """Offsets to ask for: the first block tells how many there are."""
        offsets = (0,) if self.total is None else range(0, self.total, BLOCK_SIZE)
        under_way = sum(now - at < PATIENCE for at in self.asked.values())
        for offset in offsets:
            if under_way >= WINDOW:
                return
            late = now - self.asked.get(offset, -PATIENCE) >= PATIENCE
            if offset not in self.blocks and late:
                under_way += 1
                yield offset


class BlockFetcher:
    """Contents that are lacking, and what is under way for them."""

    def __init__(self, budget: TokenBucket) -> None:
        self._budget = budget
        self._fetches: dict[str, _Fetch] = {}
        self.spoilt = 0  # contents that came whole and were not what they should be

    def __len__(self) -> int:
        return len(self._fetches)

    def add(self, digest: str, source: str) -> None:
        """Fetch this from a member that has it, or had it."""
        if digest not in self._fetches:
            self._fetches[digest] = _Fetch(source)

    def forget(self, digest: str) -> None:
        """A content has come by another way."""
        self._fetches.pop(digest, None)

    def retain_only(self, digests: Iterable[str]) -> None:
        """Fetch no others than these."""
        wanted = set(digests)
        self._fetches = {one: fetch for one, fetch in self._fetches.items() if one in wanted}

    def requests(
        self, now: int, others: Sequence[str], rng: random.Random
    ) -> list[tuple[str, BlockRequest]]:
        """What to ask whom now. A source that does not answer gives way to one of `others`."""
        requests: list[tuple[str, BlockRequest]] = []
        for digest, fetch in self._fetches.items():
            if others and any(now - at >= PATIENCE for at in fetch.asked.values()):
                fetch.source = rng.choice(others)
            for offset in list(fetch.next_offsets(now)):
                if not self._budget.take(BLOCK_SIZE, now):
                    return requests
                fetch.asked[offset] = now
                requests.append((fetch.source, BlockRequest(digest, offset)))
        return requests

    def take(self, block: Block) -> bytes | None:
        """A block has come; the packed content, once it is whole and right."""
        fetch = self._fetches.get(block.digest)
        if fetch is None or not 0 < block.total <= MOST_CONTENT or block.offset % BLOCK_SIZE:
            return None
        if fetch.total is None:
            fetch.total = block.total
        size = min(BLOCK_SIZE, fetch.total - block.offset)
        if block.total != fetch.total or len(block.data) != size:
            return None
        fetch.blocks[block.offset] = block.data
        fetch.asked.pop(block.offset, None)
        if len(fetch.blocks) * BLOCK_SIZE < fetch.total:
            return None
        packed = b"".join(fetch.blocks[at] for at in sorted(fetch.blocks))
        del self._fetches[block.digest]
        try:
            is_right = digest_of(unpack(packed)) == block.digest
        except (ValueError, zlib.error):
            is_right = False
        if not is_right:
            self.spoilt += 1
            self._fetches[block.digest] = _Fetch(fetch.source)
            return None
        return packed

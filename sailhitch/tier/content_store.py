"""Stores contents by digest, compressed, and fetches missing ones from other members.

A content is either a blob, stored in one piece, or a tree of pages. A digest with the prefix
`tree:` is that of a tree, followed by the digest of its root page; any other is the SHA-256 of a
blob.

The byte budget: a gateway may spend 22 KB/s on control traffic, averaged over a day. A change to
one of 150,000 tenants transfers up to 16 KB of pages, so 1,500 changes a day are 24 MB, or 1.3% of
that average. A new member has to fetch the complete state, about 1.5 MB, within 60 s, which takes
at least 25 KB/s. `BYTES_PER_SECOND` is 2.6 times that, because datagrams get lost and a source may
be busy: the state takes 23 s. It is 2.9 times the daily average, and a new member's 1.5 MB are 0.1%
of the 1.9 GB that this average allows in a day. Replies have a budget of the same size: per second,
a member serves one new member, or four members with one change each. `BURST_BYTES` on top of it
lets each member that has a change send it to eight others at once.
"""

from __future__ import annotations

import random
import re
import zlib
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from operator import attrgetter
from typing import Final, NamedTuple

from ..pages import Tree, child_digests, compress
from .block_fetcher import BlockFetcher, decompress_content, digest_of
from .fetch_status import FetchStatus
from .messages import Block, BlockRequest, PageBlock, PageRange, PageReply, PageRequest
from .page_fetcher import (
    BLOCK_OVERHEAD,
    BLOCK_SIZE,
    MAX_BLOCKS_PER_RANGE,
    MAX_RANGES_PER_REQUEST,
    PageFetcher,
)
from .page_sources import IsAlive, assume_alive
from .page_store import PageStore
from .token_bucket import TokenBucket

__all__ = [
    "BLOCK_SIZE",
    "CONTENT_KEY_PREFIX",
    "PAGE_KEY_PREFIX",
    "TREE_PREFIX",
    "ContentStore",
    "digest_of",
    "root_of",
    "tree_digest",
]

TREE_PREFIX: Final = "tree:"
_TREE = re.compile(f"{TREE_PREFIX}([0-9a-f]{{64}})")
CONTENT_KEY_PREFIX = "content/"
PAGE_KEY_PREFIX = "page/"  # prefixes of disk item names, before a digest
BYTES_PER_SECOND: Final = 64 << 10  # of requested blocks, and the same again of sent blocks
BURST_BYTES: Final = 128 << 10  # may exceed that rate at once
MAX_REPLY_BYTES: Final = 1100  # of blocks; with its envelope and tag a reply stays within 1,200
MAX_STORED_PAGE_BYTES: Final = 64 << 20  # compressed; above it no page is requested


def tree_digest(root: str) -> str:
    """Return the digest of the tree whose root page has the digest `root`."""
    return TREE_PREFIX + root


def root_of(digest: str) -> str | None:
    """Return the digest of a tree's root page; None for the digest of a blob."""
    match = _TREE.fullmatch(digest)
    return None if match is None else match[1]


def _tree_roots(digests: Collection[str]) -> set[str]:
    return {root for digest in digests if (root := root_of(digest)) is not None}


class ReplyResult(NamedTuple):
    """The result of processing a reply."""

    new_items: dict[str, bytes]  # disk items to write before any message depends on them
    is_complete: bool  # whether the reply completed a content that was being fetched


NO_RESULT: Final = ReplyResult({}, False)


class ContentStore:
    """The stored contents and those being fetched. Times are in microseconds."""

    def __init__(
        self,
        contents: Mapping[str, bytes],
        pages: Mapping[str, bytes] | None = None,
        now: int = 0,
        is_alive: IsAlive = assume_alive,
    ) -> None:
        """Create a store of these compressed blobs and pages, by digest.

        Members for which `is_alive` returns False are the last to be asked for pages.
        """
        self.compressed = dict(contents)
        self._pages = PageStore(pages or {})
        request_budget = TokenBucket(BYTES_PER_SECOND, BURST_BYTES, now)
        self._reply_budget = TokenBucket(BYTES_PER_SECOND, BURST_BYTES, now)
        self._block_fetcher = BlockFetcher(request_budget)
        self._page_fetcher = PageFetcher(request_budget, is_alive)
        self._wanted_roots: set[str] = set()

    @classmethod
    def from_disk(
        cls, disk_items: Mapping[str, bytes], now: int, is_alive: IsAlive = assume_alive
    ) -> ContentStore:
        """Return a store with the contents among these disk items; other items are ignored."""
        contents = _strip_prefix(disk_items, CONTENT_KEY_PREFIX)
        return cls(contents, _strip_prefix(disk_items, PAGE_KEY_PREFIX), now, is_alive)

    @property
    def corrupt_count(self) -> int:
        """Number of contents and pages received whose data did not match their digest."""
        return self._block_fetcher.corrupt_count + self._page_fetcher.corrupt_count

    # --- Stored contents

    def has(self, *digests: str) -> bool:
        """Return whether all of these are stored, trees with all of their pages."""
        return all(self._has_content(digest) for digest in digests)

    def _has_content(self, digest: str) -> bool:
        root = root_of(digest)
        return digest in self.compressed if root is None else self._pages.is_complete(root)

    def read(self, digest: str) -> bytes:
        """Return a blob; raises KeyError."""
        return decompress_content(self.compressed[digest])

    def page(self, digest: str) -> bytes:
        """Return an uncompressed page by its own digest (implements `pages.PageSource`).

        Raises KeyError if the page is not stored.
        """
        return self._pages.page(digest)

    def add(self, content: bytes | Tree) -> tuple[str, dict[str, bytes]]:
        """Add a content; return its digest and the disk items to write for it.

        An updated tree contains only its new pages. Raises ValueError if any of its other pages is
        not stored, or if a page is malformed; nothing is added in that case.
        """
        if isinstance(content, Tree):
            return tree_digest(content.root), self._add_tree(content)
        digest = digest_of(content)
        compressed = zlib.compress(content, 6)
        self.compressed[digest] = compressed
        self._block_fetcher.forget(digest)
        return digest, {CONTENT_KEY_PREFIX + digest: compressed}

    def _add_tree(self, tree: Tree) -> dict[str, bytes]:
        new_items = {}
        for digest, children in self._children_of_new(tree).items():
            compressed = compress(tree.pages[digest])
            self._page_fetcher.forget(digest)
            self._pages.insert(digest, compressed, children)
            new_items[PAGE_KEY_PREFIX + digest] = compressed
        return new_items

    def _children_of_new(self, tree: Tree) -> dict[str, tuple[str, ...]]:
        """Return the digests of a tree's pages that are not stored, each with its children.

        Raises ValueError if the tree does not contain one of them.
        """
        children: dict[str, tuple[str, ...]] = {}
        stack = [tree.root]
        while stack:
            digest = stack.pop()
            if digest in children or self._pages.is_complete(digest):
                continue
            if digest in self._pages:
                stack += self._pages.children(digest)
                continue
            if digest not in tree.pages:
                raise ValueError(f"tree {tree.root}: page {digest} is neither new nor stored")
            children[digest] = child_digests(tree.pages[digest])
            stack += children[digest]
        return children

    def retain_only(self, digests: Collection[str]) -> list[str]:
        """Remove all other contents and cancel their fetches; return the disk items to delete."""
        retained = set(digests)
        removed = [digest for digest in self.compressed if digest not in retained]
        for digest in removed:
            del self.compressed[digest]
        removed_pages = self._pages.retain_only(_tree_roots(retained))
        self.fetch_only(retained)
        names = [CONTENT_KEY_PREFIX + digest for digest in removed]
        return names + [PAGE_KEY_PREFIX + digest for digest in removed_pages]

    # --- Fetching

    @property
    def is_fetching(self) -> bool:
        """Whether any content is being fetched."""
        return bool(len(self._block_fetcher) or len(self._page_fetcher))

    def oldest_fetch(self) -> FetchStatus | None:
        """Return the longest-running fetch; None if nothing has been requested yet."""
        statuses = [self._block_fetcher.oldest(), self._page_fetcher.oldest()]
        started = [status for status in statuses if status is not None]
        if not started:
            return None
        oldest = min(started, key=attrgetter("started_at"))
        return oldest._replace(fetch_count=sum(status.fetch_count for status in started))

    def fetch(self, digest: str, source: str) -> None:
        """Start to fetch a content; `source` is the member most likely to have it."""
        root = root_of(digest)
        if root is None:
            if digest not in self.compressed:
                self._block_fetcher.add(digest, source)
            return
        self._pages.pin(root)
        if self._pages.is_complete(root):
            return
        if root not in self._wanted_roots:
            self._page_fetcher.prefer(source)
            self._wanted_roots.add(root)
            self._page_fetcher.add(self._pages.missing_pages(root))

    def add_source(self, name: str) -> None:
        """Prefer a member that is known to have the trees being fetched."""
        self._page_fetcher.add_source(name)

    def fetch_only(self, digests: Collection[str]) -> None:
        """Cancel all other fetches; their pages received so far stay until `retain_only`."""
        self._block_fetcher.retain_only(digests)
        self._wanted_roots &= _tree_roots(digests)
        missing_pages = {
            page for root in self._wanted_roots for page in self._pages.missing_pages(root)
        }
        self._page_fetcher.retain_only(missing_pages)

    def requests(
        self, now: int, rng: random.Random, others: Sequence[Sequence[str]] | None = None
    ) -> list[tuple[str, BlockRequest | PageRequest]]:
        """Return the requests to send now, each with its addressee.

        `others` are groups of members that may have the missing contents, the most likely group
        first. None keeps those of the previous call.
        """
        if others is not None:
            self._page_fetcher.set_fallback_sources(others)
            self._block_fetcher.set_fallback_sources([name for rank in others for name in rank])
        requests: list[tuple[str, BlockRequest | PageRequest]] = []
        requests += self._block_fetcher.requests(now, rng)
        if self._pages.size < MAX_STORED_PAGE_BYTES:
            requests += self._page_fetcher.requests(now, rng)
        return requests

    def on_block(self, block: Block) -> ReplyResult:
        """Process a received block of a blob."""
        compressed = self._block_fetcher.on_block(block)
        if compressed is None:
            return NO_RESULT
        self.compressed[block.digest] = compressed
        return ReplyResult({CONTENT_KEY_PREFIX + block.digest: compressed}, True)

    def on_page_reply(self, sender: str, reply: PageReply, now: int) -> ReplyResult:
        """Process received blocks of pages."""
        new_items = {}
        for page in self._page_fetcher.on_reply(sender, reply, now):
            self._pages.insert(page.digest, page.compressed, page.children)
            for child in page.children:
                self._page_fetcher.add(self._pages.missing_pages(child))
            new_items[PAGE_KEY_PREFIX + page.digest] = page.compressed
        complete = {root for root in self._wanted_roots if self._pages.is_complete(root)}
        self._wanted_roots -= complete
        return ReplyResult(new_items, bool(complete))

    # --- Replies to others' requests

    def answer_block(self, request: BlockRequest, now: int) -> Block | None:
        """Return a block of a stored blob, if the reply budget allows it."""
        compressed = self.compressed.get(request.digest)
        offset = request.offset
        if compressed is None or not 0 <= offset < len(compressed) or offset % BLOCK_SIZE:
            return None
        data = compressed[offset : offset + BLOCK_SIZE]
        if not self._reply_budget.take(len(data) + BLOCK_OVERHEAD, now):
            return None
        return Block(request.digest, offset, len(compressed), data)

    def answer_pages(self, request: PageRequest, now: int) -> list[PageReply]:
        """Return the requested blocks of pages, several small ones in a reply.

        Pages that are not stored, or that the reply budget does not allow, are refused.
        """
        blocks = []
        refused = []
        for page_range in request.ranges[:MAX_RANGES_PER_REQUEST]:
            compressed = self._pages.compressed(page_range.digest.hex())
            available = (
                [] if compressed is None else list(self._blocks(compressed, page_range, now))
            )
            blocks += available
            if not available:
                refused.append(page_range.digest)
        replies = [PageReply(group, []) for group in _group_by_datagram(blocks)]
        return [*replies, PageReply([], refused)] if refused else replies

    def _blocks(self, compressed: bytes, page_range: PageRange, now: int) -> Iterator[PageBlock]:
        """Yield the requested blocks that exist, as far as the reply budget allows."""
        start = page_range.offset
        total = len(compressed)
        if start < 0 or start % BLOCK_SIZE:
            return
        end = min(total, start + min(page_range.blocks, MAX_BLOCKS_PER_RANGE) * BLOCK_SIZE)
        for offset in range(start, end, BLOCK_SIZE):
            data = compressed[offset : offset + BLOCK_SIZE]
            if not self._reply_budget.take(len(data) + BLOCK_OVERHEAD, now):
                return
            yield PageBlock(page_range.digest, offset, total, data)


def _group_by_datagram(blocks: Iterable[PageBlock]) -> Iterator[list[PageBlock]]:
    """Yield the blocks in groups, each of which fits into a datagram."""
    group: list[PageBlock] = []
    size = 0
    for block in blocks:
        added = len(block.data) + BLOCK_OVERHEAD
        if group and size + added > MAX_REPLY_BYTES:
            yield group
            group = []
            size = 0
        group.append(block)
        size += added
    if group:
        yield group


def _strip_prefix(disk_items: Mapping[str, bytes], prefix: str) -> dict[str, bytes]:
    """Return the disk items whose names have a prefix, by the rest of the name."""
    return {
        name.removeprefix(prefix): value
        for name, value in disk_items.items()
        if name.startswith(prefix)
    }

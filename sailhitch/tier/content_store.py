"""Contents by digest: whole ones, and trees of pages; kept packed, fetched from other members.

A digest with the prefix `tree:` names the tree whose root page has the digest after it; any other
is the SHA-256 of one whole content.

The byte budget. A gateway may spend 22 KB a second for control as the mean of a day. One of 150,000
tenants changed brings up to 16 KB of pages: 1,500 changes a day are 24 MB, or 1.3% of that mean. A
newcomer fetches the whole state, about 1.5 MB, within 60 s: 25 KB a second at least. `RATE` is 2.6
times that, as datagrams get lost and a source may be busy: 23 s for the whole. It is 2.9 times the
daily mean, and a newcomer's 1.5 MB are 0.1% of the 1.9 GB that this mean makes in a day. Answers
have as much: a member serves one newcomer, or four members with one change each, in a second. With
`BURST` more at once, a change passes from each member that has it to eight others at once.
"""

from __future__ import annotations

import random
import re
import zlib
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from typing import Final, NamedTuple

from ..pages import Tree, child_digests, compress
from .block_fetcher import BlockFetcher, digest_of, unpack
from .messages import Block, BlockRequest, PageBlock, PageRange, PageReply, PageRequest
from .page_fetcher import BLOCK_HEADER, BLOCK_SIZE, MOST_BLOCKS, MOST_RANGES, PageFetcher
from .page_store import PageStore
from .token_bucket import TokenBucket

__all__ = [
    "BLOCK_SIZE",
    "CONTENT",
    "PAGE",
    "TREE_PREFIX",
    "ContentStore",
    "digest_of",
    "root_of",
    "tree_digest",
]

TREE_PREFIX: Final = "tree:"
_TREE = re.compile(f"{TREE_PREFIX}([0-9a-f]{{64}})")
CONTENT = "content/"
PAGE = "page/"  # names on disk, before a digest
RATE: Final = 64 << 10  # bytes a second, of what is asked for and of what is answered
BURST: Final = 128 << 10  # bytes that may go beyond that at once
REPLY_SIZE: Final = 1100  # bytes of blocks in a reply; with its envelope and seal within 1,200
MOST_PAGES: Final = 64 << 20  # bytes of packed pages beyond which none is asked for


def tree_digest(root: str) -> str:
    """Return the digest of the tree whose root page has this one."""
    return TREE_PREFIX + root


def root_of(digest: str) -> str | None:
    """Return the digest of a tree's root page; None for a whole content's digest."""
    match = _TREE.fullmatch(digest)
    return None if match is None else match[1]


def _roots(digests: Collection[str]) -> set[str]:
    return {root for digest in digests if (root := root_of(digest)) is not None}


class Arrival(NamedTuple):
    """What an answer has brought."""

    kept: dict[str, bytes]  # what is to be on disk before anything is said of it
    is_complete: bool  # whether a content that was wanted is here now with all that belongs to it


NOTHING: Final = Arrival({}, False)


class ContentStore:
    """What is here, and what is wanted. Times in microseconds."""

    def __init__(
        self, contents: Mapping[str, bytes], pages: Mapping[str, bytes] | None = None, now: int = 0
    ) -> None:
        """`contents` and `pages` are packed ones by digest."""
        self.packed = dict(contents)
        self._pages = PageStore(pages or {})
        asks = TokenBucket(RATE, BURST, now)
        self._answers = TokenBucket(RATE, BURST, now)
        self._block_fetcher = BlockFetcher(asks)
        self._page_fetcher = PageFetcher(asks)
        self._wanted_roots: set[str] = set()

    @classmethod
    def from_disk(cls, kept: Mapping[str, bytes], now: int) -> ContentStore:
        """Return the store with what of it is on a disk; other names are passed over."""
        return cls(_named(kept, CONTENT), _named(kept, PAGE), now)

    @property
    def spoilt(self) -> int:
        """Contents and pages that came and were not what they should be."""
        return self._block_fetcher.spoilt + self._page_fetcher.spoilt

    # --- What is here

    def has(self, *digests: str) -> bool:
        """Return whether all of these are here, trees with all of their pages."""
        return all(self._has_one(digest) for digest in digests)

    def _has_one(self, digest: str) -> bool:
        root = root_of(digest)
        return digest in self.packed if root is None else self._pages.is_complete(root)

    def read(self, digest: str) -> bytes:
        """Return a whole content; raises KeyError."""
        return unpack(self.packed[digest])

    def page(self, digest: str) -> bytes:
        """Return a raw page by its plain digest, as `pages.PageSource`; raises KeyError."""
        return self._pages.page(digest)

    def add(self, content: bytes | Tree) -> tuple[str, dict[str, bytes]]:
        """Put a content in; its digest, and what is to be on disk for it.

        An updated tree has only its new pages. Raises ValueError where others are not here, or a
        page is malformed; nothing is put in then.
        """
        if isinstance(content, Tree):
            return tree_digest(content.root), self._add_tree(content)
        digest = digest_of(content)
        packed = zlib.compress(content, 6)
        self.packed[digest] = packed
        self._block_fetcher.forget(digest)
        return digest, {CONTENT + digest: packed}

    def _add_tree(self, tree: Tree) -> dict[str, bytes]:
        children = self._children_of_new(tree)
        kept = {}
        for digest, below in children.items():
            packed = compress(tree.pages[digest])
            self._page_fetcher.forget(digest)
            self._pages.insert(digest, packed, below)
            kept[PAGE + digest] = packed
        return kept

    def _children_of_new(self, tree: Tree) -> dict[str, tuple[str, ...]]:
        """Return the pages of a tree that are not here, with their children; raises ValueError."""
        children: dict[str, tuple[str, ...]] = {}
        waiting = [tree.root]
        while waiting:
            digest = waiting.pop()
            if digest in children or self._pages.is_complete(digest):
                continue
            if digest in self._pages:
                waiting += self._pages.children(digest)
                continue
            if digest not in tree.pages:
                raise ValueError(f"tree {tree.root}: its page {digest} is neither new nor here")
            children[digest] = child_digests(tree.pages[digest])
            waiting += children[digest]
        return children

    def keep_only(self, digests: Collection[str]) -> list[str]:
        """Let go of all others, and fetch no others; the names on disk of what went."""
        wanted = set(digests)
        gone = [digest for digest in self.packed if digest not in wanted]
        for digest in gone:
            del self.packed[digest]
        pages = self._pages.retain_only(_roots(wanted))
        self.fetch_only(wanted)
        return [CONTENT + digest for digest in gone] + [PAGE + digest for digest in pages]

    # --- Fetching

    @property
    def is_fetching(self) -> bool:
        """Whether something is wanted that is not here."""
        return bool(len(self._block_fetcher) or len(self._page_fetcher))

    def want(self, digest: str, source: str) -> None:
        """Fetch this; `source` most likely has it."""
        root = root_of(digest)
        if root is None:
            if digest not in self.packed:
                self._block_fetcher.add(digest, source)
            return
        self._pages.pin(root)
        if self._pages.is_complete(root):
            return
        if root not in self._wanted_roots:
            self._page_fetcher.prefer(source)
            self._wanted_roots.add(root)
            self._page_fetcher.add(self._pages.lacking(root))

    def add_source(self, name: str) -> None:
        """A member is known to have what is fetched."""
        self._page_fetcher.add_source(name)

    def fetch_only(self, digests: Collection[str]) -> None:
        """Fetch no others than these; pages that came for others stay until `keep_only`."""
        self._block_fetcher.retain_only(digests)
        self._wanted_roots &= _roots(digests)
        lacking = {page for root in self._wanted_roots for page in self._pages.lacking(root)}
        self._page_fetcher.retain_only(lacking)

    def requests(
        self, now: int, rng: random.Random, others: Sequence[Sequence[str]] | None = None
    ) -> list[tuple[str, BlockRequest | PageRequest]]:
        """Return what to ask whom now.

        `others` are members that may have what is lacking, in ranks of those that most likely do
        and those that less likely do; None: those of the call before.
        """
        if others is not None:
            self._page_fetcher.set_others(others)
        anybody = [name for rank in others or () for name in rank]
        blocks = self._block_fetcher.requests(now, anybody, rng)
        pages = self._page_fetcher.requests(now, rng) if self._pages.size < MOST_PAGES else []
        return [*blocks, *pages]

    def take_block(self, block: Block) -> Arrival:
        """A block of a whole content has come."""
        packed = self._block_fetcher.take(block)
        if packed is None:
            return NOTHING
        self.packed[block.digest] = packed
        return Arrival({CONTENT + block.digest: packed}, True)

    def take_pages(self, sender: str, reply: PageReply, now: int) -> Arrival:
        """Blocks of pages have come."""
        kept = {}
        for page in self._page_fetcher.take(sender, reply, now):
            self._pages.insert(page.digest, page.packed, page.children)
            for child in page.children:
                self._page_fetcher.add(self._pages.lacking(child))
            kept[PAGE + page.digest] = page.packed
        complete = {root for root in self._wanted_roots if self._pages.is_complete(root)}
        self._wanted_roots -= complete
        return Arrival(kept, bool(complete))

    # --- Answering

    def answer_block(self, request: BlockRequest, now: int) -> Block | None:
        """A block of a whole content that is here, if the budget has room."""
        packed = self.packed.get(request.digest)
        offset = request.offset
        if packed is None or not 0 <= offset < len(packed) or offset % BLOCK_SIZE:
            return None
        data = packed[offset : offset + BLOCK_SIZE]
        if not self._answers.take(len(data) + BLOCK_HEADER, now):
            return None
        return Block(request.digest, offset, len(packed), data)

    def answer_pages(self, request: PageRequest, now: int) -> list[PageReply]:
        """Blocks of pages that are here, several small ones in a reply.

        Refused are pages that are not here, and those for which the budget has no room.
        """
        blocks = []
        refused = []
        for wanted in request.ranges[:MOST_RANGES]:
            packed = self._pages.packed(wanted.digest.hex())
            found = [] if packed is None else list(self._blocks(packed, wanted, now))
            blocks += found
            if not found:
                refused.append(wanted.digest)
        replies = [PageReply(group, []) for group in _grouped(blocks)]
        return [*replies, PageReply([], refused)] if refused else replies

    def _blocks(self, packed: bytes, wanted: PageRange, now: int) -> Iterator[PageBlock]:
        """The blocks that were asked for, as far as they are there and the budget has room."""
        start = wanted.offset
        total = len(packed)
        if start < 0 or start % BLOCK_SIZE:
            return
        end = min(total, start + min(wanted.blocks, MOST_BLOCKS) * BLOCK_SIZE)
        for offset in range(start, end, BLOCK_SIZE):
            data = packed[offset : offset + BLOCK_SIZE]
            if not self._answers.take(len(data) + BLOCK_HEADER, now):
                return
            yield PageBlock(wanted.digest, offset, total, data)


def _grouped(blocks: Iterable[PageBlock]) -> Iterator[list[PageBlock]]:
    """Blocks in groups that fit into a datagram each."""
    group: list[PageBlock] = []
    size = 0
    for block in blocks:
        added = len(block.data) + BLOCK_HEADER
        if group and size + added > REPLY_SIZE:
            yield group
            group = []
            size = 0
        group.append(block)
        size += added
    if group:
        yield group


def _named(kept: Mapping[str, bytes], prefix: str) -> dict[str, bytes]:
    """Values whose names on disk have a prefix, by the rest of the name."""
    return {
        name.removeprefix(prefix): value for name, value in kept.items() if name.startswith(prefix)
    }

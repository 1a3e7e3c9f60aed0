"""Pages of trees, packed, with what is needed to know which trees are whole and which pages go.

Pages are counted by their references (parents that are here, and pinned roots), as pages of several
trees are the same; digests can't form a cycle. A page is complete once all pages below it are here.
Both are kept up to date page by page: no page is decoded twice, and what a change costs depends on
the pages that come or go, not on those that stay.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping

from ..pages import MAX_PAGE_BYTES, PageError, child_digests, decompress


class PageStore:
    """Pages by digest; a `pages.PageSource`."""

    def __init__(self, packed: Mapping[str, bytes]) -> None:
        self._packed: dict[str, bytes] = {}
        self._children: dict[str, tuple[str, ...]] = {}
        self._references: dict[str, int] = {}  # of pages that are here or lacking
        self._unreferenced: set[str] = set()  # pages that are here
        self._pinned: set[str] = set()
        self._complete: set[str] = set()
        self._incomplete_children: dict[str, int] = {}  # by page: how many
        self._waiting_parents: dict[str, set[str]] = {}  # by child that is not complete
        self.size = 0  # bytes of all packed pages
        self._unreadable: list[str] = []
        for digest, page in packed.items():
            try:
                self.insert(digest, page, child_digests(decompress(page, MAX_PAGE_BYTES)))
            except PageError:
                self._unreadable.append(digest)

    def __contains__(self, digest: str) -> bool:
        return digest in self._packed

    def is_complete(self, digest: str) -> bool:
        """Return whether a page and all below it are here."""
        return digest in self._complete

    def page(self, digest: str) -> bytes:
        """Return a raw page; raises KeyError."""
        return decompress(self._packed[digest], MAX_PAGE_BYTES)

    def children(self, digest: str) -> tuple[str, ...]:
        """Return the digests that a page holds; raises KeyError."""
        return self._children[digest]

    def packed(self, digest: str) -> bytes | None:
        """Return a page in its packed form, where it is here."""
        return self._packed.get(digest)

    def lacking(self, root: str) -> Iterator[str]:
        """Pages below `root` that are not here and whose parents are, or the root itself.

        Costs the pages that are here and not complete.
        """
        waiting = [root]
        seen = {root}
        while waiting:
            digest = waiting.pop()
            if digest in self._complete:
                continue
            if digest not in self._packed:
                yield digest
                continue
            for child in self._children[digest]:
                if child not in seen:
                    seen.add(child)
                    waiting.append(child)

    # --- Pages that come

    def insert(self, digest: str, packed: bytes, children: tuple[str, ...]) -> None:
        """Put in a page that was verified; `children` are the digests that it holds."""
        if digest in self._packed:
            return
        self._packed[digest], self._children[digest] = packed, children
        self.size += len(packed)
        for child in children:
            self._refer(child)
        if not self._references.get(digest):
            self._unreferenced.add(digest)
        incomplete = [child for child in children if child not in self._complete]
        if not incomplete:
            self._set_complete(digest)
            return
        self._incomplete_children[digest] = len(incomplete)
        for child in incomplete:
            self._waiting_parents.setdefault(child, set()).add(digest)

    def _set_complete(self, digest: str) -> None:
        """Note that a page is complete, and each page above it that is so by it."""
        complete = [digest]
        while complete:
            page = complete.pop()
            self._complete.add(page)
            for parent in self._waiting_parents.pop(page, ()):
                self._incomplete_children[parent] -= 1
                if not self._incomplete_children[parent]:
                    del self._incomplete_children[parent]
                    complete.append(parent)

    # --- Pages that go

    def pin(self, root: str) -> None:
        """Retain a tree, whether its pages are here or to come."""
        if root not in self._pinned:
            self._pinned.add(root)
            self._refer(root)

    def retain_only(self, roots: Collection[str]) -> list[str]:
        """Let go of all pages that no tree of these reaches; their digests."""
        for root in roots:
            self.pin(root)
        for root in self._pinned.difference(roots):
            self._pinned.discard(root)
            self._unrefer(root)
        gone = self._unreadable
        self._unreadable = []
        while self._unreferenced:
            digest = self._unreferenced.pop()
            self._remove(digest)
            gone.append(digest)
        return gone

    def _refer(self, digest: str) -> None:
        self._references[digest] = self._references.get(digest, 0) + 1
        self._unreferenced.discard(digest)

    def _unrefer(self, digest: str) -> None:
        self._references[digest] -= 1
        if not self._references[digest]:
            del self._references[digest]
            if digest in self._packed:
                self._unreferenced.add(digest)

    def _remove(self, digest: str) -> None:
        self.size -= len(self._packed.pop(digest))
        self._complete.discard(digest)
        self._incomplete_children.pop(digest, None)
        for child in self._children.pop(digest):
            parents = self._waiting_parents.get(child)
            if parents is not None:
                parents.discard(digest)
                if not parents:
                    del self._waiting_parents[child]
            self._unrefer(child)

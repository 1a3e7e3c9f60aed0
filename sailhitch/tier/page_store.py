"""Compressed pages of trees, with their reference counts and whether they are complete.

Trees share pages, so pages are reference-counted; stored parents and pinned roots count as
references, and digests can't form a cycle. A page is complete once all its descendants are stored.
Both are updated page by page: no page is decoded twice, and the cost of a change depends on the
pages that are added or removed, not on those that stay.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping

from ..pages import MAX_PAGE_BYTES, PageError, child_digests, decompress


class PageStore:
    """Pages by digest; implements `pages.PageSource`."""

    def __init__(self, compressed: Mapping[str, bytes]) -> None:
        self._packed: dict[str, bytes] = {}
        self._children: dict[str, tuple[str, ...]] = {}
        self._references: dict[str, int] = {}  # counts, of stored and of missing pages
        self._unreferenced: set[str] = set()  # stored pages without references
        self._pinned: set[str] = set()  # roots
        self._complete: set[str] = set()
        self._incomplete_children: dict[str, int] = {}  # counts, by parent
        self._waiting_parents: dict[str, set[str]] = {}  # by incomplete child
        self.size = 0  # bytes of all compressed pages
        self._unreadable: list[str] = []  # not stored, but to be deleted from disk
        for digest, page in compressed.items():
            try:
                self.insert(digest, page, child_digests(decompress(page, MAX_PAGE_BYTES)))
            except PageError:
                self._unreadable.append(digest)

    def __contains__(self, digest: str) -> bool:
        return digest in self._packed

    def is_complete(self, digest: str) -> bool:
        """Return whether a page and all its descendants are stored."""
        return digest in self._complete

    def page(self, digest: str) -> bytes:
        """Return an uncompressed page; raises KeyError."""
        return decompress(self._packed[digest], MAX_PAGE_BYTES)

    def children(self, digest: str) -> tuple[str, ...]:
        """Return the digests of a page's children; raises KeyError."""
        return self._children[digest]

    def compressed(self, digest: str) -> bytes | None:
        """Return a compressed page; None if it is not stored."""
        return self._packed.get(digest)

    def missing_pages(self, root: str) -> Iterator[str]:
        """Yield the missing pages below `root` whose parents are stored, or the root itself.

        The cost is proportional to the number of stored pages that are not complete.
        """
        stack = [root]
        seen = {root}
        while stack:
            digest = stack.pop()
            if digest in self._complete:
                continue
            if digest not in self._packed:
                yield digest
                continue
            for child in self._children[digest]:
                if child not in seen:
                    seen.add(child)
                    stack.append(child)

    # --- Adding pages

    def insert(self, digest: str, compressed: bytes, children: tuple[str, ...]) -> None:
        """Add a verified page; `children` are the digests of its children."""
        if digest in self._packed:
            return
        self._packed[digest] = compressed
        self._children[digest] = children
        self.size += len(compressed)
        for child in children:
            self._add_reference(child)
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
        """Mark a page as complete, and each ancestor that thereby becomes complete."""
        newly_complete = [digest]
        while newly_complete:
            page = newly_complete.pop()
            self._complete.add(page)
            for parent in self._waiting_parents.pop(page, ()):
                self._incomplete_children[parent] -= 1
                if not self._incomplete_children[parent]:
                    del self._incomplete_children[parent]
                    newly_complete.append(parent)

    # --- Removing pages

    def pin(self, root: str) -> None:
        """Retain a tree, including its pages that are not stored yet."""
        if root not in self._pinned:
            self._pinned.add(root)
            self._add_reference(root)

    def retain_only(self, roots: Collection[str]) -> list[str]:
        """Remove all pages that belong to none of these trees; return their digests."""
        for root in roots:
            self.pin(root)
        for root in self._pinned.difference(roots):
            self._pinned.discard(root)
            self._remove_reference(root)
        removed = self._unreadable
        self._unreadable = []
        while self._unreferenced:
            digest = self._unreferenced.pop()
            self._remove(digest)
            removed.append(digest)
        return removed

    def _add_reference(self, digest: str) -> None:
        self._references[digest] = self._references.get(digest, 0) + 1
        self._unreferenced.discard(digest)

    def _remove_reference(self, digest: str) -> None:
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
            self._remove_reference(child)

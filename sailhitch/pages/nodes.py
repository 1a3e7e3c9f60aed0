"""Nodes of a tree in memory, and how they are read from pages.

A page alone does not say where it lies; a node does. Reading a child checks what its parent says:
the place, the number of entries and their size.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from .interface import Key, PageError, PageSource
from .page import Branch, Leaf, Reference, verified
from .paths import PATH_DIGITS


@dataclass(frozen=True, slots=True)
class Subtree:
    """A subtree that is in a source and not read; all its paths begin with its place."""

    place: str
    reference: Reference

    @property
    def count(self) -> int:
        """The number of entries below."""
        return self.reference.count

    @property
    def size(self) -> int:
        """The bytes of the entries below."""
        return self.reference.size


@dataclass(frozen=True, slots=True)
class BranchNode:
    """A branch with the whole prefix of the paths below it, and the totals of its children."""

    prefix: str
    children: Mapping[str, Node]
    count: int
    size: int


Node = Leaf | BranchNode | Subtree


def make_branch(prefix: str, children: Mapping[str, Node]) -> BranchNode:
    """Return a branch node with its totals."""
    count = sum(child.count for child in children.values())
    size = sum(child.size for child in children.values())
    return BranchNode(prefix, children, count, size)


def read_root(source: PageSource, root: str) -> Leaf | BranchNode:
    """Return the root's node; raises PageError, and KeyError if the source does not have it."""
    return _place(verified(source.page(root), root), "", root)


def read_subtree(source: PageSource, subtree: Subtree) -> Leaf | BranchNode:
    """Return the subtree's first node; raises PageError, and KeyError for a missing page."""
    digest = subtree.reference.digest
    node = _place(verified(source.page(digest), digest), subtree.place, digest)
    if (node.count, node.size) != (subtree.count, subtree.size):
        raise PageError(
            f"page {digest}: {node.count} entries of {node.size} bytes, "
            f"its parent says {subtree.count} of {subtree.size}"
        )
    return node


def _place(page: Leaf | Branch, place: str, digest: str) -> Leaf | BranchNode:
    if isinstance(page, Leaf):
        _check_place(page, place, digest)
        return page
    prefix = place + page.skip
    if len(prefix) >= PATH_DIGITS:
        raise PageError(f"page {digest}: branch at digit {len(prefix)}, of {PATH_DIGITS} in a path")
    children = {
        digit: Subtree(prefix + digit, reference) for digit, reference in page.children.items()
    }
    return make_branch(prefix, children)


def _check_place(leaf: Leaf, place: str, digest: str) -> None:
    """Check a leaf's place; as entries are in order, all have its prefix if the ends have it."""
    for entry in (*leaf.entries[:1], *leaf.entries[-1:]):
        if not entry.path.startswith(place):
            raise PageError(f"page {digest}: entry {entry.key!r} does not belong at {place!r}")


def read_entries(source: PageSource, root: str) -> Iterator[tuple[Key, bytes]]:
    """All entries in the order of their paths; raises PageError, and KeyError for a page's lack."""
    waiting: list[Node] = [read_root(source, root)]
    while waiting:
        node = waiting.pop()
        if isinstance(node, Subtree):
            node = read_subtree(source, node)
        if isinstance(node, Leaf):
            yield from ((entry.key, entry.value) for entry in node.entries)
        else:
            waiting.extend(reversed(list(node.children.values())))

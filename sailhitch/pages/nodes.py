"""The nodes of a tree in memory, and reading them from pages.

Unlike a page, a node knows its position in the tree. Reading a child verifies what its parent says
about it: the position, the number of entries and their size.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from .interface import Key, PageError, PageSource
from .page import Branch, Leaf, Reference, decode_verified
from .paths import PATH_DIGITS


@dataclass(frozen=True, slots=True)
class Subtree:
    """A subtree that has not been read from its source; all its paths begin with `position`."""

    position: str
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
    """A branch with the full common prefix of the paths below it, and its children's totals."""

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
    """Return the root's node; raises PageError, or KeyError if the source does not have it."""
    return _make_node(decode_verified(source.page(root), root), "", root)


def read_subtree(source: PageSource, subtree: Subtree) -> Leaf | BranchNode:
    """Return the top node of a subtree; raises PageError, or KeyError for a missing page."""
    digest = subtree.reference.digest
    node = _make_node(decode_verified(source.page(digest), digest), subtree.position, digest)
    if (node.count, node.size) != (subtree.count, subtree.size):
        raise PageError(
            f"page {digest}: {node.count} entries of {node.size} bytes, "
            f"its parent says {subtree.count} of {subtree.size}"
        )
    return node


def _make_node(page: Leaf | Branch, position: str, digest: str) -> Leaf | BranchNode:
    if isinstance(page, Leaf):
        _check_position(page, position, digest)
        return page
    prefix = position + page.skip
    if len(prefix) >= PATH_DIGITS:
        raise PageError(f"page {digest}: branch at digit {len(prefix)}, of {PATH_DIGITS} in a path")
    children = {
        digit: Subtree(prefix + digit, reference) for digit, reference in page.children.items()
    }
    return make_branch(prefix, children)


def _check_position(leaf: Leaf, position: str, digest: str) -> None:
    """Check a leaf's position; entries are sorted, so the first and the last one suffice."""
    for entry in (*leaf.entries[:1], *leaf.entries[-1:]):
        if not entry.path.startswith(position):
            raise PageError(f"page {digest}: entry {entry.key!r} does not belong at {position!r}")


def read_entries(source: PageSource, root: str) -> Iterator[tuple[Key, bytes]]:
    """Yield all entries sorted by path; raises PageError, or KeyError for a missing page."""
    stack: list[Node] = [read_root(source, root)]
    while stack:
        node = stack.pop()
        if isinstance(node, Subtree):
            node = read_subtree(source, node)
        if isinstance(node, Leaf):
            yield from ((entry.key, entry.value) for entry in node.entries)
        else:
            stack.extend(reversed(list(node.children.values())))

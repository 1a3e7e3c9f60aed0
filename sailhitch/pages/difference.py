"""The difference of two trees, by a walk over those pages alone that differ."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from itertools import groupby

from .interface import Change, PageSource
from .nodes import BranchNode, Node, Subtree, read_root, read_subtree
from .page import Leaf, encode_leaf, page_digest
from .paths import common_prefix

_EMPTY = Leaf(())


def difference(source: PageSource, old_root: str, new_root: str) -> Iterator[Change]:
    """Return the entries that differ, in the order of their paths.

    Raises PageError for a page that is wrong, KeyError for one that is not there.
    """
    if old_root == new_root:
        return
    waiting: list[tuple[Node, Node]] = [(read_root(source, old_root), read_root(source, new_root))]
    while waiting:
        old, new = waiting.pop()
        if _same(old, new):
            continue
        old_node = _load(source, old)
        new_node = _load(source, new)
        if isinstance(old_node, Leaf) and isinstance(new_node, Leaf):
            yield from _leaf_changes(old_node, new_node)
        else:
            waiting.extend(reversed(_pairs(old_node, new_node)))


def _load(source: PageSource, node: Node) -> Leaf | BranchNode:
    return read_subtree(source, node) if isinstance(node, Subtree) else node


def _same(old: Node, new: Node) -> bool:
    """Return whether two nodes are seen to be the same without reading a page."""
    if (old.count, old.size) != (new.count, new.size):
        return False
    old_digest = _known_digest(old)
    return old_digest is not None and old_digest == _known_digest(new)


def _known_digest(node: Node) -> str | None:
    """Return the digest of a node's page; a branch in memory may have come from another place."""
    if isinstance(node, Subtree):
        return node.reference.digest
    if isinstance(node, Leaf):
        return page_digest(encode_leaf(node.entries))
    return None


def _leaf_changes(old: Leaf, new: Leaf) -> Iterator[Change]:
    before = {entry.path: entry for entry in old.entries}
    after = {entry.path: entry for entry in new.entries}
    for path in sorted(before.keys() | after.keys()):
        old_entry = before.get(path)
        new_entry = after.get(path)
        if old_entry and new_entry and old_entry.encoded == new_entry.encoded:
            continue
        key = (old_entry or new_entry or before[path]).key
        yield Change(
            key,
            old_entry.value if old_entry else None,
            new_entry.value if new_entry else None,
        )


def _pairs(old: Leaf | BranchNode, new: Leaf | BranchNode) -> list[tuple[Node, Node]]:
    """Both nodes cut at the first digit where their paths part; at least one is a branch."""
    ends = [*_ends(old), *_ends(new)]
    prefix = ends[0]
    for end in ends[1:]:
        prefix = common_prefix(prefix, end)
    old_parts = _parts(old, len(prefix))
    new_parts = _parts(new, len(prefix))
    digits = sorted(old_parts.keys() | new_parts.keys())
    return [(old_parts.get(digit, _EMPTY), new_parts.get(digit, _EMPTY)) for digit in digits]


def _ends(node: Leaf | BranchNode) -> list[str]:
    """Strings whose common prefix is that of all paths of the node."""
    if isinstance(node, BranchNode):
        return [node.prefix]
    return [entry.path for entry in (*node.entries[:1], *node.entries[-1:])]


def _parts(node: Leaf | BranchNode, at: int) -> Mapping[str, Node]:
    if isinstance(node, Leaf):
        groups = groupby(node.entries, key=lambda entry: entry.path[at])
        return {digit: Leaf(tuple(group)) for digit, group in groups}
    if len(node.prefix) > at:
        return {node.prefix[at]: node}
    return node.children

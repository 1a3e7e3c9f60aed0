"""Computes the difference of two trees, reading only pages that differ."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from itertools import groupby

from .interface import Change, PageSource
from .nodes import BranchNode, Node, Subtree, read_root, read_subtree
from .page import Leaf, encode_leaf, page_digest
from .paths import common_prefix

_EMPTY = Leaf(())


def difference(source: PageSource, old_root: str, new_root: str) -> Iterator[Change]:
    """Yield the entries that differ, in the order of their paths.

    Raises PageError for an invalid page, and KeyError for one that the source does not have.
    """
    if old_root == new_root:
        return
    stack: list[tuple[Node, Node]] = [(read_root(source, old_root), read_root(source, new_root))]
    while stack:
        old, new = stack.pop()
        if _are_known_equal(old, new):
            continue
        old_node = _load(source, old)
        new_node = _load(source, new)
        if isinstance(old_node, Leaf) and isinstance(new_node, Leaf):
            yield from _leaf_changes(old_node, new_node)
        else:
            stack.extend(reversed(_split_pairs(old_node, new_node)))


def _load(source: PageSource, node: Node) -> Leaf | BranchNode:
    return read_subtree(source, node) if isinstance(node, Subtree) else node


def _are_known_equal(old: Node, new: Node) -> bool:
    """Return whether two nodes are known to be equal without reading a page."""
    if (old.count, old.size) != (new.count, new.size):
        return False
    old_digest = _known_digest(old)
    return old_digest is not None and old_digest == _known_digest(new)


def _known_digest(node: Node) -> str | None:
    """Return the digest of a node's page; None for a loaded branch.

    A branch's page depends on its position, and may have been read at a different one.
    """
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


def _split_pairs(old: Leaf | BranchNode, new: Leaf | BranchNode) -> list[tuple[Node, Node]]:
    """Split both nodes at the first digit where their paths differ, and pair up the parts.

    At least one of the nodes is a branch.
    """
    boundary_paths = [*_boundary_paths(old), *_boundary_paths(new)]
    prefix = boundary_paths[0]
    for path in boundary_paths[1:]:
        prefix = common_prefix(prefix, path)
    old_parts = _children_by_digit(old, len(prefix))
    new_parts = _children_by_digit(new, len(prefix))
    digits = sorted(old_parts.keys() | new_parts.keys())
    return [(old_parts.get(digit, _EMPTY), new_parts.get(digit, _EMPTY)) for digit in digits]


def _boundary_paths(node: Leaf | BranchNode) -> list[str]:
    """Return strings whose common prefix is that of all paths of the node."""
    if isinstance(node, BranchNode):
        return [node.prefix]
    return [entry.path for entry in (*node.entries[:1], *node.entries[-1:])]


def _children_by_digit(node: Leaf | BranchNode, depth: int) -> Mapping[str, Node]:
    if isinstance(node, Leaf):
        groups = groupby(node.entries, key=lambda entry: entry.path[depth])
        return {digit: Leaf(tuple(group)) for digit, group in groups}
    if len(node.prefix) > depth:
        return {node.prefix[depth]: node}
    return node.children

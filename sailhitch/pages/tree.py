"""Builds and updates trees.

The shape of a tree is canonical: it depends on the entries alone. A single entry, or entries whose
encoded size in total is at most the leaf size, form one leaf. All others form a branch at the
longest common prefix of their paths, with a child for each next digit. An update restores this
shape bottom-up.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import groupby, pairwise
from typing import NamedTuple

from .interface import LEAF_SIZE, Key, PageError, PageSource, Tree
from .nodes import BranchNode, Node, Subtree, make_branch, read_root, read_subtree
from .page import (
    MAX_ENTRY_BYTES,
    Branch,
    Entry,
    Leaf,
    Reference,
    check_key,
    encode_branch,
    encode_leaf,
    make_entry,
    page_digest,
)
from .paths import common_prefix, key_path


class _Edit(NamedTuple):
    """The new entry at a path, or None to delete the entry there."""

    path: str
    key: Key
    entry: Entry | None


def build(entries: Mapping[Key, bytes], leaf_size: int = LEAF_SIZE) -> Tree:
    """Return the tree of these entries with all its pages."""
    _check_leaf_size(leaf_size)
    ordered = sorted(make_entry(key, value) for key, value in entries.items())
    _check_distinct([(entry.path, entry.key) for entry in ordered])
    writer = _Writer()
    root = writer.write(_build_node(ordered, leaf_size), "")
    return Tree(root.digest, writer.pages)


def update(
    source: PageSource,
    root: str,
    changes: Mapping[Key, bytes | None],
    leaf_size: int = LEAF_SIZE,
) -> Tree:
    """Return the tree after these changes (None deletes), with only the pages that are new.

    The leaf size must be the one that the tree was built with. Raises ValueError for a key or a
    value that is too long, PageError for an invalid page, and KeyError for a page that the source
    does not have.
    """
    _check_leaf_size(leaf_size)
    edits = sorted(_make_edit(key, value) for key, value in changes.items())
    _check_distinct([(edit.path, edit.key) for edit in edits])
    editor = _Editor(source, leaf_size)
    edited = editor.edit(editor.read_root(root), edits)
    writer = _Writer()
    reference = writer.write(edited, "")
    new = {digest: raw for digest, raw in writer.pages.items() if digest not in editor.read_digests}
    return Tree(reference.digest, new)


def _make_edit(key: Key, value: bytes | None) -> _Edit:
    if value is None:
        check_key(key)
        return _Edit(key_path(key), key, None)
    entry = make_entry(key, value)
    return _Edit(entry.path, key, entry)


def _check_leaf_size(leaf_size: int) -> None:
    if not 0 < leaf_size <= MAX_ENTRY_BYTES:
        raise ValueError(f"leaf_size {leaf_size}: not from 1 to {MAX_ENTRY_BYTES}")


def _check_distinct(keyed_paths: Sequence[tuple[str, Key]]) -> None:
    for (path, key), (next_path, next_key) in pairwise(keyed_paths):
        if path == next_path:
            raise ValueError(f"keys {key!r} and {next_key!r} have the same path")


def _fits_leaf(node: Node, leaf_size: int) -> bool:
    """Return whether a node's entries fit into one leaf."""
    return node.count <= 1 or node.size <= leaf_size


def _group_by_digit(entries: Iterable[Entry], depth: int) -> Iterator[tuple[str, list[Entry]]]:
    for digit, group in groupby(entries, key=lambda entry: entry.path[depth]):
        yield digit, list(group)


def _build_node(entries: Sequence[Entry], leaf_size: int) -> Leaf | BranchNode:
    """Return the canonical node of entries sorted by path; recurses at most to a path's length."""
    leaf = Leaf(tuple(entries))
    if _fits_leaf(leaf, leaf_size):
        return leaf
    prefix = common_prefix(entries[0].path, entries[-1].path)
    children = {
        digit: _build_node(group, leaf_size)
        for digit, group in _group_by_digit(entries, len(prefix))
    }
    return make_branch(prefix, children)


class _Editor:
    """Applies edits to nodes, and reads the necessary pages from the source."""

    def __init__(self, source: PageSource, leaf_size: int) -> None:
        self._source = source
        self._leaf_size = leaf_size
        self.read_digests: set[str] = set()

    def read_root(self, root: str) -> Leaf | BranchNode:
        return self._check_shape(read_root(self._source, root), root)

    def _load(self, node: Node) -> Leaf | BranchNode:
        if not isinstance(node, Subtree):
            return node
        return self._check_shape(read_subtree(self._source, node), node.reference.digest)

    def _check_shape(self, node: Leaf | BranchNode, digest: str) -> Leaf | BranchNode:
        if isinstance(node, Leaf) != _fits_leaf(node, self._leaf_size):
            raise PageError(
                f"page {digest}: {node.count} entries of {node.size} bytes are not a "
                f"{'leaf' if isinstance(node, Leaf) else 'branch'} at leaf size {self._leaf_size}"
            )
        self.read_digests.add(digest)
        return node

    def edit(self, node: Node, edits: Sequence[_Edit]) -> Node:
        """Return the canonical node after these edits, which are sorted by path."""
        if not edits:
            return node
        loaded = self._load(node)
        if isinstance(loaded, Leaf):
            return _build_node(_merge(loaded.entries, edits), self._leaf_size)
        inside = [edit for edit in edits if edit.path.startswith(loaded.prefix)]
        outside = [edit for edit in edits if not edit.path.startswith(loaded.prefix)]
        edited = self._edit_children(loaded, inside)
        return self._add_entries(edited, [edit for edit in outside if edit.entry])

    def _edit_children(self, branch: BranchNode, edits: Sequence[_Edit]) -> Node:
        if not edits:
            return branch
        children = dict(branch.children)
        depth = len(branch.prefix)
        for digit, group in groupby(edits, key=lambda edit: edit.path[depth]):
            child = self.edit(children.get(digit, Leaf(())), list(group))
            if child.count:
                children[digit] = child
            else:
                children.pop(digit, None)
        return self._canonical(branch.prefix, dict(sorted(children.items())))

    def _canonical(self, prefix: str, children: Mapping[str, Node]) -> Node:
        """Return the canonical node of these children, which are themselves canonical."""
        if len(children) == 1:
            (child,) = children.values()
            # A leaf's page does not depend on its position, but a branch's page does: it skips the
            # digits that follow its position.
            return child if _fits_leaf(child, self._leaf_size) else self._load(child)
        branch = make_branch(prefix, children)
        if _fits_leaf(branch, self._leaf_size):
            return Leaf(tuple(self._entries_of(children.values())))
        return branch

    def _entries_of(self, children: Iterable[Node]) -> Iterator[Entry]:
        """Yield the entries of children that together fit into one leaf, so each is a leaf."""
        for child in children:
            leaf = self._load(child)
            assert isinstance(leaf, Leaf)
            yield from leaf.entries

    def _add_entries(self, node: Node, edits: Sequence[_Edit]) -> Node:
        """Return the node with these entries added, whose paths need not begin with its prefix."""
        if not edits:
            return node
        loaded = self._load(node)
        if isinstance(loaded, Leaf):
            return _build_node(_merge(loaded.entries, edits), self._leaf_size)
        prefix = loaded.prefix
        for edit in (edits[0], edits[-1]):
            prefix = common_prefix(prefix, edit.path)
        depth = len(prefix)
        children: dict[str, Node] = {loaded.prefix[depth]: loaded}
        for digit, group in groupby(edits, key=lambda edit: edit.path[depth]):
            children[digit] = self._add_entries(children.get(digit, Leaf(())), list(group))
        return make_branch(prefix, dict(sorted(children.items())))


def _merge(entries: Iterable[Entry], edits: Iterable[_Edit]) -> list[Entry]:
    merged = {entry.path: entry for entry in entries}
    for edit in edits:
        if edit.entry:
            merged[edit.path] = edit.entry
        else:
            merged.pop(edit.path, None)
    return [merged[path] for path in sorted(merged)]


class _Writer:
    """Encodes nodes into pages, and collects these."""

    def __init__(self) -> None:
        self.pages: dict[str, bytes] = {}

    def write(self, node: Node, position: str) -> Reference:
        """Encode a node and its loaded descendants; recurses at most to a path's length."""
        if isinstance(node, Subtree):
            return node.reference
        if isinstance(node, Leaf):
            return self._add_page(encode_leaf(node.entries), node)
        children = {
            digit: self.write(child, node.prefix + digit) for digit, child in node.children.items()
        }
        return self._add_page(encode_branch(Branch(node.prefix[len(position) :], children)), node)

    def _add_page(self, raw: bytes, node: Leaf | BranchNode) -> Reference:
        digest = page_digest(raw)
        self.pages[digest] = raw
        return Reference(digest, node.count, node.size)

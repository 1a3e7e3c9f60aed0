"""The contents of the model's versions, as trees of several pages.

A version permits a set of acts. Its tree has an entry for each of these, one for a weight, which
never contradicts another version, and constant entries, so that versions share most pages.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..pages import (
    MAX_PAGE_BYTES,
    Key,
    PageSource,
    Tree,
    build,
    child_digests,
    decompress,
    read_entries,
    update,
)
from ..tier.content_store import CONTENT_KEY_PREFIX, PAGE_KEY_PREFIX, root_of

LEAF_SIZE = 64  # bytes; small, so that a tree of a few entries has several pages
ACTS_GROUP = "acts"
WEIGHT = Key("weight", "weight")
CONSTANT_ENTRIES = {Key("constant", f"entry{i}"): b"%d" % i for i in range(12)}


class Contents:
    """Builds the trees of versions; the `constant` entries are the same in each."""

    def __init__(self, constant: Mapping[Key, bytes], leaf_size: int) -> None:
        self._constant = constant
        self._leaf_size = leaf_size
        self._trees: dict[tuple[frozenset[int], int], Tree] = {}

    def tree(self, allow: frozenset[int], weight: int) -> Tree:
        """Return the tree, with all its pages, of a version that permits these acts."""
        tree = self._trees.get((allow, weight))
        if tree is None:
            entries = {**self._constant, **_entries(allow, weight)}
            tree = self._trees[allow, weight] = build(entries, self._leaf_size)
        return tree

    def updated(
        self, source: PageSource, root: str, old: frozenset[int], new: frozenset[int], weight: int
    ) -> Tree:
        """Update the tree of a version that permits `old`; return it with its new pages only."""
        changes: dict[Key, bytes | None] = {Key(ACTS_GROUP, str(act)): None for act in old - new}
        return update(source, root, {**changes, **_entries(new, weight)}, self._leaf_size)


def _entries(allow: frozenset[int], weight: int) -> dict[Key, bytes]:
    return {**{Key(ACTS_GROUP, str(act)): b"" for act in allow}, WEIGHT: b"%d" % weight}


DEFAULT_CONTENTS = Contents(CONSTANT_ENTRIES, LEAF_SIZE)


def permitted(source: PageSource, root: str) -> frozenset[int]:
    """Return the acts that a version permits; raises KeyError if one of its pages is missing."""
    return frozenset(
        int(key.name) for key, _ in read_entries(source, root) if key.group == ACTS_GROUP
    )


def is_on_disk(disk: Mapping[str, bytes], digest: str) -> bool:
    """Return whether a content is on a disk; a tree only counts if all its pages are there."""
    root = root_of(digest)
    if root is None:
        return CONTENT_KEY_PREFIX + digest in disk
    unvisited = [root]
    while unvisited:
        packed = disk.get(PAGE_KEY_PREFIX + unvisited.pop())
        if packed is None:
            return False
        unvisited += child_digests(decompress(packed, MAX_PAGE_BYTES))
    return True

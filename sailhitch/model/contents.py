"""Contents of the model's versions, as trees of several pages, and what is on a disk of them.

A version permits a set of acts. Beside an entry for each act and the weight, which contradicts
nothing, there are entries that stay the same, so that versions share most of their pages.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import cache

from ..pages import MAX_PAGE_BYTES as MOST
from ..pages import Key, PageSource, Tree, build, child_digests, decompress, read_entries, update
from ..tier.content_store import CONTENT, PAGE, root_of

LEAF_SIZE = 64  # bytes: a few entries a leaf, so that a tree of a few entries has several pages
CONSTANT = 12  # entries that are the same in each version
ACTS, WEIGHT, REST = "acts", Key("weight", "weight"), "constant"


def entries_of(allow: frozenset[int], weight: int) -> dict[Key, bytes]:
    """The entries of a version that permits these acts."""
    entries = {Key(REST, f"entry{i}"): b"%d" % i for i in range(CONSTANT)}
    entries |= {Key(ACTS, str(act)): b"" for act in allow}
    return {**entries, WEIGHT: b"%d" % weight}


@cache
def tree_of(allow: frozenset[int], weight: int) -> Tree:
    """The tree of a version, with all of its pages."""
    return build(entries_of(allow, weight), LEAF_SIZE)


def updated(source: PageSource, root: str, allow: frozenset[int], weight: int) -> Tree:
    """The same tree with its new pages alone, made from another version's in `source`."""
    before = dict(read_entries(source, root))
    after = entries_of(allow, weight)
    changes: dict[Key, bytes | None] = {key: None for key in before if key not in after}
    changes |= {key: value for key, value in after.items() if before.get(key) != value}
    return update(source, root, changes, LEAF_SIZE)


def permitted(source: PageSource, root: str) -> frozenset[int]:
    """The acts that a version permits, read from its pages; raises KeyError if one is lacking."""
    return frozenset(int(key.name) for key, _ in read_entries(source, root) if key.group == ACTS)


def is_on_disk(disk: Mapping[str, bytes], digest: str) -> bool:
    """Whether a content is on a disk, a tree with each of its pages."""
    root = root_of(digest)
    if root is None:
        return CONTENT + digest in disk
    waiting = [root]
    while waiting:
        packed = disk.get(PAGE + waiting.pop())
        if packed is None:
            return False
        waiting += child_digests(decompress(packed, MOST))
    return True

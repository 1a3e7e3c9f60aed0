"""A Merkle tree of small pages: the same entries have the same root, whatever led to them.

    interface    keys, changes, trees, and the limits of a page
    paths        where a key lies
    page         the encoding of one page, and its strict decoder
    nodes        pages with their places in a tree, and how they are read
    tree         building and updating
    difference   what differs between two trees
    compression  pages as they are stored and sent

It does no input or output of its own, and imports nothing of the program. docs/design/pages.md
has the reasons.
"""

from .compression import compress, decompress
from .difference import difference
from .interface import (
    LEAF_SIZE,
    MAX_NAME_BYTES,
    MAX_PAGE_BYTES,
    Change,
    Key,
    PageError,
    PageSource,
    Tree,
)
from .nodes import read_entries
from .page import child_digests, page_digest, verify
from .tree import build, update

__all__ = [
    "LEAF_SIZE",
    "MAX_NAME_BYTES",
    "MAX_PAGE_BYTES",
    "Change",
    "Key",
    "PageError",
    "PageSource",
    "Tree",
    "build",
    "child_digests",
    "compress",
    "decompress",
    "difference",
    "page_digest",
    "read_entries",
    "update",
    "verify",
]

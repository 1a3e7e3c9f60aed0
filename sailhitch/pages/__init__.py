"""A Merkle tree of small pages, whose root depends only on the entries and not on their history.

    interface    keys, changes, trees, and the limits of a page
    paths        the position of a key in the tree
    page         the encoding of a page, and its strict decoder
    nodes        pages with their positions in a tree, and reading them
    tree         building and updating trees
    difference   the difference of two trees
    compression  the compressed form in which pages are stored and sent

The package does no I/O, and imports nothing from the rest of the program. For the design, see
docs/design/pages.md.
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

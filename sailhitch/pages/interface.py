"""What the package and its users share: keys, changes, trees, and the limits of a page."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple, Protocol

# Entries whose encoded size is at most this are one leaf. It is a part of the format: the same
# entries have another root under another size.
LEAF_SIZE = 32 * 1024
MAX_PAGE_BYTES = 256 * 1024
MAX_NAME_BYTES = 1024


class PageError(ValueError):
    """A page that is malformed, too large, out of its place, or not what its digest says."""


class Key(NamedTuple):
    """The name of an entry; entries of one group lie next to each other in the tree."""

    group: str
    name: str


class Change(NamedTuple):
    """An entry that differs between two trees; None stands for an entry that is not there."""

    key: Key
    before: bytes | None
    after: bytes | None


class PageSource(Protocol):
    """Where pages are read from."""

    def page(self, digest: str) -> bytes:
        """Return the raw page with this digest; raises KeyError if it is not here."""
        ...


@dataclass(frozen=True, slots=True)
class Tree:
    """A root and raw pages by digest: all pages of a build, the new ones of an update."""

    root: str
    pages: Mapping[str, bytes]

"""The types shared with users of the package, and the limits of a page."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple, Protocol

# Entries with at most this encoded size in total form one leaf. It is part of the format: with
# another size, the same entries have a different root.
LEAF_SIZE = 32 * 1024
MAX_PAGE_BYTES = 256 * 1024
MAX_NAME_BYTES = 1024


class PageError(ValueError):
    """A page is malformed, too large, in a wrong position, or does not match its digest."""


class Key(NamedTuple):
    """Identifies an entry; entries of the same group are adjacent in the tree."""

    group: str
    name: str


class Change(NamedTuple):
    """An entry that differs between two trees; a value of None means that it does not exist."""

    key: Key
    before: bytes | None
    after: bytes | None


class PageSource(Protocol):
    """Where pages are read from."""

    def page(self, digest: str) -> bytes:
        """Return the uncompressed page with this digest; raises KeyError if there is none."""
        ...


@dataclass(frozen=True, slots=True)
class Tree:
    """A root, and uncompressed pages by digest: all pages of a build, the new ones of an update."""

    root: str
    pages: Mapping[str, bytes]

"""The states of the tier's versions: decoded from the tier's contents, and encoded as contents.

A version's content is a page tree, read as a difference from a state that was read before. Versions
of an older release contain the complete state as JSON. A member always proposes a tree.
"""

from __future__ import annotations

import json
from collections.abc import Collection
from typing import Protocol

from ..pages import PageSource, Tree
from ..tier.content_store import root_of, tree_digest
from .source import Identities
from .state import State
from .state_tree import changed_state, state_from, to_tree, update_tree


class Contents(Protocol):
    """Contents of a tier's versions; both methods raise KeyError."""

    def read(self, digest: str) -> bytes:
        """Return a complete content."""

    def page(self, digest: str) -> bytes:
        """Return a raw page of a tree."""


class VersionStates:
    """Reads versions' states by the digests of their contents, and caches recent ones."""

    def __init__(self) -> None:
        self._cached: dict[str, State] = {}
        self._identities = Identities()
        self._applied_pages: PageSource | None = None

    def start_from(self, root: str, state: State, pages: PageSource) -> None:
        """Have the first version read as a difference from the state that was applied last.

        `root` is the root of that state, and `pages` has its pages.
        """
        self._cached = {tree_digest(root): state}
        self._applied_pages = pages

    def read(self, contents: Contents, digest: str) -> State:
        """Return a version's state, without listeners.

        Raises KeyError or PageError from the contents, and StateTreeError or ValueError for
        content that is not a state.
        """
        state = self._cached.get(digest)
        if state is None:
            state = {**self._read(contents, digest), "listeners": {}}
            self._cached = {**self._cached, digest: state}
        return state

    def _read(self, contents: Contents, digest: str) -> State:
        root = root_of(digest)
        if root is None:
            state: State = json.loads(contents.read(digest))
            return state
        source = _FallbackPages(contents, self._applied_pages)
        for base_digest, base in reversed(self._cached.items()):
            base_root = root_of(base_digest)
            if base_root is None:
                continue
            try:
                return changed_state(base, base_root, source, root)
            except KeyError:
                continue  # its pages were released
        return state_from(contents, root)

    def keep_only(self, digests: Collection[str]) -> None:
        """Drop the cached states of all other digests, and the pages given to `start_from`."""
        self._applied_pages = None
        self._cached = {
            digest: state for digest, state in self._cached.items() if digest in digests
        }

    def tree(self, contents: Contents, base: State, state: State) -> Tree:
        """Return the tree of a state that was derived from `base`.

        If `base` was read from a tree, the result contains only the new pages.
        """
        root = self._root_of(base)
        if root is not None:
            try:
                return update_tree(contents, root, base, state)
            except KeyError:
                pass  # another version is active by now: the register will reject the proposal
        return to_tree(state)

    def identity(self, state: State) -> str:
        """Return a state's identity in plans; hashes the whole state if its root is unknown."""
        root = self._root_of(state)
        return self._identities.of(state) if root is None else tree_digest(root)

    def _root_of(self, state: State) -> str | None:
        for digest, cached in self._cached.items():
            if cached is state:
                return root_of(digest)
        return None


class _FallbackPages:
    """Pages of a source, or of a second one for those that the first lacks."""

    def __init__(self, first: PageSource, second: PageSource | None) -> None:
        self._first = first
        self._second = second

    def page(self, digest: str) -> bytes:
        try:
            return self._first.page(digest)
        except KeyError:
            if self._second is None:
                raise
            return self._second.page(digest)

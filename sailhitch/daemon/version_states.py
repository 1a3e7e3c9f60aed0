"""The states of the tier's versions: read from the tier's contents, and made contents of again.

A version's content is a page tree, and is read by its difference from a state that was read before;
one of the release before is the whole state as JSON. What a member proposes is always a tree.
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
    """Where a tier's contents are; both raise KeyError."""

    def read(self, digest: str) -> bytes:
        """Return a whole content."""

    def page(self, digest: str) -> bytes:
        """Return a raw page of a tree."""


class VersionStates:
    """States by the digests of their contents; those read lately stay in memory."""

    def __init__(self) -> None:
        self._known: dict[str, State] = {}
        self._identities = Identities()
        self._applied_pages: PageSource | None = None

    def start_from(self, root: str, state: State, pages: PageSource) -> None:
        """Read the first version by its difference from the state applied last.

        `pages` has the pages of `root`, which is that state's.
        """
        self._known = {tree_digest(root): state}
        self._applied_pages = pages

    def read(self, contents: Contents, digest: str) -> State:
        """Return a version's state, without listeners.

        Raises KeyError or PageError from the contents, and StateTreeError or ValueError for a
        content that is no state.
        """
        state = self._known.get(digest)
        if state is None:
            state = {**self._read(contents, digest), "listeners": {}}
            self._known = {**self._known, digest: state}
        return state

    def _read(self, contents: Contents, digest: str) -> State:
        root = root_of(digest)
        if root is None:
            whole: State = json.loads(contents.read(digest))
            return whole
        source = _Either(contents, self._applied_pages)
        for near, base in reversed(self._known.items()):
            near_root = root_of(near)
            if near_root is None:
                continue
            try:
                return changed_state(base, near_root, source, root)
            except KeyError:
                continue  # its pages were let go of
        return state_from(contents, root)

    def keep_only(self, digests: Collection[str]) -> None:
        """Forget other states than those of these digests, and the one that was started from."""
        self._applied_pages = None
        self._known = {one: state for one, state in self._known.items() if one in digests}

    def tree(self, contents: Contents, base: State, state: State) -> Tree:
        """The tree of a state that was made from `base`: its new pages, where `base` was a tree."""
        root = self._root_of(base)
        if root is not None:
            try:
                return update_tree(contents, root, base, state)
            except KeyError:
                pass  # what holds is another version by now: the register will say so
        return to_tree(state)

    def identity(self, state: State) -> str:
        """What a plan names a state by; costs the whole of one that is not known as a tree."""
        root = self._root_of(state)
        return self._identities.of(state) if root is None else tree_digest(root)

    def _root_of(self, state: State) -> str | None:
        for digest, known in self._known.items():
            if known is state:
                return root_of(digest)
        return None


class _Either:
    """Pages of one source, or of another where that has not got them."""

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

"""A page source for tests: a dictionary that records which pages were read."""

from __future__ import annotations

from collections.abc import Mapping


class Pages:
    """Pages by digest, and the digests of those requested."""

    def __init__(self, pages: Mapping[str, bytes]) -> None:
        self.pages = dict(pages)
        self.requested: list[str] = []

    def page(self, digest: str) -> bytes:
        self.requested.append(digest)
        return self.pages[digest]

    def add(self, pages: Mapping[str, bytes]) -> None:
        self.pages.update(pages)

"""Pages of the applied states on disk: one SQLite file, each page once however many states use it.

Pages in files of their own were weighed: a state of full size has thousands, each to be synced, and
letting go of some is no single step. SQLite adds and removes them by transactions with one sync.

A *root* is a row (serial, digest): a tree that is kept for the applied state of that serial. Each
page counts its uses, by roots and by the pages that refer to it, and is deleted with the last one.
So keeping a state and letting go of one cost the pages in which it differs from the others.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Collection, Iterable, Mapping
from pathlib import Path
from typing import Final, NamedTuple

from ..pages import MAX_PAGE_BYTES, PageError, Tree, child_digests, compress, decompress, verify

FILE: Final = "pages.sqlite3"
_SCHEMA: Final = (
    "CREATE TABLE IF NOT EXISTS pages "
    "(digest BLOB PRIMARY KEY, packed BLOB NOT NULL, uses INTEGER NOT NULL)",
    "CREATE TABLE IF NOT EXISTS roots "
    "(serial INTEGER NOT NULL, digest BLOB NOT NULL, PRIMARY KEY (serial, digest))",
)


class PageFileError(Exception):
    """The file can't be read or written; the text says why and what to do."""


class Root(NamedTuple):
    """A tree that is kept for the applied state of a serial."""

    serial: int
    digest: str


class PageFile:
    """The pages of one state directory; a `PageSource`. Its owner holds the directory's lock."""

    def __init__(self, folder: Path) -> None:
        """Open or create it; raises PageFileError."""
        self.path = folder / FILE
        try:
            # Writers take turns (`Live` switches one at a time), and SQLite serialises readers.
            self._db = sqlite3.connect(self.path, timeout=0, check_same_thread=False)
            self._db.execute("PRAGMA journal_mode=DELETE")
            # EXTRA syncs the folder too: a journal that came back would undo a commit.
            self._db.execute("PRAGMA synchronous=EXTRA")
            with self._db:
                for statement in _SCHEMA:
                    self._db.execute(statement)
        except sqlite3.Error as error:
            raise self._failed(error) from None

    def close(self) -> None:
        """Close the file."""
        self._db.close()

    def page(self, digest: str) -> bytes:
        """Return the raw page of a digest, checked; raises KeyError, PageError or PageFileError."""
        try:
            row = self._db.execute(
                "SELECT packed FROM pages WHERE digest = ?", (bytes.fromhex(digest),)
            ).fetchone()
        except sqlite3.Error as error:
            raise self._failed(error) from None
        if row is None:
            raise KeyError(digest)
        raw = decompress(row[0], MAX_PAGE_BYTES)
        verify(raw, digest)
        return raw

    def roots(self) -> set[Root]:
        """Return all trees that are kept; raises PageFileError."""
        try:
            rows = self._db.execute("SELECT serial, digest FROM roots").fetchall()
        except sqlite3.Error as error:
            raise self._failed(error) from None
        return {Root(serial, digest.hex()) for serial, digest in rows}

    def keep(self, serial: int, trees: Collection[Tree], step: Callable[[str], None]) -> list[Root]:
        """Keep trees for a serial, beside what is kept for it; the roots that were not there.

        Pages that a tree does not bring are here already. All of it is on disk when this returns.
        Raises PageFileError, and then nothing has changed.
        """
        try:
            with self._db:
                for tree in trees:
                    self._add_pages(tree.pages)
                step("pages half written")
                added = [
                    root
                    for root in (Root(serial, tree.root) for tree in trees)
                    if self._add_root(root)
                ]
        except sqlite3.Error as error:
            raise self._failed(error) from None
        step("pages committed")
        return added

    def release(self, roots: Iterable[Root]) -> None:
        """Keep these trees no more, nor pages that no other has; raises PageFileError."""
        try:
            with self._db:
                for serial, digest in roots:
                    done = self._db.execute(
                        "DELETE FROM roots WHERE serial = ? AND digest = ?",
                        (serial, bytes.fromhex(digest)),
                    )
                    if done.rowcount:
                        self._release_page(digest)
        except sqlite3.Error as error:
            raise self._failed(error) from None

    def _add_pages(self, pages: Mapping[str, bytes]) -> None:
        """Add pages, and count what those that are new refer to."""
        new = []
        for digest, raw in pages.items():
            name = bytes.fromhex(digest)
            packed = compress(raw)
            # One that is here is written again: it may be damaged.
            done = self._db.execute("UPDATE pages SET packed = ? WHERE digest = ?", (packed, name))
            if not done.rowcount:
                new.append(digest)
                self._db.execute("INSERT INTO pages VALUES (?, ?, 0)", (name, packed))
        for digest in new:
            for child in child_digests(pages[digest]):
                self._use(child)

    def _add_root(self, root: Root) -> bool:
        done = self._db.execute(
            "INSERT OR IGNORE INTO roots VALUES (?, ?)", (root.serial, bytes.fromhex(root.digest))
        )
        if done.rowcount:
            self._use(root.digest)
        return bool(done.rowcount)

    def _use(self, digest: str) -> None:
        done = self._db.execute(
            "UPDATE pages SET uses = uses + 1 WHERE digest = ?", (bytes.fromhex(digest),)
        )
        if not done.rowcount:
            raise sqlite3.DatabaseError(f"damaged: page {digest} is not there")

    def _release_page(self, digest: str) -> None:
        """Count one use less of a page, and delete what is not used any more."""
        unused = [digest]
        while unused:
            digest = unused.pop()
            name = bytes.fromhex(digest)
            self._db.execute("UPDATE pages SET uses = uses - 1 WHERE digest = ?", (name,))
            row = self._db.execute(
                "SELECT packed FROM pages WHERE digest = ? AND uses <= 0", (name,)
            ).fetchone()
            if row is None:
                continue
            self._db.execute("DELETE FROM pages WHERE digest = ?", (name,))
            # A page that is not what its digest says would let go of pages of others.
            try:
                raw = decompress(row[0], MAX_PAGE_BYTES)
                verify(raw, digest)
                unused += child_digests(raw)
            except PageError:
                continue  # damaged: what it referred to stays, as nobody can say what that is

    def _failed(self, error: sqlite3.Error) -> PageFileError:
        text = str(error)
        if "locked" in text:
            return PageFileError(f"{self.path}: another process holds it; end that one")
        if "not a database" in text or "malformed" in text or "damaged" in text:
            return PageFileError(
                f"{self.path}: damaged ({text}); move it and the state files away, and the "
                "gateway starts by its operator file or its tier"
            )
        return PageFileError(f"{self.path}: {text}")

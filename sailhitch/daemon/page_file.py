"""Pages of the applied states on disk: an SQLite file that has each page once, for all states.

One file per page was rejected: a large state has thousands of pages, each of which would need a
sync, and removing several is not atomic. SQLite adds and removes them in transactions with one
sync.

A *root* is a row (serial, digest): a tree that is kept for the applied state of that serial. Each
page has a count of the roots and pages that refer to it, and is deleted when it reaches zero. So
storing or releasing a state costs only the pages in which it differs from the others.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Collection, Iterable, Mapping
from pathlib import Path
from typing import Final, NamedTuple

from ..pages import MAX_PAGE_BYTES, PageError, Tree, child_digests, compress, decompress, verify

FILE_NAME: Final = "pages.sqlite3"
_SCHEMA: Final = (
    (
        "CREATE TABLE IF NOT EXISTS pages "
        "(digest BLOB PRIMARY KEY, packed BLOB NOT NULL, uses INTEGER NOT NULL)"
    ),
    (
        "CREATE TABLE IF NOT EXISTS roots "
        "(serial INTEGER NOT NULL, digest BLOB NOT NULL, PRIMARY KEY (serial, digest))"
    ),
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
        """Open or create the file; raises PageFileError."""
        self.path = folder / FILE_NAME
        try:
            # `StateApplier` allows one writer at a time, and SQLite serializes readers.
            self._db = sqlite3.connect(self.path, timeout=0, check_same_thread=False)
            self._db.execute("PRAGMA journal_mode=DELETE")
            # EXTRA also syncs the directory: a rollback journal that reappears after a crash would
            # undo a commit.
            self._db.execute("PRAGMA synchronous=EXTRA")
            with self._db:
                for statement in _SCHEMA:
                    self._db.execute(statement)
        except sqlite3.Error as error:
            raise self._to_page_file_error(error) from None

    def close(self) -> None:
        """Close the file."""
        self._db.close()

    def page(self, digest: str) -> bytes:
        """Return the verified raw page; raises KeyError, PageError or PageFileError."""
        try:
            row = self._db.execute(
                "SELECT packed FROM pages WHERE digest = ?", (bytes.fromhex(digest),)
            ).fetchone()
        except sqlite3.Error as error:
            raise self._to_page_file_error(error) from None
        if row is None:
            raise KeyError(digest)
        raw = decompress(row[0], MAX_PAGE_BYTES)
        verify(raw, digest)
        return raw

    def roots(self) -> set[Root]:
        """Return the roots of all trees that are kept; raises PageFileError."""
        try:
            rows = self._db.execute("SELECT serial, digest FROM roots").fetchall()
        except sqlite3.Error as error:
            raise self._to_page_file_error(error) from None
        return {Root(serial, digest.hex()) for serial, digest in rows}

    def keep(self, serial: int, trees: Collection[Tree], step: Callable[[str], None]) -> list[Root]:
        """Store trees for a serial, beside those already stored; return the roots that are new.

        Pages that a tree does not contain must be in the file. The pages are synced when this
        returns. Raises PageFileError, with the file unchanged.
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
            raise self._to_page_file_error(error) from None
        step("pages committed")
        return added

    def release(self, roots: Iterable[Root]) -> None:
        """Remove trees, and the pages that no other tree contains; raises PageFileError."""
        try:
            with self._db:
                for serial, digest in roots:
                    cursor = self._db.execute(
                        "DELETE FROM roots WHERE serial = ? AND digest = ?",
                        (serial, bytes.fromhex(digest)),
                    )
                    if cursor.rowcount:
                        self._release_page(digest)
        except sqlite3.Error as error:
            raise self._to_page_file_error(error) from None

    def _add_pages(self, pages: Mapping[str, bytes]) -> None:
        """Add pages, and count the references in those that are new."""
        added = []
        for digest, raw in pages.items():
            name = bytes.fromhex(digest)
            packed = compress(raw)
            # A page that is in the file already is rewritten, as its copy there may be damaged.
            cursor = self._db.execute(
                "UPDATE pages SET packed = ? WHERE digest = ?", (packed, name)
            )
            if not cursor.rowcount:
                added.append(digest)
                self._db.execute("INSERT INTO pages VALUES (?, ?, 0)", (name, packed))
        for digest in added:
            for child in child_digests(pages[digest]):
                self._add_reference(child)

    def _add_root(self, root: Root) -> bool:
        cursor = self._db.execute(
            "INSERT OR IGNORE INTO roots VALUES (?, ?)", (root.serial, bytes.fromhex(root.digest))
        )
        if cursor.rowcount:
            self._add_reference(root.digest)
        return bool(cursor.rowcount)

    def _add_reference(self, digest: str) -> None:
        cursor = self._db.execute(
            "UPDATE pages SET uses = uses + 1 WHERE digest = ?", (bytes.fromhex(digest),)
        )
        if not cursor.rowcount:
            raise sqlite3.DatabaseError(f"damaged: page {digest} is missing")

    def _release_page(self, digest: str) -> None:
        """Remove a reference to a page, and delete the pages that have none left."""
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
            # The children of a page that does not match its digest may belong to other trees.
            try:
                raw = decompress(row[0], MAX_PAGE_BYTES)
                verify(raw, digest)
                unused += child_digests(raw)
            except PageError:
                continue  # damaged: its children are unknown, and are never released

    def _to_page_file_error(self, error: sqlite3.Error) -> PageFileError:
        """Return the error, with what an operator can do about it."""
        text = str(error)
        if "locked" in text:
            return PageFileError(f"{self.path}: another process has it locked; stop that process")
        if "not a database" in text or "malformed" in text or "damaged" in text:
            return PageFileError(
                f"{self.path}: damaged ({text}); move it and the state files away, and the "
                "gateway starts from its operator file or its tier"
            )
        return PageFileError(f"{self.path}: {text}")

"""A member's durable storage: small values by name, synced before any message depends on them.

It uses SQLite from the standard library: one table, a transaction for each `Persist`, and
`synchronous=FULL` with a rollback journal. LMDB is as safe and reads faster, which is not needed
here; SQLite detects a torn page by its journal and needs no size in advance. The digest of each
value is stored next to it, so that corruption is detected at startup.
"""

from __future__ import annotations

import hashlib
import sqlite3
from pathlib import Path
from typing import Final

FILE_NAME: Final = "tier.sqlite3"


class DiskError(Exception):
    """The file can't be read or written; the message says why and what to do."""


class Disk:
    """The database file of one process, locked against other processes."""

    def __init__(self, folder: Path) -> None:
        """Open or create the file; raises DiskError."""
        self.path = folder / FILE_NAME
        try:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            # The driver writes from a thread of its own, and never from two threads at a time.
            self._db = sqlite3.connect(self.path, timeout=0, check_same_thread=False)
            self._db.execute("PRAGMA locking_mode=EXCLUSIVE")
            self._db.execute("PRAGMA journal_mode=DELETE")
            self._db.execute("PRAGMA synchronous=FULL")
            with self._db:
                self._db.execute(
                    "CREATE TABLE IF NOT EXISTS kept "
                    "(name TEXT PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL)"
                )
        except OSError as error:
            raise DiskError(f"state_dir: {self.path}: {error.strerror}") from None
        except sqlite3.Error as error:
            raise DiskError(_describe_error(self.path, error)) from None

    def load(self) -> dict[str, bytes]:
        """Return all values by name; raises DiskError."""
        try:
            rows = list(self._db.execute("SELECT name, value, digest FROM kept"))
        except sqlite3.Error as error:
            raise DiskError(_describe_error(self.path, error)) from None
        for name, value, digest in rows:
            if hashlib.sha256(value).digest() != digest:
                raise DiskError(
                    f"{self.path}: damaged: {name!r} does not match its digest; move the file "
                    "away, and this member rejoins as one that lost its disk"
                )
        return {name: bytes(value) for name, value, _ in rows}

    def write(self, items: dict[str, bytes | None]) -> None:
        """Write all values in one transaction, deleting those that are None; raises DiskError."""
        try:
            with self._db:
                for name, value in items.items():
                    if value is None:
                        self._db.execute("DELETE FROM kept WHERE name = ?", (name,))
                    else:
                        digest = hashlib.sha256(value).digest()
                        self._db.execute(
                            "INSERT OR REPLACE INTO kept VALUES (?, ?, ?)", (name, value, digest)
                        )
        except sqlite3.Error as error:
            raise DiskError(_describe_error(self.path, error)) from None

    def close(self) -> None:
        """Close the file and release its lock."""
        self._db.close()


def _describe_error(path: Path, error: sqlite3.Error) -> str:
    text = str(error)
    if "locked" in text:
        return f"{path}: another gateway holds it; stop it, or give this one its own state_dir"
    if "not a database" in text or "malformed" in text:
        return (
            f"{path}: damaged ({text}); move the file away, and this member rejoins as one that "
            "lost its disk"
        )
    return f"{path}: {text}"

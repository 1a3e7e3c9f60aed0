"""Files shared by the processes of a gateway: the handover socket and the maintenance marks."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Final

from .snapshot import HandoverError, ProcessSnapshot, decode_snapshot, encode_snapshot

MAX_FILE_BYTES: Final = 4 << 20


def _sync_directory(folder: Path) -> None:
    """Sync a directory's entries to disk; raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class HandoverFiles:
    """Paths of the files that the processes of a gateway share."""

    def __init__(self, folder: str, name: str) -> None:
        safe = "".join(c if c.isalnum() or c in "-_." else "_" for c in name)[:40]
        self.folder = Path(folder)
        self.socket = self.folder / f"sailhitch-{safe}.sock"
        self.maintenance_file = self.folder / f"sailhitch-{safe}.bans"

    def write_maintenance(self, snapshot: ProcessSnapshot) -> None:
        """Write the maintenance marks atomically and durably; raises OSError."""
        temporary = self.maintenance_file.with_suffix(f".{os.getpid()}")
        try:
            with temporary.open("wb") as file:
                file.write(encode_snapshot(snapshot))
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, self.maintenance_file)
            _sync_directory(self.folder)
        except OSError:
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise

    def read_maintenance(self) -> ProcessSnapshot | None:
        """Return the stored marks, or None if there are none; raises HandoverError or OSError."""
        try:
            with self.maintenance_file.open("rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return None
        if len(data) > MAX_FILE_BYTES:
            raise HandoverError("file too long")
        return decode_snapshot(data)

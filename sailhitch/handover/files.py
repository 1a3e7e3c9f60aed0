"""What is kept beside the processes: the way to the one that serves, and bans."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Final

from .snapshot import HandoverError, ProcessSnapshot, decode_snapshot, encode_snapshot

MOST: Final = 4 << 20


def _sync_folder(folder: Path) -> None:
    """Have a folder's names on disk; raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class HandoverFiles:
    """Where a gateway's processes find one another."""

    def __init__(self, folder: str, name: str) -> None:
        safe = "".join(c if c.isalnum() or c in "-_." else "_" for c in name)[:40]
        self.folder = Path(folder)
        self.socket = self.folder / f"sailhitch-{safe}.sock"
        self.maintenance_file = self.folder / f"sailhitch-{safe}.bans"

    def write_maintenance(self, legacy: ProcessSnapshot) -> None:
        """Keep bans, whole or as they were, also through a crash of the machine; raises OSError."""
        fresh = self.maintenance_file.with_suffix(f".{os.getpid()}")
        try:
            with fresh.open("wb") as file:
                file.write(encode_snapshot(legacy))
                file.flush()
                os.fsync(file.fileno())
            os.replace(fresh, self.maintenance_file)
            _sync_folder(self.folder)
        except OSError:
            with contextlib.suppress(OSError):
                fresh.unlink()
            raise

    def read_maintenance(self) -> ProcessSnapshot | None:
        """Return what was kept, None if nothing; raises HandoverError or OSError."""
        try:
            with self.maintenance_file.open("rb") as file:
                data = file.read(MOST + 1)
        except FileNotFoundError:
            return None
        if len(data) > MOST:
            raise HandoverError("too long")
        return decode_snapshot(data)

"""The plan by which a process's system calls fail and its wall clock is stepped.

The process is started with a library before the C library's (`LD_PRELOAD`, ld.so(8)); it is built
with the machine's C compiler. Everything is the process's own; nothing of the system changes.
"""

from __future__ import annotations

import mmap
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("system_faults.c")
WALL_STEP_AT = 64  # bytes; behind three arrays of five int32 and one unused


class Call(IntEnum):
    """A kind of system call, by its place in the plan."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    WRITE = 3
    SYNC = 4


def build(folder: Path) -> Path:
    """Build the library; raises CalledProcessError, or FileNotFoundError without a compiler."""
    library = folder / "system_faults.so"
    command = ["cc", "-O1", "-Wall", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    return library


class FaultPlan:
    """One process's plan; it outlasts the process, and the next one goes by it too."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(bytes(mmap.PAGESIZE))
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), mmap.PAGESIZE)

    def environment(self, library: Path) -> dict[str, str]:
        """What a process is started with to go by the plan."""
        return {"LD_PRELOAD": str(library), "SOAK_FAULTS": str(self.path)}

    def fail(self, call: Call, number: int, count: int) -> None:
        """Have the next `count` calls of a kind fail with an errno."""
        struct.pack_into("i", self._map, 4 * (len(Call) + call), number)
        struct.pack_into("i", self._map, 4 * call, count)

    def failed(self, call: Call) -> int:
        """How many calls of a kind have failed so far."""
        return int(struct.unpack_from("i", self._map, 4 * (2 * len(Call) + call))[0])

    def step_wall_clock(self, seconds: float) -> None:
        """Set the wall clock this far from the system's."""
        struct.pack_into("q", self._map, WALL_STEP_AT, int(seconds * 1e9))

    def close(self) -> None:
        """Let go of the file."""
        self._map.close()

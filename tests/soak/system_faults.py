"""Injects failures of system calls and steps of the wall clock into a process.

A library that is built with the machine's C compiler is loaded before the C library (`LD_PRELOAD`,
ld.so(8)). It affects this process only and changes nothing of the system.
"""

from __future__ import annotations

import mmap
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("system_faults.c")
WALL_STEP_OFFSET = 64  # byte offset, after three arrays of five int32 and one unused int32


class Call(IntEnum):
    """A kind of system call; the value is its index in the plan."""

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
    """The fault plan of a gateway, shared by its successive processes."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(bytes(mmap.PAGESIZE))
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), mmap.PAGESIZE)

    def environment(self, library: Path) -> dict[str, str]:
        """The environment variables that apply the plan to a process."""
        return {"LD_PRELOAD": str(library), "SOAK_FAULTS": str(self.path)}

    def fail(self, call: Call, number: int, count: int) -> None:
        """Make the next `count` calls of a kind fail with errno `number`."""
        struct.pack_into("i", self._map, 4 * (len(Call) + call), number)
        struct.pack_into("i", self._map, 4 * call, count)

    def failed(self, call: Call) -> int:
        """How many calls of a kind have failed so far."""
        return int(struct.unpack_from("i", self._map, 4 * (2 * len(Call) + call))[0])

    def step_wall_clock(self, seconds: float) -> None:
        """Offset the process's wall clock from the system's."""
        struct.pack_into("q", self._map, WALL_STEP_OFFSET, int(seconds * 1e9))

    def close(self) -> None:
        """Unmap the file."""
        self._map.close()

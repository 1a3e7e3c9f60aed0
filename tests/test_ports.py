"""The choice of ports for processes that are started later."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

PROCESSES = 4
PORTS_EACH = 5
PORTS = (32_000, 32_048)  # none of those that others choose from

CHOOSE = f"""
import sys
from sailhitch.lab import ports
ports.PORTS = {PORTS}
print(*(ports.free_port() for _ in range({PORTS_EACH})), flush=True)
sys.stdin.read()
"""


def _start(folder: Path) -> subprocess.Popen[str]:
    """Start a process that chooses ports, with a folder for temporary files of its own."""
    folder.mkdir()
    return subprocess.Popen(
        [sys.executable, "-c", CHOOSE],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        env=os.environ | {"TMPDIR": str(folder)},
    )


def test_processes_that_run_beside_each_other_choose_different_ports(tmp_path: Path) -> None:
    """Guards against two soaks whose gateways share a port, so that clients reach the other's."""
    processes = [_start(tmp_path / str(number)) for number in range(PROCESSES)]
    chosen: list[str] = []
    try:
        for process in processes:
            assert process.stdout is not None
            chosen += process.stdout.readline().split()
    finally:
        for process in processes:
            process.communicate()
    assert len(chosen) == PROCESSES * PORTS_EACH
    assert len(set(chosen)) == len(chosen)

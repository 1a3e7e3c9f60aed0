"""How long other processes have kept this one from running (Linux, proc_pid_schedstat)."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Final

_SCHEDSTAT: Final = Path("/proc/self/schedstat")
_RUN_DELAY_FIELD: Final = 1  # ns for which the main thread was ready to run and waited for a CPU


def run_delay() -> float:
    """Return for how long (s) the main thread has waited for a CPU; 0 where that isn't told."""
    try:
        return int(_SCHEDSTAT.read_text().split()[_RUN_DELAY_FIELD]) / 1e9
    except (OSError, IndexError, ValueError):
        return 0.0


def run_time() -> float:
    """Return a monotonic time (s) that stands still while the main thread waits for a CPU.

    It goes on while the thread runs or sleeps. A load generator that shares a process with what it
    measures keeps its rate by it: caught up with at once, a wait for a CPU would become a burst.
    """
    return time.monotonic() - run_delay()

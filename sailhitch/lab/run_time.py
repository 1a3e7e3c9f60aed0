"""Time for which this process was runnable but waited for a CPU (Linux, proc_pid_schedstat)."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Final

_SCHEDSTAT: Final = Path("/proc/self/schedstat")
_RUN_DELAY_FIELD: Final = 1  # ns for which the main thread was runnable and waited for a CPU


def run_delay() -> float:
    """Return how long (s) the main thread has waited for a CPU; 0 if that is unavailable."""
    try:
        return int(_SCHEDSTAT.read_text().split()[_RUN_DELAY_FIELD]) / 1e9
    except (OSError, IndexError, ValueError):
        return 0.0


def run_time() -> float:
    """Return a monotonic time (s) that stops while the main thread waits for a CPU.

    It advances while the thread runs or sleeps. A load generator in the process that it measures
    paces its requests by it: on wall time, it would send a burst to catch up after each wait.
    """
    return time.monotonic() - run_delay()

"""The memory that the process holds, as the system counts it."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Final

from ..front import State
from .budget import MB
from .memory_baseline import CONNECTION_BYTES, MemoryBaseline
from .memory_report import holders_line, memory_line
from .timer_wheel import MS

if TYPE_CHECKING:
    from .core import GatewayCore

STATM_PATH: Final = "/proc/self/statm"  # in pages; the second is the resident size (proc(5))
STATM_BYTES: Final = 128
ALERT_SHARES: Final = (0.5, 0.75, 0.9)  # of the memory limit; passing one is logged

# When free memory is returned to the system.
RETURN_INTERVAL: Final = 5_000 * MS  # at most this often
RETURN_ABOVE_SHARE: Final = 0.4  # of the memory limit, which the process must hold
RETURN_COUNTED_SHARE: Final = 0.25  # of the limit on counted bytes, which must not be exceeded
RETURN_AFTER_GROWTH: Final = 2 * MB  # since the last time, or returned by it
RETURN_ALWAYS_SHARE: Final = 0.5  # of the memory limit, above which no growth is needed

# Of the memory limit: bytes read since the resident size was last looked at, before it is again.
CHECK_SHARE: Final = 1 / 256

# When memory that is not counted is given up; shares of the memory limit.
HIGH_UNCOUNTED: Final = 0.6  # which the process must hold
MIN_UNCOUNTED_SHARE: Final = 1 / 8  # which must not be counted
# Before that, free memory is returned, which may be what is not counted; at most this often.
RETURN_URGENT_INTERVAL: Final = 250 * MS

# Connections that can hold what is not counted: they are neither idle nor only await a response.
UNFINISHED_STATES: Final = (State.HEAD, State.BODY, State.CLOSING)
CALM_UNFINISHED_SHARE: Final = 1 / 16  # of the clients' connections

IDLE_CLOSED_AT_ONCE: Final = 128  # connections to hosts of a pool, idle for RETURN_INTERVAL


class ResidentMemory:
    """Reads the resident size of this process; the file stays open between two reads."""

    def __init__(self, path: str = STATM_PATH) -> None:
        self._page_size = os.sysconf("SC_PAGE_SIZE")
        try:
            self._descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._descriptor = -1

    def read(self) -> int:
        """Return the resident size in bytes; 0 if the system does not tell."""
        if self._descriptor < 0:
            return 0
        try:
            figures = os.pread(self._descriptor, STATM_BYTES, 0).split()
            return int(figures[1]) * self._page_size
        except (OSError, IndexError, ValueError):
            return 0

    def close(self) -> None:
        """Close the file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


class MemoryMonitor:
    """Watches the resident size several times a second, and logs when it nears the limit."""

    def __init__(self, core: GatewayCore) -> None:
        self._core = core
        self._source = ResidentMemory()
        self._alert_level = 0  # number of ALERT_SHARES that the last size exceeded
        self._resident_after_return = 0  # bytes; when free memory was last returned
        self._returned_at = 0
        self._was_worthwhile = False  # to return it, the last time
        self.resident = 0  # bytes; 0 if unknown
        self.peak = 0  # largest `resident` so far
        self.baseline = MemoryBaseline(self._source.read)
        self.read_bytes = 0  # that were read from all connections
        self.check_at = 0  # `read_bytes` at which the resident size is looked at again

    def update(self, now: int) -> None:
        """Read the resident size; log it if it has passed one of ALERT_SHARES."""
        self.resident = self._source.read()
        if not self._returned_at:  # a process that is ready is no crowd
            self._returned_at = now
            self._resident_after_return = self.resident
        self.peak = max(self.peak, self.resident)
        limit = self._core.limits.memory_mb * MB
        self.check_at = self.read_bytes + int(CHECK_SHARE * limit)
        if self.resident:
            self.baseline.update(now, self.resident - self._accounted(), self._is_calm())
        share = self.resident / limit
        level = sum(share > alert for alert in ALERT_SHARES)
        if level > self._alert_level:
            self._core.logger.write_limited(f"memory {level}", memory_line(self._core))
            self._core.logger.write_limited(f"holders {level}", holders_line(self._core))
        self._alert_level = level
        if share > HIGH_UNCOUNTED and self.excess_uncounted(self.resident) > 0:
            if now - self._returned_at >= RETURN_URGENT_INTERVAL:
                self.return_memory(now)
        else:
            self._return_memory_after_crowd(now, share)

    def _accounted(self) -> int:
        """Return what the connections account for: counted bytes, and their own cost."""
        connections = len(self._core.clients) + self._core.upstream_descriptors()
        return self._core.budget.total() + connections * CONNECTION_BYTES

    def _is_calm(self) -> bool:
        """Return whether hardly any connection can hold what is not counted."""
        admission = self._core.admission
        unfinished = sum(admission.count[state] for state in UNFINISHED_STATES)
        return unfinished <= CALM_UNFINISHED_SHARE * len(self._core.clients)

    def uncounted(self, resident: int) -> int:
        """Return how much of a resident size neither the baseline nor a count explains."""
        return max(0, resident - self.baseline.size - self._accounted())

    def excess_uncounted(self, resident: int) -> int:
        """Return how much too much of a resident size nothing explains; at most 0 if none is."""
        limit = self._core.limits.memory_mb * MB
        return self.uncounted(resident) - int(MIN_UNCOUNTED_SHARE * limit)

    def _return_memory_after_crowd(self, now: int, share: float) -> None:
        """Return free memory once a crowd has left; `share` of the limit is resident."""
        if share < RETURN_ABOVE_SHARE or now - self._returned_at < RETURN_INTERVAL:
            return
        growth = self.resident - self._resident_after_return
        budget = self._core.budget
        if budget.total() > RETURN_COUNTED_SHARE * budget.total_limit:
            return
        is_worth_trying = growth >= RETURN_AFTER_GROWTH or self._was_worthwhile
        if not is_worth_trying and share <= RETURN_ALWAYS_SHARE:
            return
        if share > RETURN_ALWAYS_SHARE:
            self._close_idle_upstream(now)
        self.return_memory(now)

    def return_memory(self, now: int) -> None:
        """Return free memory to the system."""
        self._returned_at = now
        from .free_memory import return_free_memory  # noqa: PLC0415 (only a crowd loads it)

        return_free_memory()
        before = self.resident
        self.resident = self._resident_after_return = self._source.read()
        self._was_worthwhile = before - self.resident >= RETURN_AFTER_GROWTH

    def _close_idle_upstream(self, now: int) -> None:
        """Close connections to hosts that a crowd has left idle, some at a time."""
        for pool in self._core.pools:
            for _ in range(IDLE_CLOSED_AT_ONCE):
                oldest = pool.transport.oldest_idle()
                if oldest is None or now - oldest < RETURN_INTERVAL:
                    break
                pool.transport.close_oldest_idle()

    def close(self) -> None:
        """Release the source of the figures."""
        self._source.close()

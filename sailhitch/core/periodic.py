"""Periodic work of the core: admission control, sweeps of idle connections, statistics."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from ..front import Reason
from .timer_wheel import MS, NEVER, TIMER_DELAY

if TYPE_CHECKING:
    from .core import GatewayCore

PERIODIC_INTERVAL: Final = 25 * MS  # between two checks of the event loop
HOST_SWEEP_INTERVAL: Final = 1000 * MS
# Time limits of clients are a few seconds, and must be kept to a fraction of a second.
CLIENT_SWEEP_INTERVAL: Final = 200 * MS
STATISTICS_INTERVAL: Final = 10_000 * MS


class PeriodicTasks:
    """Runs the periodic tasks, isolated from each other's exceptions."""

    def __init__(self, core: GatewayCore) -> None:
        self._core = core
        self.last_tick_at = 0  # tells the core whether the event loop has stalled
        self.next_tick_at = NEVER  # tells it how long a stall has lasted
        self.busy_since = 0  # the tick before the last one, if that was late; else 0
        self.host_sweep_at = 0
        self.client_sweep_at = 0
        self.statistics_at = 0

    def start(self, now: int) -> None:
        """Start the periodic work."""
        self.last_tick_at = now + PERIODIC_INTERVAL
        self.host_sweep_at = now + HOST_SWEEP_INTERVAL
        self.statistics_at = now + STATISTICS_INTERVAL
        self.next_tick_at = self.last_tick_at
        self._core.timers.push(self.next_tick_at, None)

    def tick(self, now: int) -> None:
        """Run the tasks that are due."""
        core = self._core
        self.busy_since = self.last_tick_at if now - self.next_tick_at > TIMER_DELAY else 0
        self.next_tick_at = max(now + PERIODIC_INTERVAL // 2, self.last_tick_at + PERIODIC_INTERVAL)
        core.timers.push(self.next_tick_at, None)
        self.last_tick_at = now
        self._run("memory", self._watch_memory, now)
        self._run("admission", self._watch_admission, now)
        if now >= self.host_sweep_at:
            self.host_sweep_at = now + HOST_SWEEP_INTERVAL
            for pool in core.pools:
                self._run("the sweep of hosts", pool.transport.sweep, now)
        if now >= self.client_sweep_at:
            self.client_sweep_at = now + CLIENT_SWEEP_INTERVAL
            for client in list(core.clients):
                self._run("the sweep of clients", client.sweep, now)
        if now >= self.statistics_at:
            self.statistics_at = now + STATISTICS_INTERVAL
            self._run("the statistics", core.log_statistics, now)
            self._run("the ids of recent requests", core.recent_requests.expire, now)

    def _run(self, name: str, task: Callable[[int], None], now: int) -> None:
        try:
            task(now)
        except Exception as error:
            self._core.fault(name, error)

    def _watch_memory(self, now: int) -> None:
        self._core.check_memory(now)

    def _watch_admission(self, now: int) -> None:
        core = self._core
        admission = core.admission
        admission.update_pressure(now, core.upstream_descriptors(), core.budget.share())
        core.release(admission.low_value_slots(now), Reason.SEAT)

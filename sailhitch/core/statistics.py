"""Writes the periodic statistics to the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .memory_report import memory_line
from .timer_wheel import MS

if TYPE_CHECKING:
    from .core import GatewayCore


def write_statistics(core: GatewayCore) -> None:
    """Write the statistics of the process, of admission control and of each pool."""
    core.logger.write(_request_statistics(core))
    if core.invariants.total:
        core.logger.write(f"violations: {core.invariants.summary()}")
    core.logger.write(memory_line(core))
    core.logger.write(core.admission.summary())
    for pool in core.pools:
        core.logger.write(f"{pool.name}: {pool.summary()}")
    core.timers.max_lag = 0


def _request_statistics(core: GatewayCore) -> str:
    counters = core.counters
    outcomes = " ".join(f"{status}={n}" for status, n in sorted(counters.statuses.items()))
    return (
        f"requests={counters.requests} served={counters.served} refused={counters.refused} "
        f"failed={counters.failed} gone={counters.disconnected} cut={counters.cut} "
        f"bad={counters.bad_requests} shed={counters.shed} "
        f"crowded={counters.crowded} open={len(core.open_requests)} clients={len(core.clients)} "
        f"upstream={core.upstream_descriptors()} "
        f"opened={sum(pool.transport.opened for pool in core.pools)} "
        f"hosts={sum(len(pool.endpoints) for pool in core.pools)} "
        f"lag_ms={core.timers.max_lag // MS} panics={counters.panics} "
        f"faults={counters.faults} overdue={counters.overdue} violations={core.invariants.total} "
        f"outcomes: {outcomes}"
    )

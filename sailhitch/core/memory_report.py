"""The lines of the log on memory: what the process holds, and who may hold what is not counted."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .budget import MB

if TYPE_CHECKING:
    from .core import GatewayCore


def memory_line(core: GatewayCore) -> str:
    """Return what the process holds, in MB, and what it counts of that."""
    memory, budget = core.memory, core.budget
    return (
        f"memory: resident={_megabytes(memory.resident)} peak={_megabytes(memory.peak)} "
        f"limit={core.limits.memory_mb} bodies={_megabytes(budget.reserved)} "
        f"streamed={_megabytes(budget.streamed)} heads={_megabytes(budget.heads)} "
        f"given_up={core.memory_guard.given_up} clients={len(core.clients)} "
        f"upstream={core.upstream_descriptors()} open={len(core.open_requests)} "
        f"base={_megabytes(memory.baseline.size)} "
        f"uncounted={_megabytes(memory.uncounted(memory.resident))}"
    )


def holders_line(core: GatewayCore) -> str:
    """Return the clients' connections by what they do, the largest one, and last rejections."""
    held = [client.held_memory() for client in core.clients]
    doing = Counter(one.doing for one in held)
    counts = " ".join(f"{name}={count}" for name, count in sorted(doing.items()))
    largest = max(held, key=lambda one: one.size + one.unfinished, default="none")
    return (
        f"memory holders: {counts or 'none'} read={_megabytes(core.memory.read_bytes)} "
        f"largest: {largest} last rejected: {'; '.join(core.recent_rejections) or 'none'}"
    )


def _megabytes(size: int) -> str:
    return f"{size / MB:.1f}"

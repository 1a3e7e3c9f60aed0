"""Start and graceful shutdown of a gateway's process: signals, memory, drain."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable
from typing import Final

from .core import GatewayCore

ACCEPT_TIME: Final = 0.6  # s after SIGTERM; new connections arrive for 0.4 s
DRAIN_POLL_INTERVAL: Final = 0.02  # s
DRAIN_MARGIN: Final = 50_000  # us after the last response is due

HANDLED_SIGNALS: Final = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


def block_signals() -> None:
    """Block the signals: before a handler is set, or after it is removed, they would kill.

    At the start they stay pending until `heed`; at the end until the process exits.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals(*signals: signal.Signals) -> None:
    """Unblock signals whose handlers are set, pending ones included."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, signals)


def freeze_startup_objects() -> None:
    """Exempt objects from garbage collection; call it once all long-lived ones exist."""
    gc.collect()
    gc.freeze()
    # Reference cycles of connections are freed only by collections of the oldest generation, which
    # must be frequent enough that they don't accumulate.
    gc.set_threshold(10_000, 10, 10)


async def drain(core: GatewayCore, stop_listening: Callable[[], None]) -> None:
    """Drain (SIGTERM): serve on for a while, stop accepting, and return when all is answered."""
    core.drain()
    await asyncio.sleep(ACCEPT_TIME)
    stop_listening()
    await asyncio.sleep((core.drain_since + core.drain_hold() - core.clock()) / 1e6)
    await finish(core)


async def finish(core: GatewayCore) -> None:
    """Close connections with their next response; return when none is left, or time is up."""
    # Peers that make no progress must not delay the exit.
    last = core.drain_until + DRAIN_MARGIN
    while core.close_idle_clients() and core.clock() < last:
        await asyncio.sleep(DRAIN_POLL_INTERVAL)

"""Start and graceful shutdown of a gateway process: signals, garbage collection, drain."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable
from typing import Final

from .core import GatewayCore

ACCEPT_TIME: Final = 0.6  # s of accepting after SIGTERM; load balancers connect for up to 0.4 s
DRAIN_POLL_INTERVAL: Final = 0.02  # s
DRAIN_MARGIN: Final = 50_000  # us to wait after the last response is due
LAST_READ_TIME: Final = 0.002  # s; the event loop reads and writes its sockets within that

HANDLED_SIGNALS: Final = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


def block_signals() -> None:
    """Block the handled signals, which kill the process while they have no handler.

    At the start they stay pending until `unblock_signals`, at the end until the process exits.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals(*signals: signal.Signals) -> None:
    """Unblock signals that have handlers now; pending ones are delivered."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, signals)


def freeze_startup_objects() -> None:
    """Exempt all current objects from garbage collection; call it once long-lived ones exist."""
    gc.collect()
    gc.freeze()
    # Connections form reference cycles that only collections of the oldest generation free. Those
    # must be frequent enough that the cycles don't accumulate.
    gc.set_threshold(10_000, 10, 10)


async def drain(core: GatewayCore, stop_listening: Callable[[], None]) -> None:
    """Drain (SIGTERM): serve on for a while, stop accepting, and return once all is served."""
    core.drain()
    await asyncio.sleep(ACCEPT_TIME)
    stop_listening()
    await asyncio.sleep((core.drain_since + core.drain_hold() - core.clock()) / 1e6)
    await finish(core)


async def finish(core: GatewayCore) -> None:
    """Close connections with their next response; return once none is left, or time is up."""
    # Peers that make no progress must not delay the exit.
    give_up_at = core.drain_until + DRAIN_MARGIN
    while core.close_idle_clients():
        if core.clock() >= give_up_at:
            await _respond_to_all(core)
            return
        await asyncio.sleep(DRAIN_POLL_INTERVAL)


async def _respond_to_all(core: GatewayCore) -> None:
    """Send the responses that are due by now; all are, at the end of a drain.

    After a stall the event loop may come here before the timers of requests fire, and before it
    reads what hosts have answered meanwhile.
    """
    await asyncio.sleep(LAST_READ_TIME)
    core.expire_requests()
    # uvloop writes at the end of an iteration.
    await asyncio.sleep(LAST_READ_TIME)

"""What every gateway's process does at its start and its end, whatever it is wired from."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable
from typing import Final

from .core import GatewayCore

ACCEPT_ON: Final = 0.6  # s after SIGTERM; new connections go on coming for 0.4 s
STEP: Final = 0.02
AFTERWARDS: Final = 50_000  # us after the last answer that is surely out

HEEDED: Final = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


def hold_signals() -> None:
    """From here on they wait: what comes before a handler is set, or after it is gone, kills.

    At the start they are heeded once somebody can (`heed`), be it late; at the end they wait for a
    process that is over.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HEEDED)


def heed(*signals: signal.Signals) -> None:
    """Their handlers are set: from here on, and by now, they are heeded."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, signals)


def settle_memory() -> None:
    """Called once all that lives as long as the process is there."""
    # The collector need not look at that again.
    gc.collect()
    gc.freeze()
    # What connections leave in cycles is only freed by a look at the oldest generation,
    # which must come often enough that it doesn't add up over a long day.
    gc.set_threshold(10_000, 10, 10)


async def drain(core: GatewayCore, stop_listening: Callable[[], None]) -> None:
    """SIGTERM: serve on for a while, take nobody new in, and return when nothing is owed."""
    core.drain()
    await asyncio.sleep(ACCEPT_ON)
    stop_listening()
    await asyncio.sleep((core.drain_since + core.drain_hold() - core.clock()) / 1e6)
    await finish(core)


async def finish(core: GatewayCore) -> None:
    """Draining: each answer is a connection's last. Returns when nothing is owed, or time is up."""
    # Peers that never get on with it must not keep the process from its end.
    last = core.drain_until + AFTERWARDS
    while core.close_idle_clients() and core.clock() < last:
        await asyncio.sleep(STEP)

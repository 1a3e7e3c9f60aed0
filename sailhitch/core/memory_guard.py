"""Gives up client connections when all that they hold together is too much.

Each connection is within its own limits; as many as the descriptors allow are not. What has earned
nothing yet is given up first, the costliest before the others, and a request that was taken last.

The counts may be wrong. When the process is large and they don't explain it, connections that have
part of a message are given up by the bytes of it that were read, until the process is smaller.
"""

from __future__ import annotations

import math
from enum import IntEnum
from typing import TYPE_CHECKING, Final, NamedTuple

from .budget import MB
from .memory_monitor import HIGH_UNCOUNTED
from .memory_report import holders_line, memory_line

if TYPE_CHECKING:
    from .core import GatewayCore
    from .interfaces import Connection

HIGH_RESIDENT: Final = 0.85  # share of the process's limit, above which memory is given up...
CRITICAL_RESIDENT: Final = 0.95  # ...and above which taken requests are given up, too
RELIEF_SHARE: Final = 16  # the limit divided by this is given up beyond the excess
MIN_UNFINISHED_SHARE: Final = 1 / 4  # of the unfinished connections that are given up at a time
MIN_GROWTH_SHARE: Final = 1 / 64  # of the limit, by which it has to grow for more until then
RETURN_DELAY: Final = 0.05  # s from giving up connections until their memory is returned
# Counted bytes, as a share of their limit, that are not given up: they don't make a process large.
MIN_COUNTED_SHARE: Final = 0.25


class Holding(IntEnum):
    """What a client connection holds memory for, in the order in which it is given up."""

    NOTHING = 0
    GIVEN_UP = 1  # nothing: it was given up before, and lingers with its response
    UNFINISHED = 2  # part of a request that was not taken, or the last bytes of a closing one
    UNREAD = 3  # a whole response that the client doesn't read
    UPLOADING = 4  # a request whose last byte has not come, so that no host has run it
    TAKEN = 5  # a request that was taken, or part of a response


class HeldMemory(NamedTuple):
    """The memory that a client connection holds."""

    holding: Holding
    size: int  # bytes that are counted
    unfinished: int  # bytes read of a message whose end has not come
    doing: str  # what the connection does, for the log

    def __str__(self) -> str:
        return f"{self.doing} counted={self.size} unfinished={self.unfinished}"


class MemoryGuard:
    """Keeps the counted bytes below their limit, and the process below its own."""

    def __init__(self, core: GatewayCore) -> None:
        self._core = core
        self._is_scheduled = False
        # The resident size at which more is given up, until what was is returned to the system.
        self._relieve_again_at = 0
        self.given_up = 0  # connections so far

    def on_growth(self) -> None:
        """Give up memory soon if the counted bytes exceed their limit.

        Deferred, as the caller may be the decision module, which is not re-entrant.
        """
        if self._core.budget.excess() > 0 and not self._is_scheduled:
            self._is_scheduled = True
            self._core.loop.call_soon(self._relieve_counted)

    def _relieve_counted(self) -> None:
        self._is_scheduled = False
        excess = self._core.budget.excess()
        if excess > 0:
            self._relieve(excess, Holding.UNREAD)

    def on_resident(self, resident: int) -> None:
        """Act on the resident size: give up memory before the process reaches its limit."""
        budget = self._core.budget
        limit = self._core.limits.memory_mb * MB
        excess = resident - int(HIGH_RESIDENT * limit)
        counted = budget.total() - int(MIN_COUNTED_SHARE * budget.total_limit)
        uncounted = self._core.memory.excess_uncounted(resident)
        budget.is_process_large = uncounted > 0 or (excess > 0 and counted > 0)
        if excess > 0 and counted > 0:
            is_critical = resident > CRITICAL_RESIDENT * limit
            self._relieve(min(excess, counted), Holding.TAKEN if is_critical else Holding.UNREAD)
        if uncounted > 0 and resident > HIGH_UNCOUNTED * limit:
            self._on_uncounted(uncounted, resident, limit)

    def _on_uncounted(self, uncounted: int, resident: int, limit: int) -> None:
        """Give up connections that may hold what is not counted, more of them the nearer the limit.

        Once some are given up, the others read nothing, and no more are given up unless the process
        grows on, until what they held has been returned to the system.
        """
        if resident < self._relieve_again_at:
            return
        wanted = resident - HIGH_UNCOUNTED * limit + limit / RELIEF_SHARE
        share = max(MIN_UNFINISHED_SHARE, wanted / uncounted)
        if resident > CRITICAL_RESIDENT * limit:
            count = self._relieve_uncounted(1.0, Holding.TAKEN)
        elif resident > HIGH_RESIDENT * limit:
            count = self._relieve_uncounted(1.0, Holding.UPLOADING)
        else:
            count = self._relieve_uncounted(min(1.0, share), Holding.UNFINISHED)
        if count and not self._relieve_again_at:
            self._core.read_scheduler.hold()
            self._core.loop.call_later(RETURN_DELAY, self._return_memory)
        if count:
            self._relieve_again_at = resident + int(MIN_GROWTH_SHARE * limit)

    def _relieve(self, excess: int, up_to: Holding) -> None:
        """Give up connections that hold as much as `excess`, and some more."""
        wanted = excess + self._core.budget.total_limit // RELIEF_SHARE
        count = 0
        for held, client in self._costliest_first(up_to):
            if wanted <= 0:
                break
            client.give_up_memory()
            wanted -= held.size
            count += 1
        self._on_given_up(count, "for their memory")

    def _costliest_first(self, up_to: Holding) -> list[tuple[HeldMemory, Connection]]:
        held = [(client.held_memory(), client) for client in self._core.clients]
        candidates = [
            (one, client)
            for one, client in held
            if one.size and Holding.NOTHING < one.holding <= up_to
        ]
        candidates.sort(key=lambda one: (one[0].holding, -one[0].size))
        return candidates

    def _relieve_uncounted(self, share: float, up_to: Holding) -> int:
        """Give up that share of the connections that may hold what is not counted; return how many.

        They can't be told apart by what they hold. Those that were read the most from come first,
        in each order of `Holding`; one with nothing unfinished is never among them. Those that were
        given up before, which did not help, are closed at once.
        """
        unfinished = self._unfinished_first(up_to)
        lingering = sum(held.holding == Holding.GIVEN_UP for held, _ in unfinished)
        count = lingering + math.ceil(share * (len(unfinished) - lingering))
        for _, client in unfinished[:count]:
            client.give_up_memory()
        for _, client in unfinished[count:]:
            client.hold_reading()
        self._on_given_up(count, "for memory that is not counted")
        if up_to == Holding.TAKEN:
            for pool in self._core.pools:
                count += pool.transport.give_up_responses(MIN_UNFINISHED_SHARE)
        return count

    def _return_memory(self) -> None:
        """Return what was given up to the system, so that the resident size tells of it."""
        self._relieve_again_at = 0
        self._core.read_scheduler.release()
        self._core.memory.return_memory(self._core.clock())

    def _unfinished_first(self, up_to: Holding) -> list[tuple[HeldMemory, Connection]]:
        open_clients = [client for client in self._core.clients if not client.is_closed()]
        held = [(client.held_memory(), client) for client in open_clients]
        candidates = [
            (one, client) for one, client in held if one.unfinished and one.holding <= up_to
        ]
        candidates.sort(key=lambda one: (one[0].holding, -one[0].size - one[0].unfinished))
        return candidates

    def _on_given_up(self, count: int, why: str) -> None:
        if not count:
            return
        core = self._core
        self.given_up += count
        text = f"{count} clients closed {why}; {memory_line(core)}"
        core.logger.write_limited(f"given up {why}", text)
        core.logger.write_limited(f"held {why}", holders_line(core))

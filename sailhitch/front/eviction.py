"""Ranks client connections by the value of keeping them. Times are microseconds."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Final

from .pressure import LOW_PRESSURE
from .slots import WAITING, ConnectionBudget, ConnectionSlot, State
from .survival import LifeTables, octave
from .time_limits import NEW_CONNECTION_GRACE

REJECTED_LINGER: Final = 100_000  # us in which a rejected client is expected to read its response
UNPROVEN_SHARE: Final = 0.5  # of the clients' descriptors, for connections without a request so far
# Ranks of eviction; the values of waiting connections are from 0 to 1.
LINGERING_RANK: Final = -1.0
IN_FLIGHT_RANK: Final = 2.0  # added for new connections, whose request may be in flight
EVICTABLE_BELOW: Final = 4.0
NOT_EVICTABLE: Final = 9.0

# Bound once: these are looked up for each connection.
_FRESH, _IDLE, _CLOSING = State.FRESH, State.IDLE, State.CLOSING


class Retention:
    """Ranks connections by the expected value of their next request."""

    def __init__(self, tables: LifeTables, budget: ConnectionBudget) -> None:
        self.tables = tables
        self.budget = budget

    def value(self, slot: ConnectionSlot, now: int) -> float:
        """Return the expected value of a waiting connection's next request, from 0 to 1.

        It is reduced if its source or tenant holds more than its share.
        """
        value = self.tables.expected_requests[slot.kind][octave(now - slot.since)]
        return value * self._fairness(slot)

    def _fairness(self, slot: ConnectionSlot) -> float:
        source = slot.source
        tenant = slot.tenant
        if slot.state != _IDLE:
            quota = source.quota * unproven_room(self.budget)
            return _fair_share(quota, source.unproven) * source.reputation
        slots = LOW_PRESSURE * self.budget.request_slots
        fair = _fair_share(source.quota * slots, source.idle)
        if tenant is not None:
            fair *= _fair_share(tenant.quota * slots, tenant.idle)
        return fair * source.reputation

    def eviction_rank(self, slot: ConnectionSlot, now: int) -> float:
        """Return the rank by which connections are closed for descriptors, lowest first.

        Connections with a rank of EVICTABLE_BELOW or more stay open.
        """
        state = slot.state
        age = now - slot.since
        if state == _CLOSING:
            # Closing it before its last bytes are written would lose a response.
            has_lingered = age > REJECTED_LINGER and not slot.unsent
            return LINGERING_RANK if has_lingered else NOT_EVICTABLE
        if state in WAITING:
            in_flight = state == _FRESH and age < NEW_CONNECTION_GRACE
            return self.value(slot, now) + (IN_FLIGHT_RANK if in_flight else 0.0)
        return NOT_EVICTABLE


def unproven_room(budget: ConnectionBudget) -> float:
    """Return the number of descriptors for connections without a request so far."""
    return UNPROVEN_SHARE * budget.max_client_descriptors


def lowest_ranked(
    ranked: Iterable[tuple[float, ConnectionSlot]], ceiling: float, limit: int
) -> list[ConnectionSlot]:
    """Return up to `limit` slots with a rank below `ceiling`, lowest first; ties in order."""
    below = [(rank, i, slot) for i, (rank, slot) in enumerate(ranked) if rank < ceiling]
    return [slot for _, _, slot in heapq.nsmallest(limit, below)]


def _fair_share(quota: float, held: int) -> float:
    return 1.0 if held <= quota else quota / held

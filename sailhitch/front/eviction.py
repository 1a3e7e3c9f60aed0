"""What a client connection is worth keeping, and which are closed first. Times are microseconds."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Final

from .pressure import LOW_PRESSURE
from .slots import WAITING, ConnectionBudget, ConnectionSlot, State
from .survival import LifeTables, octave
from .time_limits import NEW_CONNECTION_GRACE

REJECTED_LINGER: Final = 100_000  # us after which a rejected client has read its response, if ever
UNPROVEN_SHARE: Final = 0.5  # of the clients' descriptors, for those without any request yet
# Ranks of eviction: values of waiting connections are from 0 to 1.
LINGERING_RANK: Final = -1.0
IN_FLIGHT_RANK: Final = 2.0  # added for connections so new that a request may be in flight
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

        It is weighted down where its source or tenant holds more than its share.
        """
        value = self.tables.expected_requests[slot.kind][octave(now - slot.since)]
        return value * self._fairness(slot)

    def _fairness(self, slot: ConnectionSlot) -> float:
        source = slot.source
        tenant = slot.tenant
        if slot.state != _IDLE:
            quota = source.quota * unproven_room(self.budget)
            return _fair_part(quota, source.unproven) * source.standing
        seats = LOW_PRESSURE * self.budget.request_slots
        fair = _fair_part(source.quota * seats, source.idle)
        if tenant is not None:
            fair *= _fair_part(tenant.quota * seats, tenant.idle)
        return fair * source.standing

    def eviction_rank(self, slot: ConnectionSlot, now: int) -> float:
        """Return the rank by which connections are closed for descriptors, lowest first.

        One from EVICTABLE_BELOW on stays open.
        """
        state = slot.state
        age = now - slot.since
        if state == _CLOSING:
            # Closed before its last bytes are written, it loses an answer.
            has_lingered = age > REJECTED_LINGER and not slot.unsent
            return LINGERING_RANK if has_lingered else NOT_EVICTABLE
        if state in WAITING:
            young = state == _FRESH and age < NEW_CONNECTION_GRACE
            return self.value(slot, now) + (IN_FLIGHT_RANK if young else 0.0)
        return NOT_EVICTABLE


def unproven_room(budget: ConnectionBudget) -> float:
    """Return the descriptors for connections without any request yet."""
    return UNPROVEN_SHARE * budget.max_client_descriptors


def lowest(
    ranked: Iterable[tuple[float, ConnectionSlot]], ceiling: float, most: int
) -> list[ConnectionSlot]:
    """Return up to `most` slots of a rank below `ceiling`, lowest first, else in their order."""
    below = [(rank, i, slot) for i, (rank, slot) in enumerate(ranked) if rank < ceiling]
    return [slot for _, _, slot in heapq.nsmallest(most, below)]


def _fair_part(quota: float, held: int) -> float:
    return 1.0 if held <= quota else quota / held

"""Admits client connections within a budget, and chooses which to close when it runs short.

Three resources can run short. *Request slots*: the connections that the fronts before this gateway
use for requests; one that is idle for a client that won't return is unavailable to all others.
*Descriptors*: shared with the connections to hosts. *Memory*: bodies and unread responses.

This module opens and closes nothing. It receives the events of connections, and selects those to
close, never one with an open request. All times are microseconds on a monotonic clock; a step back
counts as no time.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final

from .eviction import EVICTABLE_BELOW, Retention, lowest_ranked, unproven_room
from .groups import VIOLATOR_REPUTATION, Groups, source_of
from .pressure import LOW_PRESSURE, ResourcePressure
from .slots import (
    WAITING,
    ConnectionBudget,
    ConnectionSlot,
    Reason,
    State,
    kind_once_idle,
)
from .survival import REFRESH_INTERVAL, Kind, LifeTables, decay_factor
from .time_limits import TimeLimits

PRESSURE_STEP: Final = 0.05  # change of the pressure factor that updates the time limits
EVICTION_THRESHOLD: Final = 0.6  # under high pressure idle connections of less value are closed
MAX_HORIZON: Final = 2_000_000  # us over which a future request is discounted
MIN_HORIZON: Final = 300_000  # the same under high pressure on request slots
MIN_UNPROVEN_PER_SOURCE: Final = 2  # unproven connections that any source may have
EVICTION_BATCH_DIVISOR: Final = 24  # the held descriptors divided by this are freed at a time
MAIN_SOURCE_SHARE: Final = 0.5  # of all requests; a source with more is always admitted
VIOLATION_PENALTY: Final = 2.0  # wasted slots that a malformed request counts as

# Bound once, as they are looked up several times per request.
_FRESH, _HEAD, _BODY, _BUSY, _WRITING, _IDLE, _CLOSING = State


class AdmissionCounters:
    """Counters for the log and for tests."""

    __slots__ = ("closed", "opened", "rejected", "reused")

    def __init__(self) -> None:
        self.opened = self.rejected = self.reused = 0
        self.closed = [0] * len(Reason)


class ConnectionAdmission:
    """Decides on the client connections of all fronts."""

    def __init__(self, budget: ConnectionBudget, now: int) -> None:
        self.now = now
        self.tables = LifeTables()
        self.sources = Groups()
        self.tenants = Groups()
        self.slots: dict[ConnectionSlot, None] = {}  # all, oldest first
        self.count = [0] * len(State)
        self.counters = AdmissionCounters()
        self._pressure = ResourcePressure(budget)
        self._refreshed_at = now
        self._limits = TimeLimits()
        self._retention = Retention(self.tables, budget)
        self._set_limits()

    # --- Measures

    @property
    def budget(self) -> ConnectionBudget:
        """Return the current budget."""
        return self._pressure.budget

    @property
    def client_descriptors(self) -> int:
        """Return the descriptors that clients hold."""
        return len(self.slots)

    @property
    def used_slots(self) -> int:
        """Return the request slots in use."""
        return self.count[_BUSY] + self.count[_WRITING] + self.count[_IDLE]

    @property
    def pressure_factor(self) -> float:
        """Return the pressure factor of the scarcest resource, 0 to 1."""
        return self._pressure.factor

    def resize(self, budget: ConnectionBudget) -> None:
        """Set a new budget; connections that exceed it are closed in the usual order over time."""
        self._pressure.budget = self._retention.budget = budget
        self._pressure.update(self.now, self.client_descriptors, self.used_slots)

    def descriptors(self) -> int:
        """Return the limit on descriptors: the configured one, or a lower one observed recently."""
        return self._pressure.descriptor_limit(self.now)

    def on_descriptors_exhausted(self, now: int, others: int) -> None:
        """Lower the limit on descriptors for a while, as the system has none left.

        `others` are the descriptors not held by clients.
        """
        freed = max(1, self.client_descriptors // EVICTION_BATCH_DIVISOR)
        self._pressure.on_descriptors_exhausted(
            self._advance(now), self.client_descriptors + others - freed
        )

    def needs_eviction(self, others: int) -> bool:
        """Return whether one more client would exceed the clients' share or the total limit."""
        return self._pressure.is_full(self.now, self.client_descriptors, others)

    def pressure(self) -> float:
        """Return the share in use of the scarcest resource; above 1 if overcommitted."""
        return self._pressure.share(self.now, self.client_descriptors, self.used_slots)

    def update_pressure(self, now: int, others: int, memory: float) -> None:
        """Update pressure; called several times a second.

        `others` are the descriptors not held by clients, `memory` is the share of memory in use.
        """
        self._advance(now)
        pressure = self._pressure
        pressure.other_descriptors = others
        pressure.memory = memory
        before = pressure.factor
        pressure.update(self.now, self.client_descriptors, self.used_slots)
        if self.now - self._refreshed_at >= REFRESH_INTERVAL:
            self._refresh()
        elif abs(pressure.factor - before) > PRESSURE_STEP:
            self._set_limits()

    def _refresh(self) -> None:
        elapsed = self.now - self._refreshed_at
        self._refreshed_at = self.now
        horizon = MAX_HORIZON + int(
            self._pressure.slot_factor(self.used_slots) * (MIN_HORIZON - MAX_HORIZON)
        )
        waits = [(slot.kind, self.now - slot.since) for slot in self.slots if slot.state in WAITING]
        decay = decay_factor(elapsed)
        self.tables.refresh(waits, decay, horizon)
        self.sources.refresh(decay)
        self.tenants.refresh(decay)
        self._set_limits()

    def _advance(self, now: int) -> int:
        self.now = max(self.now, now)
        return self.now

    # --- Events of connections

    def on_opened(self, now: int, address: str) -> ConnectionSlot:
        """Record a new connection."""
        slot = ConnectionSlot(self.sources.get(source_of(address)), self._advance(now))
        slot.source.slots += 1
        slot.source.unproven += 1
        self.slots[slot] = None
        self.count[_FRESH] += 1
        self.counters.opened += 1
        return slot

    def on_adopted(self, now: int, address: str) -> ConnectionSlot:
        """Record a connection passed on by another process of this gateway."""
        slot = self.on_opened(now, address)
        slot.source.unproven -= 1
        slot.request_count = 1
        slot.kind = Kind.ONCE
        self._set_state(slot, _IDLE)
        return slot

    def on_reading(self, slot: ConnectionSlot, now: int, body: bool) -> None:
        """Record that part of a request has arrived: of its head, or of its `body`."""
        state = _BODY if body else _HEAD
        if slot.state not in WAITING or slot.state == state:
            return
        self._advance(now)
        if slot.state == _IDLE:
            self._record_return(slot)
            slot.since = self.now
        else:
            # `since` is kept: the first request is timed from when the connection was made, so that
            # a client that trickles it in gains no time by a change of state.
            self.tables.on_request(slot.kind, self.now - slot.since)
        self._set_state(slot, state)
        slot.kind = Kind.BODY if body else Kind.HEAD

    def on_request(self, slot: ConnectionSlot, now: int, tenant: str | None) -> None:
        """Record a dispatched request; `tenant` is None for the gateway's own endpoints."""
        if slot.state == _CLOSING:
            return
        self._advance(now)
        if slot.state == _IDLE:
            self._record_return(slot)
        elif slot.state in WAITING:
            self.tables.on_request(slot.kind, self.now - slot.since)
        if not slot.request_count:
            slot.source.unproven -= 1
        slot.request_count += 1
        # Before the tenant may change, as the connection was idle for the previous one.
        self._set_state(slot, _BUSY)
        slot.since = self.now
        if tenant is not None:
            slot.source.request_count += 1.0
            self._set_tenant(slot, tenant)

    def _set_tenant(self, slot: ConnectionSlot, name: str) -> None:
        group = slot.tenant
        if group is None or group.name != name:
            if group is not None:
                group.slots -= 1
            group = slot.tenant = self.tenants.get(name)
            group.slots += 1
        group.request_count += 1.0

    def _record_return(self, slot: ConnectionSlot) -> None:
        gap = self.now - slot.since
        self.tables.on_request(slot.kind, gap)
        self.counters.reused += 1
        slot.gap = gap if not slot.gap else (3 * slot.gap + gap) // 4

    def on_response(self, slot: ConnectionSlot, now: int, unsent: int = 0) -> None:
        """Record a written response, of which `unsent` bytes are not in the kernel's buffer yet."""
        if slot.state == _CLOSING:
            return
        self._advance(now)
        if unsent:
            self._set_state(slot, _WRITING)
            slot.since = self.now
            slot.unsent_at = self.now
            slot.unsent = unsent
            slot.unsent_by = self.now + self._limits.write_time(unsent, self.pressure_factor)
            return
        slot.unsent = 0
        self._set_state(slot, _IDLE)
        slot.since = self.now
        slot.kind = kind_once_idle(slot)

    def on_body_bytes(self, slot: ConnectionSlot, now: int, size: int) -> None:
        """Record how much of a body has arrived; called several times a second."""
        if slot.state == _BODY and size != slot.unsent:
            slot.unsent = size
            slot.unsent_at = self._advance(now)

    def on_write_progress(self, slot: ConnectionSlot, now: int, unsent: int) -> None:
        """Record how much of a response is not in the kernel's buffer; 0 ends the wait."""
        if slot.state == _CLOSING:
            slot.unsent = unsent
        if slot.state != _WRITING:
            return
        self._advance(now)
        if not unsent:
            self.on_response(slot, now)
        elif unsent != slot.unsent:
            slot.unsent = unsent
            slot.unsent_at = self.now

    def record_violation(self, slot: ConnectionSlot) -> None:
        """Record a malformed request."""
        slot.source.wasted_slots += VIOLATION_PENALTY

    def on_closing(self, slot: ConnectionSlot, now: int, reason: Reason, unsent: int = 0) -> None:
        """Record that no further response will be sent; `unsent` bytes are not written yet."""
        if slot.state == _CLOSING:
            return
        self._advance(now)
        self._end_wait(slot)
        slot.ended = reason
        slot.unsent = unsent
        self._set_state(slot, _CLOSING)
        slot.since = self.now

    def on_closed(self, slot: ConnectionSlot, now: int) -> None:
        """Record that a connection's descriptor has been freed."""
        if slot not in self.slots:
            return
        self._advance(now)
        if slot.ended is None:
            self._end_wait(slot)
            slot.ended = Reason.PEER
        self.counters.closed[slot.ended] += 1
        if slot.state == _IDLE:
            self._count_idle(slot, -1)
        del self.slots[slot]
        self.count[slot.state] -= 1
        slot.source.slots -= 1
        if not slot.request_count:
            slot.source.unproven -= 1
        if slot.tenant is not None:
            slot.tenant.slots -= 1

    def _end_wait(self, slot: ConnectionSlot) -> None:
        if slot.state not in WAITING:
            return
        self.tables.on_closed(slot.kind, self.now - slot.since)
        if not slot.request_count:
            slot.source.wasted_slots += 1.0

    def not_evicted(self, slot: ConnectionSlot, now: int) -> None:
        """Keep an eviction candidate, as an unread request was found on it."""
        slot.since = self._advance(now)

    def _set_state(self, slot: ConnectionSlot, state: State) -> None:
        old = slot.state
        self.count[old] -= 1
        self.count[state] += 1
        if old == _IDLE:
            self._count_idle(slot, -1)
        if state == _IDLE:
            self._count_idle(slot, 1)
        slot.state = state

    @staticmethod
    def _count_idle(slot: ConnectionSlot, by: int) -> None:
        slot.source.idle += by
        if slot.tenant is not None:
            slot.tenant.idle += by

    # --- Decisions

    def admits(self, now: int, address: str) -> bool:
        """Return whether a new connection is admitted, by its source.

        A source with hardly any requests that reconnects as soon as it is closed is rejected beyond
        its share. One that sends requests is never rejected in favour of others; instead its own
        least valuable connections are closed. Nor is the main source rejected: if all clients
        connect through one front, that would reject all of them.
        """
        self._advance(now)
        source = self.sources.by_name.get(source_of(address))
        if (
            source is None
            or source.reputation >= VIOLATOR_REPUTATION
            or self.pressure_factor <= 0.0
        ):
            return True
        if source.quota >= MAIN_SOURCE_SHARE:
            return True
        share = max(MIN_UNPROVEN_PER_SOURCE, source.quota * unproven_room(self.budget))
        return source.unproven < share

    def on_rejected(self) -> None:
        """Count a rejected connection."""
        self.counters.rejected += 1

    def is_retained(self, slot: ConnectionSlot, now: int) -> bool:
        """Return whether to keep a connection after the response that is about to be written."""
        if self.used_slots <= LOW_PRESSURE * self.budget.request_slots:
            return True
        self._advance(now)
        value = self.tables.expected_requests[kind_once_idle(slot)][0] * slot.source.reputation
        return value >= EVICTION_THRESHOLD * self._pressure.slot_factor(self.used_slots)

    def low_value_slots(self, now: int) -> list[ConnectionSlot]:
        """Return the idle connections to close for their request slots now, least valuable first.

        One whose client returns within milliseconds is as good as a free slot, and closing it would
        only cost a handshake. So none above a ceiling of value is closed, however scarce slots are.
        """
        self._advance(now)
        surplus = int(self.used_slots - LOW_PRESSURE * self.budget.request_slots)
        if surplus <= 0 or not self.count[_IDLE]:
            return []
        ceiling = EVICTION_THRESHOLD * self._pressure.slot_factor(self.used_slots)
        value = self._retention.value
        return lowest_ranked(
            ((value(slot, self.now), slot) for slot in self._in_states(_IDLE)), ceiling, surplus
        )

    def eviction_candidates(self, now: int, max_count: int = 0) -> list[ConnectionSlot]:
        """Return the connections to close for their descriptors, least valuable first.

        At most `max_count`, or a batch if that is 0. Rejected ones that linger come first, then
        waiting ones by value, and last new ones whose request may be in flight.
        """
        self._advance(now)
        max_count = max_count or max(2, self.client_descriptors // EVICTION_BATCH_DIVISOR)
        rank = self._retention.eviction_rank
        return lowest_ranked(
            ((rank(slot, self.now), slot) for slot in self.slots), EVICTABLE_BELOW, max_count
        )

    def overdue(self, slot: ConnectionSlot, now: int) -> Reason | None:
        """Return the reason to close a connection that has exceeded a limit, or None."""
        return self._limits.exceeded(slot, self._advance(now))

    def limit(self, state: State) -> int:
        """Return how long a connection may be in a state now (us); 0 for no limit."""
        return self._limits.of(state)

    def _set_limits(self) -> None:
        self._limits.update(self.pressure_factor, self.tables)

    def retry_after(self, now: int) -> int:
        """Return the time (us) until a slot is certain to be free; 0 if unknown.

        That is when the first connection that waits for a request reaches its limit. If all slots
        are busy, the time is unknown, as it depends on when hosts respond.
        """
        self._advance(now)
        soonest = 0
        for slot in self._in_states(_FRESH, _HEAD, _BODY):
            left = max(1, slot.since + self._limits.of(slot.state) - self.now)
            soonest = left if not soonest else min(soonest, left)
        return soonest

    def _in_states(self, *states: State) -> Iterator[ConnectionSlot]:
        return (slot for slot in self.slots if slot.state in states)

    # --- For the log

    def summary(self) -> str:
        """Return a log line: connections by state, pressure, closed connections by reason."""
        states = _format_counts(State, self.count)
        closed = _format_counts(Reason, self.counters.closed)
        pressure = self.pressure()
        peak = self._pressure.peak
        self._pressure.peak = pressure
        return (
            f"door: {states or 'empty'} seats={self.used_slots}/{self.budget.request_slots} "
            f"pressure={pressure:.2f} peak={peak:.2f} opened={self.counters.opened} "
            f"reused={self.counters.reused} away={self.counters.rejected} "
            f"closed: {closed or 'none'}"
        )


def _format_counts(names: type[State] | type[Reason], counts: Iterable[int]) -> str:
    return " ".join(f"{names(i).name.lower()}={n}" for i, n in enumerate(counts) if n)

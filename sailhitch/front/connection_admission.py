"""Admit client connections within a budget, and choose which to close when it runs short.

Three resources can run short. *Seats*: the connections that the fronts before this gateway deal out
for requests; one that is idle for a client that won't return is denied to every other client.
*Descriptors*: shared with the connections to hosts. *Memory*: bodies and unread answers. Pressure
is the share in use of the scarcest.

This module opens and closes nothing. It is told what connections do, and names those to close; one
whose request is open is never among them. All times are microseconds on a monotonic clock; a step
back counts as no time.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Final, Protocol

from .groups import OFFENDER, Group, Groups, source_of
from .survival import REFRESH, Kind, LifeTables, fade, gap_kind, octave

EASE: Final = 0.55  # pressure up to which connections are kept as long as they may be...
STRAIN: Final = 0.8  # ...and from which on the limits are at their shortest
CEILING: Final = 0.6  # at full strain a waiting connection worth less is closed
HORIZON_EASE: Final = 2_000_000  # time over which a coming request is discounted...
HORIZON_STRAIN: Final = 300_000  # ...where seats are scarce
YOUNG: Final = 250_000  # a new connection's first request may be in flight for so long
LINGERED: Final = 100_000  # a refused client has read its answer after so long, if ever
UNPROVEN_PART: Final = 0.5  # of the clients' descriptors, for those that have asked nothing yet
UNPROVEN_LEAST: Final = 2  # of them that any source may have, whatever it did
BATCH: Final = 24  # one part in so many of the descriptors is freed at a time
MAIN_SOURCE: Final = 0.5  # a source of this share of all requests is always admitted
OFFENCE: Final = 2.0  # misused slots that a malformed request counts as
CEILING_BACK: Final = 10_000_000  # how long a limit on descriptors that was hit is assumed to hold

# Time limits at ease and at full strain. The long ones are what the platform's pages allow: an
# error or a close within 3 s, no close of a silent connection before 2 s while there is room.
IDLE_MOST: Final = 30_000_000
SILENT: Final = (2_100_000, YOUNG)
REQUEST: Final = (2_500_000, 1_000_000)
BODY_RATE: Final = 24 * 1024  # bytes a second that a body must come with beyond that...
BODY_STALL: Final = 700_000  # ...and how long it may stand still then
STALL: Final = (5_000_000, 1_000_000)
RATE: Final = (64 * 1024, 256 * 1024)  # bytes a second that an answer must be read with after that
LATEST: Final = 0.995  # a limit leaves room for twice what so many of the good ones need


class State(IntEnum):
    """The state of a connection."""

    FRESH = 0  # accepted, nothing read
    HEAD = 1  # some of a head read
    BODY = 2  # the head read, some of the body missing
    BUSY = 3  # a request is taken and not answered
    WRITING = 4  # answered, not all of it taken by the client
    IDLE = 5  # answered, nothing of a next request read
    CLOSING = 6  # this side sends no new answer


class Reason(IntEnum):
    """Why a connection ended."""

    PEER = 0  # the client closed or broke it
    IDLE = 1  # idle for too long
    SILENT = 2  # no request at all for too long
    SLOW = 3  # a request that stalls or trickles
    UNREAD = 4  # an answer that is not read
    SEAT = 5  # worth less than its seat
    ROOM = 6  # worth less than its descriptor
    ANSWERED = 7  # closed with its answer: asked for, or draining
    REJECTED = 8  # malformed
    MOVED = 9  # handed over to another process of this gateway


class Verdict(IntEnum):
    """The decision on a new connection."""

    ADMIT = 0
    WAIT = 1  # close `ConnectionAdmission.victims` first
    TURN_AWAY = 2


# Looked up some ten times for each request, and faster than an enum's own attributes.
_FRESH, _HEAD, _BODY, _BUSY, _WRITING, _IDLE, _CLOSING = State
WAITING: Final = (_IDLE, _FRESH, _HEAD, _BODY)  # a tuple: members of an enum hash slowly


class Holder(Protocol):
    """The owner of a slot: a front's connection."""

    def let_go(self, reason: Reason) -> bool:
        """Close now; False if bytes of a request are here unread, and it was not closed."""


@dataclass(frozen=True, slots=True)
class Sizes:
    """The budget that is shared out."""

    descriptors: int  # for clients and hosts together
    seats: int  # connections that fronts deal out for requests
    clients_least: float = 0.45  # share of the descriptors reserved for clients...
    hosts_least: float = 0.3  # ...and for connections to hosts

    @property
    def clients_most(self) -> float:
        return (1.0 - self.hosts_least) * self.descriptors


class ConnectionSlot:
    """Admission control's record of one client connection."""

    __slots__ = (
        "asked", "ended", "gap", "holder", "kind", "since", "source", "state", "tenant", "unsent",
        "unsent_at", "unsent_by",
    )  # fmt: skip

    def __init__(self, source: Group, now: int) -> None:
        self.source = source
        self.tenant: Group | None = None
        self.holder: Holder | None = None
        self.state = _FRESH
        self.kind: Kind = Kind.FRESH
        self.since = now  # when the state began
        self.asked = 0
        self.gap = 0  # between an answer and the next request, a moving mean
        self.unsent = self.unsent_at = self.unsent_by = 0
        self.ended: Reason | None = None


class Figures:
    """Counters for the log and for tests."""

    __slots__ = ("closed", "opened", "peak", "reused", "turned_away")

    def __init__(self) -> None:
        self.opened = self.turned_away = self.reused = 0
        self.closed = [0] * len(Reason)
        self.peak = 0.0  # of pressure, since it was last reset


class ConnectionAdmission:
    """Decides on the client connections of all fronts."""

    def __init__(self, sizes: Sizes, now: int) -> None:
        self.sizes = sizes
        self.now = now
        self.tables = LifeTables()
        self.sources, self.tenants = Groups(), Groups()
        self.slots: dict[ConnectionSlot, None] = {}  # all, oldest first
        self.count = [0] * len(State)
        self.figures = Figures()
        self.others = 0  # descriptors that are not clients'
        self.memory = 0.0  # share in use
        self.strain = 0.0  # of whatever is shortest, 0 to 1
        self._hit, self._hit_until = 0, 0  # a limit below the configured one, found by hitting it
        self._refreshed = now
        self._limits: list[int] = []
        self._set_limits()

    # --- Measures

    @property
    def held(self) -> int:
        """Return the descriptors that clients hold."""
        return len(self.slots)

    @property
    def used(self) -> int:
        """Return the seats in use."""
        return self.count[_BUSY] + self.count[_WRITING] + self.count[_IDLE]

    def resize(self, sizes: Sizes) -> None:
        """Set new limits; what exceeds them is closed in the usual order, never at once."""
        self.sizes = sizes
        self._strain()

    def descriptors(self) -> int:
        """Return the limit on descriptors: the configured one, or a lower one hit of late."""
        most = self.sizes.descriptors
        return min(most, self._hit) if self._hit_until > self.now else most

    def exhausted(self, now: int, others: int) -> None:
        """Lower the limit on descriptors: the system has none left, whatever the settings say.

        Covers descriptors that are not counted here. The limit holds for CEILING_BACK only, as
        what held them may be closed by then.
        """
        self._tick(now)
        self._hit = max(8, self.held + others - max(1, self.held // BATCH))
        self._hit_until = self.now + CEILING_BACK

    def crowded(self, others: int) -> bool:
        """Return whether one more client would exceed the clients' share or the total."""
        return self.held >= self.sizes.clients_most or self.held + others >= self.descriptors()

    def pressure(self) -> float:
        """Return the share in use of the scarcest resource; above 1 if overcommitted."""
        clients = self.held / max(1.0, self.sizes.clients_most)
        whole = (self.held + self.others) / max(1, self.descriptors())
        # Connections to hosts alone must not put pressure on the clients' reserved share.
        whole = min(whole, self.held / max(1.0, self.sizes.clients_least * self.descriptors()))
        return max(self._seats(), clients, whole, self.memory)

    def _seats(self) -> float:
        """Return the share of seats in use."""
        return self.used / max(1, self.sizes.seats)

    def _strain(self) -> None:
        pressure = self.pressure()
        self.figures.peak = max(self.figures.peak, pressure)
        self.strain = _ramp(pressure)

    def sense(self, now: int, others: int, memory: float) -> None:
        """Update pressure; called several times a second.

        `others` are the descriptors that are not clients', `memory` is the share in use.
        """
        self._tick(now)
        self.others, self.memory = others, memory
        before = self.strain
        self._strain()
        if self.now - self._refreshed >= REFRESH:
            self._refresh()
        elif abs(self.strain - before) > 0.05:
            self._set_limits()

    def _refresh(self) -> None:
        elapsed, self._refreshed = self.now - self._refreshed, self.now
        horizon = HORIZON_EASE + int(_ramp(self._seats()) * (HORIZON_STRAIN - HORIZON_EASE))
        waits = [(p.kind, self.now - p.since) for p in self.slots if p.state in WAITING]
        keep = fade(elapsed)
        self.tables.refresh(waits, keep, horizon)
        self.sources.refresh(keep)
        self.tenants.refresh(keep)
        self._set_limits()

    def _tick(self, now: int) -> int:
        self.now = max(self.now, now)
        return self.now

    # --- What connections do

    def opened(self, now: int, address: str) -> ConnectionSlot:
        """Record a new connection."""
        slot = ConnectionSlot(self.sources.get(source_of(address)), self._tick(now))
        slot.source.held += 1
        slot.source.unproven += 1
        self.slots[slot] = None
        self.count[_FRESH] += 1
        self.figures.opened += 1
        return slot

    def adopted(self, now: int, address: str) -> ConnectionSlot:
        """Record a connection that another process of this gateway has served before."""
        slot = self.opened(now, address)
        slot.source.unproven -= 1
        slot.asked = 1
        slot.kind = Kind.ONCE
        self._enter(slot, _IDLE)
        return slot

    def reading(self, slot: ConnectionSlot, now: int, body: bool) -> None:
        """Record that part of a request has come: of its head, or of its `body`."""
        state = _BODY if body else _HEAD
        if slot.state not in WAITING or slot.state == state:
            return
        self._tick(now)
        if slot.state == _IDLE:
            self._came_back(slot)
            slot.since = self.now
        else:
            # The first request counts from when its connection was made: a trickling client must
            # not gain time with each state.
            self.tables.brought(slot.kind, self.now - slot.since)
        self._enter(slot, state)
        slot.kind = Kind.BODY if body else Kind.HEAD

    def taken(self, slot: ConnectionSlot, now: int, tenant: str | None) -> None:
        """Record a dispatched request; `tenant` is None for one that is not a client's."""
        if slot.state == _CLOSING:
            return
        self._tick(now)
        if slot.state == _IDLE:
            self._came_back(slot)
        elif slot.state in WAITING:
            self.tables.brought(slot.kind, self.now - slot.since)
        if not slot.asked:
            slot.source.unproven -= 1
        slot.asked += 1
        # Before the tenant may change: the idle time belongs to the last request's tenant.
        self._enter(slot, _BUSY)
        slot.since = self.now
        if tenant is not None:
            slot.source.brought += 1.0
            self._belongs(slot, tenant)

    def _belongs(self, slot: ConnectionSlot, name: str) -> None:
        group = slot.tenant
        if group is None or group.name != name:
            if group is not None:
                group.held -= 1
            group = slot.tenant = self.tenants.get(name)
            group.held += 1
        group.brought += 1.0

    def _came_back(self, slot: ConnectionSlot) -> None:
        gap = self.now - slot.since
        self.tables.brought(slot.kind, gap)
        self.figures.reused += 1
        slot.gap = gap if not slot.gap else (3 * slot.gap + gap) // 4

    def answered(self, slot: ConnectionSlot, now: int, unsent: int = 0) -> None:
        """Record a written answer, of which the kernel has not taken `unsent` bytes."""
        if slot.state == _CLOSING:
            return
        self._tick(now)
        if unsent:
            self._enter(slot, _WRITING)
            slot.since = slot.unsent_at = self.now
            slot.unsent = unsent
            slot.unsent_by = self.now + self._limits[_WRITING] + self._reading_time(unsent)
            return
        slot.unsent = 0
        self._enter(slot, _IDLE)
        slot.since = self.now
        slot.kind = _kind_once_idle(slot)

    def came(self, slot: ConnectionSlot, now: int, size: int) -> None:
        """Record how much of a body has come; called several times a second."""
        if slot.state == _BODY and size != slot.unsent:
            slot.unsent, slot.unsent_at = size, self._tick(now)

    def progress(self, slot: ConnectionSlot, now: int, unsent: int) -> None:
        """Record how much of an answer the kernel has not taken; 0 ends the wait."""
        if slot.state == _CLOSING:
            slot.unsent = unsent
        if slot.state != _WRITING:
            return
        self._tick(now)
        if not unsent:
            self.answered(slot, now)
        elif unsent != slot.unsent:
            slot.unsent, slot.unsent_at = unsent, self.now

    def offended(self, slot: ConnectionSlot) -> None:
        """Record a malformed request."""
        slot.source.wasted += OFFENCE

    def closing(self, slot: ConnectionSlot, now: int, reason: Reason, unsent: int = 0) -> None:
        """Record that this side sends no new answer on it; `unsent` bytes are not written yet."""
        if slot.state == _CLOSING:
            return
        self._tick(now)
        self._end_wait(slot)
        slot.ended, slot.unsent = reason, unsent
        self._enter(slot, _CLOSING)
        slot.since = self.now

    def closed(self, slot: ConnectionSlot, now: int) -> None:
        """Record that its descriptor is free."""
        if slot not in self.slots:
            return
        self._tick(now)
        if slot.ended is None:
            self._end_wait(slot)
            slot.ended = Reason.PEER
        self.figures.closed[slot.ended] += 1
        if slot.state == _IDLE:
            self._idle(slot, -1)
        del self.slots[slot]
        self.count[slot.state] -= 1
        slot.source.held -= 1
        if not slot.asked:
            slot.source.unproven -= 1
        if slot.tenant is not None:
            slot.tenant.held -= 1

    def _end_wait(self, slot: ConnectionSlot) -> None:
        if slot.state not in WAITING:
            return
        self.tables.closed(slot.kind, self.now - slot.since)
        if not slot.asked:
            slot.source.wasted += 1.0

    def spared(self, slot: ConnectionSlot, now: int) -> None:
        """Keep a connection chosen to be closed, on which a request was found unread."""
        slot.since = self._tick(now)

    def _enter(self, slot: ConnectionSlot, state: State) -> None:
        old = slot.state
        self.count[old] -= 1
        self.count[state] += 1
        if old == _IDLE:
            self._idle(slot, -1)
        if state == _IDLE:
            self._idle(slot, 1)
        slot.state = state

    @staticmethod
    def _idle(slot: ConnectionSlot, by: int) -> None:
        slot.source.idle += by
        if slot.tenant is not None:
            slot.tenant.idle += by

    # --- Decisions

    def admits(self, now: int, address: str) -> bool:
        """Return whether a new connection is admitted, by its source.

        A source that brings next to no requests and reconnects as soon as it is closed is refused
        beyond its share. One that brings requests is never refused for others; its own worst
        connections are closed first. Nor is the main source refused: where all clients come
        through one front, that would refuse all of them.
        """
        self._tick(now)
        source = self.sources.known.get(source_of(address))
        if source is None or source.standing >= OFFENDER or self.strain <= 0.0:
            return True
        if source.quota >= MAIN_SOURCE:
            return True
        part = max(UNPROVEN_LEAST, source.quota * self._unproven_room())
        return source.unproven < part

    def turned_away(self) -> None:
        """Count a refused connection."""
        self.figures.turned_away += 1

    def _unproven_room(self) -> float:
        return UNPROVEN_PART * self.sizes.clients_most

    def worth(self, slot: ConnectionSlot) -> float:
        """Return the expected value of a waiting connection's next request, from 0 to 1.

        It is weighted down where its source or tenant holds more than its share.
        """
        value = self.tables.worth[slot.kind][octave(self.now - slot.since)]
        return value * self._fair(slot)

    def _fair(self, slot: ConnectionSlot) -> float:
        source, tenant = slot.source, slot.tenant
        if slot.state == _IDLE:
            seats = EASE * self.sizes.seats
            fair = _part(source.quota * seats, source.idle)
            if tenant is not None:
                fair *= _part(tenant.quota * seats, tenant.idle)
            return fair * source.standing
        return _part(source.quota * self._unproven_room(), source.unproven) * source.standing

    def keeps(self, slot: ConnectionSlot, now: int) -> bool:
        """Return whether to keep a connection after the answer that is about to be written."""
        if self.used <= EASE * self.sizes.seats:
            return True
        self._tick(now)
        value = self.tables.worth[_kind_once_idle(slot)][0] * slot.source.standing
        return value >= CEILING * _ramp(self._seats())

    def trim(self, now: int) -> list[ConnectionSlot]:
        """Return the idle connections to close for their seats now, least worth first.

        One whose client returns within milliseconds is as good as a free seat, and closing it
        would only cost a handshake. So none above a ceiling of worth is closed, however short
        seats are.
        """
        self._tick(now)
        surplus = int(self.used - EASE * self.sizes.seats)
        if surplus <= 0 or not self.count[_IDLE]:
            return []
        ceiling = CEILING * _ramp(self._seats())
        low = [(self.worth(p), i, p) for i, p in enumerate(self._in(_IDLE))]
        low = [entry for entry in low if entry[0] < ceiling]
        return [entry[2] for entry in heapq.nsmallest(surplus, low)]

    def victims(self, now: int, most: int = 0) -> list[ConnectionSlot]:
        """Return the connections to close for their descriptors, least worth first.

        At most `most`, or a batch if that is 0. Refused ones that linger come first, then waiting
        ones by worth, and last those so new that a request may be in flight.
        """
        self._tick(now)
        most = most or max(2, self.held // BATCH)
        ranked = [(self._rank(p), i, p) for i, p in enumerate(self.slots)]
        fit = [entry for entry in ranked if entry[0] < 4.0]
        return [entry[2] for entry in heapq.nsmallest(most, fit)]

    def _rank(self, slot: ConnectionSlot) -> float:
        state, age = slot.state, self.now - slot.since
        if state == _CLOSING:
            # Danger: closed before its last bytes are written, it loses an answer.
            return -1.0 if age > LINGERED and not slot.unsent else 9.0
        if state in WAITING:
            young = state == _FRESH and age < YOUNG
            return self.worth(slot) + (2.0 if young else 0.0)
        return 9.0

    def overdue(self, slot: ConnectionSlot, now: int) -> Reason | None:
        """Return the reason to close a connection that has exceeded a limit, or None."""
        self._tick(now)
        state, age = slot.state, self.now - slot.since
        if state == _WRITING:
            stalled = self.now - slot.unsent_at > self._limits[state]
            return Reason.UNREAD if stalled or self.now > slot.unsent_by else None
        if state == _BODY and self._gets_on(slot, age):
            return None
        if state in WAITING and age > self._limits[state]:
            if state == _FRESH:
                return Reason.SILENT
            return Reason.IDLE if state == _IDLE else Reason.SLOW
        return None

    def _gets_on(self, slot: ConnectionSlot, age: int) -> bool:
        """Return whether a body that exceeds the time of a request keeps the minimum rate.

        Spares honest clients on slow links. `since` counts from the connection, so a trickling
        body gains no time by this.
        """
        late = age - self._limits[_BODY]
        return (
            self.now - slot.unsent_at < BODY_STALL and slot.unsent > late * BODY_RATE // 1_000_000
        )

    def limit(self, state: State) -> int:
        """Return how long a connection may be in a state now (us); 0 for no limit."""
        return self._limits[state]

    def _set_limits(self) -> None:
        limits = [0] * len(State)
        for state, kind, (most, least) in (
            (_FRESH, Kind.FRESH, SILENT),
            (_HEAD, Kind.HEAD, REQUEST),
            (_BODY, Kind.BODY, REQUEST),
        ):
            # At any strain, honest connections keep the time that they are seen to need.
            need = 2 * self.tables.latest(kind, LATEST, least // 2)
            shortest = min(most, max(least, need))
            limits[state] = int(most + self.strain * (shortest - most))
        limits[_WRITING] = int(STALL[0] + self.strain * (STALL[1] - STALL[0]))
        limits[_IDLE] = IDLE_MOST
        self._limits = limits

    def _reading_time(self, unsent: int) -> int:
        rate = RATE[0] + self.strain * (RATE[1] - RATE[0])
        return int(unsent / rate * 1e6)

    def retry_after(self, now: int) -> int:
        """Return the time (us) until a slot is sure to be free; 0 if unknown.

        That is when the first connection that is waited for reaches its limit. When a host
        answers is not known, so with all slots busy the time is unknown.
        """
        self._tick(now)
        soonest = 0
        for slot in self._in(_FRESH, _HEAD, _BODY):
            left = max(1, slot.since + self._limits[slot.state] - self.now)
            soonest = left if not soonest else min(soonest, left)
        return soonest

    def _in(self, *states: State) -> Iterator[ConnectionSlot]:
        return (p for p in self.slots if p.state in states)

    # --- For the log

    def told(self) -> str:
        """Return a log line: connections by state, pressure, closings by reason."""
        states = _pairs(State, self.count)
        closed = _pairs(Reason, self.figures.closed)
        pressure = self.pressure()
        peak, self.figures.peak = self.figures.peak, pressure
        return (
            f"door: {states or 'empty'} seats={self.used}/{self.sizes.seats} "
            f"pressure={pressure:.2f} peak={peak:.2f} opened={self.figures.opened} "
            f"reused={self.figures.reused} away={self.figures.turned_away} "
            f"closed: {closed or 'none'}"
        )


def _pairs(names: type[State] | type[Reason], counts: Iterable[int]) -> str:
    return " ".join(f"{names(i).name.lower()}={n}" for i, n in enumerate(counts) if n)


def _kind_once_idle(slot: ConnectionSlot) -> Kind:
    return gap_kind(slot.gap) if slot.asked > 1 else Kind.ONCE


def _ramp(pressure: float) -> float:
    return min(1.0, max(0.0, (pressure - EASE) / (STRAIN - EASE)))


def _part(quota: float, held: int) -> float:
    return 1.0 if held <= quota else quota / held

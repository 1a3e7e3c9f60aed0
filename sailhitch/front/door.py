"""The door: a budget of connections, what each is worth, and which of them go when they run short.

Three things can be short. *Seats*: the connections that the fronts before this gateway deal out
for requests; one that stands idle for a client that won't come back is one that no other client
gets. *Descriptors*: shared with the connections to hosts. *Memory*: bodies and unread answers.
Pressure is the share in use of whichever is shortest.

The door opens and closes nothing. It is told what connections do, and says which should go; a
place whose request is taken is never among them. All times are microseconds on a clock that runs
evenly; a clock that steps back is taken to stand still.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Final, Protocol

from .groups import OFFENDER, Group, Groups, source_of
from .life import REFRESH, Kind, LifeTables, fade, gap_kind, octave

EASE: Final = 0.55  # pressure up to which connections are kept as long as they may be...
STRAIN: Final = 0.8  # ...and from which on the limits are at their shortest
CEILING: Final = 0.6  # at full strain a waiting connection worth less than this gives up its seat
HORIZON_EASE: Final = 2_000_000  # how soon a request must come to be worth something...
HORIZON_STRAIN: Final = 300_000  # ...where seats are scarce
YOUNG: Final = 250_000  # a new connection's first request is surely on its way for so long
LINGERED: Final = 100_000  # a refused client has read the answer by then, if it ever will
UNPROVEN_PART: Final = 0.5  # of the clients' descriptors, for those that have asked nothing yet
UNPROVEN_LEAST: Final = 2  # that any source may have of them, whatever it did
BATCH: Final = 24  # one part in so many of the descriptors is freed at a time
MAIN_SOURCE: Final = 0.5  # who brings this share of the requests is never turned away at the door
OFFENCE: Final = 2.0  # places wasted that an offence counts as
CEILING_BACK: Final = 10_000_000  # how long a limit on descriptors that was hit is believed

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
    """Where a connection stands."""

    FRESH = 0  # accepted, nothing read
    HEAD = 1  # some of a head read
    BODY = 2  # the head read, some of the body missing
    BUSY = 3  # a request is taken and not answered
    WRITING = 4  # answered, not all of it taken by the client
    IDLE = 5  # answered, nothing of a next request read
    CLOSING = 6  # this side has said its last


class Reason(IntEnum):
    """Why a connection ended."""

    PEER = 0  # the client closed or broke it
    IDLE = 1  # idle for too long
    SILENT = 2  # no request at all for too long
    SLOW = 3  # a request that does not get on
    UNREAD = 4  # an answer that is not read
    SEAT = 5  # worth less than its seat
    ROOM = 6  # worth less than its descriptor
    ANSWERED = 7  # closed with its answer: asked for, or draining
    REJECTED = 8  # out of form
    MOVED = 9  # passed on to another process of this gateway; its client sees nothing of it


class Verdict(IntEnum):
    """What becomes of one that knocks."""

    ADMIT = 0
    WAIT = 1  # let `Door.victims` go first
    TURN_AWAY = 2


# Looked up some ten times for each request, which an enum's own attributes are too slow for.
_FRESH, _HEAD, _BODY, _BUSY, _WRITING, _IDLE, _CLOSING = State
WAITING: Final = (_IDLE, _FRESH, _HEAD, _BODY)  # a tuple: members of an enum hash slowly


class Holder(Protocol):
    """What holds a place: a front's connection."""

    def let_go(self, reason: Reason) -> bool:
        """Close now; False if bytes of a request are here unread, and it was not closed."""


@dataclass(frozen=True, slots=True)
class Sizes:
    """What there is to share out."""

    descriptors: int  # for clients and hosts together
    seats: int  # connections that fronts deal out for requests
    clients_least: float = 0.45  # of the descriptors, so many can't be taken from the clients...
    hosts_least: float = 0.3  # ...and so many not from the connections to hosts

    @property
    def clients_most(self) -> float:
        return (1.0 - self.hosts_least) * self.descriptors


class Place:
    """A client's connection as the door knows it."""

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


class Door:
    """Decides about client connections of every front together."""

    def __init__(self, sizes: Sizes, now: int) -> None:
        self.sizes = sizes
        self.now = now
        self.tables = LifeTables()
        self.sources, self.tenants = Groups(), Groups()
        self.places: dict[Place, None] = {}  # all, oldest first
        self.count = [0] * len(State)
        self.figures = Figures()
        self.others = 0  # descriptors that are not clients'
        self.memory = 0.0  # share in use
        self.strain = 0.0  # of whatever is shortest, 0 to 1
        self._hit, self._hit_until = 0, 0  # a limit below the one that was told
        self._refreshed = now
        self._limits: list[int] = []
        self._set_limits()

    # --- Measures

    @property
    def held(self) -> int:
        """Descriptors that clients hold."""
        return len(self.places)

    @property
    def used(self) -> int:
        """Seats in use."""
        return self.count[_BUSY] + self.count[_WRITING] + self.count[_IDLE]

    def resize(self, sizes: Sizes) -> None:
        """New limits; what is above them goes as what is above any limit does, never at once."""
        self.sizes = sizes
        self._strain()

    def descriptors(self) -> int:
        """What may be held in all, by what was told and by what the system has refused."""
        most = self.sizes.descriptors
        return min(most, self._hit) if self._hit_until > self.now else most

    def exhausted(self, now: int, others: int) -> None:
        """The system has no descriptor left, whatever the settings say.

        Guards against descriptors that nobody here counts. The limit found is believed for a
        while only, as what held them may be gone by then.
        """
        self._tick(now)
        self._hit = max(8, self.held + others - max(1, self.held // BATCH))
        self._hit_until = self.now + CEILING_BACK

    def crowded(self, others: int) -> bool:
        """Whether one more client takes what is not the clients' to take."""
        return self.held >= self.sizes.clients_most or self.held + others >= self.descriptors()

    def pressure(self) -> float:
        """The share in use of whatever is shortest; above 1 where more is in use than there is."""
        clients = self.held / max(1.0, self.sizes.clients_most)
        whole = (self.held + self.others) / max(1, self.descriptors())
        # Hosts' connections alone must not press the clients, whose part can't be taken.
        whole = min(whole, self.held / max(1.0, self.sizes.clients_least * self.descriptors()))
        return max(self._seats(), clients, whole, self.memory)

    def _seats(self) -> float:
        """The share of seats in use."""
        return self.used / max(1, self.sizes.seats)

    def _strain(self) -> None:
        pressure = self.pressure()
        self.figures.peak = max(self.figures.peak, pressure)
        self.strain = _ramp(pressure)

    def sense(self, now: int, others: int, memory: float) -> None:
        """Several times a second: what else holds descriptors, and the share of memory in use."""
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
        waits = [(p.kind, self.now - p.since) for p in self.places if p.state in WAITING]
        keep = fade(elapsed)
        self.tables.refresh(waits, keep, horizon)
        self.sources.refresh(keep)
        self.tenants.refresh(keep)
        self._set_limits()

    def _tick(self, now: int) -> int:
        self.now = max(self.now, now)
        return self.now

    # --- What connections do

    def opened(self, now: int, address: str) -> Place:
        """One is let in."""
        place = Place(self.sources.get(source_of(address)), self._tick(now))
        place.source.held += 1
        place.source.unproven += 1
        self.places[place] = None
        self.count[_FRESH] += 1
        self.figures.opened += 1
        return place

    def adopted(self, now: int, address: str) -> Place:
        """One is let in that another process of this gateway has served before."""
        place = self.opened(now, address)
        place.source.unproven -= 1
        place.asked = 1
        place.kind = Kind.ONCE
        self._enter(place, _IDLE)
        return place

    def reading(self, place: Place, now: int, body: bool) -> None:
        """Some of a request has come, and not all: of its head, or all of that and not the body."""
        state = _BODY if body else _HEAD
        if place.state not in WAITING or place.state == state:
            return
        self._tick(now)
        if place.state == _IDLE:
            self._came_back(place)
            place.since = self.now
        else:
            # The first request counts from when its connection was made: a trickle must not win
            # time with each state it passes through.
            self.tables.brought(place.kind, self.now - place.since)
        self._enter(place, state)
        place.kind = Kind.BODY if body else Kind.HEAD

    def taken(self, place: Place, now: int, tenant: str | None) -> None:
        """A whole request has come; `tenant` is None for one that is not a client's."""
        if place.state == _CLOSING:
            return
        self._tick(now)
        if place.state == _IDLE:
            self._came_back(place)
        elif place.state in WAITING:
            self.tables.brought(place.kind, self.now - place.since)
        if not place.asked:
            place.source.unproven -= 1
        place.asked += 1
        # Before its tenant may change: it is that of the last request which it was idle for.
        self._enter(place, _BUSY)
        place.since = self.now
        if tenant is not None:
            place.source.brought += 1.0
            self._belongs(place, tenant)

    def _belongs(self, place: Place, name: str) -> None:
        group = place.tenant
        if group is None or group.name != name:
            if group is not None:
                group.held -= 1
            group = place.tenant = self.tenants.get(name)
            group.held += 1
        group.brought += 1.0

    def _came_back(self, place: Place) -> None:
        gap = self.now - place.since
        self.tables.brought(place.kind, gap)
        self.figures.reused += 1
        place.gap = gap if not place.gap else (3 * place.gap + gap) // 4

    def answered(self, place: Place, now: int, unsent: int = 0) -> None:
        """The answer is on its way, `unsent` bytes of it not yet taken by the system."""
        if place.state == _CLOSING:
            return
        self._tick(now)
        if unsent:
            self._enter(place, _WRITING)
            place.since = place.unsent_at = self.now
            place.unsent = unsent
            place.unsent_by = self.now + self._limits[_WRITING] + self._reading_time(unsent)
            return
        place.unsent = 0
        self._enter(place, _IDLE)
        place.since = self.now
        place.kind = _kind_once_idle(place)

    def came(self, place: Place, now: int, size: int) -> None:
        """Several times a second: so much of a body has come that is still being read."""
        if place.state == _BODY and size != place.unsent:
            place.unsent, place.unsent_at = size, self._tick(now)

    def progress(self, place: Place, now: int, unsent: int) -> None:
        """So much of an answer is still to be taken; nothing ends the wait for it."""
        if place.state != _WRITING:
            return
        self._tick(now)
        if not unsent:
            self.answered(place, now)
        elif unsent != place.unsent:
            place.unsent, place.unsent_at = unsent, self.now

    def offended(self, place: Place) -> None:
        """What came is out of form."""
        place.source.wasted += OFFENCE

    def closing(self, place: Place, now: int, reason: Reason) -> None:
        """This side has said its last on it."""
        if place.state == _CLOSING:
            return
        self._tick(now)
        self._end_wait(place)
        place.ended = reason
        self._enter(place, _CLOSING)
        place.since = self.now

    def closed(self, place: Place, now: int) -> None:
        """Its descriptor is free."""
        if place not in self.places:
            return
        self._tick(now)
        if place.ended is None:
            self._end_wait(place)
            place.ended = Reason.PEER
        self.figures.closed[place.ended] += 1
        if place.state == _IDLE:
            self._idle(place, -1)
        del self.places[place]
        self.count[place.state] -= 1
        place.source.held -= 1
        if not place.asked:
            place.source.unproven -= 1
        if place.tenant is not None:
            place.tenant.held -= 1

    def _end_wait(self, place: Place) -> None:
        if place.state not in WAITING:
            return
        self.tables.closed(place.kind, self.now - place.since)
        if not place.asked:
            place.source.wasted += 1.0

    def spared(self, place: Place, now: int) -> None:
        """It was to go, and the bytes of a request were found on it: it is looked at last again."""
        place.since = self._tick(now)

    def _enter(self, place: Place, state: State) -> None:
        old = place.state
        self.count[old] -= 1
        self.count[state] += 1
        if old == _IDLE:
            self._idle(place, -1)
        if state == _IDLE:
            self._idle(place, 1)
        place.state = state

    @staticmethod
    def _idle(place: Place, by: int) -> None:
        place.source.idle += by
        if place.tenant is not None:
            place.tenant.idle += by

    # --- Decisions

    def admits(self, now: int, address: str) -> bool:
        """Whether one that knocks is let in, by who it is.

        Guards against a source that has brought next to nothing and comes back as soon as it is
        closed: beyond its part it is not let in. One that has brought requests is never turned
        away for others; its own worst connections go first. Danger: where all come through one
        front, turning that away would turn all away, however many bad ones come with the good.
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
        """One that knocked got an answer in place of a place."""
        self.figures.turned_away += 1

    def _unproven_room(self) -> float:
        return UNPROVEN_PART * self.sizes.clients_most

    def worth(self, place: Place) -> float:
        """What a waiting connection is likely to bring soon, from 0 to 1, less what it may not
        have of the groups' shares."""
        value = self.tables.worth[place.kind][octave(self.now - place.since)]
        return value * self._fair(place)

    def _fair(self, place: Place) -> float:
        source, tenant = place.source, place.tenant
        if place.state == _IDLE:
            seats = EASE * self.sizes.seats
            fair = _part(source.quota * seats, source.idle)
            if tenant is not None:
                fair *= _part(tenant.quota * seats, tenant.idle)
            return fair * source.standing
        return _part(source.quota * self._unproven_room(), source.unproven) * source.standing

    def keeps(self, place: Place, now: int) -> bool:
        """Whether a connection whose answer is about to go out is worth its seat after that."""
        if self.used <= EASE * self.sizes.seats:
            return True
        self._tick(now)
        value = self.tables.worth[_kind_once_idle(place)][0] * place.source.standing
        return value >= CEILING * _ramp(self._seats())

    def trim(self, now: int) -> list[Place]:
        """The idle ones that should give up their seats now: the least worth first.

        Danger: one that comes back within milliseconds is as good as a free seat, and closing it
        would only cost its client a handshake. So there is a worth from which on none has to go,
        however short seats are.
        """
        self._tick(now)
        surplus = int(self.used - EASE * self.sizes.seats)
        if surplus <= 0 or not self.count[_IDLE]:
            return []
        ceiling = CEILING * _ramp(self._seats())
        low = [(self.worth(p), i, p) for i, p in enumerate(self._in(_IDLE))]
        low = [entry for entry in low if entry[0] < ceiling]
        return [entry[2] for entry in heapq.nsmallest(surplus, low)]

    def victims(self, now: int, most: int = 0) -> list[Place]:
        """Those that should go to free descriptors, least worth first; a batch, or `most`.

        Who has been refused and lingers goes first, then who waits, by worth, and last who has
        come so lately that its request may be on its way.
        """
        self._tick(now)
        most = most or max(2, self.held // BATCH)
        ranked = [(self._rank(p), i, p) for i, p in enumerate(self.places)]
        fit = [entry for entry in ranked if entry[0] < 4.0]
        return [entry[2] for entry in heapq.nsmallest(most, fit)]

    def _rank(self, place: Place) -> float:
        state, age = place.state, self.now - place.since
        if state == _CLOSING:
            return -1.0 if age > LINGERED else 9.0
        if state in WAITING:
            young = state == _FRESH and age < YOUNG
            return self.worth(place) + (2.0 if young else 0.0)
        return 9.0

    def overdue(self, place: Place, now: int) -> Reason | None:
        """Why a connection has stood still for too long, if it has."""
        self._tick(now)
        state, age = place.state, self.now - place.since
        if state == _WRITING:
            stalled = self.now - place.unsent_at > self._limits[state]
            return Reason.UNREAD if stalled or self.now > place.unsent_by else None
        if state == _BODY and self._gets_on(place, age):
            return None
        if state in WAITING and age > self._limits[state]:
            if state == _FRESH:
                return Reason.SILENT
            return Reason.IDLE if state == _IDLE else Reason.SLOW
        return None

    def _gets_on(self, place: Place, age: int) -> bool:
        """Whether a body that takes longer than a request may still comes at a bearable rate.

        Guards honest clients behind slow links, who may take seconds for a body that is whole at
        its rate. Danger: `since` counts from the connection, so this gives no time to a trickle.
        """
        late = age - self._limits[_BODY]
        return (
            self.now - place.unsent_at < BODY_STALL and place.unsent > late * BODY_RATE // 1_000_000
        )

    def limit(self, state: State) -> int:
        """How long a connection may stand in a state now; 0 where nothing ends it."""
        return self._limits[state]

    def _set_limits(self) -> None:
        limits = [0] * len(State)
        for state, kind, (most, least) in (
            (_FRESH, Kind.FRESH, SILENT),
            (_HEAD, Kind.HEAD, REQUEST),
            (_BODY, Kind.BODY, REQUEST),
        ):
            # The time that good ones are seen to need is left to them, strain or not.
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
        """When the next place is surely free; 0 if nobody can say.

        That is when the first of those that stand still comes to the end of its time. When a host
        answers is not known, so with all places busy there is nothing true to say.
        """
        self._tick(now)
        soonest = 0
        for place in self._in(_FRESH, _HEAD, _BODY):
            left = max(1, place.since + self._limits[place.state] - self.now)
            soonest = left if not soonest else min(soonest, left)
        return soonest

    def _in(self, *states: State) -> Iterator[Place]:
        return (p for p in self.places if p.state in states)

    # --- For the log

    def told(self) -> str:
        """One line's worth: connections by state, pressure, closings by reason."""
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


def _kind_once_idle(place: Place) -> Kind:
    return gap_kind(place.gap) if place.asked > 1 else Kind.ONCE


def _ramp(pressure: float) -> float:
    return min(1.0, max(0.0, (pressure - EASE) / (STRAIN - EASE)))


def _part(quota: float, held: int) -> float:
    return 1.0 if held <= quota else quota / held

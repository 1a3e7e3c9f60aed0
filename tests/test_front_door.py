"""The door's decisions, in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sailhitch.front import Door, Place, Reason, Sizes, State
from sailhitch.front.door import CEILING_BACK, IDLE_MOST, REQUEST, SILENT, STALL, WAITING
from sailhitch.front.groups import MOST_GROUPS, Groups, source_of

MS, S = 1_000, 1_000_000
SIZES = Sizes(descriptors=220, seats=85)


class Connection:
    """What holds a place here: it can always be let go."""

    def let_go(self, reason: Reason) -> bool:
        return True


def door(sizes: Sizes = SIZES) -> Door:
    return Door(sizes, 0)


def asked(it: Door, now: int, address: str = "10.0.0.1", tenant: str = "t") -> Place:
    place = it.opened(now, address)
    it.taken(place, now, tenant)
    return place


def idle(it: Door, now: int, address: str = "10.0.0.1", tenant: str = "t") -> Place:
    place = asked(it, now, address, tenant)
    it.answered(place, now)
    return place


def close(it: Door, place: Place, now: int, reason: Reason = Reason.SEAT) -> None:
    it.closing(place, now, reason)
    it.closed(place, now)


def run(it: Door, until: int, step: int = 25 * MS, others: int = 0) -> list[Place]:
    """Let time pass; what the door wants to go goes. Returns that."""
    gone = []
    now = it.now
    while now < until:
        now += step
        it.sense(now, others, 0.0)
        for place in it.trim(now):
            close(it, place, now)
            gone.append(place)
        for place in list(it.places):
            reason = it.overdue(place, now)
            if reason is not None:
                close(it, place, now, reason)
                gone.append(place)
    return gone


# --- Seats


def test_with_no_pressure_an_idle_connection_is_kept_as_long_as_ever() -> None:
    it = door()
    place = idle(it, 0)
    assert run(it, IDLE_MOST - S, step=100 * MS) == []
    assert run(it, IDLE_MOST + S, step=100 * MS) == [place]
    assert it.figures.closed[Reason.IDLE] == 1


def test_who_asks_once_and_holds_on_gives_up_its_seat_within_a_second() -> None:
    it = door()
    for i in range(80):
        idle(it, i * MS)
    gone = run(it, 2 * S)
    assert len(gone) >= 80 - SIZES.seats * 0.6
    assert it.used < SIZES.seats * 0.6


def test_who_comes_back_keeps_its_seat_beside_hoarders() -> None:
    it = door()
    regular = [idle(it, 0) for _ in range(20)]
    now, held = 0, []
    for turn in range(200):
        now += 50 * MS
        for place in regular:
            it.taken(place, now, "t")
            it.answered(place, now + 10 * MS)
        held += [idle(it, now) for _ in range(5)]
        gone = run(it, now + 40 * MS, step=20 * MS)
        if turn > 20:
            assert not set(gone) & set(regular)
    assert it.used <= SIZES.seats


def test_an_answer_says_close_where_its_connection_is_not_worth_its_seat() -> None:
    it = door()
    for _ in range(30):  # those that never come back, as was seen
        idle(it, it.now)
    run(it, 5 * S)
    for _ in range(80):
        asked(it, it.now)
    one = asked(it, it.now)
    assert not it.keeps(one, it.now)
    # With seats enough the same connection is kept.
    for place in list(it.places):
        if place is not one:
            close(it, place, it.now)
    assert it.keeps(one, it.now)


def test_two_kinds_at_once_are_told_apart_by_when_they_come_back() -> None:
    it = door(Sizes(descriptors=220, seats=40))
    rng = random.Random(5)
    gaps = [1 * S] * 15 + [10 * S] * 60
    due = [rng.randrange(gap) for gap in gaps]
    places: list[Place | None] = [None] * len(gaps)
    came = dict.fromkeys(gaps, 0)
    lost = dict.fromkeys(gaps, 0)
    for now in range(0, 90 * S, 25 * MS):
        it.sense(now, 0, 0.0)
        gone = set(it.trim(now))
        for place in gone:
            close(it, place, now)
        for i, gap in enumerate(gaps):
            held = places[i]
            if held in gone:
                held = places[i] = None  # it makes a new connection when it asks again
                lost[gap] += now > 45 * S
            if due[i] <= now:
                if held is None:
                    places[i] = idle(it, now)
                else:
                    it.taken(held, now, "t")
                    it.answered(held, now)
                came[gap] += now > 45 * S
                due[i] = now + gap + rng.randrange(100 * MS)
    assert it.used <= 40
    assert lost[1 * S] / came[1 * S] < 0.2
    assert lost[10 * S] / came[10 * S] > 0.5


def test_idle_clients_are_not_the_scarce_thing_when_hosts_are_slow() -> None:
    # All seats are held by requests out; those few that come back at once are worth keeping.
    it = door()
    regular = [idle(it, 0) for _ in range(10)]
    for turn in range(400):
        now = (turn + 1) * 10 * MS
        for place in regular:
            it.taken(place, now, "t")
            it.answered(place, now)
        it.sense(now, 0, 0.0)
        assert not set(it.trim(now)) & set(regular) or turn < 50
    for _ in range(75):
        asked(it, it.now)
    it.sense(it.now, 0, 0.0)
    assert it.strain == 1.0
    assert it.trim(it.now) == []
    assert all(it.keeps(place, it.now) for place in regular)


# --- Descriptors


def test_victims_are_the_silent_first_then_the_idle_and_the_newest_last() -> None:
    it = door()
    silent = [it.opened(0, "10.0.0.9") for _ in range(10)]
    regular = idle(it, 0)
    for i in range(50):
        it.taken(regular, i * 20 * MS, "t")
        it.answered(regular, i * 20 * MS)
    busy = asked(it, S)
    it.sense(S, 0, 0.0)
    new = it.opened(S, "10.0.0.1")
    order = it.victims(S + MS, 100)
    assert set(order[:10]) == set(silent)
    assert order[10:] == [regular, new]
    assert busy not in order


def test_a_request_taken_is_never_touched() -> None:
    it = door()
    places = [asked(it, 0) for _ in range(300)]
    it.answered(places[0], 0, unsent=100_000)
    assert it.victims(60 * S, 1000) == []
    assert run(it, IDLE_MOST * 4, step=S) == [places[0]]


def test_lower_limits_take_nothing_from_requests_and_come_true_soon() -> None:
    it = door()
    busy = [asked(it, 0) for _ in range(20)]
    for _ in range(40):
        idle(it, 0)
    it.resize(Sizes(descriptors=60, seats=25))
    gone = run(it, 2 * S)
    assert len(gone) == 40
    assert not set(gone) & set(busy)


def test_a_limit_that_the_system_sets_is_believed_for_a_while() -> None:
    it = door()
    for _ in range(50):
        idle(it, 0)
    assert not it.crowded(10)
    it.exhausted(MS, 10)
    assert it.crowded(10)
    assert it.victims(MS)
    it.sense(MS + CEILING_BACK + S, 10, 0.0)
    assert not it.crowded(10)


def test_a_crowd_from_one_source_leaves_the_rest_their_part() -> None:
    it = door()
    for _ in range(600):  # it comes back as soon as it is closed
        place = it.opened(it.now, "10.6.6.6")
        close(it, place, it.now + MS, Reason.SILENT)
    crowd = []
    for _ in range(400):
        it.sense(it.now + 10 * MS, 0, 0.0)
        if it.admits(it.now, "10.6.6.6"):
            crowd.append(it.opened(it.now, "10.6.6.6"))
        assert it.admits(it.now, "10.0.0.1")
        if len(it.places) > 160:
            break
        asked(it, it.now, "10.0.0.1")
    assert not it.admits(it.now, "10.6.6.6")
    assert len(crowd) < 0.5 * SIZES.clients_most


def test_many_honest_clients_behind_one_address_are_not_punished_for_one() -> None:
    it = door()
    for i in range(600):
        place = idle(it, it.now + MS, "10.0.0.1")
        if i % 10 == 0:
            it.offended(place)
        close(it, place, it.now)
    it.sense(it.now + S, 0, 0.0)
    front = it.sources.get("10.0.0.1")
    assert front.standing > 0.8
    assert front.quota > 0.9
    for _ in range(150):
        asked(it, it.now, "10.0.0.1")
    it.sense(it.now + MS, 0, 0.0)
    assert it.admits(it.now, "10.0.0.1")


def test_a_tenant_that_holds_more_than_it_brings_gives_up_seats_first() -> None:
    it = door()
    for _ in range(200):
        close(it, idle(it, it.now + MS, tenant="busy"), it.now)
    greedy = {idle(it, it.now, tenant="greedy") for _ in range(40)}
    fair = {idle(it, it.now, tenant="busy") for _ in range(40)}
    it.sense(it.now + S, 0, 0.0)
    first = it.trim(it.now)[:20]
    assert len(set(first) & greedy) == 20
    assert not set(first) & fair


def test_a_connection_that_carries_one_tenant_after_another_is_idle_for_the_last() -> None:
    it = door()
    place = idle(it, 0, tenant="first")
    it.taken(place, 1 * MS, "second")
    it.answered(place, 2 * MS)
    assert [(g.name, g.held, g.idle) for g in it.tenants.known.values()] == [
        ("first", 0, 0),
        ("second", 1, 1),
    ]


# --- Time limits


@pytest.mark.parametrize(
    ("state", "bounds"),
    [(State.FRESH, SILENT), (State.HEAD, REQUEST), (State.BODY, REQUEST), (State.WRITING, STALL)],
)
def test_limits_lie_between_their_bounds_and_fall_with_pressure(
    state: State, bounds: tuple[int, int]
) -> None:
    it = door()
    it.sense(MS, 0, 0.0)
    assert it.limit(state) == bounds[0]
    for _ in range(200):
        asked(it, MS)
    it.sense(2 * MS, 0, 0.0)
    assert it.limit(state) == bounds[1]


def test_a_limit_leaves_twice_the_time_that_good_ones_need() -> None:
    it = door()
    for _ in range(100):
        place = it.opened(it.now, "10.0.0.1")
        it.reading(place, it.now, False)
        it.taken(place, it.now + 900 * MS, "t")
        it.answered(place, it.now)
        close(it, place, it.now)
        it.sense(it.now, 0, 0.0)
    for _ in range(200):
        asked(it, it.now)
    it.sense(it.now + S, 0, 0.0)
    assert it.strain == 1.0
    assert it.limit(State.HEAD) > 1800 * MS


def test_a_trickle_wins_no_time_by_passing_from_state_to_state() -> None:
    it = door()
    place = it.opened(0, "10.0.0.1")
    it.reading(place, 1 * S, False)
    it.reading(place, 2 * S, True)
    it.reading(place, 2 * S + 400 * MS, True)
    assert it.overdue(place, REQUEST[0] - MS) is None
    assert it.overdue(place, REQUEST[0] + MS) == Reason.SLOW


def test_an_answer_read_a_byte_a_second_has_an_end() -> None:
    it = door()
    place = asked(it, 0)
    it.answered(place, 0, unsent=400_000)
    now = 0
    while it.overdue(place, now) is None:
        now += S
        it.progress(place, now, 400_000 - now // S)
        assert now < 20 * S
    assert now >= STALL[0]


def test_an_answer_that_is_read_steadily_is_left_alone() -> None:
    it = door()
    place = asked(it, 0)
    it.answered(place, 0, unsent=1_000_000)
    for second in range(1, 10):
        it.progress(place, second * S, 1_000_000 - second * 100_000)
        assert it.overdue(place, second * S) is None
    it.progress(place, 10 * S, 0)
    assert place.state == State.IDLE


def test_a_clock_that_jumps_ends_nothing_that_it_should_not() -> None:
    it = door()
    place = idle(it, 10 * S)
    it.sense(5 * S, 0, 0.0)  # back
    assert it.now == 10 * S
    assert it.overdue(place, 6 * S) is None
    assert run(it, 12 * S) == []


def test_retry_after_is_said_where_it_is_true() -> None:
    it = door()
    assert it.retry_after(0) == 0
    for _ in range(10):
        asked(it, 0)
    assert it.retry_after(0) == 0  # nobody knows when hosts answer
    it.opened(0, "10.0.0.1")
    it.opened(S, "10.0.0.1")
    assert it.retry_after(S) == it.limit(State.FRESH) - S


# --- Groups


def test_sources_are_addresses_or_what_one_subscriber_has() -> None:
    assert source_of("10.1.2.3") == "10.1.2.3"
    assert source_of("2001:db8:1:2:3:4:5:6") == source_of("2001:db8:1:2::9")
    assert source_of("2001:db8:1:2::9") == "2001:db8:1:2::/64"
    assert source_of("::1") == "0:0:0:0::/64"
    assert source_of("fe80::1%eth0") == "fe80:0:0:0::/64"


def test_groups_are_remembered_in_bounded_memory() -> None:
    groups = Groups()
    held = groups.get("holds")
    held.held = 1
    for i in range(3 * MOST_GROUPS):
        groups.get(f"10.0.{i // 256}.{i % 256}")
    assert len(groups.known) <= MOST_GROUPS
    assert groups.known["holds"] is held
    groups.refresh(0.5)
    assert list(groups.known) == ["holds"]


# --- Any order of events


@dataclass
class Rig:
    """Carries out what the door says, and checks that it says only what it may."""

    it: Door
    now: int = 0

    def check(self) -> None:
        it = self.it
        places = list(it.places)
        for state in State:
            assert it.count[state] == sum(p.state == state for p in places)
        for group in it.sources.known.values():
            mine = [p for p in places if p.source is group]
            assert group.held == len(mine)
            assert group.unproven == sum(not p.asked for p in mine)
            assert group.idle == sum(p.state == State.IDLE for p in mine)
        for group in it.tenants.known.values():
            mine = [p for p in places if p.tenant is group]
            assert group.held == len(mine)
            assert group.idle == sum(p.state == State.IDLE for p in mine)

    def let_go(self, places: list[Place], spare: int) -> None:
        for i, place in enumerate(places):
            assert place.state in WAITING or place.state == State.CLOSING
            if i == spare:
                self.it.spared(place, self.now)
            else:
                self.it.closing(place, self.now, Reason.ROOM)
                self.it.closed(place, self.now)

    def make_way(self, others: int) -> bool:
        """As the listener does: room first, then one more."""
        if not self.it.crowded(others):
            return True
        self.let_go(self.it.victims(self.now), -1)
        return not self.it.crowded(others)


def _knock(rig: Rig, a: int, b: int) -> None:
    address = f"10.0.0.{a % 7}"
    if rig.make_way(b) and rig.it.admits(rig.now, address):
        rig.it.opened(rig.now, address)
        assert rig.it.held <= rig.it.sizes.clients_most + 1
        assert rig.it.held + b <= rig.it.descriptors()


def _on_one(act: Callable[[Door, Place, int, int], None]) -> Callable[[Rig, int, int], None]:
    def play(rig: Rig, a: int, b: int) -> None:
        places = list(rig.it.places)
        if places:
            act(rig.it, places[a % len(places)], rig.now, b)

    return play


def _answer(it: Door, place: Place, now: int, b: int) -> None:
    if place.state == State.BUSY:
        it.keeps(place, now)
        it.answered(place, now, unsent=max(0, b - 15) * 1000)


def _trim(rig: Rig, a: int, b: int) -> None:
    rig.let_go(rig.it.trim(rig.now), a)


def _sweep(rig: Rig, a: int, b: int) -> None:
    for place in list(rig.it.places):
        reason = rig.it.overdue(place, rig.now)
        if reason is not None:
            assert place.state not in (State.BUSY, State.CLOSING)
            rig.it.closing(place, rig.now, reason)


def _resize(rig: Rig, a: int, b: int) -> None:
    rig.it.resize(Sizes(descriptors=20 + a, seats=5 + b))


def _time(rig: Rig, a: int, b: int) -> None:
    rig.now += (a - 3) * 10 ** (b % 6)
    rig.it.sense(rig.now, b, (a % 10) / 10)


EVENTS: list[Callable[[Rig, int, int], None]] = [
    _knock,
    _knock,
    _on_one(lambda it, p, now, b: it.reading(p, now, b % 2 == 1)),
    _on_one(lambda it, p, now, b: it.taken(p, now, f"t{b % 3}" if b else None)),
    _on_one(lambda it, p, now, b: it.taken(p, now, f"t{b % 3}" if b else None)),
    _on_one(_answer),
    _on_one(_answer),
    _on_one(lambda it, p, now, b: it.progress(p, now, max(0, b - 10) * 500)),
    _on_one(lambda it, p, now, b: it.closed(p, now)),
    _on_one(lambda it, p, now, b: it.closing(p, now, Reason(b % len(Reason)))),
    _on_one(lambda it, p, now, b: it.offended(p)),
    _trim,
    _sweep,
    _resize,
    lambda rig, a, b: rig.it.exhausted(rig.now, b),
    _time,
    _time,
]


@settings(max_examples=150)
@given(
    st.lists(
        st.tuples(st.integers(0, len(EVENTS) - 1), st.integers(0, 60), st.integers(0, 30)),
        max_size=120,
    )
)
def test_in_any_order_of_events_the_budget_and_the_promises_hold(
    steps: list[tuple[int, int, int]],
) -> None:
    rig = Rig(door(Sizes(descriptors=40, seats=12)))
    for number, a, b in steps:
        EVENTS[number](rig, a, b)
        rig.check()


@pytest.mark.parametrize("count", [50, 500, 5000])
@pytest.mark.parametrize("seats", [85, 128, 341])
def test_honest_requests_find_a_seat_beside_any_number_of_hoarders(count: int, seats: int) -> None:
    """320 requests a second through a front that keeps to its seats, and hoarders beside them."""
    it = door(Sizes(descriptors=3 * seats - 36, seats=seats))
    rng = random.Random(count)
    pool: list[Place] = []  # idle at the front
    busy: list[tuple[int, Place, bool]] = []
    served = turned_away = 0
    hoard = 0
    for tick in range(12_000):  # of a millisecond
        now = tick * MS
        if tick % 25 == 0:
            it.sense(now, 20, 0.0)
            for place in it.trim(now):
                close(it, place, now)
        for entry in [e for e in busy if e[0] <= now]:
            busy.remove(entry)
            _, place, keeps = entry
            if it.keeps(place, now):
                it.answered(place, now)
                if keeps:
                    pool.append(place)
            else:
                close(it, place, now, Reason.ANSWERED)
        pool = [p for p in pool if p in it.places and p.state == State.IDLE]
        held = len(it.places)
        if rng.random() < 0.32:
            if pool:
                place = pool.pop()
            elif held < seats:
                place = it.opened(now, "10.0.0.1")
            else:
                turned_away += 1
                continue
            it.taken(place, now, "t")
            busy.append((now + 30 * MS, place, True))
            served += 1
        if hoard < count and held < seats and rng.random() < count / 10_000:
            place = it.opened(now, "10.0.0.1")
            it.taken(place, now, "t")
            busy.append((now + 30 * MS, place, False))
            hoard += 1
    assert served > 3000
    assert turned_away / (served + turned_away) < 0.02, it.told()

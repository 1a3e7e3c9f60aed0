"""Decisions of connection admission, in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sailhitch.front import ConnectionAdmission, ConnectionBudget, ConnectionSlot, Reason, State
from sailhitch.front.groups import MOST_GROUPS, Groups, source_of
from sailhitch.front.pressure import DESCRIPTOR_LIMIT_HOLD
from sailhitch.front.slots import WAITING
from sailhitch.front.time_limits import (
    FIRST_BYTE_LIMIT,
    MAX_IDLE,
    MAX_READ_STALL,
    REQUEST_LIMIT,
)

MS, S = 1_000, 1_000_000
SIZES = ConnectionBudget(descriptors=220, request_slots=85)


class Connection:
    """What holds a slot here: it can always be let go."""

    def close_unless_unread(self, reason: Reason) -> bool:
        return True


def admission(sizes: ConnectionBudget = SIZES) -> ConnectionAdmission:
    return ConnectionAdmission(sizes, 0)


def asked(
    it: ConnectionAdmission, now: int, address: str = "10.0.0.1", tenant: str = "t"
) -> ConnectionSlot:
    slot = it.on_opened(now, address)
    it.on_request(slot, now, tenant)
    return slot


def idle(
    it: ConnectionAdmission, now: int, address: str = "10.0.0.1", tenant: str = "t"
) -> ConnectionSlot:
    slot = asked(it, now, address, tenant)
    it.on_response(slot, now)
    return slot


def close(
    it: ConnectionAdmission, slot: ConnectionSlot, now: int, reason: Reason = Reason.SEAT
) -> None:
    it.on_closing(slot, now, reason)
    it.on_closed(slot, now)


def run(
    it: ConnectionAdmission, until: int, step: int = 25 * MS, others: int = 0
) -> list[ConnectionSlot]:
    """Let time pass; connections chosen to be closed are closed. Returns them."""
    gone = []
    now = it.now
    while now < until:
        now += step
        it.update_pressure(now, others, 0.0)
        for slot in it.low_value_slots(now):
            close(it, slot, now)
            gone.append(slot)
        for slot in list(it.slots):
            reason = it.overdue(slot, now)
            if reason is not None:
                close(it, slot, now, reason)
                gone.append(slot)
    return gone


# --- Seats


def test_with_no_pressure_an_idle_connection_is_kept_as_long_as_ever() -> None:
    it = admission()
    slot = idle(it, 0)
    assert run(it, MAX_IDLE - S, step=100 * MS) == []
    assert run(it, MAX_IDLE + S, step=100 * MS) == [slot]
    assert it.counters.closed[Reason.IDLE] == 1


def test_who_asks_once_and_holds_on_gives_up_its_seat_within_a_second() -> None:
    it = admission()
    for i in range(80):
        idle(it, i * MS)
    gone = run(it, 2 * S)
    assert len(gone) >= 80 - SIZES.request_slots * 0.6
    assert it.used < SIZES.request_slots * 0.6


def test_who_comes_back_keeps_its_seat_beside_hoarders() -> None:
    it = admission()
    regular = [idle(it, 0) for _ in range(20)]
    now, held = 0, []
    for turn in range(200):
        now += 50 * MS
        for slot in regular:
            it.on_request(slot, now, "t")
            it.on_response(slot, now + 10 * MS)
        held += [idle(it, now) for _ in range(5)]
        gone = run(it, now + 40 * MS, step=20 * MS)
        if turn > 20:
            assert not set(gone) & set(regular)
    assert it.used <= SIZES.request_slots


def test_an_answer_says_close_where_its_connection_is_not_worth_its_seat() -> None:
    it = admission()
    for _ in range(30):  # those that never come back, as was seen
        idle(it, it.now)
    run(it, 5 * S)
    for _ in range(80):
        asked(it, it.now)
    one = asked(it, it.now)
    assert not it.is_retained(one, it.now)
    # With seats enough the same connection is kept.
    for slot in list(it.slots):
        if slot is not one:
            close(it, slot, it.now)
    assert it.is_retained(one, it.now)


def test_two_kinds_at_once_are_told_apart_by_when_they_come_back() -> None:
    it = admission(ConnectionBudget(descriptors=220, request_slots=40))
    rng = random.Random(5)
    gaps = [1 * S] * 15 + [10 * S] * 60
    due = [rng.randrange(gap) for gap in gaps]
    slots: list[ConnectionSlot | None] = [None] * len(gaps)
    came = dict.fromkeys(gaps, 0)
    lost = dict.fromkeys(gaps, 0)
    for now in range(0, 90 * S, 25 * MS):
        it.update_pressure(now, 0, 0.0)
        gone = set(it.low_value_slots(now))
        for slot in gone:
            close(it, slot, now)
        for i, gap in enumerate(gaps):
            held = slots[i]
            if held in gone:
                held = slots[i] = None  # it makes a new connection when it asks again
                lost[gap] += now > 45 * S
            if due[i] <= now:
                if held is None:
                    slots[i] = idle(it, now)
                else:
                    it.on_request(held, now, "t")
                    it.on_response(held, now)
                came[gap] += now > 45 * S
                due[i] = now + gap + rng.randrange(100 * MS)
    assert it.used <= 40
    assert lost[1 * S] / came[1 * S] < 0.2
    assert lost[10 * S] / came[10 * S] > 0.5


def test_idle_clients_are_not_the_scarce_thing_when_hosts_are_slow() -> None:
    # All seats are held by requests out; those few that come back at once are worth keeping.
    it = admission()
    regular = [idle(it, 0) for _ in range(10)]
    for turn in range(400):
        now = (turn + 1) * 10 * MS
        for slot in regular:
            it.on_request(slot, now, "t")
            it.on_response(slot, now)
        it.update_pressure(now, 0, 0.0)
        assert not set(it.low_value_slots(now)) & set(regular) or turn < 50
    for _ in range(75):
        asked(it, it.now)
    it.update_pressure(it.now, 0, 0.0)
    assert it.pressure_factor == 1.0
    assert it.low_value_slots(it.now) == []
    assert all(it.is_retained(slot, it.now) for slot in regular)


# --- Descriptors


def test_victims_are_the_silent_first_then_the_idle_and_the_newest_last() -> None:
    it = admission()
    silent = [it.on_opened(0, "10.0.0.9") for _ in range(10)]
    regular = idle(it, 0)
    for i in range(50):
        it.on_request(regular, i * 20 * MS, "t")
        it.on_response(regular, i * 20 * MS)
    busy = asked(it, S)
    it.update_pressure(S, 0, 0.0)
    new = it.on_opened(S, "10.0.0.1")
    order = it.eviction_candidates(S + MS, 100)
    assert set(order[:10]) == set(silent)
    assert order[10:] == [regular, new]
    assert busy not in order


def test_a_request_taken_is_never_touched() -> None:
    it = admission()
    slots = [asked(it, 0) for _ in range(300)]
    it.on_response(slots[0], 0, unsent=100_000)
    assert it.eviction_candidates(60 * S, 1000) == []
    assert run(it, MAX_IDLE * 4, step=S) == [slots[0]]


def test_lower_limits_take_nothing_from_requests_and_come_true_soon() -> None:
    it = admission()
    busy = [asked(it, 0) for _ in range(20)]
    for _ in range(40):
        idle(it, 0)
    it.resize(ConnectionBudget(descriptors=60, request_slots=25))
    gone = run(it, 2 * S)
    assert len(gone) == 40
    assert not set(gone) & set(busy)


def test_a_limit_that_the_system_sets_is_believed_for_a_while() -> None:
    it = admission()
    for _ in range(50):
        idle(it, 0)
    assert not it.needs_eviction(10)
    it.on_descriptors_exhausted(MS, 10)
    assert it.needs_eviction(10)
    assert it.eviction_candidates(MS)
    it.update_pressure(MS + DESCRIPTOR_LIMIT_HOLD + S, 10, 0.0)
    assert not it.needs_eviction(10)


def test_a_crowd_from_one_source_leaves_the_rest_their_part() -> None:
    it = admission()
    for _ in range(600):  # it comes back as soon as it is closed
        slot = it.on_opened(it.now, "10.6.6.6")
        close(it, slot, it.now + MS, Reason.SILENT)
    crowd = []
    for _ in range(400):
        it.update_pressure(it.now + 10 * MS, 0, 0.0)
        if it.admits(it.now, "10.6.6.6"):
            crowd.append(it.on_opened(it.now, "10.6.6.6"))
        assert it.admits(it.now, "10.0.0.1")
        if len(it.slots) > 160:
            break
        asked(it, it.now, "10.0.0.1")
    assert not it.admits(it.now, "10.6.6.6")
    assert len(crowd) < 0.5 * SIZES.max_client_descriptors


def test_many_honest_clients_behind_one_address_are_not_punished_for_one() -> None:
    it = admission()
    for i in range(600):
        slot = idle(it, it.now + MS, "10.0.0.1")
        if i % 10 == 0:
            it.record_violation(slot)
        close(it, slot, it.now)
    it.update_pressure(it.now + S, 0, 0.0)
    front = it.sources.get("10.0.0.1")
    assert front.standing > 0.8
    assert front.quota > 0.9
    for _ in range(150):
        asked(it, it.now, "10.0.0.1")
    it.update_pressure(it.now + MS, 0, 0.0)
    assert it.admits(it.now, "10.0.0.1")


def test_a_tenant_that_holds_more_than_it_brings_gives_up_seats_first() -> None:
    it = admission()
    for _ in range(200):
        close(it, idle(it, it.now + MS, tenant="busy"), it.now)
    greedy = {idle(it, it.now, tenant="greedy") for _ in range(40)}
    fair = {idle(it, it.now, tenant="busy") for _ in range(40)}
    it.update_pressure(it.now + S, 0, 0.0)
    first = it.low_value_slots(it.now)[:20]
    assert len(set(first) & greedy) == 20
    assert not set(first) & fair


def test_a_connection_that_carries_one_tenant_after_another_is_idle_for_the_last() -> None:
    it = admission()
    slot = idle(it, 0, tenant="first")
    it.on_request(slot, 1 * MS, "second")
    it.on_response(slot, 2 * MS)
    assert [(g.name, g.slots, g.idle) for g in it.tenants.known.values()] == [
        ("first", 0, 0),
        ("second", 1, 1),
    ]


# --- Time limits


@pytest.mark.parametrize(
    ("state", "bounds"),
    [
        (State.FRESH, FIRST_BYTE_LIMIT),
        (State.HEAD, REQUEST_LIMIT),
        (State.BODY, REQUEST_LIMIT),
        (State.WRITING, MAX_READ_STALL),
    ],
)
def test_limits_lie_between_their_bounds_and_fall_with_pressure(
    state: State, bounds: tuple[int, int]
) -> None:
    it = admission()
    it.update_pressure(MS, 0, 0.0)
    assert it.limit(state) == bounds[0]
    for _ in range(200):
        asked(it, MS)
    it.update_pressure(2 * MS, 0, 0.0)
    assert it.limit(state) == bounds[1]


def test_a_limit_leaves_twice_the_time_that_good_ones_need() -> None:
    it = admission()
    for _ in range(100):
        slot = it.on_opened(it.now, "10.0.0.1")
        it.on_reading(slot, it.now, False)
        it.on_request(slot, it.now + 900 * MS, "t")
        it.on_response(slot, it.now)
        close(it, slot, it.now)
        it.update_pressure(it.now, 0, 0.0)
    for _ in range(200):
        asked(it, it.now)
    it.update_pressure(it.now + S, 0, 0.0)
    assert it.pressure_factor == 1.0
    assert it.limit(State.HEAD) > 1800 * MS


def test_a_trickle_wins_no_time_by_passing_from_state_to_state() -> None:
    it = admission()
    slot = it.on_opened(0, "10.0.0.1")
    it.on_reading(slot, 1 * S, False)
    it.on_reading(slot, 2 * S, True)
    it.on_reading(slot, 2 * S + 400 * MS, True)
    assert it.overdue(slot, REQUEST_LIMIT[0] - MS) is None
    assert it.overdue(slot, REQUEST_LIMIT[0] + MS) == Reason.SLOW


def test_an_answer_read_a_byte_a_second_has_an_end() -> None:
    it = admission()
    slot = asked(it, 0)
    it.on_response(slot, 0, unsent=400_000)
    now = 0
    while it.overdue(slot, now) is None:
        now += S
        it.on_write_progress(slot, now, 400_000 - now // S)
        assert now < 20 * S
    assert now >= MAX_READ_STALL[0]


def test_an_answer_that_is_read_steadily_is_left_alone() -> None:
    it = admission()
    slot = asked(it, 0)
    it.on_response(slot, 0, unsent=1_000_000)
    for second in range(1, 10):
        it.on_write_progress(slot, second * S, 1_000_000 - second * 100_000)
        assert it.overdue(slot, second * S) is None
    it.on_write_progress(slot, 10 * S, 0)
    assert slot.state == State.IDLE


def test_a_clock_that_jumps_ends_nothing_that_it_should_not() -> None:
    it = admission()
    slot = idle(it, 10 * S)
    it.update_pressure(5 * S, 0, 0.0)  # back
    assert it.now == 10 * S
    assert it.overdue(slot, 6 * S) is None
    assert run(it, 12 * S) == []


def test_retry_after_is_said_where_it_is_true() -> None:
    it = admission()
    assert it.retry_after(0) == 0
    for _ in range(10):
        asked(it, 0)
    assert it.retry_after(0) == 0  # nobody knows when hosts answer
    it.on_opened(0, "10.0.0.1")
    it.on_opened(S, "10.0.0.1")
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
    held.slots = 1
    for i in range(3 * MOST_GROUPS):
        groups.get(f"10.0.{i // 256}.{i % 256}")
    assert len(groups.known) <= MOST_GROUPS
    assert groups.known["holds"] is held
    groups.refresh(0.5)
    assert list(groups.known) == ["holds"]


# --- Any order of events


@dataclass
class Rig:
    """Carries out the decisions, and checks that they name only what they may."""

    it: ConnectionAdmission
    now: int = 0

    def check(self) -> None:
        it = self.it
        slots = list(it.slots)
        for state in State:
            assert it.count[state] == sum(p.state == state for p in slots)
        for group in it.sources.known.values():
            mine = [p for p in slots if p.source is group]
            assert group.slots == len(mine)
            assert group.unproven == sum(not p.request_count for p in mine)
            assert group.idle == sum(p.state == State.IDLE for p in mine)
        for group in it.tenants.known.values():
            mine = [p for p in slots if p.tenant is group]
            assert group.slots == len(mine)
            assert group.idle == sum(p.state == State.IDLE for p in mine)

    def let_go(self, slots: list[ConnectionSlot], spare: int) -> None:
        for i, slot in enumerate(slots):
            assert slot.state in WAITING or slot.state == State.CLOSING
            if i == spare:
                self.it.not_evicted(slot, self.now)
            else:
                self.it.on_closing(slot, self.now, Reason.ROOM)
                self.it.on_closed(slot, self.now)

    def make_way(self, others: int) -> bool:
        """As the listener does: room first, then one more."""
        if not self.it.needs_eviction(others):
            return True
        self.let_go(self.it.eviction_candidates(self.now), -1)
        return not self.it.needs_eviction(others)


def _knock(rig: Rig, a: int, b: int) -> None:
    address = f"10.0.0.{a % 7}"
    if rig.make_way(b) and rig.it.admits(rig.now, address):
        rig.it.on_opened(rig.now, address)
        assert rig.it.held <= rig.it.budget.max_client_descriptors + 1
        assert rig.it.held + b <= rig.it.descriptors()


def _on_one(
    act: Callable[[ConnectionAdmission, ConnectionSlot, int, int], None],
) -> Callable[[Rig, int, int], None]:
    def play(rig: Rig, a: int, b: int) -> None:
        slots = list(rig.it.slots)
        if slots:
            act(rig.it, slots[a % len(slots)], rig.now, b)

    return play


def _answer(it: ConnectionAdmission, slot: ConnectionSlot, now: int, b: int) -> None:
    if slot.state == State.BUSY:
        it.is_retained(slot, now)
        it.on_response(slot, now, unsent=max(0, b - 15) * 1000)


def _trim(rig: Rig, a: int, b: int) -> None:
    rig.let_go(rig.it.low_value_slots(rig.now), a)


def _sweep(rig: Rig, a: int, b: int) -> None:
    for slot in list(rig.it.slots):
        reason = rig.it.overdue(slot, rig.now)
        if reason is not None:
            assert slot.state not in (State.BUSY, State.CLOSING)
            rig.it.on_closing(slot, rig.now, reason)


def _resize(rig: Rig, a: int, b: int) -> None:
    rig.it.resize(ConnectionBudget(descriptors=20 + a, request_slots=5 + b))


def _time(rig: Rig, a: int, b: int) -> None:
    rig.now += (a - 3) * 10 ** (b % 6)
    rig.it.update_pressure(rig.now, b, (a % 10) / 10)


EVENTS: list[Callable[[Rig, int, int], None]] = [
    _knock,
    _knock,
    _on_one(lambda it, p, now, b: it.on_reading(p, now, b % 2 == 1)),
    _on_one(lambda it, p, now, b: it.on_request(p, now, f"t{b % 3}" if b else None)),
    _on_one(lambda it, p, now, b: it.on_request(p, now, f"t{b % 3}" if b else None)),
    _on_one(_answer),
    _on_one(_answer),
    _on_one(lambda it, p, now, b: it.on_write_progress(p, now, max(0, b - 10) * 500)),
    _on_one(lambda it, p, now, b: it.on_closed(p, now)),
    _on_one(lambda it, p, now, b: it.on_closing(p, now, Reason(b % len(Reason)))),
    _on_one(lambda it, p, now, b: it.record_violation(p)),
    _trim,
    _sweep,
    _resize,
    lambda rig, a, b: rig.it.on_descriptors_exhausted(rig.now, b),
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
    rig = Rig(admission(ConnectionBudget(descriptors=40, request_slots=12)))
    for number, a, b in steps:
        EVENTS[number](rig, a, b)
        rig.check()


@pytest.mark.parametrize("count", [50, 500, 5000])
@pytest.mark.parametrize("seats", [85, 128, 341])
def test_honest_requests_find_a_seat_beside_any_number_of_hoarders(count: int, seats: int) -> None:
    """320 requests a second through a front that keeps to its seats, and hoarders beside them."""
    it = admission(ConnectionBudget(descriptors=3 * seats - 36, request_slots=seats))
    rng = random.Random(count)
    pool: list[ConnectionSlot] = []  # idle at the front
    busy: list[tuple[int, ConnectionSlot, bool]] = []
    served = turned_away = 0
    hoard = 0
    for tick in range(12_000):  # of a millisecond
        now = tick * MS
        if tick % 25 == 0:
            it.update_pressure(now, 20, 0.0)
            for slot in it.low_value_slots(now):
                close(it, slot, now)
        for entry in [e for e in busy if e[0] <= now]:
            busy.remove(entry)
            _, slot, keeps = entry
            if it.is_retained(slot, now):
                it.on_response(slot, now)
                if keeps:
                    pool.append(slot)
            else:
                close(it, slot, now, Reason.ANSWERED)
        pool = [p for p in pool if p in it.slots and p.state == State.IDLE]
        held = len(it.slots)
        if rng.random() < 0.32:
            if pool:
                slot = pool.pop()
            elif held < seats:
                slot = it.on_opened(now, "10.0.0.1")
            else:
                turned_away += 1
                continue
            it.on_request(slot, now, "t")
            busy.append((now + 30 * MS, slot, True))
            served += 1
        if hoard < count and held < seats and rng.random() < count / 10_000:
            slot = it.on_opened(now, "10.0.0.1")
            it.on_request(slot, now, "t")
            busy.append((now + 30 * MS, slot, False))
            hoard += 1
    assert served > 3000
    assert turned_away / (served + turned_away) < 0.02, it.summary()

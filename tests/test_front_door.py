"""Decisions of admission control, in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sailhitch.front import ConnectionAdmission, ConnectionBudget, ConnectionSlot, Reason, State
from sailhitch.front.groups import MAX_GROUPS, Groups, source_of
from sailhitch.front.pressure import DESCRIPTOR_LIMIT_HOLD
from sailhitch.front.slots import WAITING
from sailhitch.front.time_limits import (
    FIRST_BYTE_LIMIT,
    MAX_IDLE,
    MAX_READ_STALL,
    REQUEST_LIMIT,
)

MS, S = 1_000, 1_000_000
BUDGET = ConnectionBudget(descriptors=220, request_slots=85)


class AlwaysClosable:
    """The owner of a slot, which can always be closed."""

    def close_unless_unread(self, reason: Reason) -> bool:
        return True


def new_admission(budget: ConnectionBudget = BUDGET) -> ConnectionAdmission:
    return ConnectionAdmission(budget, 0)


def busy_slot(
    admission: ConnectionAdmission, now: int, address: str = "10.0.0.1", tenant: str = "t"
) -> ConnectionSlot:
    slot = admission.on_opened(now, address)
    admission.on_request(slot, now, tenant)
    return slot


def idle_slot(
    admission: ConnectionAdmission, now: int, address: str = "10.0.0.1", tenant: str = "t"
) -> ConnectionSlot:
    slot = busy_slot(admission, now, address, tenant)
    admission.on_response(slot, now)
    return slot


def close_slot(
    admission: ConnectionAdmission, slot: ConnectionSlot, now: int, reason: Reason = Reason.SEAT
) -> None:
    admission.on_closing(slot, now, reason)
    admission.on_closed(slot, now)


def advance_to(
    admission: ConnectionAdmission, until: int, step: int = 25 * MS, others: int = 0
) -> list[ConnectionSlot]:
    """Let time pass until `until`; close and return the connections chosen to be closed."""
    closed = []
    now = admission.now
    while now < until:
        now += step
        admission.update_pressure(now, others, 0.0)
        for slot in admission.low_value_slots(now):
            close_slot(admission, slot, now)
            closed.append(slot)
        for slot in list(admission.slots):
            reason = admission.overdue(slot, now)
            if reason is not None:
                close_slot(admission, slot, now, reason)
                closed.append(slot)
    return closed


# --- Request slots


def test_without_pressure_an_idle_connection_is_kept_for_the_maximum_time() -> None:
    admission = new_admission()
    slot = idle_slot(admission, 0)
    assert advance_to(admission, MAX_IDLE - S, step=100 * MS) == []
    assert advance_to(admission, MAX_IDLE + S, step=100 * MS) == [slot]
    assert admission.counters.closed[Reason.IDLE] == 1


def test_connections_idle_after_one_request_soon_lose_their_slots() -> None:
    admission = new_admission()
    for i in range(80):
        idle_slot(admission, i * MS)
    closed = advance_to(admission, 2 * S)
    assert len(closed) >= 80 - BUDGET.request_slots * 0.6
    assert admission.used_slots < BUDGET.request_slots * 0.6


def test_returning_clients_keep_their_slots_beside_hoarders() -> None:
    admission = new_admission()
    regular = [idle_slot(admission, 0) for _ in range(20)]
    now, held = 0, []
    for turn in range(200):
        now += 50 * MS
        for slot in regular:
            admission.on_request(slot, now, "t")
            admission.on_response(slot, now + 10 * MS)
        held += [idle_slot(admission, now) for _ in range(5)]
        closed = advance_to(admission, now + 40 * MS, step=20 * MS)
        if turn > 20:
            assert not set(closed) & set(regular)
    assert admission.used_slots <= BUDGET.request_slots


def test_a_connection_of_low_value_is_closed_with_its_response() -> None:
    admission = new_admission()
    for _ in range(30):  # clients that never return, which the tables learn
        idle_slot(admission, admission.now)
    advance_to(admission, 5 * S)
    for _ in range(80):
        busy_slot(admission, admission.now)
    one = busy_slot(admission, admission.now)
    assert not admission.is_retained(one, admission.now)
    # With enough free slots the same connection is kept.
    for slot in list(admission.slots):
        if slot is not one:
            close_slot(admission, slot, admission.now)
    assert admission.is_retained(one, admission.now)


def test_clients_with_short_and_long_gaps_are_told_apart() -> None:
    admission = new_admission(ConnectionBudget(descriptors=220, request_slots=40))
    rng = random.Random(5)
    gaps = [1 * S] * 15 + [10 * S] * 60
    due = [rng.randrange(gap) for gap in gaps]
    slots: list[ConnectionSlot | None] = [None] * len(gaps)
    returned = dict.fromkeys(gaps, 0)
    lost = dict.fromkeys(gaps, 0)
    for now in range(0, 90 * S, 25 * MS):
        admission.update_pressure(now, 0, 0.0)
        closed = set(admission.low_value_slots(now))
        for slot in closed:
            close_slot(admission, slot, now)
        for i, gap in enumerate(gaps):
            held = slots[i]
            if held in closed:
                held = slots[i] = None  # its next request needs a new connection
                lost[gap] += now > 45 * S
            if due[i] <= now:
                if held is None:
                    slots[i] = idle_slot(admission, now)
                else:
                    admission.on_request(held, now, "t")
                    admission.on_response(held, now)
                returned[gap] += now > 45 * S
                due[i] = now + gap + rng.randrange(100 * MS)
    assert admission.used_slots <= 40
    assert lost[1 * S] / returned[1 * S] < 0.2
    assert lost[10 * S] / returned[10 * S] > 0.5


def test_idle_connections_are_kept_when_busy_ones_fill_the_slots() -> None:
    # Open requests use all slots; the few connections that return at once are worth keeping.
    admission = new_admission()
    regular = [idle_slot(admission, 0) for _ in range(10)]
    for turn in range(400):
        now = (turn + 1) * 10 * MS
        for slot in regular:
            admission.on_request(slot, now, "t")
            admission.on_response(slot, now)
        admission.update_pressure(now, 0, 0.0)
        assert not set(admission.low_value_slots(now)) & set(regular) or turn < 50
    for _ in range(75):
        busy_slot(admission, admission.now)
    admission.update_pressure(admission.now, 0, 0.0)
    assert admission.pressure_factor == 1.0
    assert admission.low_value_slots(admission.now) == []
    assert all(admission.is_retained(slot, admission.now) for slot in regular)


# --- Descriptors


def test_eviction_takes_silent_then_idle_then_new_connections() -> None:
    admission = new_admission()
    silent = [admission.on_opened(0, "10.0.0.9") for _ in range(10)]
    regular = idle_slot(admission, 0)
    for i in range(50):
        admission.on_request(regular, i * 20 * MS, "t")
        admission.on_response(regular, i * 20 * MS)
    busy = busy_slot(admission, S)
    admission.update_pressure(S, 0, 0.0)
    new = admission.on_opened(S, "10.0.0.1")
    order = admission.eviction_candidates(S + MS, 100)
    assert set(order[:10]) == set(silent)
    assert order[10:] == [regular, new]
    assert busy not in order


def test_a_connection_with_an_open_request_is_never_evicted() -> None:
    admission = new_admission()
    slots = [busy_slot(admission, 0) for _ in range(300)]
    admission.on_response(slots[0], 0, unsent=100_000)
    assert admission.eviction_candidates(60 * S, 1000) == []
    assert advance_to(admission, MAX_IDLE * 4, step=S) == [slots[0]]


def test_lower_limits_soon_close_idle_connections_but_no_open_request() -> None:
    admission = new_admission()
    busy = [busy_slot(admission, 0) for _ in range(20)]
    for _ in range(40):
        idle_slot(admission, 0)
    admission.resize(ConnectionBudget(descriptors=60, request_slots=25))
    closed = advance_to(admission, 2 * S)
    assert len(closed) == 40
    assert not set(closed) & set(busy)


def test_a_descriptor_limit_of_the_system_is_assumed_for_a_while() -> None:
    admission = new_admission()
    for _ in range(50):
        idle_slot(admission, 0)
    assert not admission.needs_eviction(10)
    admission.on_descriptors_exhausted(MS, 10)
    assert admission.needs_eviction(10)
    assert admission.eviction_candidates(MS)
    admission.update_pressure(MS + DESCRIPTOR_LIMIT_HOLD + S, 10, 0.0)
    assert not admission.needs_eviction(10)


def test_a_misbehaving_source_is_limited_to_its_share() -> None:
    admission = new_admission()
    for _ in range(600):  # reconnects as soon as it is closed
        slot = admission.on_opened(admission.now, "10.6.6.6")
        close_slot(admission, slot, admission.now + MS, Reason.SILENT)
    crowd = []
    for _ in range(400):
        admission.update_pressure(admission.now + 10 * MS, 0, 0.0)
        if admission.admits(admission.now, "10.6.6.6"):
            crowd.append(admission.on_opened(admission.now, "10.6.6.6"))
        assert admission.admits(admission.now, "10.0.0.1")
        if len(admission.slots) > 160:
            break
        busy_slot(admission, admission.now, "10.0.0.1")
    assert not admission.admits(admission.now, "10.6.6.6")
    assert len(crowd) < 0.5 * BUDGET.max_client_descriptors


def test_many_honest_clients_behind_one_address_outweigh_a_few_violations() -> None:
    admission = new_admission()
    for i in range(600):
        slot = idle_slot(admission, admission.now + MS, "10.0.0.1")
        if i % 10 == 0:
            admission.record_violation(slot)
        close_slot(admission, slot, admission.now)
    admission.update_pressure(admission.now + S, 0, 0.0)
    front = admission.sources.get("10.0.0.1")
    assert front.reputation > 0.8
    assert front.quota > 0.9
    for _ in range(150):
        busy_slot(admission, admission.now, "10.0.0.1")
    admission.update_pressure(admission.now + MS, 0, 0.0)
    assert admission.admits(admission.now, "10.0.0.1")


def test_a_tenant_with_more_idle_slots_than_its_share_loses_them_first() -> None:
    admission = new_admission()
    for _ in range(200):
        close_slot(
            admission, idle_slot(admission, admission.now + MS, tenant="busy"), admission.now
        )
    greedy = {idle_slot(admission, admission.now, tenant="greedy") for _ in range(40)}
    fair = {idle_slot(admission, admission.now, tenant="busy") for _ in range(40)}
    admission.update_pressure(admission.now + S, 0, 0.0)
    first = admission.low_value_slots(admission.now)[:20]
    assert len(set(first) & greedy) == 20
    assert not set(first) & fair


def test_an_idle_connection_counts_for_its_last_tenant() -> None:
    admission = new_admission()
    slot = idle_slot(admission, 0, tenant="first")
    admission.on_request(slot, 1 * MS, "second")
    admission.on_response(slot, 2 * MS)
    assert [(g.name, g.slots, g.idle) for g in admission.tenants.by_name.values()] == [
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
    admission = new_admission()
    admission.update_pressure(MS, 0, 0.0)
    assert admission.limit(state) == bounds[0]
    for _ in range(200):
        busy_slot(admission, MS)
    admission.update_pressure(2 * MS, 0, 0.0)
    assert admission.limit(state) == bounds[1]


def test_a_limit_leaves_twice_the_time_that_complete_requests_need() -> None:
    admission = new_admission()
    for _ in range(100):
        slot = admission.on_opened(admission.now, "10.0.0.1")
        admission.on_reading(slot, admission.now, False)
        admission.on_request(slot, admission.now + 900 * MS, "t")
        admission.on_response(slot, admission.now)
        close_slot(admission, slot, admission.now)
        admission.update_pressure(admission.now, 0, 0.0)
    for _ in range(200):
        busy_slot(admission, admission.now)
    admission.update_pressure(admission.now + S, 0, 0.0)
    assert admission.pressure_factor == 1.0
    assert admission.limit(State.HEAD) > 1800 * MS


def test_a_trickling_request_gains_no_time_by_changing_state() -> None:
    admission = new_admission()
    slot = admission.on_opened(0, "10.0.0.1")
    admission.on_reading(slot, 1 * S, False)
    admission.on_reading(slot, 2 * S, True)
    admission.on_reading(slot, 2 * S + 400 * MS, True)
    assert admission.overdue(slot, REQUEST_LIMIT[0] - MS) is None
    assert admission.overdue(slot, REQUEST_LIMIT[0] + MS) == Reason.SLOW


def test_a_response_read_a_byte_a_second_times_out() -> None:
    admission = new_admission()
    slot = busy_slot(admission, 0)
    admission.on_response(slot, 0, unsent=400_000)
    now = 0
    while admission.overdue(slot, now) is None:
        now += S
        admission.on_write_progress(slot, now, 400_000 - now // S)
        assert now < 20 * S
    assert now >= MAX_READ_STALL[0]


def test_a_steadily_read_response_does_not_time_out() -> None:
    admission = new_admission()
    slot = busy_slot(admission, 0)
    admission.on_response(slot, 0, unsent=1_000_000)
    for second in range(1, 10):
        admission.on_write_progress(slot, second * S, 1_000_000 - second * 100_000)
        assert admission.overdue(slot, second * S) is None
    admission.on_write_progress(slot, 10 * S, 0)
    assert slot.state == State.IDLE


def test_a_step_of_the_clock_closes_no_connection() -> None:
    admission = new_admission()
    slot = idle_slot(admission, 10 * S)
    admission.update_pressure(5 * S, 0, 0.0)  # the clock steps back
    assert admission.now == 10 * S
    assert admission.overdue(slot, 6 * S) is None
    assert advance_to(admission, 12 * S) == []


def test_retry_after_is_given_only_where_it_is_known() -> None:
    admission = new_admission()
    assert admission.retry_after(0) == 0
    for _ in range(10):
        busy_slot(admission, 0)
    assert admission.retry_after(0) == 0  # it is unknown when hosts respond
    admission.on_opened(0, "10.0.0.1")
    admission.on_opened(S, "10.0.0.1")
    assert admission.retry_after(S) == admission.limit(State.FRESH) - S


# --- Groups


def test_a_source_is_an_ipv4_address_or_an_ipv6_64() -> None:
    assert source_of("10.1.2.3") == "10.1.2.3"
    assert source_of("2001:db8:1:2:3:4:5:6") == source_of("2001:db8:1:2::9")
    assert source_of("2001:db8:1:2::9") == "2001:db8:1:2::/64"
    assert source_of("::1") == "0:0:0:0::/64"
    assert source_of("fe80::1%eth0") == "fe80:0:0:0::/64"


def test_groups_are_remembered_in_bounded_memory() -> None:
    groups = Groups()
    held = groups.get("holds")
    held.slots = 1
    for i in range(3 * MAX_GROUPS):
        groups.get(f"10.0.{i // 256}.{i % 256}")
    assert len(groups.by_name) <= MAX_GROUPS
    assert groups.by_name["holds"] is held
    groups.refresh(0.5)
    assert list(groups.by_name) == ["holds"]


# --- Random sequences of events


@dataclass
class AdmissionHarness:
    """Carries out the decisions, and checks that they are allowed and consistent."""

    admission: ConnectionAdmission
    now: int = 0

    def check(self) -> None:
        admission = self.admission
        slots = list(admission.slots)
        for state in State:
            assert admission.count[state] == sum(p.state == state for p in slots)
        for group in admission.sources.by_name.values():
            mine = [p for p in slots if p.source is group]
            assert group.slots == len(mine)
            assert group.unproven == sum(not p.request_count for p in mine)
            assert group.idle == sum(p.state == State.IDLE for p in mine)
        for group in admission.tenants.by_name.values():
            mine = [p for p in slots if p.tenant is group]
            assert group.slots == len(mine)
            assert group.idle == sum(p.state == State.IDLE for p in mine)

    def close_candidates(self, slots: list[ConnectionSlot], spare: int) -> None:
        for i, slot in enumerate(slots):
            assert slot.state in WAITING or slot.state == State.CLOSING
            if i == spare:
                self.admission.not_evicted(slot, self.now)
            else:
                self.admission.on_closing(slot, self.now, Reason.ROOM)
                self.admission.on_closed(slot, self.now)

    def make_room(self, others: int) -> bool:
        """Make room for one more connection, as the listener does."""
        if not self.admission.needs_eviction(others):
            return True
        self.close_candidates(self.admission.eviction_candidates(self.now), -1)
        return not self.admission.needs_eviction(others)


def _connect(harness: AdmissionHarness, a: int, b: int) -> None:
    address = f"10.0.0.{a % 7}"
    if harness.make_room(b) and harness.admission.admits(harness.now, address):
        harness.admission.on_opened(harness.now, address)
        assert (
            harness.admission.client_descriptors
            <= harness.admission.budget.max_client_descriptors + 1
        )
        assert harness.admission.client_descriptors + b <= harness.admission.descriptors()


def _on_random_slot(
    action: Callable[[ConnectionAdmission, ConnectionSlot, int, int], None],
) -> Callable[[AdmissionHarness, int, int], None]:
    def apply_event(harness: AdmissionHarness, a: int, b: int) -> None:
        slots = list(harness.admission.slots)
        if slots:
            action(harness.admission, slots[a % len(slots)], harness.now, b)

    return apply_event


def _respond(admission: ConnectionAdmission, slot: ConnectionSlot, now: int, b: int) -> None:
    if slot.state == State.BUSY:
        admission.is_retained(slot, now)
        admission.on_response(slot, now, unsent=max(0, b - 15) * 1000)


def _close_low_value(harness: AdmissionHarness, a: int, b: int) -> None:
    harness.close_candidates(harness.admission.low_value_slots(harness.now), a)


def _sweep(harness: AdmissionHarness, a: int, b: int) -> None:
    for slot in list(harness.admission.slots):
        reason = harness.admission.overdue(slot, harness.now)
        if reason is not None:
            assert slot.state not in (State.BUSY, State.CLOSING)
            harness.admission.on_closing(slot, harness.now, reason)


def _resize(harness: AdmissionHarness, a: int, b: int) -> None:
    harness.admission.resize(ConnectionBudget(descriptors=20 + a, request_slots=5 + b))


def _advance_time(harness: AdmissionHarness, a: int, b: int) -> None:
    harness.now += (a - 3) * 10 ** (b % 6)
    harness.admission.update_pressure(harness.now, b, (a % 10) / 10)


EVENTS: list[Callable[[AdmissionHarness, int, int], None]] = [
    _connect,
    _connect,
    _on_random_slot(lambda admission, p, now, b: admission.on_reading(p, now, b % 2 == 1)),
    _on_random_slot(
        lambda admission, p, now, b: admission.on_request(p, now, f"t{b % 3}" if b else None)
    ),
    _on_random_slot(
        lambda admission, p, now, b: admission.on_request(p, now, f"t{b % 3}" if b else None)
    ),
    _on_random_slot(_respond),
    _on_random_slot(_respond),
    _on_random_slot(
        lambda admission, p, now, b: admission.on_write_progress(p, now, max(0, b - 10) * 500)
    ),
    _on_random_slot(lambda admission, p, now, b: admission.on_closed(p, now)),
    _on_random_slot(
        lambda admission, p, now, b: admission.on_closing(p, now, Reason(b % len(Reason)))
    ),
    _on_random_slot(lambda admission, p, now, b: admission.record_violation(p)),
    _close_low_value,
    _sweep,
    _resize,
    lambda harness, a, b: harness.admission.on_descriptors_exhausted(harness.now, b),
    _advance_time,
    _advance_time,
]


@settings(max_examples=150)
@given(
    st.lists(
        st.tuples(st.integers(0, len(EVENTS) - 1), st.integers(0, 60), st.integers(0, 30)),
        max_size=120,
    )
)
def test_in_any_order_of_events_the_budget_and_the_invariants_hold(
    steps: list[tuple[int, int, int]],
) -> None:
    harness = AdmissionHarness(new_admission(ConnectionBudget(descriptors=40, request_slots=12)))
    for number, a, b in steps:
        EVENTS[number](harness, a, b)
        harness.check()


@pytest.mark.parametrize("count", [50, 500, 5000])
@pytest.mark.parametrize("request_slots", [85, 128, 341])
def test_honest_requests_find_a_slot_beside_any_number_of_hoarders(
    count: int, request_slots: int
) -> None:
    """320 requests/s through a front that keeps to its slots, beside hoarders."""
    admission = new_admission(
        ConnectionBudget(descriptors=3 * request_slots - 36, request_slots=request_slots)
    )
    rng = random.Random(count)
    pool: list[ConnectionSlot] = []  # idle connections of the front
    busy: list[tuple[int, ConnectionSlot, bool]] = []
    served = rejected = 0
    hoarder_count = 0
    for tick in range(12_000):  # milliseconds
        now = tick * MS
        if tick % 25 == 0:
            admission.update_pressure(now, 20, 0.0)
            for slot in admission.low_value_slots(now):
                close_slot(admission, slot, now)
        for entry in [e for e in busy if e[0] <= now]:
            busy.remove(entry)
            _, slot, keeps = entry
            if admission.is_retained(slot, now):
                admission.on_response(slot, now)
                if keeps:
                    pool.append(slot)
            else:
                close_slot(admission, slot, now, Reason.ANSWERED)
        pool = [p for p in pool if p in admission.slots and p.state == State.IDLE]
        held = len(admission.slots)
        if rng.random() < 0.32:
            if pool:
                slot = pool.pop()
            elif held < request_slots:
                slot = admission.on_opened(now, "10.0.0.1")
            else:
                rejected += 1
                continue
            admission.on_request(slot, now, "t")
            busy.append((now + 30 * MS, slot, True))
            served += 1
        if hoarder_count < count and held < request_slots and rng.random() < count / 10_000:
            slot = admission.on_opened(now, "10.0.0.1")
            admission.on_request(slot, now, "t")
            busy.append((now + 30 * MS, slot, False))
            hoarder_count += 1
    assert served > 3000
    assert rejected / (served + rejected) < 0.02, admission.summary()

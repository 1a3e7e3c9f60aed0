"""Leaving a zone and returning to it (docs/design/zones.md): cores, and a fleet in the model."""

from __future__ import annotations

import functools
import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailhitch.model.tier import World
from sailhitch.tier.effects import ProposalResult
from sailhitch.tier.transitions import Transition, propose_traffic_policy
from sailhitch.zones import evidence, rollout
from sailhitch.zones.controller import (
    HOUR,
    ZoneController,
    ZonesByPool,
    ZoneSettings,
    all_retried_nodes,
    inactive_nodes_by_pool,
)
from sailhitch.zones.diagnosis import (
    Finding,
    GatewayReport,
    ZoneCondition,
    diagnose,
    faulty_gateways,
)
from sailhitch.zones.health_tracker import OUTCOME_TTL, ZoneHealth, ZoneObservation
from sailhitch.zones.rollout import (
    FIRST_SHARE,
    MAX_FAILED_RECOVERIES,
    MIN_FAILURES,
    MIN_REQUESTS,
    StepOutcomes,
    next_order,
)
from sailhitch.zones.traffic_policy import (
    EMPTY_POLICY,
    TrafficPolicy,
    TrafficPolicyError,
    ZoneOrder,
    active_node_count,
    decode,
    inactive_nodes,
)

S = 1_000_000
STEP = 2 * S
Patch = pytest.MonkeyPatch
NODES = {f"p/n{i}": f"z{i % 3}" for i in range(30)}
POOLS = {"p": NODES}
BACK = ZoneOrder(FIRST_SHARE, "returning", STEP, 0, "ada", "", 1)


def _order(**changes: Any) -> ZoneOrder:
    return msgspec.structs.replace(BACK, **changes)


# --- Which nodes


@given(st.floats(0, 0.99), st.floats(0, 0.99), st.integers(0, 40))
def test_a_larger_share_has_all_nodes_of_a_smaller_one(a: float, b: float, count: int) -> None:
    nodes = {f"n{i}": "z" for i in range(count)} | {"other": "y"}
    small, large = (
        inactive_nodes(TrafficPolicy({"z": _order(share=s)}), nodes) for s in sorted((a, b))
    )
    assert large <= small
    assert "other" not in small
    assert len(small) == count - active_node_count(min(a, b), count)
    assert active_node_count(0.001, count) == min(1, count)


def test_a_share_is_one_of_each_pool() -> None:
    nodes = {"a": {f"a/{i}": "z" for i in range(10)}, "b": {f"b/{i}": "z" for i in range(3)}}
    out = inactive_nodes_by_pool(TrafficPolicy({"z": _order(share=0.4)}), nodes)
    assert [sum(name in out for name in here) for here in nodes.values()] == [6, 1]


def test_only_what_is_tried_anew_is_renewed_and_only_what_is_in_use() -> None:
    old, nodes = TrafficPolicy({"z1": _order(share=0.2)}), {"p": NODES}
    again = TrafficPolicy({"z1": _order(share=0.2, attempt=1)})
    here = {name for name, zone in NODES.items() if zone == "z1"}
    assert all_retried_nodes(old, again, nodes) == here - inactive_nodes_by_pool(again, nodes)
    for new in (old, TrafficPolicy({"z1": _order(share=0.4, step=2, attempt=1)}), EMPTY_POLICY):
        assert all_retried_nodes(old, new, nodes) == frozenset()


@pytest.mark.parametrize(
    "content", [b"", b"[]", b'{"zones":{"z":{}}}', TrafficPolicy({"z": _order(share=1.5)}).encode()]
)
def test_a_posture_that_is_none_is_told(content: bytes) -> None:
    with pytest.raises(TrafficPolicyError):
        decode(content)


@given(st.dictionaries(st.sampled_from("abc"), st.floats(0, 0.99)), st.text(max_size=5))
def test_a_posture_is_read_as_it_was_written(shares: dict[str, float], held: str) -> None:
    made = TrafficPolicy({name: _order(share=share) for name, share in shares.items()}, held)
    assert decode(made.encode()) == made


# --- The rollout


@pytest.mark.parametrize(
    ("changes", "age", "since", "share", "told"),
    [
        ({}, STEP - 1, (500, 0), None, ""),  # its time is not over
        ({}, STEP, (500, 0), 0.2, "0 of 500 failed"),
        ({"share": 0.8}, STEP, (500, 0), 1.0, "0 of 500 failed"),
        ({}, STEP, (MIN_REQUESTS - 1, 0), FIRST_SHARE, "retried at"),  # too few requests
        ({}, 0, (MIN_FAILURES, MIN_FAILURES), 0.0, "relapse"),  # at once
        ({}, 0, (MIN_FAILURES - 1, MIN_FAILURES - 1), None, ""),  # too few to tell
        ({}, STEP, (MIN_FAILURES * 10, MIN_FAILURES), 0.2, "failed at"),  # a tenth may
        ({"share": 0.4}, 0, (50, 20), 0.2, "relapse"),
        ({"share": 0.0, "failed_recoveries": 1}, 2 * STEP - 1, (0, 0), None, ""),  # twice as long
        ({"share": 0.0, "failed_recoveries": 1}, 2 * STEP, (0, 0), FIRST_SHARE, "another recovery"),
        ({"failed_recoveries": MAX_FAILED_RECOVERIES}, 0, (50, 50), 0.0, "left to an operator"),
        ({"phase": "out", "share": 0.0}, 1 << 60, (0, 0), None, ""),  # operators return
    ],
)
def test_what_becomes_of_a_step(
    changes: dict[str, Any], age: int, since: tuple[int, int], share: float | None, told: str
) -> None:
    order = _order(**changes)
    found = next_order(order, age, StepOutcomes(*since))
    if share is None:
        assert found is None
        return
    assert found is not None
    after, why = found
    assert told in why
    assert (1.0 if after is None else after.share) == pytest.approx(share)
    if after is not None and after.phase == "returning":
        assert (after.step > order.step) is (after.share != order.share)
        assert after.failed_recoveries == order.failed_recoveries + why.startswith("relapse")


def test_a_course_without_a_failure_ends_after_five_steps() -> None:
    order, shares = rollout.start_recovery(rollout.leave("ada", ""), STEP, "ada", ""), []
    while True:
        shares.append(order.share)
        found = next_order(order, STEP, StepOutcomes(100, 0))
        assert found is not None
        if found[0] is None:
            break
        order = found[0]
    assert shares == [FIRST_SHARE, 0.2, 0.4, 0.8]


# --- The evidence


def _words(*counts: tuple[int, int], step: int = 1) -> list[evidence.ZoneHealthReport]:
    return [evidence.ZoneHealthReport({"z": (step, ended, failed)}) for ended, failed in counts]


@pytest.mark.parametrize(
    ("words", "since"),
    [
        (_words((10, 1), (20, 2)), (30, 3)),
        (_words((10, 1), (20, 2), (1000, 1000)), (30, 3)),  # one that is sick, or lies
        (_words((10, 1), (0, 0), (20, 20)), (30, 21)),  # of two nobody knows which
        (_words((10, 1), step=2), (0, 0)),  # of another step
    ],
)
def test_no_single_gateway_moves_the_sum(
    words: list[evidence.ZoneHealthReport], since: tuple[int, int]
) -> None:
    assert evidence.aggregate(words, "z", 1) == StepOutcomes(*since)


@pytest.mark.parametrize(
    "word", [b"", b"\x00", msgspec.msgpack.encode([{"z": [1, 2, 3]}]), b"x" * 5000]
)
def test_a_word_that_cannot_be_is_none(word: bytes) -> None:
    assert evidence.decode(word) is None


def test_counts_belong_to_a_step_and_outlast_a_round_of_it() -> None:
    tally = evidence.OutcomeCounts()
    tally.record("z", True)
    assert tally.counts() == {}
    for order, ended in ((_order(), 1), (_order(attempt=1), 2), (_order(step=2), 1)):
        tally.apply(TrafficPolicy({"z": order}))
        tally.record("z", True)
        assert tally.counts() == {"z": (order.step, ended, ended)}


def test_a_word_fits_twelve_times_into_a_datagram_and_keeps_what_fails() -> None:
    sights = {f"zone-{i:060}": ZoneObservation(9, i, 0) for i in range(9)}
    word = evidence.ZoneHealthReport({"z": (1, 2, 0)}, "z", sights)
    said = evidence.encode(word)
    assert len(said) <= evidence.MAX_REPORT_BYTES
    made = evidence.decode(said)
    assert made is not None
    assert made.counts == word.counts
    assert f"zone-{8:060}" in made.observations
    assert evidence.encode(evidence.ZoneHealthReport({})) == b""


# --- Operators


def _controller(
    posture: TrafficPolicy = EMPTY_POLICY, nodes: ZonesByPool = POOLS, **terms: Any
) -> ZoneController:
    controller = ZoneController(ZoneSettings(1, STEP, **terms), random.Random(1))
    controller.apply(1, posture, nodes, 0)
    return controller


@pytest.mark.parametrize(
    ("posture", "act", "zone", "said"),
    [
        (EMPTY_POLICY, "leave", "z9", "no node is in a zone called 'z9'"),
        (EMPTY_POLICY, "return", "z1", "was not left"),
        (EMPTY_POLICY, "explode", "z1", "not known"),
        (EMPTY_POLICY, "release", "", "nothing to do"),
        (
            TrafficPolicy({"z1": rollout.leave("a", "")}),
            "leave",
            "z2",
            r"2 zones would be out \(z1, z2\)",
        ),
        (
            TrafficPolicy({"z1": BACK, "z0": BACK}),
            "leave",
            "z2",
            "no zone would be completely in use",
        ),
    ],
)
def test_what_cannot_be_asked_is_told_with_the_next_step(
    posture: TrafficPolicy, act: str, zone: str, said: str
) -> None:
    with pytest.raises(TrafficPolicyError, match=said):
        _controller(posture).operator_request(act, zone, "", "ada", None)


def test_no_pool_is_left_without_nodes() -> None:
    pools = {"p": NODES, "small": {"small/a": "z1"}}
    with pytest.raises(TrafficPolicyError, match="pool 'small' has no nodes outside zone 'z1'"):
        _controller(nodes=pools).operator_request("leave", "z1", "", "ada", None)


def test_who_holds_keeps_what_is_and_an_operators_word_goes_on() -> None:
    controller = _controller(TrafficPolicy({"z1": BACK}))
    words = controller.on_reports(
        {"g2": evidence.encode(evidence.ZoneHealthReport({"z1": (1, 100, 0)}))}
    )
    assert controller.next_proposal(10 * S, words) is not None
    controller.apply(2, controller.operator_request("hold", "", "", "ada", None), POOLS, 10 * S)
    assert controller.next_proposal(60 * S, words) is None
    assert controller.operator_request("leave", "z1", "", "ada", None).zones["z1"].phase == "out"


# --- A fleet


def _fleet(members: int = 9, seed: int = 1, loss: float = 0.0, act: bool = False) -> World:
    nodes = {str(i): f"z{i % 3}" for i in range(12)}
    world = World(
        seed,
        members,
        min(5, members),
        write_interval=S // 50,
        first=range(12),
        acts=12,
        zones=nodes,
        step=STEP,
        act=act,
    )
    world.start()
    world.kernel.run(8 * S)
    world.network.loss = loss
    return world


def _go_on(world: World, time: float, each: Callable[[], None] = lambda: None) -> None:
    until = world.kernel.now + int(time * S)
    while world.kernel.now < until:
        world.kernel.run(min(until, world.kernel.now + S // 50))
        each()


def _ask(world: World, name: str, act: str, zone: str) -> None:
    process = world.processes[name]
    assert process.controller is not None
    process.propose_zone_policy(process.controller.operator_request(act, zone, "", "ada", None))


def _out(world: World, zone: str) -> list[int]:
    """Of each gateway that runs, how many nodes of a zone it does not use."""
    here = {name for name, its in world.zones.items() if its == zone}
    return [len(p.inactive_nodes & here) for p in world.processes.values() if p.up and not p.paused]


@pytest.mark.parametrize(("members", "loss"), [(3, 0.0), (9, 0.1), (25, 0.1)])
def test_all_leave_within_two_seconds_and_return_together(members: int, loss: float) -> None:
    world = _fleet(members, 1, loss)
    _ask(world, "g2", "leave", "z1")
    times: list[tuple[int, int]] = []

    def note() -> None:
        times.append((world.kernel.now, sum(out == 4 for out in _out(world, "z1"))))

    _go_on(world, 4, note)
    first = next(at for at, count in times if count)
    last = next(at for at, count in times if count == members)
    assert last - first <= 2 * S  # promise 6
    _ask(world, "g3", "return", "z1")
    shares: set[tuple[int, ...]] = set()
    _go_on(world, 40, lambda: shares.add(tuple(_out(world, "z1"))))
    assert _out(world, "z1") == [0] * members
    # Never more than one step between any two of them.
    assert all(max(one) - min(one) <= 2 or 4 in one for one in shares)
    world.check_end()


def test_a_zone_that_fails_again_is_not_returned_to_until_it_is_well() -> None:
    world = _fleet()
    _ask(world, "g1", "leave", "z1")
    _go_on(world, 2)
    world.failed_zones.add("z1")
    _ask(world, "g4", "return", "z1")
    least: list[int] = []
    _go_on(world, 60, lambda: least.append(min(_out(world, "z1"))))
    assert min(least) == 3  # no more than the one node of the first step
    relapses = [
        p.controller.traffic_policy.zones["z1"].failed_recoveries
        for p in world.processes.values()
        if p.controller
    ]
    assert min(relapses) >= 2
    world.failed_zones.clear()
    _go_on(world, 120)
    assert _out(world, "z1") == [0] * 9


def test_one_sick_gateway_holds_no_return_back(monkeypatch: Patch) -> None:
    world = _fleet()
    sick = world.processes["g5"].controller
    assert sick is not None
    monkeypatch.setattr(sick, "record", functools.partial(_as_failed, sick.record))
    _ask(world, "g1", "leave", "z1")
    _go_on(world, 2)
    _ask(world, "g1", "return", "z1")
    _go_on(world, 40)
    assert _out(world, "z1") == [0] * 9


def test_a_zone_is_left_while_a_change_waits_and_its_gateways_are_dead() -> None:
    world = _fleet()
    for name in ("g7", "g8", "g9"):
        world.processes[name].pause()
    world.processes["g1"].propose(1, 0)
    _go_on(world, 2)
    _ask(world, "g2", "leave", "z2")
    _go_on(world, 2)
    assert _out(world, "z2") == [4] * 6
    head = world.checker.latest
    assert head is not None
    assert head.pending is not None
    for name in ("g7", "g8", "g9"):
        world.processes[name].resume()
    _go_on(world, 5)
    assert _out(world, "z2") == [4] * 9


def test_of_two_orders_at_both_sides_of_a_cut_one_holds_everywhere() -> None:
    world = _fleet(5)
    left, right = ("g1", "g2"), ("g3", "g4", "g5")
    world.network.cuts |= {(a, b) for a in left for b in right}
    world.network.cuts |= {(b, a) for a in left for b in right}
    _ask(world, "g1", "leave", "z0")
    _ask(world, "g4", "leave", "z1")
    _go_on(world, 3)
    assert _out(world, "z1")[2:] == [4] * 3
    world.network.cuts.clear()
    _go_on(world, 15)
    assert (set(_out(world, "z0")), set(_out(world, "z1"))) == ({0}, {4})


# --- What a zone is taken for

SIZES = {"z0": 10, "z1": 10, "z2": 10}
GOOD, BAD, HALF = ZoneObservation(10, 0, 0), ZoneObservation(10, 10, 0), ZoneObservation(10, 4, 0)
Row = tuple[str, ZoneObservation, ZoneObservation, ZoneObservation]


def _reports(*rows: Row) -> list[GatewayReport]:
    """Gateways: the place of each, and what it sees of the three zones."""
    return [
        GatewayReport(f"g{i}", place, dict(zip(SIZES, sights, strict=True)))
        for i, (place, *sights) in enumerate(rows)
    ]


ALL_WELL: list[Row] = [(zone, GOOD, GOOD, GOOD) for zone in SIZES]
LOST_Z2: list[Row] = [("z0", GOOD, GOOD, BAD), ("z1", GOOD, GOOD, BAD)] * 2


@pytest.mark.parametrize(
    ("rows", "kinds"),
    [
        (ALL_WELL, (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.HEALTHY)),
        (LOST_Z2, (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.FAILED)),
        # From inside it is well: the way there is cut.
        (
            [*LOST_Z2, ("z2", GOOD, GOOD, GOOD)],
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.PARTITIONED),
        ),
        # Cut off from one other zone alone.
        (
            [("z0", GOOD, GOOD, BAD), ("z1", GOOD, GOOD, GOOD)] * 2,
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.PARTITIONED),
        ),
        (
            [("z0", GOOD, HALF, GOOD), ("z1", GOOD, HALF, GOOD)],
            (ZoneCondition.HEALTHY, ZoneCondition.DEGRADED, ZoneCondition.HEALTHY),
        ),
        ([("z0", BAD, BAD, BAD), ("z1", BAD, BAD, BAD)], (ZoneCondition.ALL_ZONES_FAILING,) * 3),
        (
            [("z0", GOOD, ZoneObservation(10, 1, 8), GOOD)] * 2,
            (ZoneCondition.HEALTHY, ZoneCondition.OVERLOADED, ZoneCondition.HEALTHY),
        ),
        # One that sees all fail is sick, and one that lies of one zone is outvoted.
        (
            [*ALL_WELL, ("z0", BAD, BAD, BAD)],
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.HEALTHY),
        ),
        # Who has not asked since most have seen it fail is no witness; at night few have asked.
        (
            [*LOST_Z2, ("z2", GOOD, GOOD, ZoneObservation(10, 0, 0, 9))],
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.FAILED),
        ),
        (
            [*LOST_Z2, *[("z2", GOOD, GOOD, ZoneObservation(10, 0, 0, 9))] * 4],
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.PARTITIONED),
        ),
        # The same of one who met a single bad node then; one who asks now is heard.
        (
            [*LOST_Z2, ("z2", GOOD, GOOD, ZoneObservation(3, 1, 0, 7))],
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.FAILED),
        ),
        (
            [*LOST_Z2, ("z2", GOOD, GOOD, ZoneObservation(3, 1, 0, 0))],
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.DEGRADED),
        ),
        (
            [*ALL_WELL * 2, ("z0", GOOD, GOOD, ZoneObservation(9999, 9999, 0))],
            (ZoneCondition.HEALTHY,) * 3,
        ),
        # Nobody knows enough of it.
        (
            [("z0", GOOD, GOOD, ZoneObservation(1, 1, 0))] * 2,
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.UNKNOWN),
        ),
        (
            [("z0", GOOD, GOOD, GOOD)],
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.HEALTHY),
        ),
        ([], (ZoneCondition.UNKNOWN,) * 3),
    ],
)
def test_what_a_zone_is_taken_for(rows: list[Row], kinds: tuple[ZoneCondition, ...]) -> None:
    found = diagnose(_reports(*rows), SIZES)
    assert tuple(one.condition for one in found.values()) == kinds, found


def test_a_sick_gateway_is_named_and_no_other() -> None:
    assert faulty_gateways(_reports(*ALL_WELL, ("z0", BAD, BAD, BAD)), SIZES) == ["g3"]
    assert faulty_gateways(_reports(*LOST_Z2), SIZES) == []
    assert faulty_gateways(_reports(("z0", BAD, BAD, BAD), ("z1", GOOD, GOOD, GOOD)), SIZES) == []


@given(st.data())
def test_no_third_of_the_voices_makes_a_zone_gone(data: Any) -> None:
    """Whatever a third says, and however many nodes it claims to know."""
    honest = data.draw(st.integers(4, 9))
    liars = data.draw(st.integers(1, honest // 2))
    sight = st.integers(1, 5000).flatmap(
        lambda known: st.builds(ZoneObservation, st.just(known), st.integers(0, known), st.just(0))
    )
    rows: list[Row] = [("z0", GOOD, GOOD, GOOD)] * honest
    rows += [("z0", *(data.draw(sight) for _ in range(3))) for _ in range(liars)]
    found = diagnose(_reports(*rows), SIZES)
    assert not any(
        one.condition is ZoneCondition.FAILED and one.confidence > 0.5 for one in found.values()
    )


def test_the_last_outcome_counts_until_it_is_forgotten() -> None:
    eyes, nodes = ZoneHealth(), {"a": "z", "b": "z", "c": "y"}
    for node, failed in (("a", True), ("a", False), ("b", True), ("gone", True)):
        eyes.record(node, failed, False, 5)
    assert eyes.observations(nodes, 5) == {"z": ZoneObservation(2, 1, 0)}
    eyes.retain(nodes)
    assert eyes.observations({**nodes, "gone": "y"}, 5) == {"z": ZoneObservation(2, 1, 0)}
    eyes.record("a", True, False, 6)
    assert eyes.observations(nodes, 6) == {"z": ZoneObservation(2, 2, 0)}
    for at, (node, failed) in enumerate([("a", False), ("d", False), ("b", True)], 7):
        eyes.record(node, failed, False, at)
    wide = {**nodes, "d": "z"}
    assert eyes.observations(wide, 10) == {"z": ZoneObservation(3, 1, 0)}
    eyes.record("a", True, False, 10)  # two have failed since anything there went well
    assert eyes.observations(wide, 10) == {"z": ZoneObservation(2, 2, 0)}
    eyes.record("a", False, False, 11)
    eyes.forget(frozenset(["b", "d"]))
    assert eyes.observations(nodes, 11 + 3 * S) == {"z": ZoneObservation(1, 0, 0, 3)}
    assert eyes.observations(nodes, 12 + OUTCOME_TTL) == {}


def test_reports_without_any_observation_are_diagnosed() -> None:
    """No zone has nodes, while three gateways still report."""
    reports = [GatewayReport(f"g{i}", "z0", {}) for i in range(3)]
    try:
        findings = diagnose(reports, {})
    except ZeroDivisionError as error:
        raise AssertionError("no diagnosis") from error
    assert findings == {}


# --- Leaving without an operator


def test_all_leave_a_zone_that_is_gone_and_return_once_it_is_well() -> None:
    world = _fleet(9, 1, 0.1, act=True)
    at, last = world.kernel.now, 0
    world.failed_zones.add("z2")

    def note() -> None:
        nonlocal last
        if min(_out(world, "z2")) < 4 and not last:
            last = -world.kernel.now
        elif min(_out(world, "z2")) == 4 and last < 0:
            last = world.kernel.now

    _go_on(world, 5, note)
    assert 0 < last - at <= 4 * S  # the worst that is promised at a tenth lost
    _go_on(world, 30)
    assert min(_out(world, "z2")) >= 3
    assert set(_out(world, "z0") + _out(world, "z1")) == {0}
    world.failed_zones.clear()
    _go_on(world, 150)
    assert _out(world, "z2") == [0] * 9


def _nobody_leaves(frozen: set[str], sick: tuple[str, ...] = ()) -> None:
    world = _fleet(9, 2, act=True)
    for name in sick:
        controller = world.processes[name].controller
        assert controller is not None
        controller.record = functools.partial(_as_failed, controller.record)  # type: ignore[method-assign]
    world.failed_zones |= frozen
    _go_on(world, 20)
    for zone in ("z0", "z1", "z2"):
        assert set(_out(world, zone)) == {0}


def _as_failed(real: Any, node: str, failed: bool, full: bool, now: int) -> None:
    real(node, True, full, now)


@pytest.mark.parametrize(
    ("frozen", "sick"),
    [(set(), ()), ({"z0", "z1", "z2"}, ()), (set(), ("g4",)), (set(), ("g1", "g2", "g3"))],
    ids=["all well", "all zones fail", "one sick", "a third sick"],
)
def test_no_zone_is_left_for_what_is_not_its_own_end(
    frozen: set[str], sick: tuple[str, ...]
) -> None:
    _nobody_leaves(frozen, sick)


def test_a_second_zone_is_not_left_beyond_what_may_be_out() -> None:
    world = _fleet(9, 1, act=True)
    world.failed_zones.add("z2")
    _go_on(world, 5)
    world.failed_zones.add("z1")
    _go_on(world, 20)
    assert min(_out(world, "z2")) >= 3
    assert set(_out(world, "z1") + _out(world, "z0")) == {0}


def _said(*sights: ZoneObservation) -> dict[str, bytes]:
    word = evidence.ZoneHealthReport({}, "z0", dict(zip(SIZES, sights, strict=True)))
    return dict.fromkeys(("g1", "g2"), evidence.encode(word))


def test_only_so_many_leaves_an_hour_without_an_operator() -> None:
    controller = _controller(automatic=True, max_leaves_per_hour=2)
    words = controller.on_reports(_said(GOOD, GOOD, BAD))
    now, serial = 0, 1
    for _ in range(2):
        assert controller.propose_leave(now, words) is None  # it has to last
        found = controller.propose_leave(now + 2 * S, words)
        assert found is not None
        for posture in (found[0], EMPTY_POLICY):
            serial, now = serial + 1, now + 10 * S
            controller.apply(serial, posture, POOLS, now)
            assert (
                controller.propose_leave(now, controller.on_reports(_said(GOOD, GOOD, GOOD)))
                is None
            )
    assert controller.propose_leave(now, words) is None
    assert controller.propose_leave(now + 2 * S, words) is None
    assert controller.propose_leave(now + HOUR, words) is not None


def test_who_only_advises_proposes_nothing_and_shows_what_it_finds() -> None:
    controller = _controller()
    words = controller.on_reports(_said(GOOD, GOOD, BAD))
    assert [controller.propose_leave(at * S, words) for at in range(9)] == [None] * 9
    told = controller.status(9 * S, words)["zones"]["z2"]
    assert (told["finding"], told["sure"]) == ("gone", 1.0)
    assert told["seen"] == "100% of its nodes fail from z0 (2 gateways)"


# --- Mutations


def _believes_any(patch: Patch) -> None:
    """One gateway that sees a zone fail is enough."""

    def diagnose(reports: Any, sizes: Any) -> dict[str, Finding]:
        seen = [(zone, one) for report in reports for zone, one in report.observations.items()]
        gone = {zone for zone, one in seen if one.failed == one.known}
        kinds = {
            zone: ZoneCondition.FAILED if zone in gone else ZoneCondition.HEALTHY for zone in sizes
        }
        return {zone: Finding(kind, 1.0, "") for zone, kind in kinds.items()}

    patch.setattr("sailhitch.zones.controller.diagnose", diagnose)


def _steps_without_evidence(patch: Patch) -> None:
    patch.setattr(rollout, "MIN_REQUESTS", 0)
    patch.setattr(rollout, "MIN_FAILURES", 1 << 30)
    patch.setattr(rollout, "MAX_FAILURE_RATIO", 1.0)


def _believes_each(patch: Patch) -> None:
    def fleet(words: Any, zone: str, step: int) -> StepOutcomes:
        found = [word.counts[zone] for word in words if zone in word.counts]
        said = [(e, f) for its, e, f in found if its == step]
        return StepOutcomes(sum(e for e, _ in said), sum(f for _, f in said))

    patch.setattr(evidence, "aggregate", fleet)
    patch.setattr(rollout, "MIN_FAILURES", 2)


def _waits_for_what_is_pending(patch: Patch) -> None:
    def waiting(version: Any) -> Any:
        change = propose_traffic_policy(version)
        return lambda now: (
            Transition(now, ProposalResult.STALE) if now and now.pending else change(now)
        )

    patch.setattr("sailhitch.tier.operator_commands.propose_traffic_policy", waiting)


@pytest.mark.parametrize(
    ("mutation", "case"),
    [
        (_steps_without_evidence, test_a_zone_that_fails_again_is_not_returned_to_until_it_is_well),
        (_believes_any, functools.partial(_nobody_leaves, set(), ("g4",))),
        (
            _waits_for_what_is_pending,
            test_a_zone_is_left_while_a_change_waits_and_its_gateways_are_dead,
        ),
    ],
)
def test_each_safeguard_is_missed(
    mutation: Callable[[Patch], None], case: Callable[[], None], monkeypatch: Patch
) -> None:
    mutation(monkeypatch)
    with pytest.raises(AssertionError):
        case()


def test_without_its_care_one_sick_gateway_would_hold_a_return_back(monkeypatch: Patch) -> None:
    _believes_each(monkeypatch)
    with pytest.raises(AssertionError):
        test_one_sick_gateway_holds_no_return_back(monkeypatch)

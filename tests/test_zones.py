"""Leaving a zone and returning to it (docs/design/zones.md): the modules, and a modelled fleet."""

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
RETURNING = ZoneOrder(FIRST_SHARE, "returning", STEP, 0, "ada", "", 1)


def _order(**changes: Any) -> ZoneOrder:
    return msgspec.structs.replace(RETURNING, **changes)


# --- Active and inactive nodes


@given(st.floats(0, 0.99), st.floats(0, 0.99), st.integers(0, 40))
def test_a_larger_share_includes_all_nodes_of_a_smaller_one(a: float, b: float, count: int) -> None:
    nodes = {f"n{i}": "z" for i in range(count)} | {"other": "y"}
    small, large = (
        inactive_nodes(TrafficPolicy({"z": _order(share=s)}), nodes) for s in sorted((a, b))
    )
    assert large <= small
    assert "other" not in small
    assert len(small) == count - active_node_count(min(a, b), count)
    assert active_node_count(0.001, count) == min(1, count)


def test_a_share_applies_to_each_pool_separately() -> None:
    nodes = {"a": {f"a/{i}": "z" for i in range(10)}, "b": {f"b/{i}": "z" for i in range(3)}}
    out = inactive_nodes_by_pool(TrafficPolicy({"z": _order(share=0.4)}), nodes)
    assert [sum(name in out for name in here) for here in nodes.values()] == [6, 1]


def test_only_active_nodes_of_a_new_attempt_are_retried() -> None:
    old, nodes = TrafficPolicy({"z1": _order(share=0.2)}), {"p": NODES}
    again = TrafficPolicy({"z1": _order(share=0.2, attempt=1)})
    here = {name for name, zone in NODES.items() if zone == "z1"}
    assert all_retried_nodes(old, again, nodes) == here - inactive_nodes_by_pool(again, nodes)
    for new in (old, TrafficPolicy({"z1": _order(share=0.4, step=2, attempt=1)}), EMPTY_POLICY):
        assert all_retried_nodes(old, new, nodes) == frozenset()


@pytest.mark.parametrize(
    "content", [b"", b"[]", b'{"zones":{"z":{}}}', TrafficPolicy({"z": _order(share=1.5)}).encode()]
)
def test_an_invalid_traffic_policy_is_rejected(content: bytes) -> None:
    with pytest.raises(TrafficPolicyError):
        decode(content)


@given(st.dictionaries(st.sampled_from("abc"), st.floats(0, 0.99)), st.text(max_size=5))
def test_a_traffic_policy_is_the_same_after_a_round_trip(
    shares: dict[str, float], held: str
) -> None:
    policy = TrafficPolicy({name: _order(share=share) for name, share in shares.items()}, held)
    assert decode(policy.encode()) == policy


# --- The rollout


@pytest.mark.parametrize(
    ("changes", "age", "outcomes", "share", "expected_reason"),
    [
        ({}, STEP - 1, (500, 0), None, ""),  # the step has not lasted long enough
        ({}, STEP, (500, 0), 0.2, "0 of 500 failed"),
        ({"share": 0.8}, STEP, (500, 0), 1.0, "0 of 500 failed"),
        ({}, STEP, (MIN_REQUESTS - 1, 0), FIRST_SHARE, "tried anew"),  # too few requests
        ({}, 0, (MIN_FAILURES, MIN_FAILURES), 0.0, "relapse"),  # at once
        ({}, 0, (MIN_FAILURES - 1, MIN_FAILURES - 1), None, ""),  # too few failures
        ({}, STEP, (MIN_FAILURES * 10, MIN_FAILURES), 0.2, "failed at"),  # a tenth may fail
        ({"share": 0.4}, 0, (50, 20), 0.2, "relapse"),
        ({"share": 0.0, "failed_recoveries": 1}, 2 * STEP - 1, (0, 0), None, ""),  # twice as long
        ({"share": 0.0, "failed_recoveries": 1}, 2 * STEP, (0, 0), FIRST_SHARE, "once more"),
        ({"failed_recoveries": MAX_FAILED_RECOVERIES}, 0, (50, 50), 0.0, "left to an operator"),
        ({"phase": "out", "share": 0.0}, 1 << 60, (0, 0), None, ""),  # needs an operator
    ],
)
def test_the_next_order_follows_from_the_steps_age_and_outcomes(
    changes: dict[str, Any],
    age: int,
    outcomes: tuple[int, int],
    share: float | None,
    expected_reason: str,
) -> None:
    order = _order(**changes)
    change = next_order(order, age, StepOutcomes(*outcomes))
    if share is None:
        assert change is None
        return
    assert change is not None
    after, reason = change
    assert expected_reason in reason
    assert (1.0 if after is None else after.share) == pytest.approx(share)
    if after is not None and after.phase == "returning":
        assert (after.step > order.step) is (after.share != order.share)
        assert after.failed_recoveries == order.failed_recoveries + reason.startswith("relapse")


def test_a_recovery_without_a_failure_doubles_the_share_until_it_ends() -> None:
    order, shares = rollout.start_recovery(rollout.leave("ada", ""), STEP, "ada", ""), []
    while True:
        shares.append(order.share)
        change = next_order(order, STEP, StepOutcomes(100, 0))
        assert change is not None
        if change[0] is None:
            break
        order = change[0]
    assert shares == [FIRST_SHARE, 0.2, 0.4, 0.8]


# --- The evidence


def _reports_of(*counts: tuple[int, int], step: int = 1) -> list[evidence.ZoneHealthReport]:
    return [evidence.ZoneHealthReport({"z": (step, ended, failed)}) for ended, failed in counts]


@pytest.mark.parametrize(
    ("reports", "outcomes"),
    [
        (_reports_of((10, 1), (20, 2)), (30, 3)),
        (_reports_of((10, 1), (20, 2), (1000, 1000)), (30, 3)),  # one is faulty, or lies
        (_reports_of((10, 1), (0, 0), (20, 20)), (30, 21)),  # of two, neither can be ruled out
        (_reports_of((10, 1), step=2), (0, 0)),  # of another step
    ],
)
def test_no_single_gateway_moves_the_sum(
    reports: list[evidence.ZoneHealthReport], outcomes: tuple[int, int]
) -> None:
    assert evidence.aggregate(reports, "z", 1) == StepOutcomes(*outcomes)


@pytest.mark.parametrize(
    "encoded", [b"", b"\x00", msgspec.msgpack.encode([{"z": [1, 2, 3]}]), b"x" * 5000]
)
def test_an_invalid_report_is_ignored(encoded: bytes) -> None:
    assert evidence.decode(encoded) is None


def test_counts_belong_to_a_step_and_continue_with_its_next_attempt() -> None:
    counts = evidence.OutcomeCounts()
    counts.record("z", True)
    assert counts.counts() == {}
    for order, ended in ((_order(), 1), (_order(attempt=1), 2), (_order(step=2), 1)):
        counts.apply(TrafficPolicy({"z": order}))
        counts.record("z", True)
        assert counts.counts() == {"z": (order.step, ended, ended)}


def test_twelve_reports_fit_into_a_datagram_and_keep_failing_zones() -> None:
    observations = {f"zone-{i:060}": ZoneObservation(9, i, 0) for i in range(9)}
    report = evidence.ZoneHealthReport({"z": (1, 2, 0)}, "z", observations)
    encoded = evidence.encode(report)
    assert len(encoded) <= evidence.MAX_REPORT_BYTES
    decoded = evidence.decode(encoded)
    assert decoded is not None
    assert decoded.counts == report.counts
    assert f"zone-{8:060}" in decoded.observations
    assert evidence.encode(evidence.ZoneHealthReport({})) == b""


# --- Operators' requests


def _controller(
    policy: TrafficPolicy = EMPTY_POLICY, nodes: ZonesByPool = POOLS, **settings: Any
) -> ZoneController:
    controller = ZoneController(ZoneSettings(1, STEP, **settings), random.Random(1))
    controller.apply(1, policy, nodes, 0)
    return controller


@pytest.mark.parametrize(
    ("policy", "act", "zone", "expected"),
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
            TrafficPolicy({"z1": RETURNING, "z0": RETURNING}),
            "leave",
            "z2",
            "no zone would be completely in use",
        ),
    ],
)
def test_an_invalid_operator_request_is_rejected_with_the_reason(
    policy: TrafficPolicy, act: str, zone: str, expected: str
) -> None:
    with pytest.raises(TrafficPolicyError, match=expected):
        _controller(policy).operator_request(act, zone, "", "ada", None)


def test_no_pool_is_left_without_nodes() -> None:
    pools = {"p": NODES, "small": {"small/a": "z1"}}
    with pytest.raises(TrafficPolicyError, match="pool 'small' has no nodes outside zone 'z1'"):
        _controller(nodes=pools).operator_request("leave", "z1", "", "ada", None)


def test_a_hold_stops_automatic_proposals_but_not_operators_requests() -> None:
    controller = _controller(TrafficPolicy({"z1": RETURNING}))
    received = controller.on_reports(
        {"g2": evidence.encode(evidence.ZoneHealthReport({"z1": (1, 100, 0)}))}
    )
    assert controller.next_proposal(10 * S, received) is not None
    controller.apply(2, controller.operator_request("hold", "", "", "ada", None), POOLS, 10 * S)
    assert controller.next_proposal(60 * S, received) is None
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


def _advance(world: World, time: float, each: Callable[[], None] = lambda: None) -> None:
    until = world.kernel.now + int(time * S)
    while world.kernel.now < until:
        world.kernel.run(min(until, world.kernel.now + S // 50))
        each()


def _ask(world: World, name: str, act: str, zone: str) -> None:
    process = world.processes[name]
    assert process.controller is not None
    process.propose_zone_policy(process.controller.operator_request(act, zone, "", "ada", None))


def _inactive_counts(world: World, zone: str) -> list[int]:
    """Return, for each running gateway, how many nodes of a zone it does not use."""
    here = {name for name, its in world.zones.items() if its == zone}
    return [len(p.inactive_nodes & here) for p in world.processes.values() if p.up and not p.paused]


@pytest.mark.parametrize(("members", "loss"), [(3, 0.0), (9, 0.1), (25, 0.1)])
def test_gateways_leave_a_zone_within_two_seconds_and_return_together(
    members: int, loss: float
) -> None:
    world = _fleet(members, 1, loss)
    _ask(world, "g2", "leave", "z1")
    times: list[tuple[int, int]] = []

    def note() -> None:
        times.append((world.kernel.now, sum(out == 4 for out in _inactive_counts(world, "z1"))))

    _advance(world, 4, note)
    first = next(at for at, count in times if count)
    last = next(at for at, count in times if count == members)
    assert last - first <= 2 * S  # promise 6
    _ask(world, "g3", "return", "z1")
    shares: set[tuple[int, ...]] = set()
    _advance(world, 40, lambda: shares.add(tuple(_inactive_counts(world, "z1"))))
    assert _inactive_counts(world, "z1") == [0] * members
    # No two gateways are ever more than one step apart.
    assert all(max(one) - min(one) <= 2 or 4 in one for one in shares)
    world.check_end()


def test_the_recovery_of_a_failing_zone_does_not_advance_until_it_is_healthy() -> None:
    world = _fleet()
    _ask(world, "g1", "leave", "z1")
    _advance(world, 2)
    world.failed_zones.add("z1")
    _ask(world, "g4", "return", "z1")
    least: list[int] = []
    _advance(world, 60, lambda: least.append(min(_inactive_counts(world, "z1"))))
    assert min(least) == 3  # at most the one node of the first step is in use
    relapses = [
        p.controller.traffic_policy.zones["z1"].failed_recoveries
        for p in world.processes.values()
        if p.controller
    ]
    assert min(relapses) >= 2
    world.failed_zones.clear()
    _advance(world, 120)
    assert _inactive_counts(world, "z1") == [0] * 9


def test_one_faulty_gateway_does_not_delay_a_recovery(monkeypatch: Patch) -> None:
    world = _fleet()
    faulty = world.processes["g5"].controller
    assert faulty is not None
    monkeypatch.setattr(faulty, "record", functools.partial(_as_failed, faulty.record))
    _ask(world, "g1", "leave", "z1")
    _advance(world, 2)
    _ask(world, "g1", "return", "z1")
    _advance(world, 40)
    assert _inactive_counts(world, "z1") == [0] * 9


def test_a_zone_is_left_while_a_change_is_pending_and_gateways_are_dead() -> None:
    world = _fleet()
    for name in ("g7", "g8", "g9"):
        world.processes[name].pause()
    world.processes["g1"].propose(1, 0)
    _advance(world, 2)
    _ask(world, "g2", "leave", "z2")
    _advance(world, 2)
    assert _inactive_counts(world, "z2") == [4] * 6
    head = world.checker.latest
    assert head is not None
    assert head.pending is not None
    for name in ("g7", "g8", "g9"):
        world.processes[name].resume()
    _advance(world, 5)
    assert _inactive_counts(world, "z2") == [4] * 9


def test_of_two_orders_on_both_sides_of_a_partition_one_is_applied_everywhere() -> None:
    world = _fleet(5)
    left, right = ("g1", "g2"), ("g3", "g4", "g5")
    world.network.cuts |= {(a, b) for a in left for b in right}
    world.network.cuts |= {(b, a) for a in left for b in right}
    _ask(world, "g1", "leave", "z0")
    _ask(world, "g4", "leave", "z1")
    _advance(world, 3)
    assert _inactive_counts(world, "z1")[2:] == [4] * 3
    world.network.cuts.clear()
    _advance(world, 15)
    assert (set(_inactive_counts(world, "z0")), set(_inactive_counts(world, "z1"))) == ({0}, {4})


# --- Diagnosis

SIZES = {"z0": 10, "z1": 10, "z2": 10}
GOOD, BAD, HALF = ZoneObservation(10, 0, 0), ZoneObservation(10, 10, 0), ZoneObservation(10, 4, 0)
Row = tuple[str, ZoneObservation, ZoneObservation, ZoneObservation]


def _reports(*rows: Row) -> list[GatewayReport]:
    """Return reports, each from a gateway's own zone and its observations of the three zones."""
    return [
        GatewayReport(f"g{i}", own_zone, dict(zip(SIZES, observations, strict=True)))
        for i, (own_zone, *observations) in enumerate(rows)
    ]


ALL_HEALTHY: list[Row] = [(zone, GOOD, GOOD, GOOD) for zone in SIZES]
LOST_Z2: list[Row] = [("z0", GOOD, GOOD, BAD), ("z1", GOOD, GOOD, BAD)] * 2


@pytest.mark.parametrize(
    ("rows", "conditions"),
    [
        (ALL_HEALTHY, (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.HEALTHY)),
        (LOST_Z2, (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.FAILED)),
        # Healthy as seen from inside the zone: the network to it is partitioned.
        (
            [*LOST_Z2, ("z2", GOOD, GOOD, GOOD)],
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.PARTITIONED),
        ),
        # Partitioned from one other zone only.
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
        # A gateway that sees all zones fail is faulty.
        (
            [*ALL_HEALTHY, ("z0", BAD, BAD, BAD)],
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.HEALTHY),
        ),
        # Outdated observations do not count against a majority that sees the zone fail, but count
        # if most are outdated, as at low load.
        (
            [*LOST_Z2, ("z2", GOOD, GOOD, ZoneObservation(10, 0, 0, 9))],
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.FAILED),
        ),
        (
            [*LOST_Z2, *[("z2", GOOD, GOOD, ZoneObservation(10, 0, 0, 9))] * 4],
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.PARTITIONED),
        ),
        # The same for an outdated observation with a single failure; a recent one counts.
        (
            [*LOST_Z2, ("z2", GOOD, GOOD, ZoneObservation(3, 1, 0, 7))],
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.FAILED),
        ),
        (
            [*LOST_Z2, ("z2", GOOD, GOOD, ZoneObservation(3, 1, 0, 0))],
            (ZoneCondition.HEALTHY, ZoneCondition.HEALTHY, ZoneCondition.DEGRADED),
        ),
        # One gateway that lies about one zone is outvoted.
        (
            [*ALL_HEALTHY * 2, ("z0", GOOD, GOOD, ZoneObservation(9999, 9999, 0))],
            (ZoneCondition.HEALTHY,) * 3,
        ),
        # No gateway has enough evidence.
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
def test_zones_are_diagnosed(rows: list[Row], conditions: tuple[ZoneCondition, ...]) -> None:
    findings = diagnose(_reports(*rows), SIZES)
    assert tuple(one.condition for one in findings.values()) == conditions, findings


def test_a_faulty_gateway_is_named_and_no_other() -> None:
    assert faulty_gateways(_reports(*ALL_HEALTHY, ("z0", BAD, BAD, BAD)), SIZES) == ["g3"]
    assert faulty_gateways(_reports(*LOST_Z2), SIZES) == []
    assert faulty_gateways(_reports(("z0", BAD, BAD, BAD), ("z1", GOOD, GOOD, GOOD)), SIZES) == []


@given(st.data())
def test_a_third_of_the_reports_cannot_make_a_zone_failed(data: Any) -> None:
    """Whatever a third reports, and however many nodes it claims to know."""
    honest = data.draw(st.integers(4, 9))
    liars = data.draw(st.integers(1, honest // 2))
    observation = st.integers(1, 5000).flatmap(
        lambda known: st.builds(ZoneObservation, st.just(known), st.integers(0, known), st.just(0))
    )
    rows: list[Row] = [("z0", GOOD, GOOD, GOOD)] * honest
    rows += [("z0", *(data.draw(observation) for _ in range(3))) for _ in range(liars)]
    findings = diagnose(_reports(*rows), SIZES)
    assert not any(
        one.condition is ZoneCondition.FAILED and one.confidence > 0.5 for one in findings.values()
    )


def test_the_last_outcome_counts_until_it_is_forgotten() -> None:
    zone_health, nodes = ZoneHealth(), {"a": "z", "b": "z", "c": "y"}
    for node, failed in (("a", True), ("a", False), ("b", True), ("gone", True)):
        zone_health.record(node, failed, False, 5)
    assert zone_health.observations(nodes, 5) == {"z": ZoneObservation(2, 1, 0)}
    zone_health.retain(nodes)
    assert zone_health.observations({**nodes, "gone": "y"}, 5) == {"z": ZoneObservation(2, 1, 0)}
    zone_health.record("a", True, False, 6)
    assert zone_health.observations(nodes, 6) == {"z": ZoneObservation(2, 2, 0)}
    for at, (node, failed) in enumerate([("a", False), ("d", False), ("b", True)], 7):
        zone_health.record(node, failed, False, at)
    wide = {**nodes, "d": "z"}
    assert zone_health.observations(wide, 10) == {"z": ZoneObservation(3, 1, 0)}
    zone_health.record("a", True, False, 10)  # two have failed since the last success in the zone
    assert zone_health.observations(wide, 10) == {"z": ZoneObservation(2, 2, 0)}
    zone_health.record("a", False, False, 11)
    zone_health.forget(frozenset(["b", "d"]))
    assert zone_health.observations(nodes, 11 + 3 * S) == {"z": ZoneObservation(1, 0, 0, 3)}
    assert zone_health.observations(nodes, 12 + OUTCOME_TTL) == {}


def test_reports_without_any_observation_are_diagnosed() -> None:
    """Guards against a division by zero if no zone has nodes while three gateways report."""
    reports = [GatewayReport(f"g{i}", "z0", {}) for i in range(3)]
    try:
        findings = diagnose(reports, {})
    except ZeroDivisionError as error:
        raise AssertionError("no diagnosis") from error
    assert findings == {}


# --- Leaving without an operator


def test_all_gateways_leave_a_failed_zone_and_return_once_it_is_healthy() -> None:
    world = _fleet(9, 1, 0.1, act=True)
    at, last = world.kernel.now, 0
    world.failed_zones.add("z2")

    def note() -> None:
        nonlocal last
        if min(_inactive_counts(world, "z2")) < 4 and not last:
            last = -world.kernel.now
        elif min(_inactive_counts(world, "z2")) == 4 and last < 0:
            last = world.kernel.now

    _advance(world, 5, note)
    assert 0 < last - at <= 4 * S  # the time promised if a tenth of the datagrams is lost
    _advance(world, 30)
    assert min(_inactive_counts(world, "z2")) >= 3
    assert set(_inactive_counts(world, "z0") + _inactive_counts(world, "z1")) == {0}
    world.failed_zones.clear()
    _advance(world, 150)
    assert _inactive_counts(world, "z2") == [0] * 9


def _check_no_zone_is_left(failed: set[str], faulty: tuple[str, ...] = ()) -> None:
    world = _fleet(9, 2, act=True)
    for name in faulty:
        controller = world.processes[name].controller
        assert controller is not None
        controller.record = functools.partial(_as_failed, controller.record)  # type: ignore[method-assign]
    world.failed_zones |= failed
    _advance(world, 20)
    for zone in ("z0", "z1", "z2"):
        assert set(_inactive_counts(world, zone)) == {0}


def _as_failed(real: Any, node: str, failed: bool, full: bool, now: int) -> None:
    real(node, True, full, now)


@pytest.mark.parametrize(
    ("failed", "faulty"),
    [(set(), ()), ({"z0", "z1", "z2"}, ()), (set(), ("g4",)), (set(), ("g1", "g2", "g3"))],
    ids=["all healthy", "all zones fail", "one gateway faulty", "a third of the gateways faulty"],
)
def test_no_zone_is_left_unless_it_alone_has_failed(
    failed: set[str], faulty: tuple[str, ...]
) -> None:
    _check_no_zone_is_left(failed, faulty)


def test_a_second_failed_zone_is_not_left_if_only_one_may_be_inactive_counts() -> None:
    world = _fleet(9, 1, act=True)
    world.failed_zones.add("z2")
    _advance(world, 5)
    world.failed_zones.add("z1")
    _advance(world, 20)
    assert min(_inactive_counts(world, "z2")) >= 3
    assert set(_inactive_counts(world, "z1") + _inactive_counts(world, "z0")) == {0}


def _encoded_reports(*observations: ZoneObservation) -> dict[str, bytes]:
    report = evidence.ZoneHealthReport({}, "z0", dict(zip(SIZES, observations, strict=True)))
    return dict.fromkeys(("g1", "g2"), evidence.encode(report))


def test_the_number_of_automatic_leaves_an_hour_is_limited() -> None:
    controller = _controller(automatic=True, max_leaves_per_hour=2)
    received = controller.on_reports(_encoded_reports(GOOD, GOOD, BAD))
    now, serial = 0, 1
    for _ in range(2):
        assert controller.propose_leave(now, received) is None  # the finding has to last
        proposal = controller.propose_leave(now + 2 * S, received)
        assert proposal is not None
        for policy in (proposal[0], EMPTY_POLICY):
            serial, now = serial + 1, now + 10 * S
            controller.apply(serial, policy, POOLS, now)
            assert (
                controller.propose_leave(
                    now, controller.on_reports(_encoded_reports(GOOD, GOOD, GOOD))
                )
                is None
            )
    assert controller.propose_leave(now, received) is None
    assert controller.propose_leave(now + 2 * S, received) is None
    assert controller.propose_leave(now + HOUR, received) is not None


def test_a_controller_that_is_not_automatic_proposes_nothing_and_shows_its_findings() -> None:
    controller = _controller()
    received = controller.on_reports(_encoded_reports(GOOD, GOOD, BAD))
    assert [controller.propose_leave(at * S, received) for at in range(9)] == [None] * 9
    status = controller.status(9 * S, received)["zones"]["z2"]
    assert (status["finding"], status["sure"]) == ("gone", 1.0)
    assert status["seen"] == "100% of its nodes fail from z0 (2 gateways)"


# --- Mutations


def _trust_any_report(patch: Patch) -> None:
    """Let one gateway that sees a zone fail be enough."""

    def diagnose(reports: Any, sizes: Any) -> dict[str, Finding]:
        seen = [(zone, one) for report in reports for zone, one in report.observations.items()]
        failed = {zone for zone, one in seen if one.failed == one.known}
        conditions = {
            zone: ZoneCondition.FAILED if zone in failed else ZoneCondition.HEALTHY
            for zone in sizes
        }
        return {zone: Finding(condition, 1.0, "") for zone, condition in conditions.items()}

    patch.setattr("sailhitch.zones.controller.diagnose", diagnose)


def _step_without_evidence(patch: Patch) -> None:
    patch.setattr(rollout, "MIN_REQUESTS", 0)
    patch.setattr(rollout, "MIN_FAILURES", 1 << 30)
    patch.setattr(rollout, "MAX_FAILURE_RATIO", 1.0)


def _sum_all_reports(patch: Patch) -> None:
    """Sum the counts of all gateways, the one with the most failures included."""

    def aggregate(reports: Any, zone: str, step: int) -> StepOutcomes:
        counts = [report.counts[zone] for report in reports if zone in report.counts]
        current = [(e, f) for of_step, e, f in counts if of_step == step]
        return StepOutcomes(sum(e for e, _ in current), sum(f for _, f in current))

    patch.setattr(evidence, "aggregate", aggregate)
    patch.setattr(rollout, "MIN_FAILURES", 2)


def _wait_for_pending_changes(patch: Patch) -> None:
    """Reject traffic policies while a change is pending."""

    def waiting(version: Any) -> Any:
        change = propose_traffic_policy(version)
        return lambda now: (
            Transition(now, ProposalResult.STALE) if now and now.pending else change(now)
        )

    patch.setattr("sailhitch.tier.operator_commands.propose_traffic_policy", waiting)


@pytest.mark.parametrize(
    ("mutation", "case"),
    [
        (
            _step_without_evidence,
            test_the_recovery_of_a_failing_zone_does_not_advance_until_it_is_healthy,
        ),
        (_trust_any_report, functools.partial(_check_no_zone_is_left, set(), ("g4",))),
        (
            _wait_for_pending_changes,
            test_a_zone_is_left_while_a_change_is_pending_and_gateways_are_dead,
        ),
    ],
)
def test_without_a_safeguard_its_test_fails(
    mutation: Callable[[Patch], None], case: Callable[[], None], monkeypatch: Patch
) -> None:
    mutation(monkeypatch)
    with pytest.raises(AssertionError):
        case()


def test_if_all_reports_are_summed_one_faulty_gateway_delays_a_recovery(
    monkeypatch: Patch,
) -> None:
    _sum_all_reports(monkeypatch)
    with pytest.raises(AssertionError):
        test_one_faulty_gateway_does_not_delay_a_recovery(monkeypatch)

"""One gateway's part in draining and recovering zones: what it applies, reports and proposes.

The same controller runs in the daemon and in the fleet model. `apply` receives the tier's
decisions, `record` the outcomes of this gateway's own requests, `on_reports` all gateways' reports.
Proposals are returned as traffic policies, for the tier to decide.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

from . import evidence, rollout
from .diagnosis import Finding, GatewayReport, ZoneCondition, diagnose
from .health_tracker import ZoneHealth
from .traffic_policy import (
    EMPTY_POLICY,
    TrafficPolicy,
    TrafficPolicyError,
    ZoneOrder,
    inactive_nodes,
    retried_zones,
    validate,
)

REPORT_INTERVAL: Final = 200_000  # us between two reports, and two evaluations of all reports
PROPOSAL_SPREAD: Final = 1_000_000  # us over which members' proposals of a step are spread
MAX_REASON_LENGTH: Final = 200  # characters of an operator's reason
# us for which a zone must be diagnosed as failed before a gateway proposes to leave it
MIN_FAILED_TIME: Final = 500_000
HOUR: Final = 3_600_000_000  # us

ZonesByPool = Mapping[str, Mapping[str, str]]  # the zone of each node, by pool
EncodedReports = Mapping[str, bytes]  # by the gateway that sent it


class ReceivedReports(NamedTuple):
    """The valid reports, and the diagnosis of each zone by them."""

    reports: list[evidence.ZoneHealthReport]
    findings: dict[str, Finding]


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """A gateway's settings for zones; times in microseconds."""

    max_out: int  # zones that may be out at a time
    step_duration: int  # minimum duration of a step of a recovery
    zone: str = ""  # the gateway's own zone
    automatic: bool = False  # whether to propose leaving a failed zone without an operator
    max_leaves_per_hour: int = 4  # without an operator


class PolicyProposal(NamedTuple):
    """A traffic policy to propose, and the reason."""

    traffic_policy: TrafficPolicy
    reason: str


class _StepStart(NamedTuple):
    """When this gateway applied a step of a zone's recovery."""

    step: int
    attempt: int
    at: int  # with a random delay, so that few gateways propose the next step


class ZoneController:
    """A gateway's traffic policy, counts and next proposal."""

    def __init__(self, settings: ZoneSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.serial = 0
        self.traffic_policy = EMPTY_POLICY
        self.nodes: ZonesByPool = {}
        self.outcome_counts = evidence.OutcomeCounts()
        self.zone_health = ZoneHealth()
        self.zone_of: dict[str, str] = {}
        self._next_report_at = 0
        self._step_starts: dict[str, _StepStart] = {}
        self._failed_since: dict[str, int] = {}
        self._reported_failures: dict[str, int] = {}
        self._failure_delay = MIN_FAILED_TIME + rng.randrange(PROPOSAL_SPREAD // 2)
        self._automatic_leaves: deque[int] = deque()  # when zones were left without an operator

    # --- Events

    def apply(
        self, serial: int, traffic_policy: TrafficPolicy, nodes: ZonesByPool, now: int
    ) -> None:
        """Apply a traffic policy and the state's nodes."""
        old = self.traffic_policy
        inactive_before = inactive_nodes_by_pool(old, nodes)
        retried = all_retried_nodes(old, traffic_policy, nodes)
        self.nodes = nodes
        self.zone_of = {name: zone for pool in nodes.values() for name, zone in pool.items()}
        self.zone_health.retain(self.zone_of)
        if serial == self.serial:
            return
        activated = inactive_before - inactive_nodes_by_pool(traffic_policy, nodes)
        self.zone_health.forget(activated | retried)
        for zone, order in traffic_policy.zones.items():
            if order.ordered_by == rollout.AUTOMATION and zone not in old.zones:
                self._automatic_leaves.append(now)
        self.serial = serial
        self.traffic_policy = traffic_policy
        self._step_starts = {
            zone: self._step_start(zone, order, now) for zone, order in traffic_policy.zones.items()
        }
        self.outcome_counts.apply(traffic_policy)

    def _step_start(self, zone: str, order: ZoneOrder, now: int) -> _StepStart:
        """Return since when an order's step is applied, with a random delay for a new one."""
        start = _StepStart(order.step, order.attempt, now + self.rng.randrange(PROPOSAL_SPREAD))
        old = self._step_starts.get(zone)
        return old if old is not None and old[:2] == start[:2] else start

    def record(self, node: str, failed: bool, full: bool, now: int) -> None:
        """Record a request's outcome at a node; an overloaded node does not count as failed."""
        zone = self.zone_of.get(node)
        if zone is not None:
            self.zone_health.record(node, failed, full, now)
            if not full:
                self.outcome_counts.record(zone, failed)

    def report(self, now: int) -> tuple[bytes, bool]:
        """Return the report to send, and whether it is urgent: the failure counts have changed."""
        observations = self.zone_health.observations(self.zone_of, now)
        failures = {zone: each.failed for zone, each in observations.items() if each.failed}
        is_urgent = failures != self._reported_failures
        self._reported_failures = failures
        report = evidence.ZoneHealthReport(
            self.outcome_counts.counts(), self.settings.zone, observations
        )
        return evidence.encode(report), is_urgent

    # --- Reports and proposals

    def is_due(self, now: int) -> bool:
        """Return whether the next report and evaluation are due; if so, schedule the following."""
        if now < self._next_report_at:
            return False
        self._next_report_at = now + REPORT_INTERVAL
        return True

    def on_reports(self, encoded: EncodedReports) -> ReceivedReports:
        """Decode all gateways' reports, including this one's, and diagnose the zones by them."""
        decoded = {name: evidence.decode(each) for name, each in encoded.items()}
        reports = {name: report for name, report in decoded.items() if report is not None}
        gateways = [GatewayReport(name, r.zone, r.observations) for name, r in reports.items()]
        findings = diagnose(gateways, Counter(self.zone_of.values()))
        return ReceivedReports(list(reports.values()), findings)

    def propose_leave(self, now: int, received: ReceivedReports) -> PolicyProposal | None:
        """Return the policy that leaves a failed zone, or None.

        It is proposed once the finding has lasted for `MIN_FAILED_TIME` and a random delay.
        """
        self._update_failed_zones(now, received.findings)
        if not self.settings.automatic or self.traffic_policy.hold_reason:
            return None
        while self._automatic_leaves and now - self._automatic_leaves[0] > HOUR:
            self._automatic_leaves.popleft()
        if len(self._automatic_leaves) >= self.settings.max_leaves_per_hour:
            return None
        for zone, since in sorted(self._failed_since.items()):
            if now - since < self._failure_delay:
                continue
            description = received.findings[zone].description
            order = rollout.leave_automatically(
                self.settings.step_duration, description[:MAX_REASON_LENGTH]
            )
            proposed = self.traffic_policy.with_zone(zone, order)
            try:
                self._check(proposed, zone)
            except TrafficPolicyError:
                continue  # the zone stays in use; `status` shows the finding
            return PolicyProposal(proposed, f"{zone} is gone: {description}")
        return None

    def _update_failed_zones(self, now: int, findings: Mapping[str, Finding]) -> None:
        failed = {
            zone
            for zone, finding in findings.items()
            if finding.condition is ZoneCondition.FAILED and finding.confidence > 0.5
        }
        failed -= self.traffic_policy.zones.keys()
        self._failed_since = {zone: self._failed_since.get(zone, now) for zone in failed}

    def next_proposal(self, now: int, received: ReceivedReports) -> PolicyProposal | None:
        """Return the policy to propose now, or None."""
        leave = self.propose_leave(now, received)
        if leave is not None or self.traffic_policy.hold_reason:
            return leave
        for zone, order in self.traffic_policy.zones.items():
            outcomes = evidence.aggregate(received.reports, zone, order.step)
            change = rollout.next_order(order, self.age(zone, now), outcomes)
            if change is not None:
                proposed = self.traffic_policy.with_zone(zone, change.order)
                return PolicyProposal(proposed, f"{zone}: {change.reason}")
        return None

    def age(self, zone: str, now: int) -> int:
        """Return how long a zone's step has been applied, minus this gateway's random delay."""
        return max(0, now - self._step_starts[zone].at) if zone in self._step_starts else 0

    # --- Operators' requests

    def operator_request(
        self, act: str, zone: str, why: str, by: str, step: int | None
    ) -> TrafficPolicy:
        """Return the policy that an operator's command requests; raises TrafficPolicyError."""
        proposed = self._requested_policy(act, zone, why[:MAX_REASON_LENGTH], by, step)
        self._check(proposed, zone)
        if proposed == self.traffic_policy:
            raise TrafficPolicyError(
                "nothing to do: this is already in force; see `sailhitch zones status`"
            )
        return proposed

    def _check(self, proposed: TrafficPolicy, zone: str) -> None:
        validate(proposed, self.zone_of.values(), self.settings.max_out)
        for pool, nodes in self.nodes.items():
            if nodes and len(inactive_nodes(proposed, nodes)) == len(nodes):
                raise TrafficPolicyError(f"pool {pool!r} has no nodes outside zone {zone!r}")

    def _requested_policy(
        self, act: str, zone: str, why: str, by: str, step: int | None
    ) -> TrafficPolicy:
        order = self.traffic_policy.zones.get(zone)
        if act == "hold":
            return TrafficPolicy(self.traffic_policy.zones, why or f"by {by}")
        if act == "release":
            return TrafficPolicy(self.traffic_policy.zones, "")
        if act == "leave":
            return self.traffic_policy.with_zone(zone, rollout.leave(by, why))
        if act != "return":
            raise TrafficPolicyError(f"act: not known: {act[:40]!r}")
        if order is None:
            raise TrafficPolicyError(f"zone {zone!r} was not left; see `sailhitch zones status`")
        step_duration = max(self.settings.step_duration, step or 0)
        return self.traffic_policy.with_zone(
            zone, rollout.start_recovery(order, step_duration, by, why)
        )

    def status(self, now: int, received: ReceivedReports) -> dict[str, Any]:
        """Return the reply to `zones status`."""
        inactive = inactive_nodes_by_pool(self.traffic_policy, self.nodes)
        active = Counter(zone for node, zone in self.zone_of.items() if node not in inactive)
        zones = {}
        for name, count in sorted(Counter(self.zone_of.values()).items()):
            order = self.traffic_policy.zones.get(name)
            finding = received.findings[name]
            zones[name] = {
                "nodes": count,
                "in_use": active[name],
                "share": 1.0,
                "phase": "in use",
                "finding": finding.condition.value,
                "sure": round(finding.confidence, 3),
                "seen": finding.description,
            }
            if order is not None:
                zones[name] |= self._order_status(name, order, now, received)
        return {"serial": self.serial, "held": self.traffic_policy.hold_reason, "zones": zones}

    def _order_status(
        self, zone: str, order: ZoneOrder, now: int, received: ReceivedReports
    ) -> dict[str, Any]:
        outcomes = evidence.aggregate(received.reports, zone, order.step)
        return {
            "share": order.share,
            "phase": order.phase,
            "by": order.ordered_by,
            "why": order.reason,
            "relapses": order.failed_recoveries,
            "ended": outcomes.ended,
            "failed": outcomes.failed,
            "waits_for": rollout.waits_for(order, self.age(zone, now)),
        }


def all_retried_nodes(old: TrafficPolicy, new: TrafficPolicy, nodes: ZonesByPool) -> frozenset[str]:
    """Return the active nodes that are to be retried as if they had just started."""
    zones = set(retried_zones(old, new))
    if not zones:
        return frozenset()
    retried = {name for pool in nodes.values() for name, zone in pool.items() if zone in zones}
    return frozenset(retried) - inactive_nodes_by_pool(new, nodes)


def inactive_nodes_by_pool(traffic_policy: TrafficPolicy, nodes: ZonesByPool) -> frozenset[str]:
    """Return the nodes that get no new requests; a zone's share applies to each pool separately."""
    if not traffic_policy.zones:
        return frozenset()
    return frozenset().union(*(inactive_nodes(traffic_policy, pool) for pool in nodes.values()))

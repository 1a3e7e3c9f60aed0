"""One gateway's part in leaving zones and returning to them: what it goes by, says and proposes.

The same core runs in the daemon and in the fleet model. What the tier has decided comes in by
`goes_by`, outcomes of this gateway's own requests by `saw`, others' words by `look`; proposals go
out as postures, for the tier to decide.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

from . import evidence, rollout
from .diagnosis import Finding, Kind, Report, diagnose
from .health_tracker import ZoneHealth
from .traffic_policy import (
    EMPTY_POLICY,
    TrafficPolicy,
    TrafficPolicyError,
    inactive_nodes,
    retried_zones,
    validate,
)

LOOK: Final = 200_000  # us between two looks at what all say
SPREAD: Final = 1_000_000  # us over which members' proposals of one step are spread
MOST_WHY: Final = 200  # letters of an operator's reason
GONE_FOR: Final = 500_000  # us for which a zone must be found gone before anybody proposes it
HOUR: Final = 3_600_000_000

Nodes = Mapping[str, Mapping[str, str]]  # by pool: the zone of each node
Words = Mapping[str, bytes]  # by the gateway that says them


class ReceivedReports(NamedTuple):
    """The words that can be read, and what each zone is taken for by them."""

    said: list[evidence.ZoneHealthReport]
    found: dict[str, Finding]


@dataclass(frozen=True, slots=True)
class ZoneTerms:
    """What a gateway is told of zones at its start. Times in microseconds."""

    max_out: int
    step: int  # for which a step of the way back lasts, at least
    place: str = ""  # the zone that it is in
    act: bool = False  # whether it proposes to leave what the fleet takes for gone
    leaves_an_hour: int = 4  # so many at the most without an operator


class ZoneController:
    """A gateway's posture, counts and next proposal."""

    def __init__(self, terms: ZoneTerms, rng: random.Random) -> None:
        self.terms = terms
        self.rng = rng
        self.serial = 0
        self.traffic_policy = EMPTY_POLICY
        self.nodes: Nodes = {}
        self.outcome_counts = evidence.OutcomeCounts()
        self.zone_health = ZoneHealth()
        self.zone_of: dict[str, str] = {}
        self._look_at = 0
        self._began: dict[str, tuple[int, int, int]] = {}  # step, round, when
        self._gone_since: dict[str, int] = {}
        self._failing: dict[str, int] = {}
        self._patience = GONE_FOR + rng.randrange(SPREAD // 2)
        self._leaves: deque[int] = deque()  # when zones were left without an operator

    # --- What happens

    def apply(self, serial: int, posture: TrafficPolicy, nodes: Nodes, now: int) -> None:
        """This gateway goes by this from here on, with these nodes."""
        was = all_inactive_nodes(self.traffic_policy, nodes)
        renewed_ = all_retried_nodes(self.traffic_policy, posture, nodes)
        self.nodes = nodes
        self.zone_of = {name: zone for pool in nodes.values() for name, zone in pool.items()}
        self.zone_health.keep(self.zone_of)
        if serial == self.serial:
            return
        self.zone_health.forget((was - all_inactive_nodes(posture, nodes)) | renewed_)
        for zone, order in posture.zones.items():
            if order.ordered_by == rollout.AUTOMATION and zone not in self.traffic_policy.zones:
                self._leaves.append(now)
        self.serial = serial
        self.traffic_policy = posture
        began = {}
        for zone, order in posture.zones.items():
            at = (order.step, order.attempt)
            old = self._began.get(zone)
            # Each gateway waits for a while of its own beyond each step, so that few propose it.
            first = (*at, now + self.rng.randrange(SPREAD))
            began[zone] = old if old is not None and old[:2] == at else first
        self._began = began
        self.outcome_counts.apply(posture)

    def record(self, node: str, failed: bool, full: bool, now: int) -> None:
        """A request to a node has ended; one that is full is not one that fails."""
        zone = self.zone_of.get(node)
        if zone is not None:
            self.zone_health.record(node, failed, full, now)
            if not full:
                self.outcome_counts.record(zone, failed)

    def report(self, now: int) -> tuple[bytes, bool]:
        """What to say to the others, and whether they wait for it: other nodes fail than before."""
        sights = self.zone_health.observations(self.zone_of, now)
        failing = {zone: one.failed for zone, one in sights.items() if one.failed}
        news = failing != self._failing
        self._failing = failing
        word = evidence.ZoneHealthReport(self.outcome_counts.counts(), self.terms.place, sights)
        return evidence.encode(word), news

    # --- What the fleet sees

    def due(self, now: int) -> bool:
        """Whether it is time to look again at what all say, and to say something; then it has."""
        if now < self._look_at:
            return False
        self._look_at = now + LOOK
        return True

    def on_reports(self, words: Words) -> ReceivedReports:
        """What all say, this gateway too, read and made sense of once for all that asks for it."""
        read = {name: evidence.decode(word) for name, word in words.items()}
        said = {name: made for name, made in read.items() if made is not None}
        reports = [Report(name, one.zone, one.observations) for name, one in said.items()]
        return ReceivedReports(
            list(said.values()), diagnose(reports, Counter(self.zone_of.values()))
        )

    def leaving(self, now: int, heard: ReceivedReports) -> tuple[TrafficPolicy, str] | None:
        """Return the posture to propose where a zone is gone, and why.

        It is proposed once the finding has lasted for `GONE_FOR` and a while of this gateway's own.
        """
        found = heard.found
        gone = {zone for zone, one in found.items() if one.kind is Kind.GONE and one.sure > 0.5}
        gone -= self.traffic_policy.zones.keys()
        self._gone_since = {zone: self._gone_since.get(zone, now) for zone in gone}
        if not self.terms.act or self.traffic_policy.hold_reason:
            return None
        while self._leaves and now - self._leaves[0] > HOUR:
            self._leaves.popleft()
        if len(self._leaves) >= self.terms.leaves_an_hour:
            return None
        for zone, since in sorted(self._gone_since.items()):
            if now - since < self._patience:
                continue
            order = rollout.leave_for_now(self.terms.step, found[zone].told[:MOST_WHY])
            wanted = self.traffic_policy.with_zone(zone, order)
            try:
                self._check(wanted, zone)
            except TrafficPolicyError:
                continue  # it stays what it was; `status` shows the finding
            return wanted, f"{zone} is gone: {found[zone].told}"
        return None

    def look(self, now: int, heard: ReceivedReports) -> tuple[TrafficPolicy, str] | None:
        """Return the posture to propose now, and why."""
        gone = self.leaving(now, heard)
        if gone is not None or self.traffic_policy.hold_reason:
            return gone
        for zone, order in self.traffic_policy.zones.items():
            since = evidence.aggregate(heard.said, zone, order.step)
            found = rollout.judge(order, self.age(zone, now), since)
            if found is not None:
                return self.traffic_policy.with_zone(zone, found[0]), f"{zone}: {found[1]}"
        return None

    def age(self, zone: str, now: int) -> int:
        """For how long it has gone by a zone's step and round, less its own while."""
        return max(0, now - self._began[zone][2]) if zone in self._began else 0

    # --- What operators ask for

    def operator_request(
        self, act: str, zone: str, why: str, by: str, step: int | None
    ) -> TrafficPolicy:
        """Return the posture that an operator's word comes to; raises PostureError."""
        wanted = self._wanted(act, zone, why[:MOST_WHY], by, step)
        self._check(wanted, zone)
        if wanted == self.traffic_policy:
            raise TrafficPolicyError(
                "nothing to do: that is what holds; see `sailhitch zones status`"
            )
        return wanted

    def _check(self, wanted: TrafficPolicy, zone: str) -> None:
        validate(wanted, self.zone_of.values(), self.terms.max_out)
        for pool, here in self.nodes.items():
            if here and len(inactive_nodes(wanted, here)) == len(here):
                raise TrafficPolicyError(f"pool {pool!r} has no nodes outside of zone {zone!r}")

    def _wanted(self, act: str, zone: str, why: str, by: str, step: int | None) -> TrafficPolicy:
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
        dwell = max(self.terms.step, step or 0)
        return self.traffic_policy.with_zone(zone, rollout.begin(order, dwell, by, why))

    def status(self, now: int, heard: ReceivedReports) -> dict[str, Any]:
        """Return what `zones status` shows."""
        told = {}
        out = all_inactive_nodes(self.traffic_policy, self.nodes)
        for name, count in sorted(Counter(self.zone_of.values()).items()):
            order = self.traffic_policy.zones.get(name)
            finding = heard.found[name]
            used = sum(zone == name and node not in out for node, zone in self.zone_of.items())
            told[name] = {
                "nodes": count,
                "in_use": used,
                "share": 1.0,
                "phase": "in use",
                "finding": finding.kind.value,
                "sure": round(finding.sure, 3),
                "seen": finding.told,
            }
            if order is not None:
                since = evidence.aggregate(heard.said, name, order.step)
                told[name] |= {
                    "share": order.share,
                    "phase": order.phase,
                    "by": order.ordered_by,
                    "why": order.reason,
                    "relapses": order.failed_recoveries,
                    "ended": since.ended,
                    "failed": since.failed,
                    "waits_for": rollout.waits_for(order, self.age(name, now)),
                }
        return {"serial": self.serial, "held": self.traffic_policy.hold_reason, "zones": told}


def all_retried_nodes(old: TrafficPolicy, new: TrafficPolicy, nodes: Nodes) -> frozenset[str]:
    """Nodes in use that are to be tried as if they had just started."""
    zones = set(retried_zones(old, new))
    if not zones:
        return frozenset()
    here = {name for pool in nodes.values() for name, zone in pool.items() if zone in zones}
    return frozenset(here) - all_inactive_nodes(new, nodes)


def all_inactive_nodes(posture: TrafficPolicy, nodes: Nodes) -> frozenset[str]:
    """Nodes that get nothing new. Each pool by itself: a share of a zone is one in every pool."""
    if not posture.zones:
        return frozenset()
    return frozenset().union(*(inactive_nodes(posture, here) for here in nodes.values()))

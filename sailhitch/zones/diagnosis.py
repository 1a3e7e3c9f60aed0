"""The condition of a zone, by the reports of all gateways: pure functions.

Each gateway reports the ratio of failed nodes that it observes in a zone. A report's weight is the
number of nodes that the gateway has outcomes of there, at most `MAX_WEIGHT_SHARE` of all weights.
The reports of the gateways in one zone are reduced to their weighted median, so that a faulty or
lying minority changes nothing. A gateway that observes all zones failing while others observe them
as healthy is faulty, and not counted.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from enum import Enum
from typing import Final, NamedTuple

from .health_tracker import ZoneObservation

# Thresholds for the ratio of a zone's nodes whose last outcome is a failure.
FAILED_RATIO: Final = 0.8  # from here on it is failed, though a few nodes still answer
DEGRADED_RATIO: Final = 0.2  # from here on it is degraded
HEALTHY_RATIO: Final = 0.1  # up to here it is healthy
OVERLOADED_RATIO: Final = 0.5  # of its nodes, that rejected the last request as overloaded
MIN_KNOWN_NODES: Final = 2  # nodes that a report must cover, or all of a smaller zone
MAX_WEIGHT_SHARE: Final = 1 / 3
RECENT: Final = 2  # s
MIN_REPORTERS: Final = 2  # gateways that must report on a zone, if there are that many


class ZoneCondition(Enum):
    """The condition that a zone is diagnosed with; the values are shown to operators."""

    HEALTHY = "well"
    FAILED = "gone"
    PARTITIONED = "cut off from some places"
    DEGRADED = "gray"
    OVERLOADED = "overloaded"
    ALL_ZONES_FAILING = "all zones fail: it is the site, or the gateways"
    UNKNOWN = "unknown"


_FAILING: Final = (ZoneCondition.FAILED, ZoneCondition.DEGRADED, ZoneCondition.PARTITIONED)


class GatewayReport(NamedTuple):
    """The observations of one gateway."""

    name: str
    zone: str  # the gateway's own zone
    observations: Mapping[str, ZoneObservation]


class Finding(NamedTuple):
    """A zone's diagnosis, with the ratio of reports that agree, and the figures behind it."""

    condition: ZoneCondition
    confidence: float
    description: str


def faulty_gateways(reports: Sequence[GatewayReport], sizes: Mapping[str, int]) -> list[str]:
    """Return the gateways that alone observe all zones failing."""
    if len(reports) < 3:
        return []
    return [report.name for report in reports if _is_faulty(report, reports, sizes)]


def _is_faulty(
    report: GatewayReport, reports: Sequence[GatewayReport], sizes: Mapping[str, int]
) -> bool:
    zones = [zone for zone in report.observations if _has_evidence(report, zone, sizes)]
    if not zones or len(zones) < min(2, len(sizes)):
        return False
    ratios = [_failure_ratio(report, zone) for zone in zones]
    if not all(ratio >= DEGRADED_RATIO for ratio in ratios):
        return False
    if sum(ratios) / len(ratios) < FAILED_RATIO / 2:
        return False
    others = [other for other in reports if other is not report]
    return all(_median_failure_ratio(others, zone, sizes) <= HEALTHY_RATIO for zone in zones)


def diagnose(reports: Sequence[GatewayReport], sizes: Mapping[str, int]) -> dict[str, Finding]:
    """Return each zone's diagnosis; `sizes` has the number of nodes of each."""
    faulty = set(faulty_gateways(reports, sizes))
    counted = [report for report in reports if report.name not in faulty]
    min_reporters = max(1, min(MIN_REPORTERS, len(reports)))
    findings = {zone: _diagnose_zone(counted, zone, sizes, min_reporters) for zone in sizes}
    failing = [zone for zone, finding in findings.items() if finding.condition in _FAILING]
    known = [
        zone for zone, finding in findings.items() if finding.condition is not ZoneCondition.UNKNOWN
    ]
    if len(known) > 1 and len(failing) == len(known):
        for zone in failing:
            findings[zone] = findings[zone]._replace(condition=ZoneCondition.ALL_ZONES_FAILING)
    return findings


def _diagnose_zone(
    reports: Sequence[GatewayReport], zone: str, sizes: Mapping[str, int], min_reporters: int
) -> Finding:
    usable_reports = _without_outdated([r for r in reports if _has_evidence(r, zone, sizes)], zone)
    if len(usable_reports) < min_reporters:
        return Finding(
            ZoneCondition.UNKNOWN,
            0.0,
            f"{len(usable_reports)} of {min_reporters} required gateways have evidence",
        )
    overloaded = _weighted_median([(_overload_ratio(report, zone), 1) for report in usable_reports])
    if overloaded >= OVERLOADED_RATIO:
        return Finding(
            ZoneCondition.OVERLOADED,
            1.0,
            f"{overloaded:.0%} of its nodes rejected their last request",
        )
    by_origin: dict[str, list[GatewayReport]] = {}  # by the zone of the gateways
    for report in usable_reports:
        by_origin.setdefault(report.zone, []).append(report)
    ratios = {
        origin: _median_failure_ratio(local, zone, sizes) for origin, local in by_origin.items()
    }
    text = ", ".join(
        f"{ratio:.0%} of its nodes fail from {origin or 'here'} ({len(by_origin[origin])} gateways)"
        for origin, ratio in sorted(ratios.items())
    )
    failed = sorted(origin for origin, ratio in ratios.items() if ratio >= FAILED_RATIO)
    if failed and len(failed) == len(ratios):
        return Finding(ZoneCondition.FAILED, _agreement(usable_reports, zone, FAILED_RATIO), text)
    if failed and any(ratio <= HEALTHY_RATIO for ratio in ratios.values()):
        confidence = _agreement(by_origin[failed[0]], zone, FAILED_RATIO)
        return Finding(ZoneCondition.PARTITIONED, confidence, text)
    degraded = _agreement(usable_reports, zone, DEGRADED_RATIO)
    if any(ratio >= DEGRADED_RATIO for ratio in ratios.values()):
        return Finding(ZoneCondition.DEGRADED, degraded, text)
    return Finding(ZoneCondition.HEALTHY, 1 - degraded, text)


def _without_outdated(reports: list[GatewayReport], zone: str) -> list[GatewayReport]:
    """Return the reports, without outdated contradictions of a majority that sees a failed zone.

    An outdated success may be older than the zone's failure, as policies send few requests to a
    failing zone. Without such a majority all reports count: at low load most are outdated, and the
    few gateways that happened to reach a zone's bad nodes would decide for all.
    """
    if 2 * sum(_failure_ratio(r, zone) >= FAILED_RATIO for r in reports) <= len(reports):
        return reports
    return [
        report
        for report in reports
        if _failure_ratio(report, zone) >= FAILED_RATIO or report.observations[zone].age <= RECENT
    ]


def _has_evidence(report: GatewayReport, zone: str, sizes: Mapping[str, int]) -> bool:
    observation = report.observations.get(zone)
    if observation is None:
        return False
    return observation.known >= min(MIN_KNOWN_NODES, sizes.get(zone, MIN_KNOWN_NODES))


def _failure_ratio(report: GatewayReport, zone: str) -> float:
    observation = report.observations[zone]
    return observation.failed / observation.known


def _overload_ratio(report: GatewayReport, zone: str) -> float:
    observation = report.observations[zone]
    return observation.full / observation.known


def _median_failure_ratio(
    reports: Iterable[GatewayReport], zone: str, sizes: Mapping[str, int]
) -> float:
    """Return the weighted median of the reports on a zone; 0 if none has evidence."""
    size = sizes.get(zone, 1)  # a report that claims to know more nodes gets no more weight
    return _weighted_median(
        [
            (_failure_ratio(report, zone), min(report.observations[zone].known, size))
            for report in reports
            if _has_evidence(report, zone, sizes)
        ]
    )


def _weighted_median(weighted_ratios: list[tuple[float, int]]) -> float:
    """Return the median, with each weight limited to `MAX_WEIGHT_SHARE` of all; 0 if empty."""
    max_weight = max(1.0, MAX_WEIGHT_SHARE * sum(weight for _, weight in weighted_ratios))
    capped = [(ratio, min(weight, max_weight)) for ratio, weight in sorted(weighted_ratios)]
    half = sum(weight for _, weight in capped) / 2
    cumulated = 0.0
    for ratio, weight in capped:
        cumulated += weight
        if cumulated >= half:
            return ratio
    return 0.0


def _agreement(reports: Sequence[GatewayReport], zone: str, min_ratio: float) -> float:
    """Return the ratio of the reports that see at least `min_ratio` of a zone's nodes fail."""
    return sum(_failure_ratio(report, zone) >= min_ratio for report in reports) / len(reports)

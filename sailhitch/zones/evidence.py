"""Outcomes of requests in a zone since a step of its recovery began, summed over all gateways.

Each gateway counts its own attempts, and sends the counts with its gossip (`ZoneHealthReport`). If
three or more report, the one with the highest failure ratio is left out of the sum, so that a
single gateway that is faulty, partitioned or lying changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

from .health_tracker import ZoneObservation
from .rollout import StepOutcomes
from .traffic_policy import TrafficPolicy

MAX_ZONES: Final = 16  # zones in a report
MAX_REPORT_BYTES: Final = 400  # bytes of an encoded report


class ZoneHealthReport(msgspec.Struct, frozen=True, array_like=True):
    """One gateway's report on the zones."""

    counts: dict[str, tuple[int, int, int]]  # by zone: the step, attempts ended, attempts failed
    zone: str = ""  # the gateway's own zone
    observations: dict[str, ZoneObservation] = {}


class OutcomeCounts:
    """One gateway's counts of its own attempts."""

    def __init__(self) -> None:
        self._zones: dict[str, list[int]] = {}

    def apply(self, traffic_policy: TrafficPolicy) -> None:
        """Apply a traffic policy; the counts of a new step start at 0."""
        self._zones = {
            name: self._zones[name]
            if name in self._zones and self._zones[name][0] == order.step
            else [order.step, 0, 0]
            for name, order in traffic_policy.zones.items()
        }

    def record(self, zone: str, failed: bool) -> None:
        """Count an attempt in a zone."""
        counts = self._zones.get(zone)
        if counts is not None:
            counts[1] += 1
            counts[2] += failed

    def counts(self) -> dict[str, tuple[int, int, int]]:
        """Return the counts to report."""
        return {
            name: (step, ended, failed)
            for name, (step, ended, failed) in sorted(self._zones.items())[:MAX_ZONES]
            if ended
        }


def encode(report: ZoneHealthReport) -> bytes:
    """Return an encoded report; empty if there is nothing to report.

    A gossip datagram carries twelve reports, which limits their size. Observations that do not fit
    are left out, those with the fewest failures first.
    """
    if not report.counts and not report.observations:
        return b""
    observations = sorted(report.observations.items(), key=lambda item: -item[1].failed)
    while True:
        fitting = msgspec.structs.replace(report, observations=dict(observations))
        encoded = msgspec.msgpack.encode(fitting)
        if len(encoded) <= MAX_REPORT_BYTES or not observations:
            return encoded
        observations.pop()


def decode(encoded: bytes) -> ZoneHealthReport | None:
    """Return a gateway's report; None if it is empty or invalid."""
    if not 0 < len(encoded) <= MAX_REPORT_BYTES:
        return None
    try:
        report = msgspec.msgpack.decode(encoded, type=ZoneHealthReport)
    except msgspec.DecodeError:
        return None
    valid_counts = all(0 <= failed <= ended for _, ended, failed in report.counts.values())
    valid_observations = all(_is_valid(each) for each in report.observations.values())
    return report if valid_counts and valid_observations else None


def _is_valid(observation: ZoneObservation) -> bool:
    known = observation.known
    return (
        known > 0
        and 0 <= observation.failed <= known
        and 0 <= observation.full <= known
        and observation.age >= 0
    )


def aggregate(reports: Iterable[ZoneHealthReport], zone: str, step: int) -> StepOutcomes:
    """Return the sum of the counts for a step of a zone's recovery."""
    counts = [report.counts[zone] for report in reports if zone in report.counts]
    current = [
        StepOutcomes(ended, failed)
        for of_step, ended, failed in counts
        if of_step == step and ended
    ]
    if len(current) >= 3:
        current.remove(max(current, key=lambda c: (c.failed / c.ended, c.failed)))
    return StepOutcomes(sum(c.ended for c in current), sum(c.failed for c in current))

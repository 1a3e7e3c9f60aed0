"""What a gateway observes of each zone: the last outcome at each of the zone's nodes.

Request counts alone would be lost when they matter most: the nodes of a failed zone are ejected
within a second, and hardly any request ends there any more. So the last outcome at a node is kept
until there is a newer one, and the policy retries an ejected node from time to time.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, NamedTuple

# Consecutive failures at nodes of a zone after which older successes there do not count.
MIN_FAILURE_RUN: Final = 2
OUTCOME_TTL: Final = 60_000_000  # us for which an outcome counts


class ZoneObservation(NamedTuple):
    """A zone's nodes with a known last outcome, and how many of them failed or were overloaded."""

    known: int
    failed: int
    full: int  # rejected the request as overloaded
    age: int = 0  # s since the last outcome there


class Outcome(NamedTuple):
    """The outcome of the last request at a node."""

    at: int
    failed: bool
    full: bool


class ZoneHealth:
    """The last outcome at each node of the applied state."""

    def __init__(self) -> None:
        self._last: dict[str, Outcome] = {}

    def record(self, node: str, failed: bool, full: bool, now: int) -> None:
        """Record the outcome of a request at a node."""
        self._last[node] = Outcome(now, failed, full)

    def retain(self, nodes: Mapping[str, str]) -> None:
        """Drop the outcomes of all but these nodes, given with their zones."""
        if not self._last.keys() <= nodes.keys():
            self._last = {name: outcome for name, outcome in self._last.items() if name in nodes}

    def forget(self, names: frozenset[str]) -> None:
        """Drop the outcomes of these nodes."""
        for name in names & self._last.keys():
            del self._last[name]

    def observations(self, nodes: Mapping[str, str], now: int) -> dict[str, ZoneObservation]:
        """Return the observation of each zone.

        If several nodes of a zone have failed with no success since, older successes do not count:
        the policy avoids a failing zone, and would be slow to detect that its other nodes fail too.
        """
        by_zone: dict[str, list[Outcome]] = {}
        for name, outcome in self._last.items():
            zone = nodes.get(name)
            if zone is not None and now - outcome.at <= OUTCOME_TTL:
                by_zone.setdefault(zone, []).append(outcome)
        return {zone: _observe(outcomes, now) for zone, outcomes in by_zone.items()}


def _observe(outcomes: list[Outcome], now: int) -> ZoneObservation:
    age = (now - max(outcome.at for outcome in outcomes)) // 1_000_000
    last_success = max((outcome.at for outcome in outcomes if not outcome.failed), default=-1)
    failure_run = sum(outcome.failed and outcome.at > last_success for outcome in outcomes)
    if failure_run >= MIN_FAILURE_RUN:
        return ZoneObservation(failure_run, failure_run, 0, age)
    failed = sum(outcome.failed for outcome in outcomes)
    full = sum(outcome.full for outcome in outcomes)
    return ZoneObservation(len(outcomes), failed, full, age)

"""What a gateway sees of each zone, by the last outcome at each of its nodes.

Counts of requests alone would fade where it matters: a zone that answers nothing is shunned within
a second, and hardly any request ends there any more. The last outcome at a node stays until there
is another, and the decision module tries a shunned node again from time to time.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, NamedTuple

RUN: Final = 2  # nodes that fail one after the other, after which older successes say nothing
OUTCOME_TTL: Final = 60_000_000  # us after which an outcome says nothing any more


class ZoneObservation(NamedTuple):
    """Of a zone's nodes: how many this gateway knows of, and of these failed or were full last."""

    known: int
    failed: int
    full: int
    age: int = 0  # seconds since the last outcome there, a whole number


class Outcome(NamedTuple):
    """What the last request at a node came to."""

    at: int
    failed: bool
    full: bool


class ZoneHealth:
    """The last outcomes, by node; bounded by the nodes of the state that holds."""

    def __init__(self) -> None:
        self._last: dict[str, Outcome] = {}

    def record(self, node: str, failed: bool, full: bool, now: int) -> None:
        """A request at a node has ended."""
        self._last[node] = Outcome(now, failed, full)

    def keep(self, nodes: Mapping[str, str]) -> None:
        """These are the nodes, with the zone of each; others are forgotten."""
        if not self._last.keys() <= nodes.keys():
            self._last = {name: one for name, one in self._last.items() if name in nodes}

    def forget(self, names: frozenset[str]) -> None:
        """Nothing of before is believed of these."""
        for name in names & self._last.keys():
            del self._last[name]

    def observations(self, nodes: Mapping[str, str], now: int) -> dict[str, ZoneObservation]:
        """By zone, what is known of its nodes.

        Where several nodes of a zone have failed one after the other and nothing there has gone
        well since, older successes say nothing: the decision module turns away from a zone that
        fails, and would not find out for long that its other nodes fail too.
        """
        found: dict[str, list[Outcome]] = {}
        for name, one in self._last.items():
            zone = nodes.get(name)
            if zone is not None and now - one.at <= OUTCOME_TTL:
                found.setdefault(zone, []).append(one)
        return {zone: _sight(outcomes, now) for zone, outcomes in found.items()}


def _sight(outcomes: list[Outcome], now: int) -> ZoneObservation:
    age = (now - max(one.at for one in outcomes)) // 1_000_000
    last_ok = max((one.at for one in outcomes if not one.failed), default=-1)
    run = sum(one.failed and one.at > last_ok for one in outcomes)
    if run >= RUN:
        return ZoneObservation(run, run, 0, age)
    failed = sum(one.failed for one in outcomes)
    full = sum(one.full for one in outcomes)
    return ZoneObservation(len(outcomes), failed, full, age)

"""What a play of a scenario came to, and whether a promise was broken: by the nodes' own logs.

What counts beside them is only what operators' commands said, never what a daemon says of itself.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from ..daemon.schema import read_duration
from ..zones.rollout import FIRST_SHARE, next_share
from ..zones.traffic_policy import active_node_count
from .load import LOST, REFUSED, SERVED, Load
from .node import Effect, Node, doubled
from .scenario import Scenario, StepPart

ALLOWED: Final = 0.25  # s after a command has said "active": what was on its way may still come


@dataclass
class Told:
    """What a command said, and when: seconds of the loop's clock."""

    step: StepPart
    by: str  # the gateway that was asked
    asked: float
    ended: float
    end: str
    text: str


@dataclass
class Result:
    """What a play came to; `broken` has a line for each promise that was."""

    scenario: Scenario
    told: list[Told] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    ends: dict[str, dict[str, int]] = field(default_factory=dict)  # of requests, by gateway
    gap: dict[str, float] = field(
        default_factory=dict
    )  # longest without a payout served, by gateway
    late: float = 0.0  # how long a contradiction lasted, by the nodes' logs

    def as_json(self) -> dict[str, Any]:
        """Return the result as plain values."""
        return {
            "name": self.scenario.name,
            "broken": self.broken,
            "requests": self.ends,
            "longest_gap": self.gap,
            "contradiction": self.late,
            "commands": [
                {
                    "do": one.step.do,
                    "by": one.by,
                    "node": one.step.node,
                    "end": one.end,
                    "took": round(one.ended - one.asked, 3),
                    "text": one.text,
                }
                for one in self.told
            ],
        }


class Watched(Protocol):
    """What a judge has to know of a gateway: what was done to it."""

    restarted: bool
    down: list[tuple[float, float]]  # when it was not to be expected to serve


@dataclass
class Judge:
    """Looks at the nodes' logs once a play is over. Times are of the loop's clock."""

    result: Result
    nodes: Mapping[str, Node]
    gateways: Mapping[str, Watched]
    loads: Mapping[str, Load]

    def judge(self, began: float, ended: float) -> None:
        """Fill in what is broken, what became of requests, and how long a contradiction lasted."""
        result = self.result
        result.broken += [
            f"effect twice: {name.decode()}" for name in doubled([*self.nodes.values()])
        ]
        for told in result.told:
            if told.step.ends and told.end != told.step.ends:
                result.broken.append(
                    f"{told.step.do} {told.step.node} at {told.by} ended {told.end}, not "
                    f"{told.step.ends}: {told.text}"
                )
            if told.end == "active":
                self._changed(told)
        self._races()
        for name, load in self.loads.items():
            result.ends[name] = dict(load.ends)
            if load.wrong:
                result.broken.append(f"{name}: {len(load.wrong)} answers were another request's")
            self._service(name, load, began, ended)

    def _changed(self, told: Told) -> None:
        """From when a command was told "active", nothing comes that the new rules forbid."""
        step = told.step
        if step.do in ("ban", "drop"):
            over = self._until(told, lambda one: one.do == "unban" and one.node == step.node)
            self._none(told, over, [step.node], lambda effect: not self._is_free(effect))
        elif step.do == "reroute":
            over = self._until(told, lambda one: one.do == "reroute")
            spare = set(self.result.scenario.spares())
            left = [one for one in self.nodes if (one in spare) != bool(step.value)]
            self._none(told, over, left, lambda effect: not effect.safe and not effect.key)
        elif step.do == "leave":
            over = self._until(told, lambda one: one.do == "return" and one.node == step.node)
            left = [name for name in self.nodes if self.result.scenario.zone_of(name) == step.node]
            self._none(told, over, left, lambda effect: True)
        elif step.do == "return":
            self._paced(told)

    def _paced(self, told: Told) -> None:
        """Check that a recovery uses no more nodes than its steps had time for."""
        scenario = self.result.scenario
        zone = told.step.node
        here = [name for name in self.nodes if scenario.zone_of(name) == zone]
        over = self._until(told, lambda one: one.do in ("leave", "return") and one.node == zone)
        first = sorted(
            min((e.at for e in self.nodes[name].log if told.asked < e.at < over), default=math.inf)
            for name in here
        )
        share = FIRST_SHARE
        began = told.asked
        while share < 1:
            began += read_duration(scenario.step) / 1e6
            early = sum(at < began for at in first)
            if early > active_node_count(share, len(here)):
                self.result.broken.append(
                    f"{early} nodes of {zone} got something within {began - told.asked:.2f} s of "
                    f"its return, where {active_node_count(share, len(here))} were due"
                )
                return
            share = next_share(share)

    def _until(self, told: Told, ends: Callable[[StepPart], bool]) -> float:
        later = [one.asked for one in self.result.told if one.asked > told.ended and ends(one.step)]
        return min(later, default=math.inf)

    def _none(
        self, told: Told, over: float, names: Sequence[str], counts: Callable[[Effect], bool]
    ) -> None:
        for name in names:
            late = [
                effect
                for effect in self.nodes[name].log
                if told.ended < effect.at < over and counts(effect)
            ]
            self.result.late = max([self.result.late, *(e.at - told.ended for e in late)])
            wrong = [effect for effect in late if effect.at > told.ended + ALLOWED]
            if wrong:
                last = wrong[-1]
                self.result.broken.append(
                    f"{name} got {len(wrong)} requests after {told.step.do} was active, the last "
                    f"{last.name.decode()} {last.at - told.ended:.2f} s after, under version "
                    f"{last.version.decode()}, {'safe' if last.safe else 'not safe'}"
                )

    def _is_free(self, effect: Effect) -> bool:
        """Whether it is safe and of a member that was out: that serves these by what it last knew.

        Out is who has started and not heard yet, and whose lease has lapsed.
        """
        sender = self.gateways[effect.name.decode().partition("-")[0]]
        return effect.safe and (sender.restarted or self.result.scenario.lease is not None)

    def _races(self) -> None:
        """Of commands begun together at several gateways, one may win."""
        for step in self.result.scenario.steps:
            ends = [one.end for one in self.result.told if one.step is step]
            what = f"{step.do} {step.node}"
            won = sum(e in ("active", "pending") for e in ends)
            if len(ends) > 1 and not step.ends and won != 1:
                self.result.broken.append(f"{what}: {won} of {len(ends)} won: {ends}")

    def _service(self, name: str, load: Load, began: float, ended: float) -> None:
        """Payouts through every running gateway, but for what is held back."""
        result, least = self.result, self.result.scenario.served
        up = load.ends[SERVED] + load.ends[REFUSED] + load.ends[LOST]
        if up and load.ends[SERVED] / up < least and not self.gateways[name].down[1:]:
            result.broken.append(f"{name} served {load.ends[SERVED]} of {up}, below {least:g}")
        times = sorted(
            effect.at
            for node in self.nodes.values()
            for effect in node.log
            if effect.name.startswith(f"{name}-".encode()) and not effect.safe
        )
        points = [began, *times, ended]
        result.gap[name] = max(b - a for a, b in itertools.pairwise(points))


def table(result: Result) -> list[str]:
    """Return what a play came to, for people."""
    lines = [f"{'command':<24} {'end':<8} {'took':>7}"]
    for told in result.told:
        what = f"{told.step.do} {told.step.node} at {told.by}"
        lines.append(f"{what:<24} {told.end:<8} {told.ended - told.asked:6.2f}s")
    lines.append(
        f"{'gateway':<10} {'served':>7} {'refused':>8} {'failed':>7} {'cut':>5} {'gap':>6}"
    )
    for name, ends in result.ends.items():
        counts = [ends.get(one, 0) for one in (SERVED, REFUSED, "failed", "cut")]
        lines.append(
            f"{name:<10} {counts[0]:>7} {counts[1]:>8} {counts[2]:>7} {counts[3]:>5} "
            f"{result.gap[name]:5.2f}s"
        )
    lines.append(f"a contradiction lasted {result.late * 1000:.0f} ms at the longest")
    return [*lines, *(f"BROKEN: {one}" for one in result.broken)]

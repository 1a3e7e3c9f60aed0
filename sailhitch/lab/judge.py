"""The result of playing a scenario, and the check of the tier's promises against the nodes' logs.

Only the nodes' logs and the replies to operators' commands count as evidence, never what a daemon
reports of itself.
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
from .node import Effect, Node, executed_twice
from .scenario import Scenario, ScenarioStep

# s after a command returned "active" in which requests that were in flight may still arrive.
IN_FLIGHT_TOLERANCE: Final = 0.25


@dataclass
class CommandResult:
    """An operator's command and its result; times are seconds on the loop's clock."""

    step: ScenarioStep
    by: str  # the gateway that received the command
    asked: float
    ended: float
    end: str
    text: str


@dataclass
class Result:
    """The result of a play; `broken` has a line for each broken promise."""

    scenario: Scenario
    command_results: list[CommandResult] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    ends: dict[str, dict[str, int]] = field(default_factory=dict)  # request outcomes by gateway
    # Longest time without a payout served, by gateway.
    gap: dict[str, float] = field(default_factory=dict)
    # s for which nodes got requests that an active change forbids, at the longest.
    contradiction_time: float = 0.0

    def as_json(self) -> dict[str, Any]:
        """Return the result as plain values."""
        return {
            "name": self.scenario.name,
            "broken": self.broken,
            "requests": self.ends,
            "longest_gap": self.gap,
            "contradiction": self.contradiction_time,
            "commands": [
                {
                    "do": one.step.do,
                    "by": one.by,
                    "node": one.step.node,
                    "end": one.end,
                    "took": round(one.ended - one.asked, 3),
                    "text": one.text,
                }
                for one in self.command_results
            ],
        }


class GatewayHistory(Protocol):
    """What the check needs to know about a gateway: the faults injected into it."""

    restarted: bool
    down: list[tuple[float, float]]  # intervals in which it was not expected to serve


@dataclass
class ResultChecker:
    """Checks the nodes' logs after a play. Times are on the loop's clock."""

    result: Result
    nodes: Mapping[str, Node]
    gateways: Mapping[str, GatewayHistory]
    loads: Mapping[str, Load]

    def check(self, began: float, ended: float) -> None:
        """Fill in the result: broken promises, outcomes, gaps, and the longest contradiction."""
        result = self.result
        result.broken += [
            f"effect twice: {name.decode()}" for name in executed_twice([*self.nodes.values()])
        ]
        for command in result.command_results:
            if command.step.ends and command.end != command.step.ends:
                result.broken.append(
                    f"{command.step.do} {command.step.node} at {command.by} ended {command.end}, "
                    f"expected {command.step.ends}: {command.text}"
                )
            if command.end == "active":
                self._check_active_change(command)
        self._check_races()
        for name, load in self.loads.items():
            result.ends[name] = dict(load.ends)
            if load.wrong:
                result.broken.append(
                    f"{name}: {len(load.wrong)} responses were for another request"
                )
            self._check_service(name, load, began, ended)

    def _check_active_change(self, command: CommandResult) -> None:
        """Check that nodes got nothing that a command forbids once it had returned "active"."""
        step = command.step
        if step.do in ("ban", "drop"):
            superseded_at = self._superseded_at(
                command, lambda one: one.do == "unban" and one.node == step.node
            )
            self._check_none_received(
                command, superseded_at, [step.node], lambda effect: not self._is_exempt(effect)
            )
        elif step.do == "reroute":
            superseded_at = self._superseded_at(command, lambda one: one.do == "reroute")
            spare = set(self.result.scenario.spares())
            left = [one for one in self.nodes if (one in spare) != bool(step.value)]
            self._check_none_received(
                command, superseded_at, left, lambda effect: not effect.safe and not effect.key
            )
        elif step.do == "leave":
            superseded_at = self._superseded_at(
                command, lambda one: one.do == "return" and one.node == step.node
            )
            left = [name for name in self.nodes if self.result.scenario.zone_of(name) == step.node]
            self._check_none_received(command, superseded_at, left, lambda effect: True)
        elif step.do == "return":
            self._check_return_pace(command)

    def _check_return_pace(self, command: CommandResult) -> None:
        """Check that a zone's return used no more nodes than its steps allowed at each time."""
        scenario = self.result.scenario
        zone = command.step.node
        here = [name for name in self.nodes if scenario.zone_of(name) == zone]
        superseded_at = self._superseded_at(
            command, lambda one: one.do in ("leave", "return") and one.node == zone
        )
        first = sorted(
            min(
                (e.at for e in self.nodes[name].log if command.asked < e.at < superseded_at),
                default=math.inf,
            )
            for name in here
        )
        share = FIRST_SHARE
        began = command.asked
        while share < 1:
            began += read_duration(scenario.step) / 1e6
            early = sum(at < began for at in first)
            if early > active_node_count(share, len(here)):
                self.result.broken.append(
                    f"{early} nodes of {zone} got requests within {began - command.asked:.2f} s of "
                    f"its return, at most {active_node_count(share, len(here))} allowed"
                )
                return
            share = next_share(share)

    def _superseded_at(self, command: CommandResult, ends: Callable[[ScenarioStep], bool]) -> float:
        later = [
            one.asked
            for one in self.result.command_results
            if one.asked > command.ended and ends(one.step)
        ]
        return min(later, default=math.inf)

    def _check_none_received(
        self,
        command: CommandResult,
        superseded_at: float,
        names: Sequence[str],
        counts: Callable[[Effect], bool],
    ) -> None:
        for name in names:
            late = [
                effect
                for effect in self.nodes[name].log
                if command.ended < effect.at < superseded_at and counts(effect)
            ]
            self.result.contradiction_time = max(
                [self.result.contradiction_time, *(e.at - command.ended for e in late)]
            )
            invalid = [effect for effect in late if effect.at > command.ended + IN_FLIGHT_TOLERANCE]
            if invalid:
                last = invalid[-1]
                self.result.broken.append(
                    f"{name} got {len(invalid)} requests after {command.step.do} was active, the "
                    f"last {last.name.decode()} {last.at - command.ended:.2f} s after, "
                    f"under version {last.version.decode()}, {'safe' if last.safe else 'not safe'}"
                )

    def _is_exempt(self, effect: Effect) -> bool:
        """Return whether it is a safe request from a member that may have been out of the tier.

        Such a member serves safe requests by the last version it knew. A member is out after a
        start, until it has heard from the tier, and while its lease has lapsed.
        """
        sender = self.gateways[effect.name.decode().partition("-")[0]]
        return effect.safe and (sender.restarted or self.result.scenario.lease is not None)

    def _check_races(self) -> None:
        """Check that of commands sent to several gateways at once, exactly one wins."""
        for step in self.result.scenario.steps:
            ends = [one.end for one in self.result.command_results if one.step is step]
            what = f"{step.do} {step.node}"
            won = sum(e in ("active", "pending") for e in ends)
            if len(ends) > 1 and not step.ends and won != 1:
                self.result.broken.append(f"{what}: {won} of {len(ends)} won: {ends}")

    def _check_service(self, name: str, load: Load, began: float, ended: float) -> None:
        """Check a gateway's served share, and find its longest gap without a payout served."""
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
    """Return the result as lines of text."""
    lines = [f"{'command':<24} {'end':<8} {'took':>7}"]
    for command in result.command_results:
        what = f"{command.step.do} {command.step.node} at {command.by}"
        lines.append(f"{what:<24} {command.end:<8} {command.ended - command.asked:6.2f}s")
    lines.append(
        f"{'gateway':<10} {'served':>7} {'refused':>8} {'failed':>7} {'cut':>5} {'gap':>6}"
    )
    for name, ends in result.ends.items():
        counts = [ends.get(one, 0) for one in (SERVED, REFUSED, "failed", "cut")]
        lines.append(
            f"{name:<10} {counts[0]:>7} {counts[1]:>8} {counts[2]:>7} {counts[3]:>5} "
            f"{result.gap[name]:5.2f}s"
        )
    lines.append(f"a contradiction lasted {result.contradiction_time * 1000:.0f} ms at the longest")
    return [*lines, *(f"BROKEN: {one}" for one in result.broken)]

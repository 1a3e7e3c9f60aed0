"""Compares a play of a scenario by processes with plays of it in the fleet model."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from .judge import CommandResult, Result
from .modelled import ModelPlay
from .scenario import ScenarioStep


@dataclass
class Comparison:
    """A play by processes compared with plays in the model; `differs` lists the differences."""

    lines: list[str] = field(default_factory=list)
    differs: list[str] = field(default_factory=list)


def compare(result: Result, plays: Sequence[ModelPlay]) -> Comparison:
    """Compare each command's result and duration with those of the same scenario in the model.

    If a race can end in several ways, any result that some seed produces is accepted.
    """
    comparison = Comparison([f"{'command':<24} {'processes':>16} {'model':>24}"])
    comparison.differs += [f"in the model: {play.broken}" for play in plays if play.broken]
    steps = result.scenario.steps
    by_key = [_by_key(steps, play.command_results) for play in plays]
    for key, command_result in sorted(_by_key(steps, result.command_results).items()):
        model_results = [play[key] for play in by_key if key in play]
        ends = sorted({command.end for command in model_results})
        times = [command.ended - command.asked for command in model_results]
        what = f"{command_result.step.do} {command_result.step.node} at {command_result.by}"
        duration_range = f"{min(times):.2f} to {max(times):.2f}s" if times else "-"
        process_result = f"{command_result.end} {command_result.ended - command_result.asked:.2f}s"
        comparison.lines.append(
            f"{what:<24} {process_result:>16} {' or '.join(ends):>9} {duration_range:>16}"
        )
        if command_result.end not in ends:
            comparison.differs.append(
                f"{what}: {command_result.end} by processes, "
                f"{' or '.join(ends) or 'nothing'} in the model"
            )
    return comparison


def _by_key(
    steps: Sequence[ScenarioStep], command_results: Sequence[CommandResult]
) -> dict[tuple[int, str], CommandResult]:
    """Return command results by the index of their step and their gateway."""
    numbers = {id(step): number for number, step in enumerate(steps)}
    return {(numbers[id(command.step)], command.by): command for command in command_results}

"""The `lab` command: runs scenarios with real processes and checks their promises.

This module imports the lab, an optional extra that no gateway loads. It is therefore imported only
when the command runs.
"""

from __future__ import annotations

import argparse
import asyncio
import json

from ..lab.judge import table
from ..lab.model_comparison import compare
from ..lab.modelled import play_modelled
from ..lab.scenario import ScenarioError, load_scenario
from ..lab.tier import play
from .cli_outcome import DONE, ERROR, CommandError


def play_scenarios(options: argparse.Namespace) -> int:
    """Run all scenario files; return ERROR if one breaks a promise or differs from the model."""
    has_failed = False
    for file in options.files:
        try:
            has_failed |= not _play_file(file, options)
        except ScenarioError as error:
            raise CommandError(str(error)) from None
    return ERROR if has_failed else DONE


def _play_file(file: str, options: argparse.Namespace) -> bool:
    """Run one scenario and print its result; return whether it kept its promises."""
    scenario = load_scenario(file)
    if not options.json:
        print(f"{file}: {scenario.name}, promise {scenario.promise or '-'}", flush=True)
    result = asyncio.run(play(scenario, _print_nothing if options.json else _print_line))
    report = result.as_json()
    lines = table(result)
    if options.model:
        comparison = compare(result, play_modelled(scenario, range(options.model)))
        report["differs"] = comparison.differs
        lines += comparison.lines
        lines += [f"DIFFERS: {difference}" for difference in comparison.differs]
    print(json.dumps(report) if options.json else "\n".join(lines), flush=True)
    return not (result.broken or report.get("differs"))


def _print_line(text: str) -> None:
    print(text, flush=True)


def _print_nothing(text: str) -> None:
    """Discard progress: with `--json` only the results go to standard output."""

"""Checks the tier's promises with real daemons and faults between them, by the nodes' logs.

Each scenario is also played in the fleet model, and operators' commands must end alike in both.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from sailhitch.lab.judge import CommandResult, Result, table
from sailhitch.lab.model_comparison import compare
from sailhitch.lab.modelled import ModelPlay, play_modelled
from sailhitch.lab.scenario import Scenario, load_scenario
from sailhitch.lab.tier import play

FILES = sorted((Path(__file__).parent.parent / "deploy/lab").glob("*.toml"))
SCENARIOS = {path.stem: load_scenario(path) for path in FILES}
MAX_CONCURRENT = 4  # scenarios; each has three to seven daemons, and as many sets of clients
SEEDS = range(8)


@pytest.fixture(scope="module")
def modelled() -> dict[str, list[ModelPlay]]:
    return {name: play_modelled(scenario, SEEDS) for name, scenario in SCENARIOS.items()}


@pytest.mark.parametrize("name", SCENARIOS)
def test_a_scenario_keeps_its_promises_in_the_model(
    name: str, modelled: dict[str, list[ModelPlay]]
) -> None:
    for seed, made in zip(SEEDS, modelled[name], strict=True):
        assert not made.broken, f"seed {seed}"
        wrong = [one for one in made.command_results if one.step.ends not in ("", one.end)]
        assert not wrong, f"seed {seed}"
        assert made.command_results


def test_scenarios_keep_their_promises_by_processes_and_end_as_in_the_model(
    modelled: dict[str, list[ModelPlay]],
) -> None:
    limit = asyncio.Semaphore(MAX_CONCURRENT)

    async def one(scenario: Scenario) -> Result:
        async with limit:
            return await play(scenario)

    async def work() -> list[Result]:
        return await asyncio.gather(*(one(scenario) for scenario in SCENARIOS.values()))

    assert len(SCENARIOS) >= 16
    results = asyncio.run(work())
    broken = ["\n".join([r.scenario.name, *table(r)]) for r in results if r.broken]
    assert not broken, "\n\n".join(broken)
    for name, result in zip(SCENARIOS, results, strict=True):
        assert result.command_results, result.scenario.name
        assert all(ends["served"] for ends in result.ends.values()), result.scenario.name
        found = compare(result, modelled[name])
        assert not found.differs, "\n".join([result.scenario.name, *found.lines, *found.differs])


def test_a_result_that_differs_from_the_model_is_reported() -> None:
    scenario = SCENARIOS["gone"]
    plays = play_modelled(scenario, [1])
    command_results = [
        CommandResult(one.step, one.by, 0.0, 1.0, one.end, "") for one in plays[0].command_results
    ]
    assert compare(Result(scenario, command_results), plays).differs == []
    command_results[1].end = "stale"
    [difference] = compare(Result(scenario, command_results), plays).differs
    assert difference == "ban n2 at g1: stale by processes, pending in the model"
    plays[0].broken = "2: something"
    assert "in the model: 2: something" in compare(Result(scenario, command_results), plays).differs

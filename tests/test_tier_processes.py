"""The promises of the tier by real daemons with faults between them, judged by the nodes' logs.

Each scenario is played in the fleet model as well: what operators are told has to be alike.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from sailhitch.lab.judge import Result, Told, table
from sailhitch.lab.modelled import ModelPlay, compare, play_modelled
from sailhitch.lab.scenario import Scenario, load_scenario
from sailhitch.lab.tier import play

FILES = sorted((Path(__file__).parent.parent / "deploy/lab").glob("*.toml"))
SCENARIOS = {path.stem: load_scenario(path) for path in FILES}
AT_A_TIME = 4  # each has three to seven daemons, and as many clients again
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
        wrong = [one for one in made.told if one.step.ends not in ("", one.end)]
        assert not wrong, f"seed {seed}"
        assert made.told


def test_scenarios_keep_their_promises_by_processes_and_end_as_in_the_model(
    modelled: dict[str, list[ModelPlay]],
) -> None:
    limit = asyncio.Semaphore(AT_A_TIME)

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
        assert result.told, result.scenario.name
        assert all(ends["served"] for ends in result.ends.values()), result.scenario.name
        found = compare(result, modelled[name])
        assert not found.differs, "\n".join([result.scenario.name, *found.lines, *found.differs])


def test_what_ends_otherwise_than_in_the_model_is_told() -> None:
    scenario = SCENARIOS["gone"]
    plays = play_modelled(scenario, [1])
    told = [Told(one.step, one.by, 0.0, 1.0, one.end, "") for one in plays[0].told]
    assert compare(Result(scenario, told), plays).differs == []
    told[1].end = "stale"
    [said] = compare(Result(scenario, told), plays).differs
    assert said == "ban n2 at g1: stale by processes, pending in the model"
    plays[0].broken = "2: something"
    assert "in the model: 2: something" in compare(Result(scenario, told), plays).differs

"""The promises of the tier by real daemons with faults between them, judged by the nodes' logs."""

from __future__ import annotations

import asyncio
from pathlib import Path

from sailhitch.lab.judge import Result, table
from sailhitch.lab.scenario import Scenario, load_scenario
from sailhitch.lab.tier import play

SCENARIOS = sorted((Path(__file__).parent.parent / "deploy/lab").glob("*.toml"))
AT_A_TIME = 3  # each has three to five daemons, and as many clients again


def test_scenarios_of_the_tier_keep_their_promises() -> None:
    limit = asyncio.Semaphore(AT_A_TIME)

    async def one(scenario: Scenario) -> Result:
        async with limit:
            return await play(scenario)

    async def work() -> list[Result]:
        return await asyncio.gather(*(one(load_scenario(path)) for path in SCENARIOS))

    assert len(SCENARIOS) >= 10
    results = asyncio.run(work())
    broken = ["\n".join([r.scenario.name, *table(r)]) for r in results if r.broken]
    assert not broken, "\n\n".join(broken)
    for result in results:
        assert result.told, result.scenario.name
        assert all(ends["served"] for ends in result.ends.values()), result.scenario.name

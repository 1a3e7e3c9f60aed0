"""How long a change takes between real daemons, and what it holds back, on this machine.

    python -m benchmarks.tier_processes [--members 5,25] [--changes 10] [--json]

For each size: a tier of so many daemons with a client each; bans and unbans of one node, asked of
one member after the other. Seconds from the command to its "active"; requests held back in all and
of how many; the longest that a node got anything after its ban was told; then all daemons killed
and started at once, seconds until all are in.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import tempfile
from pathlib import Path
from typing import Any

from sailhitch.lab.judge import ResultChecker
from sailhitch.lab.scenario import Scenario, ScenarioStep
from sailhitch.lab.tier import Lab


async def play(members: int, changes: int) -> dict[str, Any]:
    """One tier; raises ScenarioError where it does not come to rest."""
    scenario = Scenario(
        name="changes", gateways=members, clients=1, voters=min(5, members), agree_within="15s"
    )
    with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
        lab = Lab(scenario, Path(folder), lambda text: None)
        try:
            await lab.start()
            return await _changes(lab, changes)
        finally:
            await lab.stop()


async def _changes(lab: Lab, changes: int) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    began, names = loop.time(), lab.names
    for gateway in lab.gateways.values():
        await lab.start_load(gateway)
    for i in range(changes):
        act = "ban" if i % 2 == 0 else "unban"
        await lab.do(
            ScenarioStep(at=0, do=act, who=[names[i % len(names)]], node="n2", ends="active")
        )
        await lab.do(ScenarioStep(at=0, do="await"))
        await lab.do(ScenarioStep(at=0, do="agree"))
    said = await asyncio.gather(*(one.status() for one in lab.gateways.values()))
    await asyncio.gather(*(load.finish() for load in lab.loads.values()))
    ResultChecker(lab.result, lab.nodes, lab.gateways, lab.loads).check(began, loop.time())
    assert not lab.result.broken, lab.result.broken
    took = [one.ended - one.asked for one in lab.result.command_results]
    await lab.do(ScenarioStep(at=0, do="kill", who=names))
    since = loop.time()
    for gateway in lab.gateways.values():
        await gateway.start()
    await lab.do(ScenarioStep(at=0, do="agree"))
    return {
        "took": took,
        "held_back": sum(one["held_back"] for one in said),
        "requests": sum(load.asked for load in lab.loads.values()),
        "contradiction": lab.result.contradiction_time,
        "restart": loop.time() - since,
    }


def main() -> None:
    """Print a line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", default="5,25")
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    for members in map(int, options.members.split(",")):
        found = asyncio.run(play(members, options.changes))
        if options.json:
            print(json.dumps({"members": members, **found}), flush=True)
            continue
        print(
            f"{members} daemons, {options.changes} changes: active after "
            f"{statistics.median(found['took']):.2f} s ({max(found['took']):.2f} at the most); "
            f"{found['held_back']} of {found['requests']} requests held back; a contradiction "
            f"lasted {found['contradiction'] * 1000:.0f} ms; all killed, in again after "
            f"{found['restart']:.2f} s",
            flush=True,
        )


if __name__ == "__main__":
    main()

"""The duration of changes between real daemons on this machine, and the requests they delay.

    python -m benchmarks.tier_processes [--members 5,25] [--changes 10] [--json]

For each size: a tier of so many daemons with one client each, in which a node is banned and
unbanned by requests to the members in turn. Reports the seconds from a command to its "active", the
requests held back and the total, the longest time for which a node received requests after its ban
was reported active, and the seconds until all daemons agree after all were killed and restarted at
once.
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


async def run_tier(members: int, changes: int) -> dict[str, Any]:
    """Run one tier; raises ScenarioError if it does not settle."""
    scenario = Scenario(
        name="changes", gateways=members, clients=1, voters=min(5, members), agree_within="15s"
    )
    with tempfile.TemporaryDirectory(prefix="sailhitch-") as folder:
        lab = Lab(scenario, Path(folder), lambda text: None)
        try:
            await lab.start()
            return await _run_changes(lab, changes)
        finally:
            await lab.stop()


async def _run_changes(lab: Lab, changes: int) -> dict[str, Any]:
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
    statuses = await asyncio.gather(*(one.status() for one in lab.gateways.values()))
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
        "held_back": sum(one["held_back"] for one in statuses),
        "requests": sum(load.asked for load in lab.loads.values()),
        "contradiction": lab.result.contradiction_time,
        "restart": loop.time() - since,
    }


def main() -> None:
    """Print the results of each size in one line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", default="5,25")
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    for members in map(int, options.members.split(",")):
        results = asyncio.run(run_tier(members, options.changes))
        if options.json:
            print(json.dumps({"members": members, **results}), flush=True)
            continue
        print(
            f"{members} daemons, {options.changes} changes: active after "
            f"{statistics.median(results['took']):.2f} s (at most {max(results['took']):.2f}); "
            f"{results['held_back']} of {results['requests']} requests held back; a contradiction "
            f"lasted {results['contradiction'] * 1000:.0f} ms; all killed, in agreement again "
            f"after {results['restart']:.2f} s",
            flush=True,
        )


if __name__ == "__main__":
    main()

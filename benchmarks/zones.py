"""How soon a fleet leaves a failed zone, and whether it leaves a working one, in the model.

    python -m benchmarks.zones [--members 9,25] [--seeds 20] [--loss 0,0.1] [--false 1000]

Times are virtual seconds: from the failure until the first gateway has stopped using the zone,
until the last has, and from the end of the failure until the whole zone is in use again. `--false`
is the number of runs of twenty seconds in which no gateway may leave a zone: with up to a third of
the gateways seeing all requests fail or every second one, with a zone in which a tenth to a sixth
of the requests fail, or with members that pause. Exits 1 if a zone was left.
"""

from __future__ import annotations

import argparse
import functools
import random
import statistics
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from sailhitch.model.tier import World
from sailhitch.zones.controller import ZoneController

SECOND = 1_000_000
NODES = {str(i): f"z{i % 3}" for i in range(30)}
Record = Callable[[str, bool, bool, int], None]


def settled_fleet(members: int, seed: int, loss: float) -> World:
    """Return a settled tier in three zones whose members leave failed zones (`act`)."""
    world = World(
        seed,
        members,
        min(5, members),
        beat=100_000,
        write_interval=SECOND // 25,
        first=range(30),
        acts=30,
        zones=NODES,
        step=2 * SECOND,
        act=True,
    )
    world.network.loss = loss
    world.start()
    world.kernel.run(15 * SECOND)
    return world


def has_left(world: World, zone: str) -> list[bool]:
    """Return for each gateway whether it uses no node of a zone."""
    here = {name for name, its in NODES.items() if its == zone}
    return [here <= process.inactive_nodes for process in world.processes.values()]


def measure_leaving(members: int, loss: float, seed: int) -> tuple[float, float, float]:
    """Fail a zone; return the seconds until the first and the last left it, and until it is back.

    Raises AssertionError if leaving takes over two minutes, or the return over five.
    """
    world = settled_fleet(members, seed, loss)
    began, first, last = world.kernel.now, 0, 0
    world.failed_zones.add("z2")
    while not last:
        world.kernel.run(world.kernel.now + SECOND // 50)
        gone = has_left(world, "z2")
        first = first or (world.kernel.now if any(gone) else 0)
        last = world.kernel.now if all(gone) else 0
        assert world.kernel.now < began + 120 * SECOND, f"{members} members, seed {seed}: not left"
    world.failed_zones.clear()
    since = world.kernel.now
    while any(process.inactive_nodes for process in world.processes.values()):
        world.kernel.run(world.kernel.now + SECOND // 10)
        assert world.kernel.now < since + 300 * SECOND, f"{members} members, seed {seed}: not back"
    return (first - began) / SECOND, (last - began) / SECOND, (world.kernel.now - since) / SECOND


def _with_failures(real: Record, rng: random.Random, part: float, zone: str) -> Record:
    def record_with_failures(node: str, failed: bool, full: bool, now: int) -> None:
        here = not zone or NODES[node] == zone
        real(node, failed or (here and rng.random() < part), full, now)

    return record_with_failures


def run_without_leaving(seed: int) -> str:
    """Run a fault in which no zone may be left; return the zones left and the fault, or ""."""
    rng = random.Random(seed)
    kind = ("sick", "half", "gray", "pause")[seed % 4]
    world = settled_fleet(9, seed, rng.choice([0.0, 0.1, 0.3]))
    controllers: dict[str, ZoneController] = {
        n: p.controller for n, p in world.processes.items() if p.controller is not None
    }
    chosen = rng.sample(sorted(controllers), rng.randint(1, 3))
    for name, controller in controllers.items():
        part, zone = (1.0, "") if kind == "sick" else (0.5, "")
        if kind == "gray":
            part, zone = rng.uniform(0.1, 0.17), "z1"
        if kind == "gray" or (kind in ("sick", "half") and name in chosen):
            controller.record = _with_failures(controller.record, rng, part, zone)  # type: ignore[method-assign]
    if kind == "pause":
        for name in chosen:
            process = world.processes[name]
            process.pause()
            world.kernel.after(rng.randrange(SECOND, 10 * SECOND), process.resume)
    world.kernel.run(world.kernel.now + 20 * SECOND)
    left = sorted(
        {zone for controller in controllers.values() for zone in controller.traffic_policy.zones}
    )
    return f"seed {seed}, {kind}: {', '.join(left)}" if left else ""


def main() -> int:
    """Print a line for each size and loss; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", default="9,25")
    parser.add_argument("--loss", default="0,0.1")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--false", dest="fault_runs", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=6)
    options = parser.parse_args()
    with ProcessPoolExecutor(options.jobs) as pool:
        for members in map(int, options.members.split(",")):
            for loss in map(float, options.loss.split(",")):
                play = functools.partial(measure_leaving, members, loss)
                first, last, returned = zip(*pool.map(play, range(options.seeds)), strict=True)
                differences = [b - a for a, b in zip(first, last, strict=True)]
                print(
                    f"{members} members, loss {loss:g}, {options.seeds} seeds: last out after "
                    f"{statistics.median(last):.2f} s (at most {max(last):.2f}), first and "
                    f"last {statistics.median(differences):.2f} s apart ({max(differences):.2f}), "
                    f"back after {statistics.median(returned):.1f} s ({max(returned):.1f})",
                    flush=True,
                )
        failures = [
            failure
            for failure in pool.map(run_without_leaving, range(options.fault_runs), chunksize=4)
            if failure
        ]
    print(f"{options.fault_runs} runs in which no zone may be left, {len(failures)} failed")
    print("\n".join(failures[:10]))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())

"""How soon a fleet leaves a zone that is gone, and whether it leaves one that is not, in the model.

    python -m benchmarks.zones [--members 9,25] [--seeds 20] [--loss 0,0.1] [--false 1000]

Times are virtual seconds from the failure: until the first gateway uses nothing of the zone, until
the last does; from the end of the failure until the zone is in use as a whole again. `--false`
plays so many times twenty seconds in which nobody may leave: gateways that see all fail (up to a
third of them), gateways whose every second request fails, a zone in which a tenth to a sixth of the
requests fail, members that pause. Exits 1 where a zone was left.
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

S = 1_000_000
NODES = {str(i): f"z{i % 3}" for i in range(30)}
Saw = Callable[[str, bool, bool, int], None]


def fleet(members: int, seed: int, loss: float) -> World:
    """A tier in three zones that has come to rest, with `act`."""
    world = World(
        seed,
        members,
        min(5, members),
        beat=100_000,
        write_interval=S // 25,
        first=range(30),
        acts=30,
        zones=NODES,
        step=2 * S,
        act=True,
    )
    world.network.loss = loss
    world.start()
    world.kernel.run(15 * S)
    return world


def out(world: World, zone: str) -> list[bool]:
    """Of each gateway, whether it uses nothing of a zone."""
    here = {name for name, its in NODES.items() if its == zone}
    return [here <= process.inactive_nodes for process in world.processes.values()]


def leave(members: int, loss: float, seed: int) -> tuple[float, float, float]:
    """First, last, and back again; raises AssertionError where that takes over two minutes."""
    world = fleet(members, seed, loss)
    began, first, last = world.kernel.now, 0, 0
    world.failed_zones.add("z2")
    while not last:
        world.kernel.run(world.kernel.now + S // 50)
        gone = out(world, "z2")
        first = first or (world.kernel.now if any(gone) else 0)
        last = world.kernel.now if all(gone) else 0
        assert world.kernel.now < began + 120 * S, f"{members} members, seed {seed}: not left"
    world.failed_zones.clear()
    since = world.kernel.now
    while any(process.inactive_nodes for process in world.processes.values()):
        world.kernel.run(world.kernel.now + S // 10)
        assert world.kernel.now < since + 300 * S, f"{members} members, seed {seed}: not back"
    return (first - began) / S, (last - began) / S, (world.kernel.now - since) / S


def _worse(real: Saw, rng: random.Random, part: float, zone: str) -> Saw:
    def saw(node: str, failed: bool, full: bool, now: int) -> None:
        here = not zone or NODES[node] == zone
        real(node, failed or (here and rng.random() < part), full, now)

    return saw


def calm(seed: int) -> str:
    """One play in which nobody may leave; what was left, and in what."""
    rng = random.Random(seed)
    kind = ("sick", "half", "gray", "pause")[seed % 4]
    world = fleet(9, seed, rng.choice([0.0, 0.1, 0.3]))
    controllers: dict[str, ZoneController] = {
        n: p.controller for n, p in world.processes.items() if p.controller is not None
    }
    chosen = rng.sample(sorted(controllers), rng.randint(1, 3))
    for name, controller in controllers.items():
        part, zone = (1.0, "") if kind == "sick" else (0.5, "")
        if kind == "gray":
            part, zone = rng.uniform(0.1, 0.17), "z1"
        if kind == "gray" or (kind in ("sick", "half") and name in chosen):
            controller.record = _worse(controller.record, rng, part, zone)  # type: ignore[method-assign]
    if kind == "pause":
        for name in chosen:
            process = world.processes[name]
            process.pause()
            world.kernel.after(rng.randrange(S, 10 * S), process.resume)
    world.kernel.run(world.kernel.now + 20 * S)
    left = sorted(
        {zone for controller in controllers.values() for zone in controller.traffic_policy.zones}
    )
    return f"seed {seed}, {kind}: {', '.join(left)}" if left else ""


def main() -> int:
    """Print a line for each size and loss; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", default="9,25")
    parser.add_argument("--loss", default="0,0.1")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--false", dest="calm", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=6)
    options = parser.parse_args()
    with ProcessPoolExecutor(options.jobs) as pool:
        for members in map(int, options.members.split(",")):
            for loss in map(float, options.loss.split(",")):
                play = functools.partial(leave, members, loss)
                first, last, back = zip(*pool.map(play, range(options.seeds)), strict=True)
                apart = [b - a for a, b in zip(first, last, strict=True)]
                print(
                    f"{members} members, loss {loss:g}, {options.seeds} seeds: last out after "
                    f"{statistics.median(last):.2f} s ({max(last):.2f} at the most), first and "
                    f"last {statistics.median(apart):.2f} s apart ({max(apart):.2f}), back "
                    f"after {statistics.median(back):.1f} s ({max(back):.1f})",
                    flush=True,
                )
        wrong = [said for said in pool.map(calm, range(options.calm), chunksize=4) if said]
    print(f"{options.calm} plays in which nobody may leave, {len(wrong)} broken")
    print("\n".join(wrong[:10]))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())

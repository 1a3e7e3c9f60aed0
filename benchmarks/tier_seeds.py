"""Plays many random scenarios of faults on a modelled tier; prints violations and scenarios.

    python -m benchmarks.tier_seeds [--from 0] [--seeds 20000] [--jobs 4] [--death]

With `--death` a member dies for good in each scenario. Exits 1 if a promise was broken. The tests
play the first 200 seeds, and the first 100 with a death.
"""

from __future__ import annotations

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from sailhitch.model.scenario import (
    draw_scenario,
    draw_scenario_with_death,
    find_violation,
    format_scenario,
    shrink,
)


def play(seed: int) -> tuple[int, str | None]:
    """Play a seed's scenario; return the seed and the violation, if any."""
    return seed, find_violation(draw_scenario(seed))


def play_with_death(seed: int) -> tuple[int, str | None]:
    """Do the same with the seed's scenario in which a member dies for good."""
    return seed, find_violation(draw_scenario_with_death(seed))


def main() -> int:
    """Play the seeds; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--from", dest="first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=20_000)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--death", action="store_true")
    options = parser.parse_args()
    draw = draw_scenario_with_death if options.death else draw_scenario
    play_seed = play_with_death if options.death else play
    started_at = time.perf_counter()
    failed = []
    with ProcessPoolExecutor(options.jobs) as pool:
        seeds = range(options.first, options.first + options.seeds)
        for i, (seed, violation) in enumerate(pool.map(play_seed, seeds, chunksize=20), 1):
            if violation is not None:
                failed.append(seed)
                print(f"seed {seed}: {violation}", file=sys.stderr, flush=True)
            if i % 1000 == 0:
                elapsed = time.perf_counter() - started_at
                print(
                    f"{i} played, {len(failed)} broken, {elapsed:.0f} s",
                    file=sys.stderr,
                    flush=True,
                )
    for seed in failed[:5]:
        print(format_scenario(*shrink(draw(seed))))
    elapsed = time.perf_counter() - started_at
    print(
        f"{options.seeds} seeds, {len(failed)} broken, {elapsed:.0f} s, {options.jobs} jobs: "
        f"{failed[:20]}"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

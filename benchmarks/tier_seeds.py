"""Plays many seeds of random faults on a tier in the model; prints each broken promise as a story.

    python benchmarks/tier_seeds.py [--from 0] [--seeds 20000] [--jobs 4] [--death]

With `--death` a member is killed for good in each story. Exits 1 where a promise was broken. The
tests play the first 200, and the first 100 with a death.
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
    """Return a seed, and the promise that it breaks."""
    return seed, find_violation(draw_scenario(seed))


def play_with_death(seed: int) -> tuple[int, str | None]:
    """Return the same where a member is killed for good."""
    return seed, find_violation(draw_scenario_with_death(seed))


def main() -> int:
    """Play them; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--from", dest="first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=20_000)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--death", action="store_true")
    options = parser.parse_args()
    story, one = (
        (draw_scenario_with_death, play_with_death) if options.death else (draw_scenario, play)
    )
    began, bad = time.perf_counter(), []
    with ProcessPoolExecutor(options.jobs) as pool:
        seeds = range(options.first, options.first + options.seeds)
        for i, (seed, said) in enumerate(pool.map(one, seeds, chunksize=20), 1):
            if said is not None:
                bad.append(seed)
                print(f"seed {seed}: {said}", file=sys.stderr, flush=True)
            if i % 1000 == 0:
                took = time.perf_counter() - began
                print(f"{i} played, {len(bad)} broken, {took:.0f} s", file=sys.stderr, flush=True)
    for seed in bad[:5]:
        print(format_scenario(*shrink(story(seed))))
    took = time.perf_counter() - began
    print(
        f"{options.seeds} seeds, {len(bad)} broken, {took:.0f} s, {options.jobs} jobs: {bad[:20]}"
    )
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())

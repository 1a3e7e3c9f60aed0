"""Runs seeds one after the other; exits with 1 if a rule was broken."""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

from tests.soak.play import Verdict, play


def format_verdict(verdict: Verdict, verbose: bool = False) -> str:
    """Format a verdict; lists the injected faults if a rule was broken or if `verbose`."""
    counts = " ".join(f"{end}={count}" for end, count in sorted(verdict.requests.items()))
    failed = " ".join(f"{call}={n}" for call, n in verdict.failed_calls.items() if n)
    summary = (
        f"seed {verdict.seed}: {len(verdict.broken)} broken, {verdict.processes} processes, "
        f"{verdict.attempts} attempts, {verdict.took:.0f} s; {counts}; "
        f"failed calls: {failed or 'none'}; the soak itself stalled {verdict.worst_stall:.2f} s"
    )
    lines = [summary]
    lines += [f"  BROKEN {line}" for line in verdict.broken[:12]]
    if verdict.broken or verbose:
        lines += [f"  {line}" for line in verdict.injected]
    return "\n".join(lines)


def main() -> int:
    """Run the seeds and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--from", dest="first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--gateways", type=int, default=10)
    parser.add_argument("--keep", type=Path, help="keep files and logs of all runs in this folder")
    parser.add_argument(
        "--verbose", action="store_true", help="print the injected faults of every run"
    )
    options = parser.parse_args()
    broken = 0
    with tempfile.TemporaryDirectory(prefix="soak") as temporary:
        top = options.keep or Path(temporary)
        for seed in range(options.first, options.first + options.seeds):
            folder = top / str(seed)
            folder.mkdir(parents=True)
            verdict = play(seed, folder, options.gateways)
            broken += bool(verdict.broken)
            print(format_verdict(verdict, options.verbose), flush=True)
    print(f"{options.seeds} seeds, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

"""The command line of scale runs: `python -m benchmarks.scale NAME`; see `docs/scale.md`."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Final

from . import report
from .experiments import EXPERIMENTS, Options, experiment_descriptions, settle
from .figures import now
from .fleet import Fleet, Size
from .processes import RigError

RUN_TIMEOUT: Final = 1200.0  # s
EXIT_INTERRUPTED: Final = 130


async def run_experiment(
    name: str, size: Size, options: Options, log_progress: Callable[[str], None]
) -> dict[str, Any]:
    """Run one experiment on a new tier; return its result. Raises RigError."""
    started_at = now()
    with tempfile.TemporaryDirectory(prefix="sailhitch-scale-") as folder:
        fleet = Fleet(size, Path(folder), log_progress)
        try:
            async with asyncio.timeout(RUN_TIMEOUT):
                await fleet.start()
                startup_seconds = now() - started_at
                await settle(fleet, options)
                log_progress(f"{name}: begins")
                found = await EXPERIMENTS[name](fleet, options)
        except TimeoutError:
            raise RigError(f"timed out after {RUN_TIMEOUT:g} s") from None
        finally:
            await fleet.stop()
    return {
        "experiment": name,
        "members": size.members,
        "daemons": size.daemons,
        "voters": size.voters,
        "voters_are": size.voters_are,
        "fraction": size.fraction,
        "lease_s": size.lease,
        "cold": size.cold,
        "loss": options.loss,
        "dead": options.dead,
        "seconds": options.seconds,
        "state_bytes": len(fleet.content),
        "processes": size.processes(),
        "started_after": round(startup_seconds, 2),
        "took": round(now() - started_at, 1),
        "at": int(time.time()),
        **report.commit(),
        "machine": report.machine(),
        "figures": found,
    }


async def run(name: str, size: Size, options: Options, log_progress: Callable[[str], None]) -> Any:
    """Run an experiment; SIGINT and SIGTERM cancel it, so that it cleans up.

    The handlers are set here because a shell starts background jobs with SIGINT ignored, and
    asyncio leaves an ignored signal as it is.
    """
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await run_experiment(name, size, options, log_progress)


def _parser() -> argparse.ArgumentParser:
    names = "\n".join(f"  {name:<9} {text}" for name, text in experiment_descriptions())
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.scale",
        description=f"Experiments:\n{names}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("name", choices=[*EXPERIMENTS, "report"])
    parser.add_argument("files", nargs="*", metavar="FILE", help="results, for `report`")
    parser.add_argument("--members", default="100", help="such as 100 or 100,400")
    parser.add_argument("--daemons", type=int, default=1, help="members that are real daemons")
    parser.add_argument("--voters", type=int, default=5)
    parser.add_argument("--voters-are", choices=("hollow", "real"), default="hollow")
    parser.add_argument("--fraction", type=float, default=0.01, help="of the full state")
    parser.add_argument("--lease", type=float, default=3.0, help="seconds; 0: no lease")
    parser.add_argument("--cold", action="store_true", help="hollow gateways start with no state")
    parser.add_argument(
        "--loss", type=float, default=0.0, help="share of datagrams that are dropped"
    )
    parser.add_argument(
        "--dead", type=float, default=0.0, help="share of members killed beforehand"
    )
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="of idle time, or of a partition"
    )
    parser.add_argument(
        "--patience", type=float, default=60.0, help="seconds to wait for an event's end"
    )
    parser.add_argument("--repeats", type=int, default=3, help="of each change")
    parser.add_argument("--json", metavar="FILE", help="append results to this file, one per line")
    parser.add_argument(
        "--chart", metavar="FILE", help="draw a chart to this file (needs the extra `scale`)"
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command; return 0, 1 after an error, or 130 when interrupted."""
    parser = _parser()
    parsed = parser.parse_args(arguments)

    def log_progress(text: str) -> None:
        print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)

    try:
        if parsed.name == "report":
            results = report.read_lines(parsed.files)
        else:
            results = [
                _run_size(parsed, int(members), log_progress)
                for members in parsed.members.split(",")
            ]
        print(report.table(results), end="")
        if parsed.chart:
            report.chart(results, parsed.chart)
    except (RigError, ValueError) as error:
        print(f"scale: {error}", file=sys.stderr)
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        return EXIT_INTERRUPTED
    return 0


def _run_size(
    parsed: argparse.Namespace, members: int, log_progress: Callable[[str], None]
) -> dict[str, Any]:
    size = Size(
        members, parsed.daemons, parsed.voters, parsed.voters_are, parsed.fraction, parsed.lease
    )
    options = Options(parsed.seconds, parsed.patience, parsed.loss, parsed.dead, parsed.repeats)
    result: dict[str, Any] = asyncio.run(run(parsed.name, size, options, log_progress))
    if parsed.json:
        with open(parsed.json, "a", encoding="utf-8") as file:
            file.write(json.dumps(result) + "\n")
    return result


if __name__ == "__main__":
    with contextlib.suppress(BrokenPipeError):
        raise SystemExit(main())

"""The command: `python -m benchmarks.scale NAME`; see `docs/scale.md`."""

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
from .experiments import EXPERIMENTS, Options, described, settle
from .figures import now
from .fleet import Fleet, Size
from .processes import RigError

WHOLE_RUN: Final = 1200.0  # s after which a run is given up
INTERRUPTED: Final = 130


async def play(
    name: str, size: Size, options: Options, say: Callable[[str], None]
) -> dict[str, Any]:
    """One experiment on a tier of its own: its result. Raises RigError."""
    begun = now()
    with tempfile.TemporaryDirectory(prefix="sailhitch-scale-") as folder:
        fleet = Fleet(size, Path(folder), say)
        try:
            async with asyncio.timeout(WHOLE_RUN):
                await fleet.start()
                started = now() - begun
                await settle(fleet, options)
                say(f"{name}: begins")
                found = await EXPERIMENTS[name](fleet, options)
        except TimeoutError:
            raise RigError(f"given up after {WHOLE_RUN:g} s") from None
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
        "started_after": round(started, 2),
        "took": round(now() - begun, 1),
        "at": int(time.time()),
        **report.commit(),
        "machine": report.machine(),
        "figures": found,
    }


async def run(name: str, size: Size, options: Options, say: Callable[[str], None]) -> Any:
    """`play`, ended in good order by SIGINT and SIGTERM.

    A shell starts what runs in the background with SIGINT ignored, and asyncio then leaves it so.
    """
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await play(name, size, options, say)


def _parser() -> argparse.ArgumentParser:
    names = "\n".join(f"  {name:<9} {text}" for name, text in described())
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.scale",
        description=f"Experiments:\n{names}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("name", choices=[*EXPERIMENTS, "report"])
    parser.add_argument("files", nargs="*", metavar="FILE", help="results, for `report`")
    parser.add_argument("--members", default="100", help="such as 100 or 100,400")
    parser.add_argument("--daemons", type=int, default=1, help="real ones among the members")
    parser.add_argument("--voters", type=int, default=5)
    parser.add_argument("--voters-are", choices=("hollow", "real"), default="hollow")
    parser.add_argument("--fraction", type=float, default=0.01, help="of the full state")
    parser.add_argument("--lease", type=float, default=3.0, help="seconds; 0: no lease")
    parser.add_argument("--cold", action="store_true", help="hollow gateways begin with no state")
    parser.add_argument("--loss", type=float, default=0.0, help="part of all datagrams")
    parser.add_argument("--dead", type=float, default=0.0, help="part of the members")
    parser.add_argument("--seconds", type=float, default=10.0, help="of rest, or of regions parted")
    parser.add_argument("--patience", type=float, default=60.0, help="seconds for an event's end")
    parser.add_argument("--repeats", type=int, default=3, help="of each change")
    parser.add_argument("--json", metavar="FILE", help="append results here, a line each")
    parser.add_argument("--chart", metavar="FILE", help="draw one here (the extra `scale`)")
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Carry out the command line: 0 done, 1 an error, 130 interrupted."""
    parser = _parser()
    asked = parser.parse_args(arguments)

    def say(text: str) -> None:
        print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)

    try:
        if asked.name == "report":
            results = report.read_lines(asked.files)
        else:
            results = [_played(asked, int(members), say) for members in asked.members.split(",")]
        print(report.table(results), end="")
        if asked.chart:
            report.chart(results, asked.chart)
    except (RigError, ValueError) as error:
        print(f"scale: {error}", file=sys.stderr)
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        return INTERRUPTED
    return 0


def _played(asked: argparse.Namespace, members: int, say: Callable[[str], None]) -> dict[str, Any]:
    size = Size(members, asked.daemons, asked.voters, asked.voters_are, asked.fraction, asked.lease)
    options = Options(asked.seconds, asked.patience, asked.loss, asked.dead, asked.repeats)
    result: dict[str, Any] = asyncio.run(run(asked.name, size, options, say))
    if asked.json:
        with open(asked.json, "a", encoding="utf-8") as file:
            file.write(json.dumps(result) + "\n")
    return result


if __name__ == "__main__":
    with contextlib.suppress(BrokenPipeError):
        raise SystemExit(main())

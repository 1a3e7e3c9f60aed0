"""The `sailhitch` command.

Exit codes: 0 done, or nothing to do; 1 an error, printed on standard error; 2 `plan` found changes,
or a tier's change is pending (or the command line is wrong); 3 `apply` was refused, as the live
state has moved.

`cli_parser` reads the command line; `cli_inspect`, `cli_change`, `cli_tier` and `cli_scenario` have
the commands, and `cli_gateway` their requests to a running gateway.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Sequence

from .admin_client import AdminError
from .cli_outcome import CHANGES, DONE, ERROR, REFUSED, CommandError
from .cli_parser import build_parser
from .plan import PlanError
from .schema import FileError

__all__ = ["CHANGES", "DONE", "ERROR", "REFUSED", "main"]


def main(arguments: Sequence[str] | None = None) -> int:
    """Execute one command; return its exit code."""
    options = build_parser(_run, _play_scenarios).parse_args(arguments)
    try:
        return int(options.handler(options))
    except FileError as error:
        return _report_errors(options, error.problems)
    except (AdminError, CommandError, PlanError) as error:
        return _report_errors(options, [str(error)])
    except BrokenPipeError:
        # The reader of the output has closed it; Python would fail again when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ERROR


def _report_errors(options: argparse.Namespace, problems: list[str]) -> int:
    if options.json:
        print(json.dumps({"ok": False, "errors": problems}))
    for problem in problems:
        print(f"sailhitch: {problem}", file=sys.stderr)
    return ERROR


def _run(options: argparse.Namespace) -> int:
    # Imported here: the other commands need no event loop, and start in half the time.
    from .process import run_daemon

    return run_daemon(options.file, admin=options.admin, as_json=options.json)


def _play_scenarios(options: argparse.Namespace) -> int:
    # Imported here: the lab is an extra of its own, and nothing that a gateway loads.
    from .cli_scenario import play_scenarios

    return play_scenarios(options)


if __name__ == "__main__":
    sys.exit(main())

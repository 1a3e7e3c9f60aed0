"""The `sailhitch` command.

Exit codes: 0 done, or nothing to do; 1 an error, printed on standard error; 2 `plan` found changes,
or a change of a tier is pending (or the command line is invalid); 3 `apply` was refused because the
live state has changed since the plan was made.

`cli_parser` parses the command line; `cli_inspect`, `cli_change`, `cli_tier` and `cli_scenario`
implement the commands; `cli_gateway` sends their requests to a running gateway.
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
        # The reader closed the pipe. Without this, Python would fail again in its flush at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ERROR


def _report_errors(options: argparse.Namespace, problems: list[str]) -> int:
    if options.json:
        print(json.dumps({"ok": False, "errors": problems}))
    for problem in problems:
        print(f"sailhitch: {problem}", file=sys.stderr)
    return ERROR


def _run(options: argparse.Namespace) -> int:
    # Imported here: the other commands need no event loop and start in half the time without it.
    from .process import run_daemon

    return run_daemon(options.file, admin=options.admin, as_json=options.json)


def _play_scenarios(options: argparse.Namespace) -> int:
    # Imported here: the lab is an optional extra, which a gateway never loads.
    from .cli_scenario import play_scenarios

    return play_scenarios(options)


if __name__ == "__main__":
    sys.exit(main())

"""The command line of `sailhitch`: commands, arguments and help texts."""

from __future__ import annotations

import argparse
import os

from .. import __version__
from .cli_change import apply, maintenance, plan
from .cli_inspect import check, show_history, show_hosts, show_state
from .cli_outcome import CommandHandler
from .cli_tier import tier, zones

ADMIN_HELP = "the running gateway's admin socket (default: the file's, or SAILHITCH_ADMIN)"


class _Commands:
    """Adds commands to a parser, each with the options that are common to all."""

    def __init__(self, parser: argparse.ArgumentParser) -> None:
        self._subparsers = parser.add_subparsers(required=True, metavar="COMMAND")

    def add(
        self, name: str, handler: CommandHandler, text: str, admin_help: str = ""
    ) -> argparse.ArgumentParser:
        """Add a command; with `admin_help`, SAILHITCH_ADMIN is not its default socket."""
        command = self._subparsers.add_parser(name, help=text, description=text)
        command.set_defaults(handler=handler)
        command.add_argument("--json", action="store_true", help="print JSON")
        command.add_argument(
            "--admin",
            metavar="SOCKET",
            default=None if admin_help else os.environ.get("SAILHITCH_ADMIN"),
            help=admin_help or ADMIN_HELP,
        )
        return command


def build_parser(run: CommandHandler, play_scenarios: CommandHandler) -> argparse.ArgumentParser:
    """Return the parser; the `handler` in its result executes the command.

    The two handlers are parameters because their modules are slow to import: the caller imports
    them only when one is executed.
    """
    parser = argparse.ArgumentParser(
        prog="sailhitch",
        description="An HTTP gateway that is configured by an operator file.",
        epilog="Exit codes: 0 done, 1 error, 2 `plan` found changes, 3 `apply` was refused.",
    )
    parser.add_argument("--version", action="version", version=f"sailhitch {__version__}")
    commands = _Commands(parser)
    _add_run(commands, run)
    _add_inspection(commands)
    _add_plan_and_apply(commands)
    commands.add("history", show_history, "print the states that have been applied")
    _add_tier(commands)
    _add_zones(commands)
    _add_lab(commands, play_scenarios)
    _add_maintenance(commands)
    return parser


def _add_run(commands: _Commands, run: CommandHandler) -> None:
    command = commands.add(
        "run", run, "run a gateway as FILE configures it", "serve this admin socket, not the file's"
    )
    command.add_argument("file", metavar="FILE")


def _add_inspection(commands: _Commands) -> None:
    command = commands.add(
        "check",
        check,
        "check FILE and report all errors in it",
        "also report whether the gateway with this admin socket matches FILE",
    )
    command.add_argument("file", metavar="FILE")
    commands.add("state", show_state, "print the live state")
    commands.add("hosts", show_hosts, "print the current status of all nodes")


def _add_plan_and_apply(commands: _Commands) -> None:
    command = commands.add(
        "plan", plan, "print what FILE would change; exits 2 if there are changes"
    )
    command.add_argument("file", metavar="FILE", nargs="?")
    command.add_argument(
        "--to", metavar="SERIAL", type=int, help="plan a return to an earlier state"
    )
    command.add_argument("-o", "--output", metavar="PLAN", help="write the plan to this file")
    command = commands.add(
        "apply", apply, "apply exactly the changes in PLAN; exits 3 if the state has changed since"
    )
    command.add_argument("plan", metavar="PLAN")
    _add_wait(command)


def _add_tier(commands: _Commands) -> None:
    command = commands.add(
        "tier", tier, "show a tier's agreed version and members, and manage its members"
    )
    acts = ("status", "members", "history", "withdraw", "gone", "join")
    command.add_argument("act", choices=acts)
    command.add_argument(
        "name",
        metavar="MEMBER|SERIAL",
        nargs="?",
        help="the member that `gone` or `join` applies to, or the only serial to `withdraw`",
    )
    command.add_argument(
        "place",
        metavar="HOST:PORT",
        nargs="?",
        help="the address at which `join` looks for the member",
    )


def _add_zones(commands: _Commands) -> None:
    command = commands.add(
        "zones", zones, "stop using a zone, fleet-wide, and return to it in steps"
    )
    command.add_argument("act", choices=("status", "leave", "return", "hold", "release"))
    command.add_argument("zone", metavar="ZONE", nargs="?")
    command.add_argument("--why", default="", help="a reason, stored with the order")
    command.add_argument(
        "--step", metavar="TIME", help="how long each step of a return lasts, such as 30s"
    )
    command.add_argument(
        "--dry-run",
        action="store_true",
        help="print the load on the other nodes, and change nothing",
    )


def _add_lab(commands: _Commands, play_scenarios: CommandHandler) -> None:
    command = commands.add(
        "lab", play_scenarios, "run a scenario with real processes; exits 1 if a promise is broken"
    )
    command.add_argument("kind", choices=("tier",))
    command.add_argument(
        "files", metavar="FILE", nargs="+", help="scenario files, such as those in deploy/lab"
    )
    command.add_argument(
        "--model",
        metavar="SEEDS",
        type=int,
        default=0,
        help="also run each in the model with this many seeds; a difference exits 1",
    )


def _add_maintenance(commands: _Commands) -> None:
    command = commands.add(
        "maintenance", maintenance, "take a node out of service manually, or put it back"
    )
    command.add_argument("act", choices=("enter", "exit", "list"))
    command.add_argument("node", metavar="POOL/NODE", nargs="?")
    _add_wait(command)
    command.add_argument("--why", default="", help="a reason, stored with the ban")


def _add_wait(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--wait",
        action="store_true",
        help="in a tier: wait without limit until the change is active or withdrawn",
    )

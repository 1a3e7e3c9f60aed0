"""Commands that plan or make changes to the gateway's state: `plan`, `apply`, `maintenance`."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from .admin_client import ask
from .admin_replies import MOVED, StateReply
from .cli_gateway import (
    admin_socket,
    check_done,
    describe_outcome,
    format_time,
    request_live_state,
    request_reply,
    wait_if_asked,
)
from .cli_outcome import CHANGES, DONE, REFUSED, CommandError
from .plan import Plan, describe, load_plan, make_format_1_plan, make_plan, summary
from .rules import contradictions
from .schema import OperatorFile, load_file
from .state import State, from_file, with_bans


def plan(options: argparse.Namespace) -> int:
    """Print the changes that lead to a file's state or an earlier one; save the plan if asked."""
    if (options.file is None) == (options.to is None):
        raise CommandError("plan: give either FILE or --to SERIAL")
    operator_file = None if options.file is None else load_file(options.file)
    live_reply = request_live_state(options, operator_file)
    if operator_file is None:
        earlier = request_reply(options, None, {"op": "state", "serial": options.to})
        wanted = with_bans(earlier["state"], live_reply["state"])
    else:
        wanted = _wanted_state(options.file, operator_file, live_reply)
    new_plan = _make_plan(live_reply, wanted)
    if options.output is not None:
        _write_plan(Path(options.output), new_plan)
    if options.json:
        print(json.dumps(new_plan.body()))
    else:
        _print_plan(new_plan, live_reply, wanted)
    return CHANGES if new_plan.changes else DONE


def _wanted_state(path: str, operator_file: OperatorFile, live_reply: StateReply) -> State:
    """Return the state that a file describes; raises CommandError if it is for another gateway."""
    wanted = with_bans(from_file(operator_file), live_reply["state"])
    owner = operator_file.gateway.name
    if "tier" in live_reply:
        # A plan can be made from any member's file: only its listeners are specific to the member.
        wanted = {**wanted, "listeners": {}}
        owner = f"tier {operator_file.tier.name}" if operator_file.tier is not None else owner
    if owner != live_reply["gateway"]:
        raise CommandError(
            f"{path}: is for gateway {owner!r}, but {live_reply['gateway']!r} answered"
        )
    return wanted


def _make_plan(live_reply: StateReply, wanted: State) -> Plan:
    gateway = live_reply["gateway"]
    serial = live_reply["serial"]
    state = live_reply["state"]
    if "identity" in live_reply:
        return make_plan(gateway, serial, state, wanted, live_reply["identity"])
    # A gateway that has not been restarted since an upgrade sends no identity.
    return make_format_1_plan(gateway, serial, state, wanted)


def _print_plan(new_plan: Plan, live_reply: StateReply, wanted: State) -> None:
    for line in describe(new_plan.changes):
        print(line)
    if "tier" in live_reply:
        for line in contradictions(live_reply["state"], wanted):
            print(f"! {line}: takes effect once every member has confirmed it")
    print(f"{summary(new_plan.changes)}, against serial {new_plan.serial}")


def _write_plan(path: Path, new_plan: Plan) -> None:
    try:
        path.write_text(new_plan.dump())
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from None


def apply(options: argparse.Namespace) -> int:
    """Have the gateway apply a plan, unless its state has changed since the plan was made."""
    text = _read_plan(options.plan)
    # Checked here first, so that a damaged plan is reported without a request to the gateway.
    checked_plan = load_plan(text)
    reply = wait_if_asked(options, ask(admin_socket(options, None), {"op": "apply", "plan": text}))
    if options.json:
        print(json.dumps(reply))
    if reply.get("ok"):
        if not options.json:
            print(f"applied: {summary(checked_plan.changes)}; {describe_outcome(reply)}")
        return CHANGES if reply.get("pending") else DONE
    if reply.get("code") == MOVED:
        _print_refusal(reply)
        return REFUSED
    raise CommandError(f"{options.plan}: {reply.get('error', 'no reason given')}")


def _read_plan(path: str) -> str:
    try:
        return Path(path).read_text()
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise CommandError(f"{path}: not a plan") from None


def _print_refusal(reply: Mapping[str, Any]) -> None:
    """Print why a plan was refused, and the states that were applied since it was made."""
    print(f"sailhitch: refused: {reply['error']}", file=sys.stderr)
    for record in reply["moved"]:
        print(
            f"sailhitch:   serial {record['serial']}, {format_time(record)} by {record['by']}: "
            f"{record['summary']}",
            file=sys.stderr,
        )
    print("sailhitch: make a new plan and review it", file=sys.stderr)


def maintenance(options: argparse.Namespace) -> int:
    """Ban a node, lift its ban, or list the bans."""
    if (options.act == "list") != (options.node is None):
        raise CommandError("maintenance: give `list` alone, or `enter` or `exit` with POOL/NODE")
    if options.act == "list":
        return _list_bans(options)
    request = {"op": "ban", "node": options.node, "out": options.act == "enter", "why": options.why}
    reply = wait_if_asked(options, ask(admin_socket(options, None), request))
    if options.json:
        print(json.dumps(reply))
    if reply.get("code") == MOVED:
        print(f"sailhitch: refused: {reply['error']}", file=sys.stderr)
        return REFUSED
    check_done(reply)
    if not options.json:
        print(f"{options.node}: {describe_outcome(reply)}")
    return CHANGES if reply.get("pending") else DONE


def _list_bans(options: argparse.Namespace) -> int:
    bans = request_live_state(options, None)["state"]["bans"]
    if options.json:
        print(json.dumps(bans))
        return DONE
    for node, ban in bans.items():
        reason = f": {ban['why']}" if ban["why"] else ""
        print(f"{node}: since {format_time(ban)} by {ban['by']}{reason}")
    return DONE

"""The `sailhitch` command.

Exit codes: 0 done, or nothing to do; 1 an error, said on standard error; 2 `plan` found changes, or
a tier's change is pending (or the command line is wrong); 3 `apply` was refused, as the live state
has moved.
"""

from __future__ import annotations

import argparse
import datetime
import json
import os
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from .. import __version__
from .admin import MOVED, AdminError, ask
from .plan import Plan, PlanError, describe, load_plan, make_plan, make_whole_plan, summary
from .rules import contradictions
from .schema import FileError, OperatorFile, load_file, read_duration
from .state import State, digest, from_file, with_bans

DONE, ERROR, CHANGES, REFUSED = range(4)
POLL = 0.3  # s between two looks at what is pending


class CommandError(Exception):
    """The command can't be carried out; the text says why and what to do."""


def main(arguments: Sequence[str] | None = None) -> int:
    """Carry out one command; returns its exit code."""
    parser = _parser()
    options = parser.parse_args(arguments)
    try:
        return int(options.work(options))
    except FileError as error:
        return _failed(options, error.problems)
    except (AdminError, CommandError, PlanError) as error:
        return _failed(options, [str(error)])
    except BrokenPipeError:
        # Whoever read the output has enough of it.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ERROR


def _failed(options: argparse.Namespace, problems: list[str]) -> int:
    if options.json:
        print(json.dumps({"ok": False, "errors": problems}))
    for problem in problems:
        print(f"sailhitch: {problem}", file=sys.stderr)
    return ERROR


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sailhitch",
        description="An HTTP gateway that goes by an operator file.",
        epilog="Exit codes: 0 done, 1 error, 2 `plan` found changes, 3 `apply` was refused.",
    )
    parser.add_argument("--version", action="version", version=f"sailhitch {__version__}")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")

    def command(name: str, work: Any, text: str, admin: str = "") -> argparse.ArgumentParser:
        one = commands.add_parser(name, help=text, description=text)
        one.set_defaults(work=work)
        one.add_argument("--json", action="store_true", help="print JSON")
        said = "the running gateway's admin socket (default: the file's, or SAILHITCH_ADMIN)"
        default = None if admin else os.environ.get("SAILHITCH_ADMIN")
        one.add_argument("--admin", metavar="SOCKET", default=default, help=admin or said)
        return one

    run = command("run", _run, "run a gateway by FILE", "serve this admin socket, not the file's")
    run.add_argument("file", metavar="FILE")
    check = command(
        "check",
        _check,
        "check FILE and say everything that is wrong",
        "also say whether the gateway with this admin socket is as FILE says",
    )
    check.add_argument("file", metavar="FILE")
    command("state", _state, "print the live state")
    command("hosts", _hosts, "print the nodes as they are at this moment")
    plan = command("plan", _plan, "print what FILE would change; exits 2 if there is anything")
    plan.add_argument("file", metavar="FILE", nargs="?")
    plan.add_argument("--to", metavar="SERIAL", type=int, help="plan back to an earlier state")
    plan.add_argument("-o", "--output", metavar="PLAN", help="write the plan to this file")
    apply = command("apply", _apply, "do exactly what PLAN says; exits 3 if the state has moved")
    apply.add_argument("plan", metavar="PLAN")
    _add_wait(apply)
    command("history", _history, "print the states that have held")
    tier = command("tier", _tier, "what the gateways of a tier agree on, and whom a change awaits")
    tier.add_argument("act", choices=("status", "members", "history", "withdraw", "gone", "join"))
    tier.add_argument("name", metavar="MEMBER", nargs="?", help="whom `gone` or `join` is said of")
    tier.add_argument("place", metavar="HOST:PORT", nargs="?", help="where `join` has it be found")
    zones = command("zones", _zones, "leave a zone as a fleet, and return to it by steps")
    zones.add_argument("act", choices=("status", "leave", "return", "hold", "release"))
    zones.add_argument("zone", metavar="ZONE", nargs="?")
    zones.add_argument("--why", default="", help="kept with the order, for who looks later")
    zones.add_argument("--step", metavar="TIME", help="how long a step back lasts, such as 30s")
    zones.add_argument(
        "--dry-run",
        action="store_true",
        help="say what the other nodes would carry, and do nothing",
    )
    lab = command("lab", _lab, "play a scenario with real processes; exits 1 on a broken promise")
    lab.add_argument("kind", choices=("tier",))
    lab.add_argument("files", metavar="FILE", nargs="+", help="scenarios, as those in deploy/lab")
    lab.add_argument(
        "--model",
        metavar="SEEDS",
        type=int,
        default=0,
        help="play each in the model too, by so many seeds, and compare; a difference exits 1",
    )
    maintenance = command("maintenance", _maintenance, "take a node out by hand, or put it back")
    maintenance.add_argument("act", choices=("enter", "exit", "list"))
    maintenance.add_argument("node", metavar="POOL/NODE", nargs="?")
    _add_wait(maintenance)
    maintenance.add_argument("--why", default="", help="kept with the ban, for who looks later")
    return parser


def _add_wait(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--wait",
        action="store_true",
        help="in a tier: until the change is active or withdrawn, however long that takes",
    )


# --- Commands


def _run(options: argparse.Namespace) -> int:
    from .process import run_daemon  # the others need no loop, and start in half the time

    return run_daemon(options.file, admin=options.admin, as_json=options.json)


def _check(options: argparse.Namespace) -> int:
    made = load_file(options.file)
    warnings = _warnings(made)
    state = from_file(made)
    counts = {kind: len(objects) for kind, objects in state.items()}
    same = None
    if options.admin is not None:
        answer = _live(options, made)
        live = answer["state"]
        wanted = with_bans(state, live)
        same = live == ({**wanted, "listeners": {}} if "tier" in answer else wanted)
    if options.json:
        found = {"ok": True, "digest": digest(state), "counts": counts, "warnings": warnings}
        print(json.dumps(found if same is None else {**found, "live": same}))
        return DONE
    for warning in warnings:
        print(f"sailhitch: warning: {warning}", file=sys.stderr)
    print(f"{options.file}: good; " + ", ".join(f"{n} {kind}" for kind, n in counts.items()))
    if same is not None:
        print("the gateway is as the file says" if same else "the gateway differs; see `plan`")
    return DONE


def _warnings(made: OperatorFile) -> list[str]:
    found = []
    if made.tenants and made.gateway.rate is None:
        found.append("tenants: shares hold only where gateway.rate says what they are parts of")
    if made.gateway.state_dir is None:
        found.append("gateway.state_dir: not set; what is applied is lost with the process")
    if made.gateway.admin is None:
        found.append("gateway.admin: not set; nothing can be planned or applied")
    used = {pool for route in made.routes for pool in route.pools}
    found += [f"pools: no route leads to {p.name!r}" for p in made.pools if p.name not in used]
    found += [f"pools: {p.name!r} has no nodes" for p in made.pools if not p.nodes]
    return found


def _state(options: argparse.Namespace) -> int:
    live = _live(options, None)
    if options.json:
        print(json.dumps(live))
        return DONE
    print(f"gateway {live['gateway']}, serial {live['serial']}, {_when(live)} by {live['by']}")
    for kind, objects in live["state"].items():
        for name, fields in objects.items():
            shown = " ".join(f"{f}={json.dumps(v)}" for f, v in fields.items() if v is not None)
            print(f"{kind} {name}: {shown}")
    return DONE


def _hosts(options: argparse.Namespace) -> int:
    pools = _asked(options, None, {"op": "hosts"})["pools"]
    if options.json:
        print(json.dumps(pools))
        return DONE
    for pool, nodes in pools.items():
        for node in nodes:
            failing = " failing" if node["failing"] else ""
            print(
                f"{pool}/{node['node']} {node['address']} {node['state']} "
                f"weight={node['weight']:g} out={node['outstanding']}{failing}"
            )
    return DONE


def _plan(options: argparse.Namespace) -> int:
    if (options.file is None) == (options.to is None):
        raise CommandError("plan: give either FILE or --to SERIAL")
    made = None if options.file is None else load_file(options.file)
    live = _live(options, made)
    if made is None:
        old: State = _asked(options, None, {"op": "state", "serial": options.to})["state"]
        wanted = with_bans(old, live["state"])
    else:
        wanted = with_bans(from_file(made), live["state"])
        owner = made.gateway.name
        if "tier" in live:
            # Each member's file may plan: its listeners are its own, and the rest is all of theirs.
            wanted = {**wanted, "listeners": {}}
            owner = f"tier {made.tier.name}" if made.tier is not None else owner
        if owner != live["gateway"]:
            raise CommandError(
                f"{options.file}: is for gateway {owner!r}, and {live['gateway']!r} answers"
            )
    of = live["gateway"], live["serial"], live["state"], wanted
    # A gateway that is not yet restarted after an upgrade tells no identity.
    plan = make_plan(*of, live["identity"]) if "identity" in live else make_whole_plan(*of)
    if options.output is not None:
        _write(Path(options.output), plan)
    if options.json:
        print(json.dumps(plan.body()))
    else:
        for line in describe(plan.changes):
            print(line)
        if "tier" in live:
            for line in contradictions(live["state"], wanted):
                print(f"! {line}: waits until every member has confirmed it")
        print(f"{summary(plan.changes)}, against serial {plan.serial}")
    return CHANGES if plan.changes else DONE


def _write(path: Path, plan: Plan) -> None:
    try:
        path.write_text(plan.dump())
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from None


def _apply(options: argparse.Namespace) -> int:
    try:
        text = Path(options.plan).read_text()
    except OSError as error:
        raise CommandError(f"{options.plan}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise CommandError(f"{options.plan}: not a plan") from None
    plan = load_plan(text)  # an error is better said here, before anybody is asked
    answer = ask(_socket(options, None), {"op": "apply", "plan": text})
    if answer.get("pending") and options.wait:
        answer = _wait(options, answer["serial"])
    if options.json:
        print(json.dumps(answer))
    if answer.get("ok"):
        if not options.json:
            print(f"applied: {summary(plan.changes)}; {_how(answer)}")
        return CHANGES if answer.get("pending") else DONE
    if answer.get("code") == MOVED:
        print(f"sailhitch: refused: {answer['error']}", file=sys.stderr)
        for one in answer["moved"]:
            print(
                f"sailhitch:   serial {one['serial']}, {_when(one)} by {one['by']}: "
                f"{one['summary']}",
                file=sys.stderr,
            )
        print("sailhitch: make the plan anew and look at it", file=sys.stderr)
        return REFUSED
    raise CommandError(f"{options.plan}: {answer.get('error', 'no reason given')}")


def _tier(options: argparse.Namespace) -> int:
    if (options.act in ("gone", "join")) != (options.name is not None):
        raise CommandError("tier: `gone` and `join` take the name of a member, other acts none")
    if (options.act == "join") != (options.place is not None):
        raise CommandError("tier: `join` takes MEMBER and HOST:PORT, other acts no address")
    if options.act == "history":
        return _history(options)
    act = "status" if options.act == "members" else options.act
    asked = {"op": "tier", "act": act, "name": options.name, "place": options.place}
    answer = _asked(options, None, asked)
    if options.json:
        print(json.dumps(answer))
    elif options.act == "status":
        _print_status(answer)
    elif options.act == "members":
        for one in answer["members"]:
            print(_member(one))
    elif options.act == "withdraw":
        print(f"serial {answer['withdrawn']} is withdrawn")
    elif options.act == "join":
        print(f"{answer['joins']} is looked for at {answer['place']}; it joins by itself")
    else:
        print(f"{answer['gone']} is waited for no more; it joins by itself if it comes back")
    return CHANGES if options.act == "status" and answer.get("pending") else DONE


def _print_status(answer: Mapping[str, Any]) -> None:
    said = answer["standing"] if answer["standing"] == "in" else f"out, {answer['why']}"
    print(f"tier {answer['tier']}, asked of {answer['name']}: {said}")
    print(f"turn {answer['turn']}, active serial {answer['active']}")
    if answer["pending"] is not None:
        names = ", ".join(answer["waiting_for"]) or "nobody"
        print(f"pending serial {answer['pending']}, waits for {names}")
    if answer["voter"] is not None:
        print(f"voter: {answer['voter']}" + (", its disk was an old one" * answer["old_disk"]))
    if answer["silent"]:
        print(f"silent: {answer['silent']}")
    for one in answer["members"]:
        if one["trouble"] or one["name"] in answer["waiting_for"]:
            print(_member(one))


def _member(one: Mapping[str, Any]) -> str:
    age = one["age"]
    heard = "never heard" if age is None else f"heard {age / 1e6:.1f} s ago"
    marks = " voter" * one["voter"] + " not in the roster" * (not one["inside"])
    trouble = f": {one['trouble']}" if one["trouble"] else ""
    place = f" at {one['place']}" if one["place"] else ""
    health = f", {one['health']}" if one["health"] != "alive" else ""
    told = f"confirmed turn {one['confirmed']}, {heard}{health}"
    return f"  {one['name']}{marks}{place}, {told}{trouble}"


def _zones(options: argparse.Namespace) -> int:
    if (options.act in ("leave", "return")) != (options.zone is not None):
        raise CommandError("zones: `leave` and `return` take a ZONE, other acts none")
    step = None
    if options.step is not None:
        try:
            step = read_duration(options.step)
        except ValueError as error:
            raise CommandError(f"zones: --step: {error}") from None
    asked = {
        "op": "zones",
        "act": options.act,
        "zone": options.zone,
        "why": options.why,
        "step": step,
        "dry_run": options.dry_run,
    }
    answer = _asked(options, None, asked)
    if options.json:
        print(json.dumps(answer))
    elif options.act == "status":
        _print_zones(answer)
    elif answer.get("dry_run"):
        for pool, told in answer["pools"].items():
            print(
                f"pool {pool}: {told['in_use']} of {told['nodes']} nodes in use, {told['before']} "
                f"now; each would carry {told['each_carries']} times as much"
            )
    elif answer.get("pending"):
        print(f"serial {answer['serial']} holds; not yet at {', '.join(answer['waiting_for'])}")
    else:
        print(f"serial {answer['serial']}: all members that are there go by it")
    return CHANGES if answer.get("pending") else DONE


def _print_zones(answer: Mapping[str, Any]) -> None:
    print(
        f"serial {answer['serial']}, mode {answer['mode']}"
        + (f", held: {answer['held']}" if answer["held"] else "")
    )
    for name, one in answer["zones"].items():
        print(f"  {name or '(none)'}: {one['finding']} ({one['sure']:.0%} agree): {one['seen']}")
        if one["phase"] == "in use":
            print(f"    all of {one['nodes']} nodes in use")
            continue
        relapses = f", {one['relapses']} relapses" if one["relapses"] else ""
        print(
            f"    {one['phase']}, {one['in_use']} of {one['nodes']} nodes in use"
            f"{relapses}; {one['failed']} of {one['ended']} requests failed; waits for "
            f"{one['waits_for']}; by {one['by']}: {one['why'] or '-'}"
        )


def _lab(options: argparse.Namespace) -> int:
    # An extra of its own, and nothing that a gateway loads.
    import asyncio

    from ..lab.judge import table
    from ..lab.modelled import compare, play_modelled
    from ..lab.scenario import ScenarioError, load_scenario
    from ..lab.tier import play

    bad = 0
    for file in options.files:
        try:
            scenario = load_scenario(file)
            if not options.json:
                print(f"{file}: {scenario.name}, promise {scenario.promise or '-'}", flush=True)
            say = (lambda text: None) if options.json else (lambda text: print(text, flush=True))
            result = asyncio.run(play(scenario, say))
        except ScenarioError as error:
            raise CommandError(str(error)) from None
        found = result.as_json()
        lines = table(result)
        if options.model:
            beside = compare(result, play_modelled(scenario, range(options.model)))
            found["differs"] = beside.differs
            lines += [*beside.lines, *(f"DIFFERS: {one}" for one in beside.differs)]
        bad += bool(result.broken or found.get("differs"))
        print(json.dumps(found) if options.json else "\n".join(lines), flush=True)
    return ERROR if bad else DONE


def _maintenance(options: argparse.Namespace) -> int:
    if (options.act == "list") != (options.node is None):
        raise CommandError("maintenance: give `list`, or `enter` or `exit` and POOL/NODE")
    if options.act == "list":
        bans = _live(options, None)["state"]["bans"]
        if options.json:
            print(json.dumps(bans))
            return DONE
        for node, ban in bans.items():
            print(
                f"{node}: since {_when(ban)} by {ban['by']}{': ' if ban['why'] else ''}{ban['why']}"
            )
        return DONE
    request = {"op": "ban", "node": options.node, "out": options.act == "enter", "why": options.why}
    answer = ask(_socket(options, None), request)
    if answer.get("pending") and options.wait:
        answer = _wait(options, answer["serial"])
    if options.json:
        print(json.dumps(answer))
    if answer.get("code") == MOVED:
        print(f"sailhitch: refused: {answer['error']}", file=sys.stderr)
        return REFUSED
    if not answer.get("ok"):
        raise CommandError(str(answer.get("error", "refused, with no reason given")))
    if not options.json:
        print(f"{options.node}: {_how(answer)}")
    return CHANGES if answer.get("pending") else DONE


def _how(answer: Mapping[str, Any]) -> str:
    return str(answer["error"]) if answer.get("pending") else f"serial {answer['serial']}"


def _wait(options: argparse.Namespace, serial: int) -> dict[str, Any]:
    """Until a pending version is active, or is not pending any more; tells whom it waits for."""
    said = ""
    while True:
        status = _asked(options, None, {"op": "tier", "act": "status"})
        if status["pending"] != serial:
            break
        inside = [one for one in status["members"] if one["inside"]]
        text = (
            f"serial {serial}: {len(inside) - len(status['waiting_for'])} of {len(inside)} "
            f"have confirmed; waits for {', '.join(status['waiting_for']) or 'nobody'}"
        )
        if text != said:
            print(f"sailhitch: {text}", file=sys.stderr, flush=True)
        said = text
        time.sleep(POLL)
    held = [one["serial"] for one in _asked(options, None, {"op": "history"})["history"]]
    if serial != status["active"] and serial not in held:
        raise CommandError(f"serial {serial} was withdrawn")
    return {"ok": True, "serial": serial}


def _history(options: argparse.Namespace) -> int:
    past = _asked(options, None, {"op": "history"})["history"]
    if options.json:
        print(json.dumps(past))
        return DONE
    for one in past:
        print(f"{one['serial']:6} {_when(one)} {one['by']}: {one['summary']}")
    return DONE


# --- Asking the gateway


def _socket(options: argparse.Namespace, made: OperatorFile | None) -> str:
    path = options.admin or (made.gateway.admin if made is not None else None)
    if not path:
        raise CommandError("which gateway? give --admin SOCKET, or set SAILHITCH_ADMIN")
    return str(path)


def _asked(
    options: argparse.Namespace, made: OperatorFile | None, request: Mapping[str, Any]
) -> dict[str, Any]:
    answer = ask(_socket(options, made), request)
    if not answer.get("ok"):
        raise CommandError(str(answer.get("error", "refused, with no reason given")))
    return answer


def _live(options: argparse.Namespace, made: OperatorFile | None) -> dict[str, Any]:
    return _asked(options, made, {"op": "state"})


def _when(one: Mapping[str, Any]) -> str:
    when = datetime.datetime.fromtimestamp(one["when"] / 1e6, datetime.UTC)
    return when.strftime("%Y-%m-%d %H:%M:%S UTC")


if __name__ == "__main__":
    sys.exit(main())
